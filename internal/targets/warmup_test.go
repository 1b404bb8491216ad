package targets

import (
	"fmt"
	"slices"
	"testing"
	"time"
	"topazmoor/internal/store"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// coldFleet is nodes that call the same engines, one of which is cold.
type coldFleet struct {
	tables []*Table
	now    time.Time
	// calls are the times of the calls at the cold engine.
	calls []time.Time
}

const (
	coldRate = 6.7
	coldTime = 3 * time.Second
)

// newColdFleet returns nodes whose list has engine 0 cold. views are the numbers of nodes
// that each of them knows.
func newColdFleet(views []int) *coldFleet {
	f := &coldFleet{now: time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC)}
	for i, view := range views {
		t := New("dc1")
		t.now = func() time.Time { return f.now }
		t.WarmupRate = func(string) float64 { return coldRate }
		if view > 0 {
			var others []string
			for j := range view {
				if j != i {
					others = append(others, fmt.Sprint("node-", j))
				}
			}
			t.SetNodes(fmt.Sprint("node-", i), others)
		}
		list := engines(2)
		list[0].Warmup, list[0].Revision = coldTime, store.Version{Number: 1}
		t.Update(list, time.Time{})
		f.tables = append(f.tables, t)
	}
	return f
}

// call makes a call of a node that wants the cold engine most, and reports whether it went
// there.
func (f *coldFleet) call(node int) bool {
	l := f.tables[node].Pick(Query{Service: "engines", Exclude: []string{"e1"}})
	if l == nil {
		return false
	}
	l.Done(Served, time.Millisecond)
	f.calls = append(f.calls, f.now)
	return true
}

// most is the largest number of calls within one second.
func (f *coldFleet) most() int {
	most := 0
	for i, first := range f.calls {
		end, _ := slices.BinarySearchFunc(f.calls, first.Add(time.Second), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}

// However many nodes press, in whatever order, a cold engine gets no more than it bears, and
// is not left without calls either.
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
		f := newColdFleet(views)
		for end := f.now.Add(coldTime); f.now.Before(end); f.now = f.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(rt, "pause")) * time.Millisecond) {
			for range rapid.IntRange(0, n).Draw(rt, "calls") {
				f.call(rapid.IntRange(0, n-1).Draw(rt, "node"))
			}
		}
		if most, bound := f.most(), coldRate+2*warmupCallers; float64(most) > bound {
			rt.Fatalf("%d calls within a second, %.1f are borne", most, bound)
		}
	})
}

// A load of 86 nodes, each with 3 requests a second, at an engine that all prefer.
func TestColdEngineOfManyNodes(t *testing.T) {
	c := qt.New(t)
	views := make([]int, 86)
	for i := range views {
		views[i] = len(views)
	}
	f := newColdFleet(views)
	callers := make(map[int]bool)
	for tick := range 3000 {
		f.now = f.now.Add(time.Millisecond)
		// 258 requests a second, one node after the other.
		if tick%4 != 0 {
			continue
		}
		if node := (tick / 4 * 31) % len(views); f.call(node) {
			callers[node] = true
		}
	}
	c.Logf("%d calls, at most %d within a second, from %d nodes", len(f.calls), f.most(), len(callers))
	// The bound of the users: one and a half times what it bears, and 5.
	c.Check(float64(f.most()) <= 1.5*coldRate+5, qt.IsTrue)
	c.Check(callers, qt.HasLen, warmupCallers)
}

func TestEngineThatIsWarmIsNotBounded(t *testing.T) {
	c := qt.New(t)
	f := newColdFleet([]int{1})
	c.Assert(f.call(0), qt.IsTrue)
	c.Assert(f.call(0), qt.IsFalse)
	f.now = f.now.Add(coldTime)
	for range 20 {
		c.Assert(f.call(0), qt.IsTrue)
	}
	// It turns cold again, at any moment; another change of its entry leaves it cold.
	list := engines(2)
	list[0].Warmup, list[0].Revision = coldTime, store.Version{Number: 2}
	changes, _ := f.tables[0].Update(list, time.Time{})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].What, qt.Equals, "cold")
	c.Assert(f.call(0), qt.IsTrue)
	c.Assert(f.call(0), qt.IsFalse)
	// A list that is read again tells what was true when the entry was written.
	f.now = f.now.Add(coldTime)
	f.tables[0].Update(list, time.Time{})
	c.Assert(f.call(0), qt.IsTrue)
	c.Assert(f.call(0), qt.IsTrue)
}

func TestOnlyColdEnginesThatBearNothingAreRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	// A node that knows no other one yet owns no part of what a cold engine bears.
	f := newColdFleet([]int{0})
	c.Assert(f.call(0), qt.IsFalse)
	l := f.tables[0].Pick(Query{Service: "engines"})
	c.Assert(l.ID, qt.Equals, "e1")
}
