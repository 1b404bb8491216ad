package stagebatch

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	_ "topazmoor/internal/standin/fixedseed"
)

// A former that had restarted believed that all room was free, and each call
// that found none cost its whole time.
func TestRoomTakenByOthersIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		p.host(0).room = 0
		f := NewFormer(p, list, poolSpec, quiet)
		for i := range 8 {
			res, err := f.Produce(t.Context(), at(fmt.Sprint("r", i), 1, 0, time.Second), nil)
			c.Assert(err, qt.IsNil)
			f.Free("pool", res.Handles)
		}
		c.Assert(p.host(0).calls <= 3, qt.IsTrue, qt.Commentf("%d calls", p.host(0).calls))
	})
}

// Four calls that found no room made an order fail.
func TestOrderWaitsForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		p.host(0).room = 0
		f := NewFormer(p, list, poolSpec, quiet)
		time.AfterFunc(5*time.Second, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.host(0).room = 1 << 20
		})
		_, err := f.Produce(t.Context(), at("waits", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
	})
}

// Where two formers share a pool a call may wait at its target for longer than the
// inputs were kept; they were gone, and all stages ran again.
func TestInputsOfASharedPoolAreKeptUntilTheCallEnds(t *testing.T) {
	for others, early := range map[int]bool{0: true, 1: false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, list := newFakePool(1)
			p.host(0).others = others
			f := NewFormer(p, list, poolSpec, quiet)
			start := time.Now()
			// read and ended are times since the start.
			var read atomic.Int64
			var ended time.Duration
			for i := range 2 {
				o := at(fmt.Sprint("r", i), 2, 0, time.Second)
				o.InputsRead = func() { read.Store(int64(time.Since(start))) }
				res, err := f.Produce(t.Context(), o, nil)
				c.Assert(err, qt.IsNil)
				f.Free("pool", res.Handles)
				ended = time.Since(start)
			}
			got := time.Duration(read.Load())
			c.Assert(got > 0 && got < ended, qt.Equals, early)
			time.Sleep(time.Second)
		})
	}
}

// A target without room answers at once. It was taken for a fast one, and called first.
func TestTargetWithoutRoomIsNotTakenForAFastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool, list := newFakePool(1)
		for _, h := range pool.hosts {
			h.room = 0
		}
		f := NewFormer(pool, list, poolSpec, quiet)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := f.Produce(ctx, rankedOrder("r", 0, 2), nil)
		c.Assert(err, qt.IsNotNil)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.pools["pool"].makers {
			c.Assert(m.slow() > 0.9, qt.IsTrue, qt.Commentf("%.3f", m.slow()))
		}
	})
}

// left returns how many results lie at a host.
func (p *fakePool) left(host int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.host(host).results)
}

// Results that were read were given up at once, though their reader could still fail: its
// piece was made again from results that were gone, and all stages of the request ran again.
func TestReadResultsAreGivenUpOnlyWhereRoomIsShort(t *testing.T) {
	for _, tc := range []struct {
		pieces int
		kept   bool
	}{{1, true}, {8, false}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, list := newFakePool(1)
			f := NewFormer(p, list, poolSpec, quiet)
			res, err := f.Produce(t.Context(), at("r", tc.pieces, 0, time.Second), nil)
			c.Assert(err, qt.IsNil)
			f.FreeIfTight("pool", res.Handles)
			time.Sleep(time.Second)
			left := p.left(0)
			c.Assert(left == tc.pieces, qt.Equals, tc.kept, qt.Commentf("%d results of %d left", left, tc.pieces))
			// The end of their reader gives them up in any case.
			f.Free("pool", res.Handles)
			time.Sleep(time.Second)
			c.Assert(p.left(0), qt.Equals, 0)
		})
	}
}

// A tenth of a target's room was kept free for the error of sizes also when the target had
// told what is free: after a restart, when results of the processes before it take nearly
// all room, that tenth is most of what there is.
func TestRoomThatATargetToldIsUsedWhole(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC)
	spec := poolSpec("")
	m := &maker{foreign: spec.RoomBytes - testResultBytes, foreignUntil: now.Add(time.Second)}
	c.Assert(m.room(spec, now), qt.Equals, int64(testResultBytes))
}

// A former that begins does not know what lies at its targets: calls that make nothing told
// it, while their orders waited.
func TestNewFormerAsksForRoomBeforeItsFirstCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		p.host(0).room = 0
		f := NewFormer(p, list, poolSpec, quiet)
		start := time.Now()
		res, err := f.Produce(t.Context(), at("r", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		f.Free("pool", res.Handles)
		c.Assert(p.host(0).calls, qt.Equals, 0)
		c.Assert(time.Since(start) < expected(poolSpec(""), 2)+20*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
	})
}
