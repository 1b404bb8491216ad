package stagebatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/targets"
)

// orderDueIn returns an order that is due after the given time.
func orderDueIn(request string, pieces, priority int, due time.Duration) Order {
	now := time.Now()
	return Order{
		Service: "pool", Request: request, Pieces: pieces, Priority: priority, Key: "k",
		Due: now.Add(due), Deadline: now.Add(20 * time.Second), ResultBytes: testResultBytes,
	}
}

func TestPiecesOfManyRequestsMeetInOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, discardLog)
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				o := orderDueIn(fmt.Sprint("r", i), 2, 0, time.Second)
				o.ResultBytes = 1
				_, err := f.Produce(t.Context(), o, nil)
				c.Check(err, qt.IsNil)
			})
			synctest.Wait()
		}
		wg.Wait()
		// The first order finds an idle target. The others share the next call.
		c.Assert(p.host(0).calls, qt.Equals, 2)
		c.Assert(p.host(0).largest, qt.Equals, 8)
	})
}

func TestUrgentOrdersGoFirstAndHopelessOnesLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, discardLog)
		var mu sync.Mutex
		var ended []string
		var wg sync.WaitGroup
		start := func(o Order) {
			wg.Go(func() {
				res, err := f.Produce(t.Context(), o, nil)
				c.Check(err, qt.IsNil)
				f.Free("pool", res.Handles)
				mu.Lock()
				ended = append(ended, o.Request)
				mu.Unlock()
			})
			synctest.Wait()
		}
		start(orderDueIn("running", 8, 2, 10*time.Second))
		start(orderDueIn("late", 8, 0, 0))
		start(orderDueIn("low", 8, 2, 10*time.Second))
		start(orderDueIn("high", 8, 0, 10*time.Second))
		wg.Wait()
		c.Assert(ended, qt.DeepEquals, []string{"running", "high", "low", "late"})
	})
}

// Guards against further calls to a target that is five times too slow. This happens if its
// slowness reacts slowly, for example as an average over eight calls.
func TestSlowTargetIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		p.host(0).factor = 5
		f := NewFormer(p, list, poolSpec, discardLog)
		for i := range 20 {
			start := time.Now()
			res, err := f.Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 1, 0, time.Second), nil)
			c.Assert(err, qt.IsNil)
			f.Free("pool", res.Handles)
			c.Assert(time.Since(start) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("order %d took %v", i, time.Since(start)))
		}
		c.Assert(p.host(0).calls <= 4, qt.IsTrue, qt.Commentf("%d calls", p.host(0).calls))
	})
}

func TestWithdrawnOrderLeavesNothingBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, discardLog)
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		_, err := f.Produce(ctx, orderDueIn("left", 3, 0, time.Second), nil)
		c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
		time.Sleep(time.Second)
		free, err := p.Space(t.Context(), "10.0.0.1:1")
		c.Assert(err, qt.IsNil)
		c.Assert(free, qt.Equals, int64(1<<20))
		_, err = f.Produce(t.Context(), orderDueIn("next", 1, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(p.host(0).items, qt.Equals, 4)
	})
}

func TestUnresponsiveTargetDelaysOrdersLittle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		p.host(0).unresponsive = true
		f := NewFormer(p, list, poolSpec, discardLog)
		for i := range 5 {
			start := time.Now()
			res, err := f.Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 2, 0, time.Second), nil)
			c.Assert(err, qt.IsNil)
			f.Free("pool", res.Handles)
			c.Assert(time.Since(start) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("order %d took %v", i, time.Since(start)))
		}
		// The calls to the unresponsive target end by their timeout.
		time.Sleep(time.Minute)
	})
}

// poolInTwoDataCentres returns a pool with two targets in different data centres.
func poolInTwoDataCentres() (*fakePool, *Former) {
	p, list := newFakePool(2)
	list.Replace([]targets.Target{
		{ID: "t0", Service: "pool", Addr: "10.0.0.1:1", DataCentre: "dc1", Slots: 1},
		{ID: "t1", Service: "pool", Addr: "10.0.0.2:1", DataCentre: "dc2", Slots: 1},
	}, time.Time{})
	return p, NewFormer(p, list, poolSpec, discardLog)
}

func orderPreferring(request, dataCentre string, pieces int, due time.Duration) Order {
	o := orderDueIn(request, pieces, 0, due)
	o.DataCentre, o.ResultBytes = dataCentre, 1
	return o
}

func TestOrdersAreMadeWhereTheyWishWhileTheyHaveTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, f := poolInTwoDataCentres()
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				// The preferred data centre changes with every second order. The second order of
				// a pair finds the other target free.
				time.Sleep(time.Duration(i*110) * time.Millisecond)
				place := i/2%2 + 1
				res, err := f.Produce(t.Context(), orderPreferring(fmt.Sprint("r", i), fmt.Sprint("dc", place), 1, 3*time.Second), nil)
				c.Check(err, qt.IsNil)
				c.Check(p.HolderAddr(res.Handles[0]), qt.Equals, fmt.Sprintf("10.0.0.%d:1", place))
			})
		}
		wg.Wait()
	})
}

func TestOrderWithoutTimeIsMadeAnywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, f := poolInTwoDataCentres()
		go func() { _, _ = f.Produce(t.Context(), orderPreferring("before", "dc1", 8, 3*time.Second), nil) }()
		synctest.Wait()
		start := time.Now()
		res, err := f.Produce(t.Context(), orderPreferring("urgent", "dc1", 1, 300*time.Millisecond), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(p.HolderAddr(res.Handles[0]), qt.Equals, "10.0.0.2:1")
		c.Assert(time.Since(start) < 300*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
	})
}

func TestNobodyWaitsForAPlaceWhileManyPiecesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, f := poolInTwoDataCentres()
		var wg sync.WaitGroup
		for i := range 12 {
			wg.Go(func() {
				res, err := f.Produce(t.Context(), orderPreferring(fmt.Sprint("r", i), "dc1", 8, 60*time.Second), nil)
				c.Check(err, qt.IsNil)
				f.Free("pool", res.Handles)
			})
		}
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		calls := p.host(1).calls
		p.mu.Unlock()
		c.Check(calls, qt.Equals, 1)
		wg.Wait()
	})
}

// Guards against a lost reply that occupies its target's only slot until the deadline of the
// order, up to 20 s.
func TestLostAnswerDoesNotHoldItsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		p.host(0).unresponsive = true
		f := NewFormer(p, list, poolSpec, discardLog)
		time.AfterFunc(100*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.host(0).unresponsive = false
		})
		start := time.Now()
		_, err := f.Produce(t.Context(), orderDueIn("first", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start) < 4*time.Second, qt.IsTrue, qt.Commentf("took %v", time.Since(start)))
	})
}

// TestOracleOrdersGetTheirOwnResults runs random orders against targets with random faults. An
// order without an error has one result for each of its own pieces, in order. No call is larger
// than a batch or exceeds the slots of a target. No result remains at a target after all were
// released.
//
// It detects each of these faults within its 100 scripts: a result assigned to the next piece of
// the batch (applyResults), no check of the slots of a target (targetState.free), results of
// ended orders not released (applyResults).
func TestOracleOrdersGetTheirOwnResults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct {
			after    time.Duration
			pieces   int
			priority int
			patience time.Duration
		}
		hosts := rapid.IntRange(1, 4).Draw(rt, "hosts")
		var steps []step
		for range rapid.IntRange(1, 30).Draw(rt, "orders") {
			steps = append(steps, step{
				after:    time.Duration(rapid.IntRange(0, 150).Draw(rt, "after")) * time.Millisecond,
				pieces:   rapid.IntRange(1, 10).Draw(rt, "pieces"),
				priority: rapid.IntRange(0, 2).Draw(rt, "priority"),
				patience: time.Duration(rapid.IntRange(50, 8000).Draw(rt, "patience")) * time.Millisecond,
			})
		}
		factors := rapid.SliceOfN(rapid.SampledFrom([]float64{1, 1, 1, 5}), hosts, hosts).Draw(rt, "factors")
		fails := rapid.SliceOfN(rapid.IntRange(0, 3), hosts, hosts).Draw(rt, "fails")
		synctest.Test(t, func(t *testing.T) {
			p, list := newFakePool(hosts)
			for i := range hosts {
				p.host(i).factor = factors[i]
				for n := range fails[i] {
					p.host(i).fail = append(p.host(i).fail, &CallError{NotRun: n%2 == 0, Cause: errors.New("made to fail")})
				}
			}
			f := NewFormer(p, list, poolSpec, discardLog)
			var wg sync.WaitGroup
			for i, s := range steps {
				time.Sleep(s.after)
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), s.patience)
					defer cancel()
					request := fmt.Sprint("r", i)
					res, err := f.Produce(ctx, orderDueIn(request, s.pieces, s.priority, s.patience/2), nil)
					if err != nil {
						return
					}
					if len(res.Handles) != s.pieces {
						t.Errorf("order %s: %d results for %d pieces", request, len(res.Handles), s.pieces)
					}
					for n, h := range res.Handles {
						if !strings.Contains(h, fmt.Sprintf("/%s/0/%d#", request, n)) {
							t.Errorf("order %s piece %d got %q", request, n, h)
						}
					}
					f.Free("pool", res.Handles)
				})
			}
			wg.Wait()
			time.Sleep(time.Minute)
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, b := range p.violations {
				t.Error(b)
			}
			for addr, h := range p.hosts {
				if len(h.results) > 0 {
					t.Errorf("%d results lie at %s", len(h.results), addr)
				}
			}
		})
	})
}

// Guards against leaving a slow target nearly idle while pieces wait: it then gets one call every
// 2.5 s (slowProbe). It takes orders that it completes in time, and orders that would be late at
// any target.
func TestSlowTargetTakesWhatItMakesInTime(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC)
	spec := poolSpec("")
	takes := expected(spec, 1)
	for _, tc := range []struct {
		due, deadline time.Duration
		taken         bool
	}{
		// In time only at a healthy target.
		{2 * takes, 20 * time.Second, false},
		// In time at the slow target too.
		{4 * takes, 20 * time.Second, true},
		// Late at any target. The first is done by its deadline, the second is not.
		{takes / 2, 20 * time.Second, true},
		{takes / 2, 2 * takes, false},
	} {
		o := &order{Order: Order{Pieces: 1, Due: now.Add(tc.due), Deadline: now.Add(tc.deadline)}, queuedAt: now}
		pl := placement{slower: 3}
		batch, rest := take([]*piece{{order: o, queued: true}}, spec, spec.ResultSpace, now, pl)
		c.Assert(len(batch) == 1, qt.Equals, tc.taken, qt.Commentf("due in %v", tc.due))
		c.Assert(len(batch)+len(rest), qt.Equals, 1)
	}
}

// TestBatchOfASlowTargetEndsBeforeItsOrdersAreDue guards against a slow target that takes order after
// order, each of which it would complete in time alone, and misses all of them with the whole batch.
func TestBatchOfASlowTargetEndsBeforeItsOrdersAreDue(t *testing.T) {
	spec := poolSpec("")
	spec.Items, spec.CallTime, spec.ItemTime = 62, 200*time.Millisecond, 3*time.Millisecond
	now := time.Now()
	const pieces, slower = 6, 4
	var queue []*piece
	for i := range 9 {
		o := &order{Order: Order{Pieces: pieces, Due: now.Add(time.Second), Deadline: now.Add(4 * time.Second)}, seq: uint64(i), queuedAt: now}
		for index := range pieces {
			queue = append(queue, &piece{order: o, index: index, queued: true})
		}
	}
	batch, rest := take(slices.Clone(queue), spec, spec.ResultSpace, now, placement{slower: slower})
	qt.Check(t, len(batch) > 0, qt.IsTrue)
	qt.Check(t, times(expected(spec, len(batch)), slower) <= time.Second, qt.IsTrue, qt.Commentf("%d pieces", len(batch)))
	qt.Check(t, len(batch)+len(rest), qt.Equals, len(queue))
	batch, _ = take(queue, spec, spec.ResultSpace, now, placement{slower: 1})
	qt.Check(t, batch, qt.HasLen, len(queue))
}

// A pool all of whose targets are slow goes on to serve orders that have the time.
// A node that stood still while all targets worked takes all of them for slow. Calls must show that they are not,
// though no order would end in its time at a target that slow.
func TestPoolThatSeemedSlowOnceServesAgain(t *testing.T) {
	for _, targets := range []int{1, 2, 5} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, list := newFakePool(targets)
				for i := range targets {
					p.host(i).factor = 40
				}
				f := NewFormer(p, list, poolSpec, discardLog)
				var all sync.WaitGroup
				for i := range 2 * targets {
					all.Go(func() {
						res, err := f.Produce(t.Context(), orderDueIn(fmt.Sprint("stalled", i), 1, 0, 20*time.Second), nil)
						if err == nil {
							f.Free("pool", res.Handles)
						}
					})
				}
				all.Wait()
				p.mu.Lock()
				for _, h := range p.hosts {
					h.factor = 1
				}
				p.mu.Unlock()
				served := 0
				for i := range 60 {
					o := orderDueIn(fmt.Sprint("r", i), 1, 0, time.Second)
					o.Deadline = time.Now().Add(2 * time.Second)
					ctx, cancel := context.WithDeadline(t.Context(), o.Deadline)
					res, err := f.Produce(ctx, o, nil)
					cancel()
					if err != nil {
						continue
					}
					f.Free("pool", res.Handles)
					if i >= 30 {
						served++
					}
				}
				qt.Check(t, served >= 28, qt.IsTrue, qt.Commentf("%d of 30 served", served))
				// For calls whose pieces were made elsewhere.
				time.Sleep(time.Minute)
			})
		})
	}
}

// The watchdog of a call fires on time unless the process itself stands still.
func TestCallDuringAStandstillIsNoMeasureOfItsTarget(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		overdueFor time.Duration
		seen       bool
		ratio      float64
	}{
		"in time":                       {-time.Second, false, 40},
		"the watchdog fires just now":   {10 * time.Millisecond, false, 40},
		"overdue, as the watchdog saw":  {3 * time.Second, true, 40},
		"overdue, and nobody was awake": {3 * time.Second, false, 1},
	} {
		t.Run(name, func(t *testing.T) {
			c := &call{healthy: 100 * time.Millisecond, overdueAt: now.Add(-tc.overdueFor), isOverdue: tc.seen}
			c.checkStalled(now)
			qt.Check(t, c.ratio(4*time.Second), qt.Equals, tc.ratio)
		})
	}
}

func TestPoolThatIsSlowAltogetherServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, list := newFakePool(4)
		for i := range 4 {
			p.host(i).factor = 15
		}
		f := NewFormer(p, list, poolSpec, discardLog)
		served := 0
		for i := range 20 {
			res, err := f.Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 1, 0, 20*time.Second), nil)
			if err == nil {
				served++
				f.Free("pool", res.Handles)
			}
		}
		qt.Check(t, served >= 15, qt.IsTrue, qt.Commentf("%d of 20 served", served))
		// For calls whose pieces were made elsewhere.
		time.Sleep(time.Minute)
	})
}
