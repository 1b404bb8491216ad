package targets

import (
	"math"
	"time"

	"topazmoor/internal/readiness"
)

// The process of a target may end when the target has to reject too many calls a second for want of room,
// of all nodes together; such a target bounds its rejections. Each node keeps its calls there within the
// target's slots, and after a rejection sends none for as long as its share of the rejections demands.

const (
	// boundedFill is the number of calls at a target that bounds its rejections, relative to its slots,
	// from which it gets no more: a few may wait, as loads are reported with some delay.
	boundedFill = 1.25
	// boundedShare is the part of the slots of such a target that one node may use, relative to an even
	// distribution: callers are not spread evenly over the nodes.
	boundedShare = 1.5
	// minRejectionRest and maxRejectionRest bound how long a node sends nothing to such a target after it
	// rejected a call.
	minRejectionRest = 250 * time.Millisecond
	maxRejectionRest = 2 * time.Second
)

// boundsRejections reports whether a target bounds its rejections, by its last answer.
func (s *state) boundsRejections() bool { return s.reported.maxRejections > 0 }

// crowded reports whether a target bounds its rejections and gets no more calls for now. The lock is held.
func (t *Table) crowded(s *state, now time.Time) bool {
	if !s.boundsRejections() {
		return false
	}
	slots := float64(max(s.Slots, 1))
	own := max(math.Floor(boundedShare*slots/float64(t.nodes())), 1)
	return float64(s.inFlight) >= own || float64(s.calls(now)) >= math.Ceil(boundedFill*slots)
}

// withRejectionRest returns the notice of an answer, with a rest if the target rejected the call and bounds
// its rejections.
func (t *Table) withRejectionRest(a Answer) readiness.Notice {
	n := a.Notice
	if !a.Rejected || n.MaxRejections <= 0 || n.Rest > 0 {
		return n
	}
	seconds := float64(t.nodes()) / n.MaxRejections
	n.Rest = min(max(time.Duration(seconds*float64(time.Second)), minRejectionRest), maxRejectionRest)
	return n
}

// nodes returns the number of nodes that call the same targets, this one included.
func (t *Table) nodes() int {
	if t.Nodes == nil {
		return 1
	}
	return max(t.Nodes(), 1)
}

// RejectionBoundTargets returns how many listed targets bound their rejections, by service.
func (t *Table) RejectionBoundTargets() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]float64)
	for _, s := range t.byID {
		if s.boundsRejections() {
			out[s.Service]++
		}
	}
	return out
}
