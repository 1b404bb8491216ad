package targets

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/region"
)

func TestDrainedDataCentreGetsNothingUntilItIsTakenBack(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(6)...)
	l := tb.Pick(Query{Service: "engines", Exclude: []string{"e0", "e2", "e4"}})
	c.Assert(l.DataCentre, qt.Equals, "dc2")
	l.MarkPromptRead()
	began, _ := tb.Drain(map[string]bool{"dc2": true})
	c.Assert(began, qt.DeepEquals, []string{"dc2"})
	// A call for which the target was chosen before the drain must not be sent either.
	c.Assert(tb.MayCall(l.ID), qt.IsFalse)
	c.Assert(tb.Usable("engines"), qt.HasLen, 3)
	c.Assert(tb.Drained(l.Addr), qt.IsTrue)
	c.Assert(tb.PreferredDataCentre("engines", 7, 0, Exchange{}, region.Set{}), qt.Equals, "dc1")
	for i := range 20 {
		got := tb.Pick(Query{Service: "engines", Engine: queryOf(uint64(i))})
		c.Assert(got.DataCentre, qt.Equals, "dc1")
	}
	// With all data centres drained, no target may be called.
	tb.Drain(map[string]bool{"dc1": true, "dc2": true})
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
	began, ended := tb.Drain(nil)
	c.Assert(began, qt.HasLen, 0)
	c.Assert(ended, qt.HasLen, 2)
	c.Assert(tb.Pick(Query{Service: "engines", Exclude: []string{"e0", "e2", "e4"}}), qt.IsNotNil)
}

func TestPromptIsNotCopiedOutOfADrainedDataCentre(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(4)...)
	l := tb.Pick(Query{Service: "engines", Exclude: []string{"e0", "e2"}, Engine: queryOf(10)})
	l.MarkPromptRead()
	other := tb.Pick(Query{Service: "engines", Exclude: []string{"e1", "e3"}, Engine: queryOf(11)})
	c.Assert(other.CopyFrom, qt.Equals, l.Addr)
	tb.Drain(map[string]bool{"dc2": true})
	next := tb.Pick(Query{Service: "engines", Engine: queryOf(12)})
	c.Assert(next.CopyFrom, qt.Not(qt.Equals), l.Addr)
}

func TestProcessThatStartsAgainUnderItsIDIsUnknown(t *testing.T) {
	c := qt.New(t)
	list := engines(2)
	list[0].Born, list[1].Born = 1000, 1000
	tb, now := newTable(list...)
	old := tb.Pick(Query{Service: "engines", Exclude: []string{"e1"}, Engine: queryOf(10)})
	old.MarkPromptRead()
	old.RecordLoad(Load{Running: 100, Waiting: 50, Slots: 128})
	for range 5 {
		tb.Pick(Query{Service: "engines", Exclude: []string{"e1"}}).Done(Failed, 0)
	}
	now.at = now.at.Add(time.Second)
	again := list[0]
	again.Born = 2000
	changes, gone := tb.Replace([]Target{again, list[1]}, time.Time{})
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, restarted)
	// The connections to its address belong to the former process.
	c.Assert(gone, qt.DeepEquals, []string{again.Addr})
	l := tb.Pick(Query{Service: "engines", Exclude: []string{"e1"}, Engine: queryOf(11)})
	c.Assert(l.Basis.Calls, qt.Equals, 0)
	c.Assert(l.Basis.Failures, qt.Equals, 0.0)
	// The new process has no prompt in its cache, so nothing is copied from it.
	other := tb.Pick(Query{Service: "engines", Exclude: []string{"e0"}, Engine: queryOf(12)})
	c.Assert(other.CopyFrom, qt.Not(qt.Equals), again.Addr)
	// Late answers of the former process don't change the state of the new one.
	old.RecordLoad(Load{Running: 100, Waiting: 50, Slots: 128})
	old.Done(Moved, 0)
	c.Assert(tb.MayCall("e0"), qt.IsTrue)
	c.Assert(tb.Pick(Query{Service: "engines", Exclude: []string{"e1"}}).Basis.Calls, qt.Equals, 1)
}

// TestOracleOfDrains drains data centres and adds, removes and restarts targets, and compares the
// Table with a plain map: no target is called, or copied from, that the map excludes.
func TestOracleOfDrains(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, now := newTable()
		drained := make(map[string]bool)
		listed := make(map[string]Target)
		update := func() {
			var list []Target
			for _, target := range listed {
				list = append(list, target)
			}
			tb.Replace(list, time.Time{})
		}
		rt.Repeat(map[string]func(*rapid.T){
			"drain": func(rt *rapid.T) {
				drained[fmt.Sprint("dc", rapid.IntRange(1, 2).Draw(rt, "dc"))] = true
				tb.Drain(drained)
			},
			"take back": func(rt *rapid.T) {
				delete(drained, fmt.Sprint("dc", rapid.IntRange(1, 2).Draw(rt, "dc")))
				tb.Drain(drained)
			},
			"list": func(rt *rapid.T) {
				e := engine(rapid.IntRange(0, 5).Draw(rt, "engine"), fmt.Sprint("dc", rapid.IntRange(1, 2).Draw(rt, "dc")))
				e.Born = int64(rapid.IntRange(0, 3).Draw(rt, "born"))
				e.Draining = rapid.Bool().Draw(rt, "draining")
				listed[e.ID] = e
				update()
			},
			"drop": func(rt *rapid.T) {
				delete(listed, fmt.Sprint("e", rapid.IntRange(0, 5).Draw(rt, "engine")))
				update()
			},
			"pass": func(rt *rapid.T) { now.at = now.at.Add(time.Second) },
			"": func(rt *rapid.T) {
				open := 0
				for _, target := range listed {
					if !target.Draining && !drained[target.DataCentre] {
						open++
					}
				}
				if got := len(tb.Usable("engines")); got != open {
					rt.Fatalf("%d targets may be called, want %d", got, open)
				}
				l := tb.Pick(Query{Service: "engines", Engine: queryOf(10)})
				if (l == nil) != (open == 0) {
					rt.Fatalf("picked %v of %d", l, open)
				}
				if l == nil {
					return
				}
				if target := listed[l.ID]; target.Draining || drained[target.DataCentre] {
					rt.Fatalf("%s was called", l.ID)
				}
				if from := tb.at(l.CopyFrom); from != nil && drained[from.DataCentre] {
					rt.Fatalf("a prompt is copied from %s", from.ID)
				}
				l.MarkPromptRead()
				l.Done(Served, time.Millisecond)
			},
		})
	})
}
