package targets

import (
	"slices"
	"time"
)

// Exchange is what a request exchanges with its target and on behalf of it. It decides what
// another region costs.
type Exchange struct {
	// RoundTrips are those of the request and of its stages; at least 1 is counted.
	RoundTrips int
	// Bytes are those of the request and of what is expected of the answer.
	Bytes int64
}

// crossingCost returns the cost of an exchange with a target in another region; 0 with one region.
func (t *Table) crossingCost(e Exchange) time.Duration {
	if !t.Regions.Several() {
		return 0
	}
	return t.Crossing.Cost(e.roundTrips(), e.Bytes)
}

// crossingDelay returns the time that an exchange takes longer with a target in another region.
func (t *Table) crossingDelay(e Exchange) time.Duration {
	return t.Crossing.Cost(e.roundTrips(), 0)
}

func (e Exchange) roundTrips() int { return max(e.RoundTrips, 1) }

// The calls that targets take from other regions, as fractions of their slots. The most urgent
// requests, those of rank 0, leave a region first and get the most; each further rank gets less, so
// that the slots that a region has to spare go to the urgent requests of the others.
const (
	spareShare, lostShare = 1.0, 2.0
	spareStep, lostStep   = 0.1, 0.2
	minSpare, minLost     = 0.5, 1.0
)

// outsideCalls returns up to how many calls a target may have in total to be given one more from
// another region. own reports whether that region has targets of its own that can be called. Up to
// its slots, a target runs calls at once: only requests of a region without a target may wait
// behind those of the target's region, and only a few.
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

// mayCross reports whether a call may go to a target in another region.
func (t *Table) mayCross(q Query, s *state, own bool, now time.Time) bool {
	if float64(s.calls(now)) >= outsideCalls(q.Rank, s.Slots, own) {
		return false
	}
	return q.Left == 0 || t.crossingDelay(q.Exchange)+s.recentLatency(now) < q.Left
}

// Crossed tells why a call goes to another region, and what that costs.
type Crossed struct {
	// Region is the region of the target; "" for a call that stays in its own.
	Region string
	// Cost is the cost of the way.
	Cost time.Duration
	// Own is how many targets there were to choose from in the node's own region, OwnCalls how
	// many calls the least busy of them had.
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
