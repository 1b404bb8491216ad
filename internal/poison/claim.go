package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"topazmoor/internal/store"
)

// claimedRow is the current row of a record whose probe is claimed.
type claimedRow struct {
	view   recordView
	spec   probeSpec
	row    store.Row
	record Record
}

// claim claims the probes of a request's quarantined records, all or none; lasts is how long the probe may take. The
// Probe is empty if the request is no longer in quarantine.
func (g *Guard) claim(ctx context.Context, v requestView, lasts time.Duration) (Probe, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	name := fmt.Sprintf("%s/%x", g.cfg.Node, rand.Uint64())
	for range maxConflicts {
		rows, err := g.readClaimed(ctx, v)
		if err != nil {
			return g.claimLocally(v.quarantined, name)
		}
		p, tx, err := g.claimTx(rows, name, lasts)
		if err != nil || !p.Claimed() || len(tx.Writes) == 0 {
			return p, err
		}
		if _, err = g.cfg.Store.Commit(ctx, tx); err == nil {
			return p, nil
		}
	}
	return Probe{}, &Refused{After: retryWithoutStore}
}

// claimTx returns a probe of the records that are still in quarantine, and the transaction that claims it. The
// transaction is empty if an earlier one did, whose reply was lost.
func (g *Guard) claimTx(rows []claimedRow, name string, lasts time.Duration) (Probe, store.Tx, error) {
	var of []Digest
	var tx store.Tx
	for _, r := range rows {
		if r.record.Probe == name {
			of = append(of, r.view.digest)
			continue
		}
		quarantined, err := g.mayProbe(r)
		if err != nil {
			return Probe{}, store.Tx{}, err
		}
		if !quarantined {
			continue
		}
		of = append(of, r.view.digest)
		next := recordTx(r.view.digest, r.row.Version, change{record: r.record.withProbe(name, r.spec, lasts)})
		tx.Conditions = append(tx.Conditions, next.Conditions...)
		tx.Writes = append(tx.Writes, next.Writes...)
	}
	if len(of) == 0 {
		return Probe{}, store.Tx{}, nil
	}
	return Probe{Name: name, Of: of}, tx, nil
}

// readClaimed reads the rows of quarantined records.
func (g *Guard) readClaimed(ctx context.Context, v requestView) ([]claimedRow, error) {
	rows := make([]claimedRow, 0, len(v.quarantined))
	for _, k := range v.quarantined {
		row, r, err := g.read(ctx, k.digest)
		if err != nil {
			return nil, err
		}
		rows = append(rows, claimedRow{view: k, spec: v.specOf(k.digest), row: row, record: g.withLostRecord(k.digest, row.Version, r)})
	}
	return rows, nil
}

// mayProbe reports whether a record is still in quarantine. If it is, and must not be probed now, the
// error is of type *Refused.
func (g *Guard) mayProbe(r claimedRow) (quarantined bool, err error) {
	d := r.view.digest
	if !r.record.Quarantined() {
		return false, g.resolveUnlisted(r.view, r.record)
	}
	decision, after := r.record.Decide(g.unchangedFor(d, r.row.Version), r.spec)
	if decision != MayProbe {
		return true, g.refuse(recordView{Record: r.record, digest: d}, after)
	}
	return true, nil
}

// withLostRecord returns the store's record, read at a version, merged with the record that this
// node has from an earlier era: a store that was restored from a copy has lost that one, so that a
// missing record does not mean that the request was answered.
func (g *Guard) withLostRecord(d Digest, at store.Version, r Record) Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.stored[d]
	if !ok || f.version.SameEra(at) {
		return r
	}
	return r.merged(f.Record)
}

// resolveUnlisted handles a record that only this node considers quarantined. Either its ends are
// still to be written, then the request is refused; or it was answered in the meantime, then the local
// record is removed.
func (g *Guard) resolveUnlisted(k recordView, r Record) error {
	if g.queue.contains(k.digest) {
		return &Refused{Ends: len(r.Ended), After: retryDuringProbe}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.local.Remove(k.digest)
	if part, ok := k.digest.Part(); ok && !k.listed && g.parts.convictedBy(part) != nil {
		// Its quarantine is being written, or was to be written by a node that has ended.
		g.schedule(part, 0)
		return &Refused{Ends: len(k.Ended), Part: true, After: retryDuringProbe}
	}
	return nil
}

// unchangedFor returns how long the store's record, of which version is the current one, has been unchanged: the time since
// this node read that version in the list of quarantined records; 0 if the list does not have it yet.
func (g *Guard) unchangedFor(d Digest, version store.Version) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed, ok := g.stored[d]
	if !ok || listed.version.Before(version) {
		// The row of QuarantineTable is written in the same transaction.
		return 0
	}
	return time.Since(listed.since)
}

// claimLocally allows one probe of this node while the store is unavailable. It cannot be known
// whether other nodes probe too, but without any probe innocent requests would be refused until the
// store is back.
func (g *Guard) claimLocally(quarantined []recordView, name string) (Probe, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p := Probe{Name: name}
	for _, k := range quarantined {
		local, _ := g.local.Get(k.digest)
		local.since = time.Now()
		if f, ok := g.stored[k.digest]; (ok && f.Probes > 0) || local.Probes > 0 {
			g.local.Add(k.digest, local)
			return Probe{}, &Refused{Ends: len(k.Ended), After: retryWithoutStore}
		}
	}
	for _, k := range quarantined {
		local, _ := g.local.Get(k.digest)
		local.Record, local.since = local.withLocalProbe(name), time.Now()
		g.local.Add(k.digest, local)
		p.Of = append(p.Of, k.digest)
	}
	return p, nil
}

// withLocalProbe returns the record with a probe that was claimed without the store.
func (r Record) withLocalProbe(name string) Record {
	r.Probes++
	r.Probe = name
	return r
}
