package poison

import (
	"time"

	"topazmoor/internal/store"
)

// storedRecord is a record in the store, with the version of its row. since is when this node first read
// that version.
type storedRecord struct {
	Record
	version store.Version
	since   time.Time
}

// localRecord is the information of this node alone on a request.
type localRecord struct {
	Record
	// since is when the node last learned of the end of a target under the request, or last failed
	// to reach the store to claim a probe of the request.
	since time.Time
}

// recordView is the record by which a node decides whether to send a request: the stored record merged
// with the node's local record.
type recordView struct {
	Record
	digest Digest
	// unchanged is how long this node has seen the record unchanged.
	unchanged time.Duration
	// listed reports that the store's list of quarantined records, as last read, contains this one.
	listed bool
}

// decide returns what may be done with a request that has the record; spec is how it would be probed. after is the
// duration until a refusal ends; 0 if it lasts as long as the record.
//
// A record that the store's list does not contain may be in quarantine only because of the ends of
// targets in this node's local record. Another node may then have seen a target answer the request and
// removed its stored record. So this node tries to claim a probe, as a claim reads the current record
// from the store. If it has already sent a probe that it claimed without the store, it does so only
// once its local record has been unchanged for retryWithoutStore.
func (k recordView) decide(spec probeSpec) (d Decision, after time.Duration) {
	if k.listed || !k.Quarantined() {
		return k.Record.Decide(k.unchanged, spec)
	}
	if wait := retryWithoutStore - k.unchanged; k.Probes > 0 && wait > 0 {
		return Refuse, wait
	}
	return MayProbe, 0
}

// lookup returns a record: the stored one as last read, merged with the local one. The caller holds g.mu.
func (g *Guard) lookup(d Digest) recordView {
	f, listed := g.stored[d]
	local, _ := g.local.Get(d)
	k := recordView{digest: d, listed: listed, unchanged: time.Since(local.since)}
	if listed {
		k.Record, k.unchanged = f.Record, time.Since(f.since)
	}
	for _, process := range local.Ended {
		k.Record = k.withEnd(process, "")
	}
	if part, ok := d.Part(); ok && !listed {
		k.Ended = append(k.Ended, g.parts.convictedBy(part)...)
	}
	k.Probes = max(k.Probes, local.Probes)
	return k
}

// requestView is what a node knows of a request: the records that are in quarantine, and of how many ends each part of its
// prompt may be the cause.
type requestView struct {
	quarantined []recordView
	ends        map[Digest]int
}

func (g *Guard) view(r Request) requestView {
	g.mu.Lock()
	defer g.mu.Unlock()
	var v requestView
	if k := g.lookup(r.Digest); k.Quarantined() {
		v.quarantined = append(v.quarantined, k)
	}
	for _, part := range r.Parts {
		if k := g.lookup(PartDigest(part)); k.Quarantined() {
			v.quarantined = append(v.quarantined, k)
		}
	}
	if len(v.quarantined) > 0 {
		v.ends = g.endsOf(r.Parts)
	}
	return v
}

// endsOf returns of how many ends each part may be the cause, at most maxRiskOfPart. The caller holds g.mu.
func (g *Guard) endsOf(parts []Part) map[Digest]int {
	out := make(map[Digest]int, len(parts))
	for _, part := range parts {
		d := PartDigest(part)
		out[d] = min(max(len(g.lookup(d).Ended), g.parts.count(part)), maxRiskOfPart)
	}
	return out
}

// specOf returns how a record of the request would be probed.
func (v requestView) specOf(d Digest) probeSpec {
	_, isPart := d.Part()
	s := probeSpec{ofPart: isPart}
	for other, ends := range v.ends {
		if isPart && other != d {
			s.risk += ends
		}
	}
	return s
}

// decide returns what may be done with the request; worst is the record that decides.
func (v requestView) decide() (d Decision, after time.Duration, worst recordView) {
	for _, k := range v.quarantined {
		next, wait := k.decide(v.specOf(k.digest))
		if next > d || next == d && next == Refuse && wait > after {
			d, after, worst = next, wait, k
		}
		if next == Refuse && wait == 0 {
			return Refuse, 0, k
		}
	}
	return d, after, worst
}
