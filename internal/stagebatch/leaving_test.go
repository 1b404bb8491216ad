package stagebatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/readiness"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/store"
	"topazmoor/internal/targets"
)

// A drained data centre receives no calls, not even those that release results.
func TestResultsInADrainedDataCentreLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, discardLog)
		res, err := f.Produce(t.Context(), orderDueIn("r", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		list.Drain(map[string]bool{"dc": true})
		f.Free("pool", res.Handles)
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		c.Assert(p.host(0).results, qt.HasLen, 2)
	})
}

// A target that restarts under the same ID has all its space free and does not count as slow.
func TestTargetThatStartsAgainIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, discardLog)
		p.host(0).factor = 3
		for i := range 3 {
			_, err := f.Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 2, 0, 5*time.Second), nil)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(f.pools[poolKey{service: "pool"}].states["t0"].slow() > 1.5, qt.IsTrue)
		c.Assert(f.pools[poolKey{service: "pool"}].states["t0"].results, qt.HasLen, 6)
		again := list.Usable("pool")[0]
		again.Born = 2000
		list.Replace([]targets.Target{again}, time.Time{})
		f.mu.Lock()
		f.refresh(f.pools[poolKey{service: "pool"}])
		f.mu.Unlock()
		c.Assert(f.pools[poolKey{service: "pool"}].states["t0"].slow(), qt.Equals, 1.0)
		c.Assert(f.pools[poolKey{service: "pool"}].states["t0"].results, qt.HasLen, 0)
	})
}

// A call is not sent if its target asks for rest or reports that it leaves while the
// connection is still being opened. The pieces are produced at another target, and the call does
// not count as one of their attempts.
func TestCallIsWithheldWhenItsTargetBecomesUnavailable(t *testing.T) {
	for _, n := range []readiness.Notice{{Leaving: true}, {Rest: 2 * time.Second}} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			p, list := newFakePool(2)
			for i := range 2 {
				p.host(i).connects = 100 * time.Millisecond
			}
			f := NewFormer(p, list, poolSpec, discardLog)
			go func() {
				time.Sleep(50 * time.Millisecond)
				p.mu.Lock()
				defer p.mu.Unlock()
				for _, target := range list.Usable("pool") {
					if p.hosts[target.Addr].calls == 1 {
						list.UpdateReadiness(target.Process(), targets.Answer{Notice: n, Rejected: true, Began: time.Now()})
					}
				}
			}()
			res, err := f.Produce(t.Context(), orderDueIn("r", 2, 0, 5*time.Second), nil)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Handles, qt.HasLen, 2)
			c.Assert(p.host(0).calls+p.host(1).calls, qt.Equals, 2)
			c.Assert(p.host(0).reached+p.host(1).reached, qt.Equals, 1)
			time.Sleep(5 * time.Second)
		})
	}
}

// While all targets of a pool rest, no call reaches them, and the estimated waits include the
// time until they may be called.
func TestWaitsIncludeTheRestOfAPool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(2)
		f := NewFormer(p, list, poolSpec, discardLog)
		for _, target := range list.Usable("pool") {
			list.UpdateReadiness(target.Process(), targets.Answer{Notice: readiness.Notice{Rest: 3 * time.Second}, Rejected: true, Began: time.Now()})
		}
		var reported Waits
		started := time.Now()
		time.AfterFunc(2900*time.Millisecond, func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			c.Check(p.host(0).calls+p.host(1).calls, qt.Equals, 0)
		})
		_, err := f.Produce(t.Context(), orderDueIn("r", 2, 0, 5*time.Second), func(w Waits) { reported = w })
		c.Assert(err, qt.IsNil)
		// The wait is at least the rest, and not much more.
		c.Assert(reported.ForRank(0) >= 3*time.Second && reported.ForRank(0) < 3200*time.Millisecond, qt.IsTrue, qt.Commentf("%v", reported.ForRank(0)))
		c.Assert(time.Since(started) >= 3*time.Second, qt.IsTrue)
		time.Sleep(5 * time.Second)
	})
}

// Results at a resting target are released after the rest.
func TestResultsAreGivenUpAfterTheRestOfTheirMaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, discardLog)
		res, err := f.Produce(t.Context(), orderDueIn("r", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		stored := func() int {
			p.mu.Lock()
			defer p.mu.Unlock()
			return len(p.host(0).results)
		}
		list.UpdateReadiness(list.Usable("pool")[0].Process(), targets.Answer{Notice: readiness.Notice{Rest: time.Second}, Rejected: true})
		f.Free("pool", res.Handles)
		time.Sleep(900 * time.Millisecond)
		c.Assert(stored(), qt.Equals, 2)
		time.Sleep(200 * time.Millisecond)
		c.Assert(stored(), qt.Equals, 0)
	})
}

// A stage target that is warming up is called no more often than its warm-up rate allows.
func TestColdStageTargetIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		list.WarmupRate = func(string) float64 { return 0.5 }
		limiter := sharedrate.New(sharedrate.Config{Self: sharedrate.Node{Name: "node-0"}, Log: discardLog})
		limiter.SetNodes(nil)
		list.Permits = limiter
		// A node that has just started grants fewer permits.
		time.Sleep(4 * time.Second)
		cold := list.Usable("pool")[0]
		cold.Warmup, cold.Revision = 10*time.Second, store.Version{Number: 2}
		list.Replace([]targets.Target{cold}, time.Time{})
		f := NewFormer(p, list, poolSpec, discardLog)
		for i := range 40 {
			go func() { _, _ = f.Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 1, 0, 20*time.Second), nil) }()
		}
		time.Sleep(8 * time.Second)
		p.mu.Lock()
		calls := p.host(0).calls
		p.mu.Unlock()
		c.Assert(calls >= 3 && calls <= 5, qt.IsTrue, qt.Commentf("%d calls in 8 s", calls))
		time.Sleep(30 * time.Second)
	})
}

// A target is in two pools while nodes that know regions and nodes that do not work together.
func TestTargetThatIsFullInOnePoolIsNearlyFull(t *testing.T) {
	c := qt.New(t)
	pool, list := newFakePool(1)
	f := NewFormer(pool, list, poolSpec, discardLog)
	target := targets.Target{ID: "a", Service: "pool", Addr: "10.0.0.1:1"}
	full := &targetState{Target: target, callBytes: 1 << 20, results: map[string]storedResult{"h": {bytes: 1 << 20, until: time.Now().Add(time.Minute)}}}
	f.pool(poolKey{"pool", ""}).states["a"] = &targetState{Target: target}
	f.pool(poolKey{"pool", "north"}).states["a"] = full
	for range 50 {
		c.Assert(f.processNearlyFull("pool", target.Process(), poolSpec("")), qt.IsTrue)
	}
}
