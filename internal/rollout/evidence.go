package rollout

import (
	"maps"
	"math"
	"time"
)

// buckets is the number of classes of durations: half octaves from 1 ms to 65 s.
const buckets = 32

// bucketOf returns the class of a duration.
func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), buckets-1)
}

// Tally counts the answers of some targets since an order came.
type Tally struct {
	// Bad are failures and answers that broke off.
	Bad uint32
	// Took are the good answers by how long they took, Left the calls that were given up
	// without an answer by how long they had lasted.
	Took, Left [buckets]uint32
}

// add counts what another Tally has.
func (t *Tally) add(o Tally) {
	t.Bad += o.Bad
	for i := range buckets {
		t.Took[i] += o.Took[i]
		t.Left[i] += o.Left[i]
	}
}

// since returns what was counted after an earlier Tally; all of it where the counting began anew.
func (t Tally) since(before Tally) Tally {
	out := Tally{Bad: t.Bad - before.Bad}
	anew := t.Bad < before.Bad
	for i := range buckets {
		anew = anew || t.Took[i] < before.Took[i] || t.Left[i] < before.Left[i]
		out.Took[i], out.Left[i] = t.Took[i]-before.Took[i], t.Left[i]-before.Left[i]
	}
	if anew {
		return t
	}
	return out
}

// answers counts all that were answered, well or badly.
func (t Tally) answers() float64 {
	n := float64(t.Bad)
	for i := range buckets {
		n += float64(t.Took[i])
	}
	return n
}

// beyond counts what took longer than a class of durations. Of a call that was given up sooner it
// isn't known how long it would have taken.
func (t Tally) beyond(class int) float64 {
	var n float64
	for i := class + 1; i < buckets; i++ {
		n += float64(t.Took[i]) + float64(t.Left[i])
	}
	return n
}

// Source is what a Tally is of.
type Source struct {
	Route string
	// New says that it is of the new version, at the Target; the old one is counted as a whole.
	New    bool
	Target string
}

// Evidence is what nodes saw since an order came. Its counts only rise.
type Evidence struct {
	Tallies map[Source]Tally
	// Sent counts the calls for the service, SentNew those among them to the new version.
	Sent, SentNew uint64
}

// since returns what came after earlier evidence of the same node.
func (e Evidence) since(before Evidence) Evidence {
	out := Evidence{Tallies: make(map[Source]Tally), Sent: e.Sent - before.Sent, SentNew: e.SentNew - before.SentNew}
	if e.Sent < before.Sent || e.SentNew < before.SentNew {
		out.Sent, out.SentNew, before = e.Sent, e.SentNew, Evidence{}
	}
	for source, t := range e.Tallies {
		if news := t.since(before.Tallies[source]); news != (Tally{}) {
			out.Tallies[source] = news
		}
	}
	return out
}

// Count adds an answer, good or bad, that took some time.
func (e Evidence) Count(s Source, bad bool, took time.Duration) {
	t := e.Tallies[s]
	if bad {
		t.Bad++
	} else {
		t.Took[bucketOf(took)]++
	}
	e.Tallies[s] = t
}

// Clone returns a copy.
func (e Evidence) Clone() Evidence {
	e.Tallies = maps.Clone(e.Tallies)
	return e
}
