package flow

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "topazmoor/internal/standin/fixedseed"
)

// TestRepeatsOfAllNodesStayInBounds has nodes, some of which restart, send as many
// repeats of requests as their budgets allow. All nodes together may send, in each
// window, at most the fixed number of repeats plus ratio times the requests of that
// window or of the one before it, whichever has more. The number of nodes that the
// nodes assume may be wrong by a quarter.
//
// It was seen to fail with burstShare at 1.5.
func TestRepeatsOfAllNodesStayInBounds(t *testing.T) {
	const (
		ratio  = 0.2
		fixed  = 52.0
		window = 10 * time.Second
		tick   = 100 * time.Millisecond
	)
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 74).Draw(rt, "nodes")
		rate := rapid.IntRange(0, 60).Draw(rt, "requests a second")
		restarts := rapid.SliceOfN(rapid.IntRange(0, nodes-1), 0, 12).Draw(rt, "restarts")
		miscount := rapid.IntRange(-nodes/4, nodes/4).Draw(rt, "miscount")
		synctest.Test(t, func(t *testing.T) {
			budgets := make([]*RepeatBudgets, nodes)
			newBudgets := func() *RepeatBudgets {
				return NewRepeatBudgets(ratio, fixed, window, func() int { return max(nodes+miscount, 1) }, nil)
			}
			for i := range budgets {
				budgets[i] = newBudgets()
			}
			const ticks = 600
			var repeats, requests [ticks]int
			for now := range ticks {
				time.Sleep(tick)
				if now%50 == 0 && now/50 < len(restarts) {
					budgets[restarts[now/50]] = newBudgets()
				}
				for i := range rate {
					if (now*rate+i)%10 == 0 {
						budgets[(now+i)%nodes].Request("s")
						requests[now]++
					}
				}
				for _, b := range budgets {
					for b.Take(t.Context(), "s") {
						repeats[now]++
					}
				}
			}
			span := int(window / tick)
			for end := span; end <= ticks; end++ {
				sent, requested, before := 0, 0, 0
				for i := end - span; i < end; i++ {
					sent += repeats[i]
					requested += requests[i]
				}
				for i := max(end-2*span, 0); i < end-span; i++ {
					before += requests[i]
				}
				if allowed := ratio*float64(max(requested, before)) + fixed; float64(sent) > allowed {
					t.Fatalf("%d repeats in the window to %d, allowed %.1f", sent, end, allowed)
				}
			}
		})
	})
}

// sharedPermits grants permits at a rate that all nodes share.
type sharedPermits struct {
	tokens float64
	at     time.Time
}

func (p *sharedPermits) take(_ context.Context, _ string, perSecond float64) bool {
	now := time.Now()
	p.tokens = min(p.tokens+perSecond*now.Sub(p.at).Seconds(), perSecond)
	p.at = now
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// In a fleet of any size occasional failures are repeated, and the repeats stay within the bound
// when many requests fail, also where a node's part of the fixed number is less than one repeat.
func TestRepeatsInAFleetOfAnySize(t *testing.T) {
	const (
		ratio   = 0.2
		fixed   = 1040.0
		window  = 10 * time.Second
		seconds = 30
	)
	for _, nodes := range []int{10, 100, 400, 985, 2000, 4000} {
		run := func(failures int) (requested, got int) {
			synctest.Test(t, func(t *testing.T) {
				shared := &sharedPermits{at: time.Now()}
				budgets := make([]*RepeatBudgets, nodes)
				for i := range budgets {
					budgets[i] = NewRepeatBudgets(ratio, fixed, window, func() int { return nodes }, shared.take)
				}
				time.Sleep(window)
				for second := range seconds {
					for i := range failures {
						b := budgets[(second*977+i*331)%nodes]
						b.Request("s")
						requested++
						if b.Take(t.Context(), "s") {
							got++
						}
					}
					time.Sleep(time.Second)
				}
			})
			return requested, got
		}
		if requested, got := run(7); got < requested*9/10 {
			t.Errorf("%d nodes: %d of %d failures are repeated", nodes, got, requested)
		}
		if requested, got := run(1000); float64(got) > fixed*seconds/window.Seconds()+ratio*float64(requested) {
			t.Errorf("%d nodes: %d of %d failures are repeated", nodes, got, requested)
		}
	}
}
