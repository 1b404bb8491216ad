package targets

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
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
