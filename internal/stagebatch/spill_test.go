package stagebatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
	"topazmoor/internal/spill"
)

// spillCount counts the orders that leave each region. It implements SpillObserver.
type spillCount struct {
	mu            sync.Mutex
	left, refused map[string]int
}

func newSpillCount(fl *regionFleet) *spillCount {
	s := &spillCount{left: make(map[string]int), refused: make(map[string]int)}
	for _, r := range fl.routers {
		r.local.Spills = s
	}
	return s
}

func (s *spillCount) Spilled(_, from, _ string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left[from]++
}

// of returns the number of orders that left a region.
func (s *spillCount) of(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left[name]
}

func (s *spillCount) SpillRefused(_, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[name]++
}

// played is the outcome of one order.
type played struct {
	order  Order
	err    error
	onTime bool
	// madeIn is the region of its results.
	madeIn string
}

// play has a node run the orders of next, one each 25 ms.
func (fl *regionFleet) play(t *testing.T, node string, n int, next func(i int) Order) []played {
	var wg sync.WaitGroup
	out := make([]played, n)
	for i := range n {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 25 * time.Millisecond)
			o := next(i)
			res, err := fl.routers[node].Produce(t.Context(), o)
			out[i] = played{order: o, err: err, onTime: err == nil && !time.Now().After(o.Due)}
			if made := fl.madeIn(res); len(made) > 0 {
				out[i].madeIn = made[0]
			}
		})
	}
	wg.Wait()
	// Requests for waits that are still in progress end.
	time.Sleep(time.Second)
	return out
}

// shortOrder is the i-th order for a pool with too few targets: every fourth order is urgent, and the
// pool can complete just these; every fifth must not leave the region.
func shortOrder(i int) Order {
	o := orderDueIn(fmt.Sprint("r", i), 2, min(i%4, 1), 1200*time.Millisecond)
	o.ResultBytes, o.Deadline = 1, o.Due.Add(2*time.Second)
	if i%5 == 0 {
		o.Regions = region.Only("north")
	}
	return o
}

func TestShortRegionSpillsWhatIsLeastUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(2, 2, 0), perRegion(1, 3, 0))
		count := newSpillCount(fl)
		left, ordered := make(map[int]int), make(map[int]int)
		for _, p := range fl.play(t, "north-0", 120, shortOrder) {
			ordered[p.order.Priority]++
			if p.madeIn == "south" {
				left[p.order.Priority]++
				c.Assert(p.order.Regions.All(), qt.IsTrue)
			}
		}
		c.Assert(left[1] > ordered[1]/3, qt.IsTrue, qt.Commentf("%v of %v", left, ordered))
		c.Assert(left[0]*ordered[1]*3 < left[1]*ordered[0], qt.IsTrue, qt.Commentf("%v of %v", left, ordered))
		c.Assert(count.of("north"), qt.Equals, left[0]+left[1])
		c.Assert(count.of("south"), qt.Equals, 0)
		for id, n := range fl.pool.made {
			c.Assert(n, qt.Equals, 1, qt.Commentf("%s is produced twice", id))
		}
		for request, regions := range fl.orders {
			c.Assert(len(regions) <= 2, qt.IsTrue, qt.Commentf("%s was sent to %v", request, regions))
		}
	})
}

func TestSpillingServesMoreOrdersOnTime(t *testing.T) {
	served := func(exchange bool) (n int) {
		synctest.Test(t, func(t *testing.T) {
			fl := newRegionFleet(perRegion(2, 2, 0), perRegion(1, 3, 0))
			for _, r := range fl.routers {
				if !exchange {
					r.Exchange = nil
				}
			}
			for _, p := range fl.play(t, "north-0", 120, shortOrder) {
				if p.onTime {
					n++
				}
			}
		})
		return n
	}
	with, without := served(true), served(false)
	qt.Assert(t, with > without+20, qt.IsTrue, qt.Commentf("with %d, without %d", with, without))
}

// The orders of a region are not served later because of orders that come from another region.
func TestRegionKeepsItsOwnOrdersOnTime(t *testing.T) {
	onTime := func(others int) (n int) {
		synctest.Test(t, func(t *testing.T) {
			fl := newRegionFleet(perRegion(1, 1, 0), perRegion(1, 1, 0))
			var wg sync.WaitGroup
			wg.Go(func() { fl.play(t, "north-0", others, shortOrder) })
			own := fl.play(t, "south-0", 40, func(i int) Order {
				o := orderDueIn(fmt.Sprint("own", i), 1, 1, 1200*time.Millisecond)
				o.ResultBytes, o.SpillTo = 1, nil
				return o
			})
			wg.Wait()
			for _, p := range own {
				if p.onTime {
					n++
				}
			}
		})
		return n
	}
	alone := onTime(0)
	qt.Assert(t, alone, qt.Equals, 40)
	qt.Assert(t, onTime(80), qt.Equals, alone)
}

func TestSpilledPiecesAreQueuedBehindOwn(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	pieceOf := func(due time.Duration, rank int, spilled bool) *piece {
		return &piece{order: &order{Order: Order{Due: now.Add(due), Priority: rank, Spilled: spilled}}}
	}
	spilled, own, lateOwn := pieceOf(time.Second, 0, true), pieceOf(5*time.Second, 9, false), pieceOf(-time.Second, 0, false)
	c.Assert(before(own, spilled, now, placement{}), qt.Equals, -1)
	c.Assert(before(spilled, own, now, placement{}), qt.Equals, 1)
	c.Assert(before(spilled, lateOwn, now, placement{}), qt.Equals, -1)
}

// Guards against orders that are refused in another region although their home region could still complete
// them.
func TestSpilledOrderThatCannotBeDoneIsSentBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(1, 1, 0), perRegion(1, 1, 0))
		count := newSpillCount(fl)
		south := fl.routers["south-0"].local
		var wg sync.WaitGroup
		defer wg.Wait()
		for i := range 40 {
			wg.Go(func() {
				o := orderDueIn(fmt.Sprint("own", i), 2, 0, 20*time.Second)
				o.ResultBytes, o.Regions = 1, region.Only("south")
				_, err := south.Produce(t.Context(), o, nil)
				c.Check(err, qt.IsNil)
			})
		}
		time.Sleep(2 * waitsTTL)
		o := orderDueIn("r", 1, 0, 400*time.Millisecond)
		o.Deadline = o.Due.Add(400 * time.Millisecond)
		o.Regions, o.Spilled, o.SpillTo = region.Only("south"), true, []string{"north"}
		_, err := south.Produce(t.Context(), o, nil)
		c.Assert(err, qt.DeepEquals, &SpillError{Region: "north"})
		o.Regions, o.Spilled, o.SpillTo = region.Only("north"), false, []string{"south"}
		res, err := fl.routers["north-0"].followSpill(t.Context(), o, Result{}, &SpillError{Region: "south"})
		c.Assert(err, qt.IsNil)
		c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"north"})
		c.Assert(count.refused, qt.HasLen, 0)
	})
}

// deafExchange returns the waits of a region whose nodes no longer answer orders.
type deafExchange struct{}

func (deafExchange) Waits(context.Context, string, string, region.Set) (Waits, error) {
	return Waits{}, nil
}

func TestOrderWhoseOtherRegionDiesRunsAtHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(2, 2, 0), perRegion(1, 1, 0))
		for _, r := range fl.routers {
			r.Exchange = deafExchange{}
		}
		count := newSpillCount(fl)
		fl.set(fl.dead, "south-0")
		fl.set(fl.dead, "south-1")
		ended := 0
		for _, p := range fl.play(t, "north-0", 60, shortOrder) {
			c.Check(p.err == nil || errors.Is(p.err, ErrLate), qt.IsTrue, qt.Commentf("%v", p.err))
			c.Check(p.madeIn, qt.Not(qt.Equals), "south")
			if p.err == nil {
				ended++
			}
		}
		c.Assert(count.of("north") > 0, qt.IsTrue)
		c.Assert(ended > 0, qt.IsTrue)
		for id, n := range fl.pool.made {
			c.Assert(n, qt.Equals, 1, qt.Commentf("%s is produced twice", id))
		}
	})
}

// Guards against orders that are sent to a region from which nothing was received for long.
func TestRegionWithoutConnectionGetsNoSpilledOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(2, 2, 0), perRegion(1, 3, 0))
		count := newSpillCount(fl)
		const cutAt = time.Second
		atCut := make(chan int, 1)
		time.AfterFunc(cutAt, func() { fl.set(fl.cut, "south") })
		time.AfterFunc(cutAt+spill.MaxAge+acceptTimeout, func() { atCut <- count.of("north") })
		fl.play(t, "north-0", 200, shortOrder)
		left := <-atCut
		c.Assert(left > 0, qt.IsTrue)
		c.Assert(count.of("north"), qt.Equals, left)
	})
}

// Guards against orders that fail because the region to which they were sent has lost its targets.
func TestOrderWhoseOtherRegionHasLostItsTargetsRunsAtHome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(1, 1, 0), perRegion(1, 0, 0))
		o := orderPreferring("r", "", 1, 5*time.Second)
		o.Regions, o.SpillTo = region.Only("north"), []string{"south"}
		res, err := fl.routers["north-0"].followSpill(t.Context(), o, Result{}, &SpillError{Region: "south"})
		c.Assert(err, qt.IsNil)
		c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"north"})
	})
}

// Guards against orders that leave their region, or are refused, because the pool produced nothing while
// it had no orders.
func TestIdlePoolIsNotTakenForASlowOne(t *testing.T) {
	waitAfter := func(idle time.Duration) (w Waits) {
		synctest.Test(t, func(t *testing.T) {
			fl := newRegionFleet(perRegion(1, 1, 0), perRegion(1, 1, 0))
			burst := func(i int) Order {
				o := orderDueIn(fmt.Sprint("r", i), 2, 0, 20*time.Second)
				o.Regions, o.ResultBytes = region.Only("north"), 1
				return o
			}
			fl.play(t, "north-0", 1, burst)
			time.Sleep(idle)
			fl.play(t, "north-0", 20, func(i int) Order {
				if i == 19 {
					w = fl.routers["north-0"].local.Waits("pool", region.Only("north"))
				}
				return burst(i + 1)
			})
		})
		return w
	}
	qt.Assert(t, waitAfter(10*time.Second), qt.DeepEquals, waitAfter(0))
}

func TestLateSpilledOrderWaitsForAllOthers(t *testing.T) {
	c := qt.New(t)
	w := Waits{Spilled: time.Second, LateBegun: 2 * time.Second, LateNew: 3 * time.Second}
	c.Assert(w.late(Order{Inputs: []string{"a"}}), qt.Equals, 2*time.Second)
	c.Assert(w.late(Order{Inputs: []string{"a"}, Spilled: true}), qt.Equals, 3*time.Second)
}
