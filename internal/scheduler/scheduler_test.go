package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
	"topazmoor/internal/readiness"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

func never(string) bool { return false }

func host(id string, slots int) store.Host {
	return store.Host{ID: id, Addr: "127.0.0.1:1", Pool: "p", Slots: slots, State: store.Live}
}

func call(latest time.Duration) Call {
	return Call{Pool: "p", Account: "a", Class: catalog.Standard, Stage: "s", Latest: time.Now().Add(latest)}
}

func newScheduler(hosts ...store.Host) *Scheduler {
	s := New(DefaultConfig("dc", 1))
	s.SetHosts(hosts, never)
	return s
}

func TestWaitingCallGetsTheSlotThatComesFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 1))
		first, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		time.AfterFunc(300*time.Millisecond, func() { first.Release(Succeeded) })
		start := time.Now()
		second, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start), qt.Equals, 300*time.Millisecond)
		second.Release(Succeeded)
	})
}

func TestCallThatCannotStartInTimeIsRefusedNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 1))
		l, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		_, err = s.Acquire(t.Context(), call(time.Second))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.DeadlineUnreachable)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(verdict.As(err).RetryAfter > 0, qt.IsTrue)
		l.Release(Succeeded)
		again, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		again.Release(Succeeded)
	})
}

func TestCancelledWaiterLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 1))
		l, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(time.Millisecond, cancel)
		_, err = s.Acquire(ctx, call(time.Second))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.Canceled)
		c.Assert(s.Demand()["p"], qt.Equals, 1)
		l.Release(Succeeded)
		c.Assert(s.Demand()["p"], qt.Equals, 0)
	})
}

func TestDrainLeavingTargetGetsNoNewCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		leaving := host("t2", 100)
		leaving.State = store.Leaving
		s := newScheduler(host("t1", 100), leaving, host("t3", 100))
		s.SetHosts([]store.Host{host("t1", 100), leaving, host("t3", 100)}, func(id string) bool { return id == "t3" })
		for range 20 {
			l, err := s.Acquire(t.Context(), call(time.Second))
			c.Assert(err, qt.IsNil)
			c.Assert(l.Target.ID, qt.Equals, "t1")
			defer l.Release(Succeeded)
		}
		s.SetHosts([]store.Host{leaving}, never)
		_, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
	})
}

// TestDrainRefusesWaitingCallsAtOnce: when the last target leaves, the calls that
// wait for it are refused at once, not at their deadline.
func TestDrainRefusesWaitingCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 1))
		l, err := s.Acquire(t.Context(), call(time.Minute))
		c.Assert(err, qt.IsNil)
		defer l.Release(Succeeded)
		time.AfterFunc(time.Second, func() { s.SetHosts(nil, never) })
		start := time.Now()
		_, err = s.Acquire(t.Context(), call(time.Minute))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		c.Assert(s.ModelDemand()[0].Calls, qt.Equals, 1)
	})
}

func TestFailingTargetIsSetAsideAndProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 4))
		for range 3 {
			l, err := s.Acquire(t.Context(), call(time.Second))
			c.Assert(err, qt.IsNil)
			l.Release(Failed)
		}
		start := time.Now()
		probe, err := s.Acquire(t.Context(), call(5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start) >= time.Second, qt.IsTrue)
		time.AfterFunc(time.Second, func() { probe.Release(Succeeded) })
		next, err := s.Acquire(t.Context(), call(5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start) >= 2*time.Second, qt.IsTrue)
		next.Release(Succeeded)
	})
}

func TestUrgentGoesBeforeBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 1))
		l, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		order := make(chan catalog.Class, 2)
		for _, class := range []catalog.Class{catalog.Batch, catalog.Urgent} {
			cl := call(time.Minute)
			cl.Class = class
			go func() {
				got, err := s.Acquire(t.Context(), cl)
				if err != nil {
					return
				}
				order <- class
				got.Release(Succeeded)
			}()
			synctest.Wait()
		}
		l.Release(Succeeded)
		c.Assert(<-order, qt.Equals, catalog.Urgent)
		c.Assert(<-order, qt.Equals, catalog.Batch)
	})
}

func TestExcludedTargetIsUsedOnlyWhenNoOtherIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 4), host("t2", 4))
		cl := call(time.Second)
		cl.Exclude = []string{"t1"}
		l, err := s.Acquire(t.Context(), cl)
		c.Assert(err, qt.IsNil)
		c.Assert(l.Target.ID, qt.Equals, "t2")
		cl.Exclude = []string{"t1", "t2"}
		_, err = s.Acquire(t.Context(), cl)
		c.Assert(err, qt.IsNil)
	})
}

// A target that refused a call and requested a pause gets no call until the pause ends, and then
// one call at a time until one succeeds.
func TestTargetAtRestGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newScheduler(host("t1", 4))
		l, err := s.Acquire(t.Context(), call(time.Second))
		c.Assert(err, qt.IsNil)
		l.UpdateReadiness(readiness.Notice{Rest: 3 * time.Second})
		l.Release(Refused)
		start := time.Now()
		_, err = s.Acquire(t.Context(), call(2*time.Second))
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		trial, err := s.Acquire(t.Context(), call(2*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(start) >= 3*time.Second, qt.IsTrue)
		_, err = s.Acquire(t.Context(), call(500*time.Millisecond))
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		trial.Release(Succeeded)
		for range 3 {
			_, err = s.Acquire(t.Context(), call(time.Second))
			c.Assert(err, qt.IsNil)
		}
	})
}
