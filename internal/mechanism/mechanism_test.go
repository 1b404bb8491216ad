package mechanism

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestNamesAndSetsMatch(t *testing.T) {
	c := qt.New(t)
	var all Set
	for i, name := range Names() {
		var s Set
		c.Assert(s.UnmarshalText([]byte(name)), qt.IsNil)
		c.Assert(s, qt.Equals, Set(1<<i))
		c.Assert(s.String(), qt.Equals, name)
		all |= s
	}
	c.Assert(all.Has(CopyPrompts) && all.Has(Relays), qt.IsTrue)
	c.Assert(Relays, qt.Equals, Set(1<<(len(Names())-1)))
	var s Set
	c.Assert(s.UnmarshalText([]byte("hedges, ranks")), qt.IsNil)
	c.Assert(s, qt.Equals, Hedges|Ranks)
	c.Assert(s.UnmarshalText([]byte("hedges,luck")), qt.ErrorMatches, `"luck" is no mechanism: write some of .*`)
}
