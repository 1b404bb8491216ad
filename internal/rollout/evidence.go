package rollout

import (
	"maps"
	"math"
	"time"
)

// buckets is the number of duration classes: half octaves from 1 ms to 65 s.
const buckets = 32

// bucketOf returns the duration class of d.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), buckets-1)
}

// Tally counts the calls to some targets that ended since a node received a roll-out order.
type Tally struct {
	// Bad counts the calls that failed or whose answer broke off.
	Bad uint32
	// Took counts the good answers by the duration class of their calls. Left counts the calls that
	// were abandoned without an answer, by the class of their duration until they were abandoned.
	Took, Left [buckets]uint32
	// Gaps counts the streams among the good answers by the class of their longest gap between
	// events.
	Gaps [buckets]uint32
}

// add adds the counts of another Tally.
func (t *Tally) add(o Tally) {
	t.Bad += o.Bad
	for i := range buckets {
		t.Took[i] += o.Took[i]
		t.Left[i] += o.Left[i]
		t.Gaps[i] += o.Gaps[i]
	}
}

// since returns the counts added after an earlier Tally of the same node. If a count is lower than
// before, the node restarted, and all counts of t were added after the earlier Tally.
func (t Tally) since(before Tally) Tally {
	out := Tally{Bad: t.Bad - before.Bad}
	restarted := t.Bad < before.Bad
	for i := range buckets {
		restarted = restarted || t.Took[i] < before.Took[i] || t.Left[i] < before.Left[i] || t.Gaps[i] < before.Gaps[i]
		out.Took[i], out.Left[i], out.Gaps[i] = t.Took[i]-before.Took[i], t.Left[i]-before.Left[i], t.Gaps[i]-before.Gaps[i]
	}
	if restarted {
		return t
	}
	return out
}

// answers returns the number of good and bad answers.
func (t Tally) answers() float64 {
	n := float64(t.Bad)
	for i := range buckets {
		n += float64(t.Took[i])
	}
	return n
}

// slowerThan counts the calls in longer duration classes than the given one, abandoned calls included.
// It omits calls that were abandoned within the given class or a shorter one: how long these would have
// taken is unknown.
func (t Tally) slowerThan(class int) float64 {
	var n float64
	for i := class + 1; i < buckets; i++ {
		n += float64(t.Took[i]) + float64(t.Left[i])
	}
	return n
}

// Source identifies the calls that a Tally counts.
type Source struct {
	Route string
	// New says that the calls went to the new version, at Target. Targets of the old version share
	// one Tally for each route, with an empty Target.
	New    bool
	Target string
}

// Evidence counts the calls of one node to the targets of a service since the node received a roll-out
// order of the service. These numbers only rise while the process of the node runs.
type Evidence struct {
	Tallies map[Source]Tally
	// Sent counts the calls for the service, SentNew those to the new version.
	Sent, SentNew uint64
}

// since returns the evidence added after earlier evidence of the same node.
func (e Evidence) since(before Evidence) Evidence {
	out := Evidence{Tallies: make(map[Source]Tally), Sent: e.Sent - before.Sent, SentNew: e.SentNew - before.SentNew}
	if e.Sent < before.Sent || e.SentNew < before.SentNew {
		out.Sent, out.SentNew, before = e.Sent, e.SentNew, Evidence{}
	}
	for source, t := range e.Tallies {
		if delta := t.since(before.Tallies[source]); delta != (Tally{}) {
			out.Tallies[source] = delta
		}
	}
	return out
}

// Count adds a good or bad answer to a call of the given duration.
func (e Evidence) Count(s Source, bad bool, took time.Duration) {
	t := e.Tallies[s]
	if bad {
		t.Bad++
	} else {
		t.Took[bucketOf(took)]++
	}
	e.Tallies[s] = t
}

// Clone returns a copy with a Tallies map of its own.
func (e Evidence) Clone() Evidence {
	e.Tallies = maps.Clone(e.Tallies)
	return e
}
