package targets

import (
	"slices"
	"time"
)

// Exchange is how much a request exchanges with its target, and with the targets of its stages. It
// determines what serving the request in another region costs.
type Exchange struct {
	// RoundTrips is the number of round trips of the request and its stages; 0 counts as 1.
	RoundTrips int
	// Bytes is the size of the request and the expected size of the answer.
	Bytes int64
}

// crossingCost returns the cost of an exchange with a target in another region; 0 with one region.
func (t *Table) crossingCost(e Exchange) time.Duration {
	if !t.Regions.Several() {
		return 0
	}
	return t.Crossing.Cost(e.roundTrips(), e.Bytes)
}

// crossingDelay returns how much longer an exchange takes with a target in another region.
func (t *Table) crossingDelay(e Exchange) time.Duration {
	return t.Crossing.Cost(e.roundTrips(), 0)
}

func (e Exchange) roundTrips() int { return max(e.RoundTrips, 1) }

// The number of calls up to which a target takes calls from another region, as a fraction of its slots:
// spareShare if that region has targets of its own that can be called, lostShare if it has none. These
// are for rank 0; each further rank has spareStep or lostStep less, down to minSpare or minLost, so
// that the spare slots of a region go to the urgent requests of the others.
const (
	spareShare, lostShare = 1.0, 2.0
	spareStep, lostStep   = 0.1, 0.2
	minSpare, minLost     = 0.5, 1.0
)

// outsideCalls returns the number of calls at a target from which it gets no more calls from another
// region. own reports whether that region has targets of its own that can be called. A target runs as
// many calls at once as it has slots; only requests of a region without a target may wait for a slot,
// and only a few.
func outsideCalls(rank, slots int, own bool) float64 {
	share := max(spareShare-spareStep*float64(rank), minSpare)
	if !own {
		share = max(lostShare-lostStep*float64(rank), minLost)
	}
	return share * float64(max(slots, 1))
}

// withinReach returns the candidates that a call may go to by where they are: all in this node's
// region, and those in others that have slots to spare and would answer in time. It returns all
// candidates of a resumed call, and of one that may not be served in this node's region. It reuses
// the memory of cands.
func (t *Table) withinReach(q Query, cands []*state, now time.Time) []*state {
	if !t.Regions.Several() || q.Resumed || !t.Regions.Allows(q.Regions, t.DataCentre) {
		return cands
	}
	own := slices.ContainsFunc(cands, func(s *state) bool { return !t.inOtherRegion(s) })
	return slices.DeleteFunc(cands, func(s *state) bool { return t.inOtherRegion(s) && !t.mayCross(q, s, own, now) })
}

// mayCross reports whether a call may go to a target in another region. own reports whether there are
// candidates in this node's region.
func (t *Table) mayCross(q Query, s *state, own bool, now time.Time) bool {
	if float64(s.calls(now)) >= outsideCalls(q.Rank, s.Slots, own) {
		return false
	}
	return q.Left == 0 || t.crossingDelay(q.Exchange)+s.recentLatency(now) < q.Left
}

// Crossed describes why a call goes to another region, and what that costs.
type Crossed struct {
	// Region is the region of the target; "" for a call that stays in its own.
	Region string
	// Cost is the cost of the crossing; see region.Crossing.
	Cost time.Duration
	// Own is the number of candidates in the node's own region, OwnCalls the number of calls of the
	// least busy one.
	Own, OwnCalls int
}

// crossed returns why a call goes to a target.
func (t *Table) crossed(q Query, s *state, cands []*state, now time.Time) Crossed {
	if !t.inOtherRegion(s) {
		return Crossed{}
	}
	out := Crossed{Region: t.regionOf(s), Cost: t.crossingCost(q.Exchange)}
	for _, c := range cands {
		if t.inOtherRegion(c) {
			continue
		}
		if calls := c.calls(now); out.Own == 0 || calls < out.OwnCalls {
			out.OwnCalls = calls
		}
		out.Own++
	}
	return out
}
