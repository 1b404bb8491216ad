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

// decide returns what may be done with a request that has the record; kind is how it would be probed, and each
// probe waits for extra longer than it otherwise does. after is the duration until a refusal ends; 0 if it lasts
// as long as the record.
//
// A record that the store's list does not contain may be in quarantine only because of the ends of
// targets in this node's local record. Another node may then have seen a target answer the request and
// removed its stored record. So this node tries to claim a probe, as a claim reads the current record
// from the store. If it has already sent a probe that it claimed without the store, it does so only
// once its local record has been unchanged for retryWithoutStore.
func (k recordView) decide(kind probeKind, extra time.Duration) (d Decision, after time.Duration) {
	if k.listed || !k.Quarantined() {
		return k.Record.Decide(k.unchanged-extra, kind)
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

// requestView is what a node knows of a request: the records that are in quarantine, and whether another
// part of its prompt is a suspect.
type requestView struct {
	quarantined []recordView
	suspect     bool
}

func (g *Guard) view(r Request) requestView {
	g.mu.Lock()
	defer g.mu.Unlock()
	var v requestView
	if k := g.lookup(r.Digest); k.Quarantined() {
		v.quarantined = append(v.quarantined, k)
	}
	for _, part := range r.Parts {
		switch k := g.lookup(PartDigest(part)); {
		case k.Quarantined():
			v.quarantined = append(v.quarantined, k)
		case g.parts.suspect(part):
			v.suspect = true
		}
	}
	return v
}

// decide returns what may be done with the request; worst is the record that decides. The end of a probe is
// evidence against everything that it holds: a request with a single record in quarantine and no suspect goes
// first.
func (v requestView) decide() (d Decision, after time.Duration, worst recordView) {
	var extra time.Duration
	if v.suspect {
		extra = suspectProbePause
	}
	for _, k := range v.quarantined {
		next, wait := k.decide(kindOf(k.digest, len(v.quarantined) == 1), extra)
		if next > d || next == d && next == Refuse && wait > after {
			d, after, worst = next, wait, k
		}
		if next == Refuse && wait == 0 {
			return Refuse, 0, k
		}
	}
	return d, after, worst
}
