package stagebatch

import (
	"slices"
	"time"

	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
)

// Waits tells how long a piece that comes now waits for its call to begin.
type Waits struct {
	// OnTime are the waits of pieces that can meet their objective, by rank from 0 on.
	// Ranks beyond the last wait as long as the last; without any, nothing waits.
	OnTime []time.Duration
	// LateBegun and LateNew are the waits of pieces that are late: of those whose request
	// has results of earlier stages, and of the others, which go last.
	LateBegun, LateNew time.Duration
}

// Of returns the wait of pieces of a rank that can meet their objective.
func (w Waits) Of(rank int) time.Duration {
	if len(w.OnTime) == 0 {
		return 0
	}
	return w.OnTime[min(max(rank, 0), len(w.OnTime)-1)]
}

// Work is what an estimate is asked for.
type Work struct {
	Rank, Pieces int
	// Late says that the request will miss its objective, Begun that results of earlier
	// stages are there.
	Late, Begun bool
	// Regions are those in which the work may be done.
	Regions region.Set
}

// of returns the wait of a piece.
func (w Waits) of(work Work) time.Duration {
	switch {
	case work.Late && work.Begun:
		return max(w.LateBegun, w.Of(work.Rank))
	case work.Late:
		return max(w.LateNew, w.Of(work.Rank))
	}
	return w.Of(work.Rank)
}

const (
	// maxRanks bounds the ranks that are told apart in estimates: accounts and routes
	// have two to four priorities each.
	maxRanks = 16
	// rateWindow is the time over which the pieces that came and that were made are
	// counted: some calls of each target.
	rateWindow = 1500 * time.Millisecond
	// leastShare is the least share of a pool's rate that a rank is presumed to get,
	// however many more urgent pieces come: bursts end within seconds.
	leastShare = 0.2
	// waitsLife is for how long estimates are told again without working them out.
	waitsLife = 40 * time.Millisecond
)

// traffic counts the pieces that lately came to a pool and that it made.
type traffic struct {
	came []counted
	made []counted
	// busySince is since when pieces have been waiting at the end of each call.
	busySince time.Time
	// ranks is one more than the last rank that was seen.
	ranks int

	waits   Waits
	waitsAt time.Time
	// hopelessAt is when late orders are looked through again.
	hopelessAt time.Time
}

// counted is the pieces of one order, or of one call.
type counted struct {
	at     time.Time
	rank   int
	pieces int
}

// recent returns what lies in the window, of entries in the order of their times. It
// leaves them as they are.
func recent(all []counted, now time.Time) []counted {
	first := slices.IndexFunc(all, func(c counted) bool { return now.Sub(c.at) < rateWindow })
	if first < 0 {
		return nil
	}
	return all[first:]
}

// noteOrder notes the pieces of an order that came.
func (t *traffic) noteOrder(rank, pieces int, now time.Time) {
	rank = min(max(rank, 0), maxRanks-1)
	t.ranks = max(t.ranks, rank+1)
	t.came = append(recent(t.came, now), counted{at: now, rank: rank, pieces: pieces})
}

// noteMade notes the pieces of a call that ended, and since when pieces wait.
func (t *traffic) noteMade(pieces, queued int, now time.Time) {
	t.made = append(recent(t.made, now), counted{at: now, pieces: pieces})
	if queued == 0 {
		t.busySince = now
	}
}

// rate returns how many pieces a second the pool makes: what it lately made
// while pieces waited, or, before that is known, what its good targets could.
// Room binds some pools far below that.
func (t *traffic) rate(spec *routes.Batch, good float64, now time.Time) float64 {
	could := good * float64(max(spec.Items, 1)) / expected(spec, spec.Items).Seconds()
	if now.Sub(t.busySince) < rateWindow {
		return could
	}
	made := 0
	for _, m := range recent(t.made, now) {
		made += m.pieces
	}
	return min(could, max(float64(made)/rateWindow.Seconds(), could/4))
}

// wait returns the estimates of a pool. Those that are late already go after all others,
// so that only late ones wait for them.
func (p *pool) wait(spec *routes.Batch, now time.Time) Waits {
	if now.Sub(p.waitsAt) < waitsLife && len(p.waits.OnTime) == p.ranks {
		return p.waits
	}
	ahead, coming := make([]int, p.ranks), make([]int, p.ranks)
	lateBegun, lateNew := 0, 0
	for _, pc := range p.queue {
		switch {
		case pc.order.ended:
		case pc.order.Due.After(now):
			ahead[min(max(pc.order.Priority, 0), p.ranks-1)]++
		case pc.begun():
			lateBegun++
		default:
			lateNew++
		}
	}
	for _, c := range recent(p.came, now) {
		coming[c.rank] += c.pieces
	}
	good, idle := p.targets(spec, now)
	rate := p.rate(spec, good, now)
	var residual time.Duration
	if idle == 0 {
		// The next of the busy targets is free after a part of its call.
		residual = times(expected(spec, spec.Items/2), 1/(good+1))
	}
	residual = max(residual, p.opensIn(now))
	out := Waits{OnTime: make([]time.Duration, p.ranks)}
	before, urgent := 0, 0.0
	// made returns how long the pool makes a number of pieces, while more urgent ones
	// that come meanwhile go first.
	made := func(pieces int) time.Duration {
		left := max(rate-urgent/rateWindow.Seconds(), leastShare*rate)
		return time.Duration(float64(pieces)/left*float64(time.Second)) + residual
	}
	for rank := range out.OnTime {
		before += ahead[rank]
		out.OnTime[rank] = made(before)
		urgent += float64(coming[rank])
	}
	out.LateBegun = made(before + lateBegun)
	out.LateNew = made(before + lateBegun + lateNew)
	p.waits, p.waitsAt = out, now
	return out
}

// opensIn is how long all targets of a pool rest; 0 where one may be called.
func (p *pool) opensIn(now time.Time) time.Duration {
	var least time.Duration
	for _, m := range p.makers {
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

// targets counts the targets that work well, and of these the idle ones. One that names a limit counts
// by the part of its time that calls fill.
func (p *pool) targets(spec *routes.Batch, now time.Time) (good float64, idle int) {
	for _, m := range p.makers {
		if now.Before(m.pausedUntil) || m.standing >= readiness.Resting || m.slow() >= slowFactor {
			continue
		}
		part := m.part(spec)
		good += part
		if m.calls < max(spec.Slots, 1) && part == 1 {
			idle++
		}
	}
	// Those that are not worked with are as soon as there is work for them.
	good += float64(p.working.spares())
	idle += p.working.spares()
	if good == 0 {
		// Some recover within the time that estimates look ahead.
		return 1, idle
	}
	return good, idle
}

// hopelessLook is how often the late orders of a pool are looked through.
const hopelessLook = 200 * time.Millisecond

// giveUpHopeless ends the late orders that will not be done by their deadline: all
// others go before them, and more come. Their callers are told at once, while they
// can still come back, instead of at the deadline.
func (p *pool) giveUpHopeless(spec *routes.Batch, now time.Time) {
	if now.Before(p.hopelessAt) {
		return
	}
	p.hopelessAt = now.Add(hopelessLook)
	good, _ := p.targets(spec, now)
	rate := p.rate(spec, good, now)
	coming, onTime := 0, 0
	for _, c := range recent(p.came, now) {
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
	slices.SortStableFunc(late, func(a, b *piece) int { return before(a, b, now, place{}) })
	left := max(rate-float64(coming)/rateWindow.Seconds(), leastShare*rate)
	for i, pc := range late {
		wait := time.Duration(float64(onTime+i) / left * float64(time.Second))
		if now.Add(wait).After(pc.order.Deadline) {
			pc.order.finish(ErrLate)
		}
	}
}
