package scheduler

import (
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
	"topazmoor/internal/region"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// inRegions returns a scheduler in region north over the hosts n (slots 1, in north) and s (slots 8, in
// south).
func inRegions() (s *Scheduler, hosts []store.Host) {
	cfg := DefaultConfig("n1", 1)
	cfg.Regions = region.Map{"n1": "north", "s1": "south"}
	s = New(cfg)
	n, far := host("n", 1), host("s", 8)
	n.DataCentre, far.DataCentre = "n1", "s1"
	s.SetHosts([]store.Host{n, far}, never)
	return s, []store.Host{n, far}
}

// bound returns a call that may be served in *to.
func bound(to *region.Set, latest time.Duration) Call {
	c := call(latest)
	c.Regions = func() region.Set { return *to }
	return c
}

func TestWaitingCallOfALostRegionIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, hosts := inRegions()
		north := region.Only("north")
		l, err := s.Acquire(t.Context(), bound(&north, time.Minute))
		c.Assert(err, qt.IsNil)
		defer l.Release(Succeeded)
		time.AfterFunc(time.Second, func() { s.SetHosts(hosts[1:], never) })
		start := time.Now()
		_, err = s.Acquire(t.Context(), bound(&north, time.Minute))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
		c.Assert(verdict.As(err).RetryAfter > 0, qt.IsTrue)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		c.Assert(s.CheckTargets(bound(&north, time.Minute)), qt.ErrorMatches, "no_target .not_run.: no target of pool p in the regions north .*")
		c.Assert(s.CheckTargets(call(time.Minute)), qt.IsNil)
	})
}

// TestWaitingCallFollowsItsRegions: a call that waits when its regions change is granted by the new
// ones.
func TestWaitingCallFollowsItsRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _ := inRegions()
		allowed := region.Only("north")
		l, err := s.Acquire(t.Context(), bound(&allowed, time.Minute))
		c.Assert(err, qt.IsNil)
		defer l.Release(Succeeded)
		time.AfterFunc(time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			allowed = region.Only("south")
		})
		start := time.Now()
		l, err = s.Acquire(t.Context(), bound(&allowed, time.Minute))
		c.Assert(err, qt.IsNil)
		defer l.Release(Succeeded)
		c.Assert(l.Target.ID, qt.Equals, "s")
		c.Assert(time.Since(start) <= time.Second+recheckInterval, qt.IsTrue)
	})
}

// TestCallWhoseRegionIsDownPastItsDeadlineIsRefused: while the breakers of all targets of a region stay
// open longer than a call can wait, it is refused with the time at which one is probed again.
func TestCallWhoseRegionIsDownPastItsDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _ := inRegions()
		north := region.Only("north")
		for range 4 {
			l, err := s.Acquire(t.Context(), bound(&north, time.Minute))
			c.Assert(err, qt.IsNil)
			l.Release(Unreachable)
		}
		err := s.CheckTargets(bound(&north, 2*time.Second))
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
		c.Assert(verdict.As(err).RetryAfter, qt.Equals, 8*time.Second)
		c.Assert(s.CheckTargets(bound(&north, 9*time.Second)), qt.IsNil)
		c.Assert(s.CheckTargets(call(2*time.Second)), qt.IsNil)
	})
}

// TestEstimateCountsOnlyTheRegions: the busy targets of a small region are not hidden by idle ones of
// another.
func TestEstimateCountsOnlyTheRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _ := inRegions()
		north := region.Only("north")
		l, err := s.Acquire(t.Context(), bound(&north, time.Minute))
		c.Assert(err, qt.IsNil)
		time.Sleep(time.Second)
		l.Release(Succeeded)
		l, err = s.Acquire(t.Context(), bound(&north, time.Minute))
		c.Assert(err, qt.IsNil)
		defer l.Release(Succeeded)
		_, wait := s.EstimateRemaining([]StageDemand{{Pool: "p", Stage: "s", Regions: north}}, catalog.Standard)
		c.Assert(wait, qt.Equals, time.Second)
		_, wait = s.EstimateRemaining([]StageDemand{{Pool: "p", Stage: "s"}}, catalog.Standard)
		c.Assert(wait, qt.Equals, time.Duration(0))
	})
}

// TestRegionsThatChangeWhileATargetIsPicked: each look at the regions of a waiting call gives other ones. The
// call gets a target or a refusal.
func TestRegionsThatChangeWhileATargetIsPicked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, _ := inRegions()
		rng := rand.New(rand.NewPCG(1, 1))
		flapping := call(time.Minute)
		flapping.Regions = func() region.Set {
			return region.Only([]string{"north", "south", "west"}[rng.IntN(3)])
		}
		granted := 0
		for range 300 {
			flapping.Latest = time.Now().Add(time.Minute)
			l, err := s.Acquire(t.Context(), flapping)
			if err != nil {
				c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
				continue
			}
			granted++
			l.Release(Succeeded)
		}
		c.Assert(granted > 0, qt.IsTrue)
	})
}
