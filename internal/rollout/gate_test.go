package rollout

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
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

	started := make(chan string, 3)
	g.OnHandover(Call{Service: "s", Version: "v1"}, func() { started <- "old" })
	g.OnHandover(Call{Service: "s", Version: "v2"}, func() { started <- "new" })
	g.OnHandover(Call{Service: "s", Version: "v1"}, func() { started <- "ended" })()
	for range 2 {
		answer(Answer{State: Running, Share: 1, LongFrom: minLongFrom, Handover: true})
	}
	c.Assert(<-started, qt.Equals, "old")
	c.Assert(started, qt.HasLen, 0)
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

// A stream at the old version stays there while this node sends no calls to the new one.
func TestStreamsStayWhereTheShareEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
		g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
		s := g.orders["s"]
		old := Call{Service: "s", Version: "v1"}
		starts := 0
		wait := func() { g.OnHandover(old, func() { starts++ }); synctest.Wait() }
		answer := func() {
			r, unreportedBad, lapses := g.next(s)
			g.applyAnswer(s, r, unreportedBad, lapses, Answer{State: Running, Share: 1, LongFrom: minLongFrom, Handover: true})
			synctest.Wait()
		}
		wait()
		answer()
		qt.Assert(t, starts, qt.Equals, 1)
		time.Sleep(LeaseOf(minHold) + time.Millisecond)
		wait()
		qt.Assert(t, starts, qt.Equals, 1)
		answer()
		qt.Assert(t, starts, qt.Equals, 2)
	})
}

// silentOwner counts the reports that wait for its answer.
type silentOwner struct{ waiting atomic.Int32 }

func (o *silentOwner) Report(ctx context.Context, _ Report) (Answer, error) {
	o.waiting.Add(1)
	defer o.waiting.Add(-1)
	<-ctx.Done()
	return Answer{}, ctx.Err()
}

func TestOneReportOfAnOrderIsUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		owner := &silentOwner{}
		g := ended(orderAt(0, 5), Completed)
		g.Remote = owner
		done := make(chan error, 1)
		go func() { done <- g.Serve(ctx) }()
		restore := []func(){g.StoreRestored, func() { g.SetOrders([]Order{orderAt(1, 5)}) }, g.StoreRestored}
		for _, step := range restore {
			step()
			time.Sleep(time.Minute)
			synctest.Wait()
			qt.Check(t, owner.waiting.Load(), qt.Equals, int32(1))
		}
		g.SetOrders(nil)
		time.Sleep(time.Minute)
		synctest.Wait()
		qt.Check(t, owner.waiting.Load(), qt.Equals, int32(0))
		cancel()
		<-done
	})
}

// A stream counts once, and its gap again only if it grew after the stream was counted.
func TestStreamIsCountedOnce(t *testing.T) {
	for _, tc := range []struct {
		later time.Duration
		gaps  map[time.Duration]uint32
	}{
		{10 * time.Millisecond, map[time.Duration]uint32{10 * time.Millisecond: 1}},
		{5 * time.Second, map[time.Duration]uint32{10 * time.Millisecond: 1, 5 * time.Second: 1}},
	} {
		g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
		g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
		call := Call{Service: "s", Version: "v2", Target: "t", Route: "a"}
		e := Ending{Outcome: Good, Took: time.Second, Gap: 10 * time.Millisecond}
		var want Tally
		want.Took[bucketOf(e.Took)] = 1
		for gap, n := range tc.gaps {
			want.Gaps[bucketOf(gap)] = n
		}
		g.Sent(call)
		g.Progressed(call, e)
		e.ProgressGap, e.Gap, e.Progressed = e.Gap, tc.later, true
		g.Ended(call, e)
		qt.Check(t, g.orders["s"].evidence.Tallies, qt.DeepEquals, map[Source]Tally{{Route: "a", New: true, Target: "t"}: want}, qt.Commentf("%v", tc.later))
	}
}
