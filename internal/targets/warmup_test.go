package targets

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/sharedrate"
	"topazmoor/internal/store"
)

// coldFleet is a set of nodes that call the same engines, one of which is cold, in virtual time.
type coldFleet struct {
	tables []*Table
	began  time.Time
	// calls are the times of the calls to the cold engine.
	calls []time.Time
}

const (
	coldRate = 6.7
	coldTime = 3 * time.Second
	// settleTime is how long nodes have run until an engine turns cold.
	settleTime = 4 * time.Second
	// oneWayDelay is the delay of a message from one node to another.
	oneWayDelay = time.Millisecond
)

// newColdFleet returns nodes that have run for settleTime and whose list then shows engine 0 as
// cold. views is the number of nodes that each node knows; 0 for a node that knows no other yet.
func newColdFleet(views []int) *coldFleet {
	f := &coldFleet{}
	limiters := make(map[string]*sharedrate.Limiter)
	for i, view := range views {
		name := fmt.Sprint("node-", i)
		l := sharedrate.New(sharedrate.Config{
			Self: sharedrate.Node{Name: name, Addr: name}, Log: slog.New(slog.DiscardHandler),
			AskPermits: func(_ context.Context, addr string, a sharedrate.PermitRequest) (sharedrate.Grant, error) {
				time.Sleep(oneWayDelay)
				g := limiters[addr].Grant(a)
				time.Sleep(oneWayDelay)
				return g, nil
			},
		})
		limiters[name] = l
		if view > 0 {
			var others []sharedrate.Node
			for j := range view {
				if other := fmt.Sprint("node-", j); j != i {
					others = append(others, sharedrate.Node{Name: other, Addr: other})
				}
			}
			l.SetNodes(others)
		}
		t := New("dc1")
		t.WarmupRate = func(string) float64 { return coldRate }
		t.Permits = l
		f.tables = append(f.tables, t)
	}
	time.Sleep(settleTime)
	for _, t := range f.tables {
		t.Replace(coldEngines(1), time.Time{})
	}
	f.began = time.Now()
	return f
}

// coldEngines returns a list of two engines. The first is cold; version is the revision of its
// entry.
func coldEngines(version int64) []Target {
	list := engines(2)
	list[0].Warmup, list[0].Revision = coldTime, store.Version{Number: version}
	return list
}

// call makes a call of a node that may only go to the cold engine, and reports whether it got a
// permit.
func (f *coldFleet) call(t *testing.T, node int) bool {
	l := f.tables[node].Pick(Query{Service: "engines", Exclude: []string{"e1"}})
	if l == nil || l.Permit(t.Context(), time.Now()) != nil {
		return false
	}
	f.calls = append(f.calls, time.Now())
	l.Done(Served, time.Millisecond)
	return true
}

// callAtOnce makes n calls of the first node and returns how many went to the cold engine.
func (f *coldFleet) callAtOnce(t *testing.T, n int) int {
	made := 0
	for range n {
		if f.call(t, 0) {
			made++
		}
	}
	return made
}

// maxPerSecond returns the largest number of calls within one second.
func (f *coldFleet) maxPerSecond() int {
	maxPerSecond := 0
	slices.SortFunc(f.calls, time.Time.Compare)
	for i, first := range f.calls {
		end, _ := slices.BinarySearchFunc(f.calls, first.Add(time.Second), time.Time.Compare)
		maxPerSecond = max(maxPerSecond, end-i)
	}
	return maxPerSecond
}

// Within any second, a cold engine gets at most 6 calls more than its warm-up rate, for any number
// of nodes and any order of their calls.
func TestColdEngineGetsWhatItBears(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 60).Draw(rt, "nodes")
		views := make([]int, n)
		for i := range views {
			views[i] = n
			if rapid.IntRange(0, 9).Draw(rt, "started") == 0 {
				// A node that has just started knows no other one.
				views[i] = 0
			}
		}
		type step struct {
			pause time.Duration
			nodes []int
		}
		var script []step
		for at := time.Duration(0); at < coldTime; at += script[len(script)-1].pause {
			s := step{pause: time.Duration(rapid.IntRange(1, 30).Draw(rt, "pause")) * time.Millisecond}
			for range rapid.IntRange(0, n).Draw(rt, "calls") {
				s.nodes = append(s.nodes, rapid.IntRange(0, n-1).Draw(rt, "node"))
			}
			script = append(script, s)
		}
		maxPerSecond := 0
		synctest.Test(t, func(t *testing.T) {
			f := newColdFleet(views)
			for _, s := range script {
				time.Sleep(s.pause)
				for _, node := range s.nodes {
					if time.Since(f.began) < coldTime-2*oneWayDelay {
						f.call(t, node)
					}
				}
			}
			maxPerSecond = f.maxPerSecond()
			time.Sleep(time.Minute)
		})
		if bound := coldRate + 6; float64(maxPerSecond) > bound {
			rt.Fatalf("%d calls within a second, at most %.1f are allowed", maxPerSecond, bound)
		}
	})
}

// 86 nodes, each with 3 requests a second, call one cold engine: the calls stay within the bound,
// use at least nine tenths of the warm-up rate, and come from more than 3 nodes.
func TestColdEngineOfManyNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		views := make([]int, 86)
		for i := range views {
			views[i] = len(views)
		}
		f := newColdFleet(views)
		callers := make(map[int]bool)
		for tick := 0; time.Since(f.began) < coldTime; tick++ {
			// 258 requests a second, one node after the other.
			time.Sleep(4 * time.Millisecond)
			if node := (tick * 31) % len(views); f.call(t, node) {
				callers[node] = true
			}
		}
		c.Logf("%d calls, at most %d within a second, from %d nodes", len(f.calls), f.maxPerSecond(), len(callers))
		// The bound that users require: one and a half times the warm-up rate, plus 5.
		c.Check(float64(f.maxPerSecond()) <= 1.5*coldRate+5, qt.IsTrue)
		c.Check(float64(len(f.calls)) >= 0.9*coldRate*coldTime.Seconds(), qt.IsTrue)
		c.Check(len(callers) > 3, qt.IsTrue, qt.Commentf("all nodes may call it, %d did", len(callers)))
		time.Sleep(time.Minute)
	})
}

func TestEngineThatIsWarmIsNotBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newColdFleet([]int{1})
		c.Assert(f.callAtOnce(t, 20), qt.Equals, 1)
		time.Sleep(coldTime)
		c.Assert(f.callAtOnce(t, 20), qt.Equals, 20)
		// A new revision of its entry makes the engine cold again. Calls that its rate allowed just
		// before, and that were not made, may be made up for.
		changes, _ := f.tables[0].Replace(coldEngines(2), time.Time{})
		c.Assert(changes, qt.HasLen, 1)
		c.Assert(changes[0].Kind, qt.Equals, "cold")
		made := f.callAtOnce(t, 20)
		c.Assert(made >= 1 && made <= 3, qt.IsTrue, qt.Commentf("%d", made))
		// A list with the same revision does not make the engine cold again: Warmup counts from
		// when the entry was written.
		time.Sleep(coldTime)
		f.tables[0].Replace(coldEngines(2), time.Time{})
		c.Assert(f.callAtOnce(t, 20), qt.Equals, 20)
		time.Sleep(time.Minute)
	})
}

func TestOnlyColdEnginesThatBearNothingAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		// A node that knows no other node yet gets no share of the warm-up rate.
		f := newColdFleet([]int{0})
		c.Assert(f.call(t, 0), qt.IsFalse)
		l := f.tables[0].Pick(Query{Service: "engines"})
		c.Assert(l.ID, qt.Equals, "e1")
		time.Sleep(time.Minute)
	})
}
