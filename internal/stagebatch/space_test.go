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

// Guards against a restarted former that assumes that all space is free. Each call that finds no
// space produces nothing while its pieces wait.
func TestRoomTakenByOthersIsAskedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		p.host(0).space = 0
		f := NewFormer(p, list, poolSpec, discardLog)
		for i := range 8 {
			res, err := f.Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 1, 0, time.Second), nil)
			c.Assert(err, qt.IsNil)
			f.Free("pool", res.Handles)
		}
		c.Assert(p.host(0).calls <= 3, qt.IsTrue, qt.Commentf("%d calls", p.host(0).calls))
	})
}

// Guards against an order that fails after four calls (maxTries) that found no space: such calls
// do not count.
func TestOrderWaitsForSpace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		p.host(0).space = 0
		f := NewFormer(p, list, poolSpec, discardLog)
		time.AfterFunc(5*time.Second, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.host(0).space = 1 << 20
		})
		_, err := f.Produce(t.Context(), orderDueIn("waits", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
	})
}

// Where two formers share a pool, a call may wait at its target for longer than inputTime, after
// which its inputs count as read. If they are released meanwhile, all stages run again.
func TestInputsOfASharedPoolAreKeptUntilTheCallEnds(t *testing.T) {
	for others, early := range map[int]bool{0: true, 1: false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, list := newFakePool(1)
			p.host(0).others = others
			f := NewFormer(p, list, poolSpec, discardLog)
			start := time.Now()
			// read and ended are times since start.
			var read atomic.Int64
			var ended time.Duration
			for i := range 2 {
				o := orderDueIn(fmt.Sprint("r", i), 2, 0, time.Second)
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

// Guards against a target without space that counts as fast because it replies at once, and is
// then called first.
func TestTargetWithoutRoomIsNotTakenForAFastOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		pool, list := newFakePool(1)
		for _, h := range pool.hosts {
			h.space = 0
		}
		f := NewFormer(pool, list, poolSpec, discardLog)
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := f.Produce(ctx, rankedOrder("r", 0, 2), nil)
		c.Assert(err, qt.IsNotNil)
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range f.pools[poolKey{service: "pool"}].states {
			c.Assert(m.slow() > 0.9, qt.IsTrue, qt.Commentf("%.3f", m.slow()))
		}
	})
}

// stored returns the number of results at a host.
func (p *fakePool) stored(host int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.host(host).results)
}

// Guards against releasing results as soon as they are read. If the stage that read them fails,
// its piece must be produced again from them; without them all stages of the request run again.
func TestReadResultsAreGivenUpOnlyWhereRoomIsShort(t *testing.T) {
	for _, tc := range []struct {
		pieces int
		kept   bool
	}{{1, true}, {8, false}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, list := newFakePool(1)
			f := NewFormer(p, list, poolSpec, discardLog)
			res, err := f.Produce(t.Context(), orderDueIn("r", tc.pieces, 0, time.Second), nil)
			c.Assert(err, qt.IsNil)
			f.FreeIfNearlyFull("pool", res.Handles)
			time.Sleep(time.Second)
			stored := p.stored(0)
			c.Assert(stored == tc.pieces, qt.Equals, tc.kept, qt.Commentf("%d results of %d left", stored, tc.pieces))
			// They are released in any case when the stage that read them ends.
			f.Free("pool", res.Handles)
			time.Sleep(time.Second)
			c.Assert(p.stored(0), qt.Equals, 0)
		})
	}
}

// If the target itself has reported its free space, no share is reserved for errors of the
// sizes. After a restart, results for earlier processes may take nearly all space; a reserve of a
// tenth of the whole would be most of the rest.
func TestReportedFreeSpaceIsUsedCompletely(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC)
	spec := poolSpec("")
	m := &targetState{foreignBytes: spec.ResultSpace - testResultBytes, foreignUntil: now.Add(time.Second)}
	c.Assert(m.freeBytes(spec, now), qt.Equals, int64(testResultBytes))
}

// A new former queries the free space of its targets before it calls them. Otherwise calls that
// produce nothing find out, while their orders wait.
func TestNewFormerAsksForRoomBeforeItsFirstCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		p.host(0).space = 0
		f := NewFormer(p, list, poolSpec, discardLog)
		start := time.Now()
		res, err := f.Produce(t.Context(), orderDueIn("r", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		f.Free("pool", res.Handles)
		c.Assert(p.host(0).calls, qt.Equals, 0)
		c.Assert(time.Since(start) < expected(poolSpec(""), 2)+20*time.Millisecond, qt.IsTrue)
		time.Sleep(time.Second)
	})
}
