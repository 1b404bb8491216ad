package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
	"topazmoor/internal/rollout"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// fakeRollouts lets the calls go to the groups in turn and notes how they end.
type fakeRollouts struct {
	groups [][]rollout.TargetGroup
	drawn  int
	again  []bool
	share  float64
	barred []string
	ended  []rollout.Outcome
	took   []time.Duration
}

func (f *fakeRollouts) TargetGroups(_, _ string, again bool, _ func(string) bool) []rollout.TargetGroup {
	g := f.groups[f.drawn%len(f.groups)]
	f.drawn++
	f.again = append(f.again, again)
	return g
}

func (f *fakeRollouts) Trial(string) (string, float64) { return "v2", f.share }

func (f *fakeRollouts) Barred(string) []string { return f.barred }

func (f *fakeRollouts) Sent(rollout.Call) {}

func (f *fakeRollouts) Ended(_ rollout.Call, e rollout.Ending) {
	f.ended = append(f.ended, e.Outcome)
	f.took = append(f.took, e.Took)
}

// ofVersions returns a scheduler over hosts of one slot with these versions.
func ofVersions(f *fakeRollouts, versions ...string) *Scheduler {
	cfg := DefaultConfig("dc", 1)
	cfg.Rollouts = f
	s := New(cfg)
	var hosts []store.Host
	for i, v := range versions {
		h := host(string(rune('a'+i)), 1)
		h.Version = v
		hosts = append(hosts, h)
	}
	s.SetHosts(hosts, never)
	return s
}

var (
	groupOld = []rollout.TargetGroup{{Excluded: []string{"v2"}}}
	groupNew = []rollout.TargetGroup{{Version: "v2"}}
)

// TestVersionOfAWaitingCallIsDrawnOnce: a call that waits for the old version is not sent to the new one
// by trying again, until the roll-out changes.
func TestVersionOfAWaitingCallIsDrawnOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := &fakeRollouts{groups: [][]rollout.TargetGroup{groupOld, groupOld, groupNew}}
		s := ofVersions(f, "v1", "v2")
		first, err := s.Acquire(t.Context(), call(time.Minute))
		c.Assert(err, qt.IsNil)
		time.AfterFunc(2*time.Second, func() { first.Release(Succeeded) })
		second, err := s.Acquire(t.Context(), call(time.Minute))
		c.Assert(err, qt.IsNil)
		c.Assert(second.Target.Version, qt.Equals, "v1")
		defer second.Release(Succeeded)
		f.drawn = 1
		time.AfterFunc(time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			f.share = 1
		})
		third, err := s.Acquire(t.Context(), call(time.Minute))
		c.Assert(err, qt.IsNil)
		c.Assert(third.Target.Version, qt.Equals, "v2")
		third.Release(Succeeded)
	})
}

func TestTrialGoesToAFractionOfTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := &fakeRollouts{groups: [][]rollout.TargetGroup{{{Version: "v2", Fraction: 0.3}, {Excluded: []string{"v2"}}}}}
		s := ofVersions(f, "v2", "v2", "v2", "v1", "v1")
		versions := map[string]int{}
		for range 3 {
			l, err := s.Acquire(t.Context(), call(time.Minute))
			c.Assert(err, qt.IsNil)
			defer l.Release(Succeeded)
			versions[l.Target.Version]++
		}
		c.Assert(versions, qt.DeepEquals, map[string]int{"v2": 1, "v1": 2})
	})
}

// TestEndsAreEvidenceOnTheVersion: the answer of a stream is its first token, unless it breaks. The gate
// is told which calls are repeats.
func TestEndsAreEvidenceOnTheVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := &fakeRollouts{groups: [][]rollout.TargetGroup{groupNew}}
		s := ofVersions(f, "v2")
		for _, o := range []Outcome{Succeeded, Failed, Refused, Abandoned, Unreachable} {
			l, err := s.Acquire(t.Context(), call(time.Minute))
			c.Assert(err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
			l.FirstToken()
			time.Sleep(time.Second)
			l.Release(o)
		}
		l, err := s.Acquire(t.Context(), call(time.Minute))
		c.Assert(err, qt.IsNil)
		time.Sleep(200 * time.Millisecond)
		l.Release(Abandoned)
		c.Assert(f.ended, qt.DeepEquals, []rollout.Outcome{rollout.Good, rollout.Bad, rollout.Good, rollout.Good, rollout.Good, rollout.Left})
		repeat := call(time.Minute)
		repeat.Exclude = []string{"b"}
		l, err = s.Acquire(t.Context(), repeat)
		c.Assert(err, qt.IsNil)
		l.Release(Refused)
		c.Assert(f.again, qt.DeepEquals, []bool{false, false, false, false, false, false, true})
		c.Assert(f.took[0], qt.Equals, 100*time.Millisecond)
		c.Assert(f.took[5], qt.Equals, 200*time.Millisecond)
	})
}

// TestFirstTokenWithoutDelayIsTheAnswer: a later token of the stream does not replace it.
func TestFirstTokenWithoutDelayIsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeRollouts{groups: [][]rollout.TargetGroup{groupNew}}
		l, err := ofVersions(f, "v2").Acquire(t.Context(), call(time.Minute))
		qt.Assert(t, err, qt.IsNil)
		l.FirstToken()
		time.Sleep(time.Second)
		l.FirstToken()
		l.Release(Succeeded)
		qt.Assert(t, f.took[0] < time.Millisecond, qt.IsTrue, qt.Commentf("%v", f.took[0]))
	})
}

// TestTrialGoesToTargetsThatServeTheCall: the part of the version that takes the trial's calls is one of
// the targets in the call's regions.
func TestTrialGoesToTargetsThatServeTheCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, name := range []string{"north", "south"} {
			cfg := DefaultConfig("n1", 1)
			cfg.Regions = region.Map{"n1": "north", "s1": "south"}
			cfg.Rollouts = &fakeRollouts{groups: [][]rollout.TargetGroup{{{Version: "v2", Fraction: 0.3}}}}
			s := New(cfg)
			n, far := host("n", 1), host("s", 1)
			n.DataCentre, far.DataCentre = "n1", "s1"
			n.Version, far.Version = "v2", "v2"
			s.SetHosts([]store.Host{n, far}, never)
			allowed := region.Only(name)
			l, err := s.Acquire(t.Context(), bound(&allowed, time.Second))
			qt.Assert(t, err, qt.IsNil)
			l.Release(Succeeded)
		}
	})
}

// TestWaitingCallWithoutAnAllowedVersionIsRefused: also where no host changes.
func TestWaitingCallWithoutAnAllowedVersionIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeRollouts{groups: [][]rollout.TargetGroup{groupOld}}
		s := ofVersions(f, "v2")
		time.AfterFunc(time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			f.barred = []string{"v2"}
		})
		start := time.Now()
		_, err := s.Acquire(t.Context(), call(time.Minute))
		qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
		qt.Assert(t, time.Since(start) <= time.Second+recheckInterval, qt.IsTrue)
	})
}

// TestCallsWithoutARolloutAllocateNothingForIt: the version of a call is drawn on the path of each request.
func TestCallsWithoutARolloutAllocateNothingForIt(t *testing.T) {
	cfg := DefaultConfig("dc", 1)
	cfg.Rollouts = rollout.NewGate("n", nil, nil, nil)
	s := New(cfg)
	p := s.pool("p")
	allocs := testing.AllocsPerRun(100, func() {
		var w waiter
		if s.groups(p, &w) != nil {
			t.Error("groups without an order")
		}
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

func TestCallWithoutAnAllowedVersionIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeRollouts{groups: [][]rollout.TargetGroup{groupOld}, barred: []string{"v2"}}
		_, err := ofVersions(f, "v2").Acquire(t.Context(), call(time.Minute))
		qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
	})
}

func TestCallOfAStreamGoesToItsVersionOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := ofVersions(&fakeRollouts{groups: [][]rollout.TargetGroup{{{}}}}, "v1", "v2", "v1")
		call := call(time.Minute)
		call.Exclude, call.Version = []string{"a", "c"}, "v1"
		for range 20 {
			l, err := s.Acquire(t.Context(), call)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, l.Target.Version, qt.Equals, "v1")
			l.Release(Succeeded)
		}
		call.Version = "v3"
		_, err := s.Acquire(t.Context(), call)
		qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
	})
}
