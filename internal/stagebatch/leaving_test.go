package stagebatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/targets"
)

// A drained data centre gets nothing more, no word that results are given up either.
func TestResultsInADrainedDataCentreLapse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, quiet)
		res, err := f.Produce(t.Context(), at("r", 2, 0, time.Second), nil)
		c.Assert(err, qt.IsNil)
		list.Drain(map[string]bool{"dc": true})
		f.Free("pool", res.Handles)
		time.Sleep(time.Second)
		p.mu.Lock()
		defer p.mu.Unlock()
		c.Assert(p.host(0).results, qt.HasLen, 2)
	})
}

// A target that starts again under its ID has all its room, and is not taken for slow.
func TestTargetThatStartsAgainIsNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		f := NewFormer(p, list, poolSpec, quiet)
		p.host(0).factor = 3
		for i := range 3 {
			_, err := f.Produce(t.Context(), at(fmt.Sprint("r", i), 2, 0, 5*time.Second), nil)
			c.Assert(err, qt.IsNil)
		}
		c.Assert(f.pools["pool"].makers["t0"].slow() > 1.5, qt.IsTrue)
		c.Assert(f.pools["pool"].makers["t0"].results, qt.HasLen, 6)
		again := list.Usable("pool")[0]
		again.Born = 2000
		list.Update([]targets.Target{again}, time.Time{})
		f.mu.Lock()
		f.refresh(f.pools["pool"], "pool")
		f.mu.Unlock()
		c.Assert(f.pools["pool"].makers["t0"].slow(), qt.Equals, 1.0)
		c.Assert(f.pools["pool"].makers["t0"].results, qt.HasLen, 0)
	})
}

// A cold stage target is called no more often than it bears.
func TestColdStageTargetIsSpared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		p, list := newFakePool(1)
		list.WarmupRate = func(string) float64 { return 0.5 }
		cold := list.Usable("pool")[0]
		cold.Warmup, cold.Revision = 10*time.Second, 2
		list.Update([]targets.Target{cold}, time.Time{})
		f := NewFormer(p, list, poolSpec, quiet)
		for i := range 40 {
			go func() { _, _ = f.Produce(t.Context(), at(fmt.Sprint("r", i), 1, 0, 20*time.Second), nil) }()
		}
		time.Sleep(8 * time.Second)
		p.mu.Lock()
		calls := p.host(0).calls
		p.mu.Unlock()
		c.Assert(calls >= 3 && calls <= 5, qt.IsTrue, qt.Commentf("%d calls in 8 s", calls))
		time.Sleep(30 * time.Second)
	})
}
