package stagebatch

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
)

func TestOrderWithoutATargetInItsRegionsIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, f := poolInTwoDataCentres()
		f.Regions = region.Map{"d1": "north", "d2": "north"}
		o := orderPreferring("a", "", 1, time.Second)
		o.Regions = region.Only("south")
		began := time.Now()
		_, err := f.Produce(t.Context(), o, nil)
		qt.Assert(t, err, qt.Equals, ErrNoTarget)
		qt.Assert(t, time.Since(began), qt.Equals, time.Duration(0))
	})
}

func TestBatchesOfARegionAreFormedThere(t *testing.T) {
	c := qt.New(t)
	_, f := poolInTwoDataCentres()
	f.Regions = region.Map{"n1": "north", "s1": "south"}
	others := []Node{{Name: "n", DataCentre: "n1"}, {Name: "s", DataCentre: "s1"}}
	r := NewRouter(Node{Name: "self", DataCentre: "n1"}, f, &slowRemote{}, func() []Node { return others }, discardLog)
	c.Assert(r.ranked("pool", region.Set{}), qt.HasLen, 3)
	c.Assert(r.ranked("pool", region.Only("south")), qt.DeepEquals, others[1:])
	for _, n := range r.ranked("pool", region.Only("north")) {
		c.Assert(n.DataCentre, qt.Equals, "n1")
	}
}
