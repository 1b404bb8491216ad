package targets

import (
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/promptcache"
	"topazmoor/internal/region"
	"topazmoor/internal/rollout"
)

// A restricted set of regions depends on the old version while it has no warm target of the new one,
// drains of data centres aside.
func TestRegionsThatDependOnTheOldVersion(t *testing.T) {
	c := qt.New(t)
	list := engines(4)
	for i := range list {
		list[i].Version = "v1"
	}
	fresh := func(id, dc string, warmup time.Duration) Target {
		return Target{ID: id, Service: "engines", Addr: id, Version: "v2", DataCentre: dc, Slots: 1, Warmup: warmup}
	}
	list = append(list, fresh("n0", "dc1", 0))
	tb, _ := newTable(list...)
	tb.Regions = region.Map{"dc1": "north", "dc2": "south"}
	uncovered := func() []string { return tb.Versions("engines", "v2").Uncovered }
	c.Assert(uncovered(), qt.HasLen, 0)
	tb.RegionSets = func(string) []region.Set {
		return []region.Set{region.Only("south"), region.Only("north"), region.Only("north", "south"), region.Only("west")}
	}
	c.Assert(uncovered(), qt.DeepEquals, []string{"south"})
	// The old targets come back when the drain ends.
	tb.Drain(map[string]bool{"dc2": true})
	c.Assert(uncovered(), qt.DeepEquals, []string{"south"})
	tb.Replace(append(list, fresh("n1", "dc2", time.Minute)), time.Time{})
	c.Assert(uncovered(), qt.HasLen, 0)
	tb.Drain(nil)
	c.Assert(uncovered(), qt.DeepEquals, []string{"south"})
	tb.WarmupRate = func(string) float64 { return 0.5 }
	c.Assert(tb.Versions("engines", "v2").ColdRate, qt.Equals, 0.5)
	tb.Replace(append(list, fresh("n2", "dc2", 0)), time.Time{})
	c.Assert(uncovered(), qt.HasLen, 0)
}

// Only a roll-out asks whether an engine lacks the prompt; other calls do nothing for it.
func TestCallsWithoutARolloutDoNotLookForThePrompt(t *testing.T) {
	c := qt.New(t)
	list := engines(4)
	for i := range list {
		list[i].Version = "v1"
	}
	tb, _ := newTable(list...)
	prompt := []promptcache.Prefix{{Hash: 1, Tokens: 900}}
	q := Query{Service: "engines", Engine: &EngineQuery{Affinity: 1, Tokens: 900, Shared: 900, Prompt: prompt}}
	pick := func() *Lease {
		l := tb.Pick(q)
		l.Done(Abandoned, 0)
		return l
	}
	read := tb.Pick(q)
	read.MarkPromptRead()
	read.Done(Served, time.Second)
	before := testing.AllocsPerRun(100, func() { pick() })
	gate := rollout.NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	tb.Rollouts = gate
	for _, ordered := range []bool{false, true} {
		if ordered {
			gate.SetOrders([]rollout.Order{{Service: "engines", To: "v2", Lasts: time.Minute}})
		} else {
			// TargetGroups gets a function.
			c.Check(testing.AllocsPerRun(100, func() { pick() }) <= before+1, qt.IsTrue)
		}
		l := pick()
		c.Check(l.observed.lacksPrompt, qt.IsFalse)
		q.Engine.Prompt = []promptcache.Prefix{{Hash: 2, Tokens: 900}}
		c.Check(pick().observed.lacksPrompt, qt.Equals, ordered)
		q.Engine.Prompt = prompt
	}
}

// trialOf sends all calls to a fraction of the targets of v2, then to those of v1.
type trialOf struct {
	*rollout.Gate
	fraction float64
}

func (r trialOf) TargetGroups(string, string, bool, func(string) bool) []rollout.TargetGroup {
	return []rollout.TargetGroup{{Version: "v2", Fraction: r.fraction, Why: "share"}, {Version: "v1", Why: "old version"}}
}

// A call that is restricted to a region is tried there, whichever region has the target with the least
// hash.
func TestTrialReachesEachRestrictedRegion(t *testing.T) {
	var list []Target
	for _, version := range []string{"v1", "v2"} {
		for _, dc := range []string{"dc1", "dc2"} {
			id := version + dc
			list = append(list, Target{ID: id, Service: "engines", Addr: id, Version: version, DataCentre: dc, Slots: 1})
		}
	}
	tb, _ := newTable(list...)
	tb.Regions = region.Map{"dc1": "north", "dc2": "south"}
	tb.Rollouts = trialOf{rollout.NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil))), 0.1}
	for _, name := range []string{"north", "south"} {
		l := tb.Pick(Query{Service: "engines", Regions: region.Only(name), Engine: &EngineQuery{}})
		qt.Check(t, l.Version, qt.Equals, "v2", qt.Commentf("%s", name))
	}
}
