package region_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
)

func TestSets(t *testing.T) {
	c := qt.New(t)
	var all region.Set
	north, both, none := region.Only("north"), region.Only("south", "north", "north"), region.Only()
	c.Assert(all.Has("north") && all.Has("") && all.All() && !all.Empty(), qt.IsTrue)
	c.Assert(north.Has("north"), qt.IsTrue)
	c.Assert(north.Has("south") || north.Has(""), qt.IsFalse)
	c.Assert(both.Intersect(north).String(), qt.Equals, "north")
	c.Assert(all.Intersect(north).String(), qt.Equals, "north")
	c.Assert(north.Intersect(all).String(), qt.Equals, "north")
	c.Assert(north.Intersect(region.Only("south")).Empty(), qt.IsTrue)
	c.Assert(none.Empty() && !none.Has("north") && !none.All(), qt.IsTrue)
	c.Assert(both.String(), qt.Equals, "north,south")
}

func TestPlacesThatAreNotKnownAreOutside(t *testing.T) {
	c := qt.New(t)
	m := region.Map{"n1": "north", "s1": "south"}
	c.Assert(m.Allows(region.Only("north"), "n1"), qt.IsTrue)
	c.Assert(m.Allows(region.Only("north"), "s1"), qt.IsFalse)
	c.Assert(m.Allows(region.Only("north"), "x1"), qt.IsFalse)
	c.Assert(m.Allows(region.Set{}, "x1"), qt.IsTrue)
	c.Assert(m.Missing(region.Only("north", "west")), qt.DeepEquals, []string{"west"})
}
