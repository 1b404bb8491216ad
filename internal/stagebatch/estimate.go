package stagebatch

import (
	"slices"
	"time"

	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
)

// Waits are the estimated times that a new piece waits until its call starts.
type Waits struct {
	// OnTime has the waits of pieces that can meet their objective, by priority rank from 0. For
	// ranks beyond the last entry the last entry holds. If OnTime is empty, there is no wait.
	OnTime []time.Duration
	// LateBegun and LateNew are the waits of late pieces: LateBegun if their request has results
	// of earlier stages, LateNew otherwise. The estimate assumes that late pieces without
	// earlier results are served last.
	LateBegun, LateNew time.Duration
	// Spilled is the wait of orders from other regions that can meet their objective; 0 for the pool of
	// all regions.
	Spilled time.Duration
}

// ForRank returns the wait of pieces of a rank that can meet their objective.
func (w Waits) ForRank(rank int) time.Duration {
	if len(w.OnTime) == 0 {
		return 0
	}
	return w.OnTime[min(max(rank, 0), len(w.OnTime)-1)]
}

// Work describes the order for which an estimate is requested.
type Work struct {
	Rank, Pieces int
	// Late means that the request will miss its objective, Begun that results of earlier stages
	// exist.
	Late, Begun bool
	// DataCentre is the preferred data centre of the order; "" means no preference.
	DataCentre string
	// Regions are the regions in which the order may run.
	Regions region.Set
}

// forWork returns the wait of the pieces of an order.
func (w Waits) forWork(work Work) time.Duration {
	switch {
	case work.Late && work.Begun:
		return max(w.LateBegun, w.ForRank(work.Rank))
	case work.Late:
		return max(w.LateNew, w.ForRank(work.Rank))
	}
	return w.ForRank(work.Rank)
}

const (
	// maxRanks bounds the number of ranks that estimates distinguish. Accounts and routes have
	// two to four priorities each.
	maxRanks = 16
	// rateWindow is the period over which the pieces that arrived at a pool, and those that it
	// produced, are counted. It spans several calls of each target.
	rateWindow = 1500 * time.Millisecond
	// minShare is the minimum share of a pool's rate that estimates assign to a rank, however
	// many more urgent pieces arrive, as bursts end within seconds.
	minShare = 0.2
	// waitsTTL is how long computed estimates are reused.
	waitsTTL = 40 * time.Millisecond
)

// traffic counts the pieces that recently arrived at a pool and those that it produced.
type traffic struct {
	arrived  []pieceCount
	produced []pieceCount
	// busySince is the last time at which a call ended with an empty queue or, for the pool of a region,
	// at which an order came to the idle pool; at first the time at which the pool was created. Since
	// then pieces have waited at the end of each call.
	busySince time.Time
	// ranks is one more than the highest rank of the orders that have arrived.
	ranks int

	waits   Waits
	waitsAt time.Time
	// nextLateCheck is the time from which failHopeless checks the late orders again.
	nextLateCheck time.Time
}

// pieceCount is the number of pieces of one order or one call.
type pieceCount struct {
	at     time.Time
	rank   int
	pieces int
	// spilled means that the order came from another region.
	spilled bool
}

// recent returns the entries within rateWindow. all is sorted by time and is not modified.
func recent(all []pieceCount, now time.Time) []pieceCount {
	first := slices.IndexFunc(all, func(c pieceCount) bool { return now.Sub(c.at) < rateWindow })
	if first < 0 {
		return nil
	}
	return all[first:]
}

// recordOrder counts the pieces of a new order.
func (t *traffic) recordOrder(o Order, now time.Time) {
	rank := min(max(o.Priority, 0), maxRanks-1)
	t.ranks = max(t.ranks, rank+1)
	t.arrived = append(recent(t.arrived, now), pieceCount{at: now, rank: rank, pieces: o.Pieces, spilled: o.Spilled})
}

// recordProduced counts the pieces of a completed call. queued is the number of pieces in the pool's
// queue.
func (t *traffic) recordProduced(pieces, queued int, now time.Time) {
	t.produced = append(recent(t.produced, now), pieceCount{at: now, pieces: pieces})
	if queued == 0 {
		t.busySince = now
	}
}

// rate returns the pool's rate in pieces per second. If pieces have waited at the end of each
// call for all of rateWindow, it is the rate of the pieces produced within rateWindow, but at least a
// quarter and at most all of what the good targets can produce; otherwise it is all that the good
// targets can produce. Lack of space for results at the targets keeps the recent rate of some pools
// far below what their targets can produce.
func (t *traffic) rate(spec *routes.Batch, good float64, now time.Time) float64 {
	reachable := good * float64(max(spec.Items, 1)) / expected(spec, spec.Items).Seconds()
	if now.Sub(t.busySince) < rateWindow {
		return reachable
	}
	produced := 0
	for _, m := range recent(t.produced, now) {
		produced += m.pieces
	}
	return min(reachable, max(float64(produced)/rateWindow.Seconds(), reachable/4))
}

// wait returns the estimated waits of a pool. Pieces from other regions are served after those of this
// region, and late pieces after all others, so the estimates of those served before do not include
// them.
func (p *pool) wait(spec *routes.Batch, now time.Time) Waits {
	if now.Sub(p.waitsAt) < waitsTTL && len(p.waits.OnTime) == p.ranks {
		return p.waits
	}
	queued, coming := p.countQueued(now), p.countArrived(now)
	good, idle := p.countTargets(spec, now)
	rate := p.rate(spec, good, now)
	var residual time.Duration
	if idle == 0 {
		// With all targets busy, a piece also waits for the first target to end its current call.
		residual = times(expected(spec, spec.Items/2), 1/(good+1))
	}
	residual = max(residual, p.restLeft(now))
	out := Waits{OnTime: make([]time.Duration, p.ranks)}
	before, urgent := 0, 0.0
	// timeFor returns how long the pool takes for a number of pieces while more urgent pieces
	// that arrive meanwhile are served first.
	timeFor := func(pieces int) time.Duration {
		left := max(rate-urgent/rateWindow.Seconds(), minShare*rate)
		return time.Duration(float64(pieces)/left*float64(time.Second)) + residual
	}
	for rank := range out.OnTime {
		before += queued.onTime[rank]
		out.OnTime[rank] = timeFor(before)
		urgent += float64(coming[rank])
	}
	before += queued.spilled
	if p.region != "" {
		out.Spilled = timeFor(before)
	}
	out.LateBegun = timeFor(before + queued.lateBegun)
	out.LateNew = timeFor(before + queued.lateBegun + queued.lateNew)
	p.waits, p.waitsAt = out, now
	return out
}

// queuedPieces counts the pieces in a pool's queue, by the order in which they are served.
type queuedPieces struct {
	// onTime counts those of this region that can meet their objective, by rank; spilled those from
	// other regions.
	onTime  []int
	spilled int
	// lateBegun and lateNew count those that cannot; see Waits.
	lateBegun, lateNew int
}

// countQueued counts the pieces in the queue.
func (p *pool) countQueued(now time.Time) queuedPieces {
	n := queuedPieces{onTime: make([]int, p.ranks)}
	for _, pc := range p.queue {
		switch {
		case pc.order.ended:
		case pc.order.Due.After(now) && pc.order.Spilled:
			n.spilled++
		case pc.order.Due.After(now):
			n.onTime[min(max(pc.order.Priority, 0), p.ranks-1)]++
		case pc.begun():
			n.lateBegun++
		default:
			n.lateNew++
		}
	}
	return n
}

// countArrived counts the pieces of this region that arrived within rateWindow, by rank.
func (p *pool) countArrived(now time.Time) []int {
	n := make([]int, p.ranks)
	for _, c := range recent(p.arrived, now) {
		if !c.spilled {
			n[c.rank] += c.pieces
		}
	}
	return n
}

// restLeft returns the time until the first target may be called if all targets of the pool
// rest; otherwise 0.
func (p *pool) restLeft(now time.Time) time.Duration {
	var least time.Duration
	for _, m := range p.states {
		left := m.opens.Sub(now)
		if m.standing < readiness.Resting || left <= 0 {
			return 0
		}
		if least == 0 || left < least {
			least = left
		}
	}
	return least
}

// countTargets returns the number of targets that are available and not slow, and how many of
// them are idle. A target with a rate limit counts as the fraction of time for which the limit
// lets it work.
func (p *pool) countTargets(spec *routes.Batch, now time.Time) (good float64, idle int) {
	for _, m := range p.states {
		if now.Before(m.pausedUntil) || m.standing >= readiness.Resting || m.slow() >= slowFactor {
			continue
		}
		activeShare := m.activeShare(spec)
		good += activeShare
		if m.calls < max(spec.Slots, 1) && activeShare == 1 {
			idle++
		}
	}
	// Targets outside the working set are added to it as soon as there is work for them.
	good += float64(p.working.unusedTargets())
	idle += p.working.unusedTargets()
	if good == 0 {
		// Each target of the pool is paused, rests, is slow or has a rate limit of zero. The
		// estimates count one target, not none, as some targets recover within the period that the
		// estimates cover.
		return 1, idle
	}
	return good, idle
}

// lateCheckInterval is how often the late orders of a pool are checked.
const lateCheckInterval = 200 * time.Millisecond

// failHopeless fails the late orders that cannot be completed by their deadline, because all orders
// that are not late go first and more of these arrive. The callers of the failed orders get the error
// at once, while they can still retry, and not at the deadline.
func (p *pool) failHopeless(spec *routes.Batch, now time.Time) {
	if now.Before(p.nextLateCheck) {
		return
	}
	p.nextLateCheck = now.Add(lateCheckInterval)
	good, _ := p.countTargets(spec, now)
	rate := p.rate(spec, good, now)
	coming, onTime := 0, 0
	for _, c := range recent(p.arrived, now) {
		coming += c.pieces
	}
	var late []*piece
	for _, pc := range p.queue {
		switch {
		case pc.order.ended:
		case pc.order.Due.Before(now):
			late = append(late, pc)
		default:
			onTime++
		}
	}
	slices.SortStableFunc(late, func(a, b *piece) int { return before(a, b, now, placement{}) })
	left := max(rate-float64(coming)/rateWindow.Seconds(), minShare*rate)
	for i, pc := range late {
		wait := time.Duration(float64(onTime+i) / left * float64(time.Second))
		if now.Add(wait).After(pc.order.Deadline) {
			pc.order.finish(ErrLate)
		}
	}
}
