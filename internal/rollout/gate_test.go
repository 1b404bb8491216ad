package rollout

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// After the host was suspended a share is valid only once the owner has answered a new report.
func TestShareLapsesWhenTheHostStoodStill(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.random = func() float64 { return 0 }
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	s := g.orders["s"]
	tried := func() bool {
		return g.TargetGroups("s", "a", false, func(string) bool { return true })[0].Version == "v2"
	}
	running := Answer{State: Running, Share: 0.1}
	r, unreportedBad, lapses := g.next(s)
	g.applyAnswer(s, r, unreportedBad, lapses, running)
	c.Assert(tried(), qt.IsTrue)
	g.Expire()
	c.Assert(tried(), qt.IsFalse)
	// This answers a report from before the suspension.
	g.applyAnswer(s, r, unreportedBad, lapses, running)
	c.Assert(tried(), qt.IsFalse)
	r, unreportedBad, lapses = g.next(s)
	g.applyAnswer(s, r, unreportedBad, lapses, running)
	c.Assert(tried(), qt.IsTrue)
}

// Calls that would outlast the old version go to the new one, and so do repeats. Streams at the old
// version are handed over once.
func TestLongCallsAndStreamsLeaveTheOldVersionFirst(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.random = func() float64 { return 0.99 }
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	s := g.orders["s"]
	version := func(route string, again bool) string {
		return g.TargetGroups("s", route, again, func(string) bool { return true })[0].Version
	}
	answer := func(a Answer) {
		r, unreportedBad, lapses := g.next(s)
		g.applyAnswer(s, r, unreportedBad, lapses, a)
	}
	for route, took := range map[string]time.Duration{"short": time.Second, "long": 20 * time.Second} {
		call := Call{Service: "s", Version: "v1", Route: route}
		g.Sent(call)
		g.Ended(call, Ending{Outcome: Good, Took: time.Second, Total: took})
	}
	answer(Answer{State: Running, Share: 0.5})
	c.Assert(version("long", false), qt.Equals, "")
	answer(Answer{State: Running, Share: 0.25, LongFrom: 5 * time.Second})
	c.Assert(version("long", false), qt.Equals, "v2")
	c.Assert(version("short", false), qt.Equals, "")
	c.Assert(version("short", true), qt.Equals, "v2")
}

// Calls that began before the order came are in flight at the old version too, and their ends do not
// hide others.
func TestCallsFromBeforeTheOrderAreInFlight(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	old := Call{Service: "s", Version: "v1", Route: "a"}
	g.Sent(old)
	g.Sent(old)
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	g.Sent(old)
	g.Sent(Call{Service: "s", Version: "v2"})
	g.Ended(old, Ending{Outcome: Good})
	r, _, _ := g.next(g.orders["s"])
	c.Assert(r.OldInFlight, qt.Equals, 2)
}

// The owner hears at once that nothing is left at the old version, where all traffic goes to the new one.
func TestEndOfTheLastCallAtTheOldVersionIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	s := g.orders["s"]
	for _, share := range []float64{0.25, 1} {
		s.answer = Answer{State: Running, Share: share}
		g.Sent(Call{Service: "s", Version: "v1"})
		g.Ended(Call{Service: "s", Version: "v1"}, Ending{Outcome: Good, Took: time.Millisecond})
		c.Check(len(s.wake) == 1, qt.Equals, share == 1)
	}
}

// A stream goes on at a version on trial only while that version gets other calls.
func TestStreamsGoOnAtAVersionThatGetsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
		qt.Assert(t, g.MayResume("s", "v1"), qt.IsTrue)
		g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
		s := g.orders["s"]
		answer := func(a Answer) {
			r, unreportedBad, lapses := g.next(s)
			g.applyAnswer(s, r, unreportedBad, lapses, a)
		}
		qt.Check(t, g.MayResume("s", "v2"), qt.IsFalse)
		for range 2 {
			answer(Answer{State: Running, Share: 1, LongFrom: minLongFrom, OldStops: true})
		}
		qt.Check(t, g.MayResume("s", "v2"), qt.IsTrue)
		qt.Check(t, g.MayResume("s", "v1"), qt.IsTrue)
		time.Sleep(LeaseOf(minHold) + time.Millisecond)
		qt.Check(t, g.MayResume("s", "v2"), qt.IsFalse)
		answer(Answer{State: RolledBack})
		g.SetOrders(nil)
		qt.Check(t, g.MayResume("s", "v1"), qt.IsTrue)
	})
}
