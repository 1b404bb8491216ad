package targets

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/promptcache"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
)

// newTableInRegions returns a table of n engines in two data centres, each in its own region.
func newTableInRegions(n int) (*Table, *clock) {
	tb, now := newTable(engines(n)...)
	tb.Regions = region.Map{"dc1": "north", "dc2": "south"}
	tb.Crossing = region.DefaultCrossing
	return tb, now
}

func TestPromptsAreNotCopiedFromOtherRegions(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTableInRegions(6)
	q := EngineQuery{Affinity: 7, Tokens: 9000, Shared: 6300, Prompt: []promptcache.Prefix{{Hash: 7, Tokens: 6300}, {Hash: 8, Tokens: 9000}}}
	read := tb.Pick(Query{Service: "engines", Engine: &q, Regions: region.Only("south")})
	read.MarkPromptRead()
	read.Done(Served, 0)
	copying := tb.Pick(Query{Service: "engines", Engine: &q, Exclude: []string{read.ID}, Regions: region.Only("south")})
	c.Assert(copying.CopyFrom, qt.Equals, read.Addr)
	for range 3 {
		l := tb.Pick(Query{Service: "engines", Engine: &q, Regions: region.Only("north")})
		c.Assert(l.DataCentre, qt.Equals, "dc1")
		if l.CopyFrom != "" {
			c.Assert(tb.DataCentreOf(l.CopyFrom), qt.Equals, "dc1")
		}
	}
}

func TestRestsOfOtherRegionsDoNotCount(t *testing.T) {
	c := qt.New(t)
	tb, now := newTableInRegions(2)
	l := tb.Pick(Query{Service: "engines", Regions: region.Only("north")})
	l.UpdateReadiness(readiness.Notice{Rest: 3 * time.Second}, true)
	l.Done(Busy, 0)
	at, ok := tb.AvailableAt("engines", region.Only("north"))
	c.Assert(ok, qt.IsTrue)
	c.Assert(at.Sub(now.at), qt.Equals, 3*time.Second)
	at, ok = tb.AvailableAt("engines", region.Only("south"))
	c.Assert(ok && at.IsZero(), qt.IsTrue)
	_, ok = tb.AvailableAt("engines", region.Only("west"))
	c.Assert(ok, qt.IsFalse)
}

// Calls leave the region of the node only if its targets there are busy, or if an engine elsewhere
// is preferred for a prompt that takes long to read.
func TestCallsStayInTheRegionOfTheNodeWhileItsTargetsAreFree(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTableInRegions(6)
	for i := range 30 {
		q := EngineQuery{Affinity: uint64(i + 1), Tokens: 2000, Shared: 500}
		l := tb.Pick(Query{Service: "engines", Engine: &q})
		c.Assert(l.DataCentre, qt.Equals, "dc1")
		l.MarkPromptRead()
		l.Done(Served, 0)
		plain := tb.Pick(Query{Service: "engines"})
		c.Assert(plain.DataCentre, qt.Equals, "dc1")
		plain.Done(Served, 10*time.Millisecond)
	}
	far := 0
	for i := range 30 {
		l := tb.Pick(Query{Service: "engines", Engine: &EngineQuery{Affinity: uint64(i + 1), Tokens: 9000, Shared: 6300}})
		if l.DataCentre == "dc2" {
			far++
		}
		l.MarkPromptRead()
		l.Done(Served, 0)
	}
	c.Assert(far > 5, qt.IsTrue)
	for _, s := range tb.byID {
		if s.DataCentre == "dc1" {
			s.inFlight = 2000
		}
	}
	q := EngineQuery{Affinity: 3, Tokens: 9000, Shared: 6300}
	c.Assert(tb.Pick(Query{Service: "engines", Engine: &q}).DataCentre, qt.Equals, "dc2")
	c.Assert(tb.Pick(Query{Service: "engines"}).DataCentre, qt.Equals, "dc2")
}

// A copy comes from the target's own region unless an engine elsewhere has so much more that reading
// the rest takes longer than the crossing.
func TestCopiesComeFromTheOwnRegionIfItHasAlmostAsMuch(t *testing.T) {
	tb := New("north-a")
	tb.Regions, tb.Crossing = region.Map{"north-a": "north", "north-b": "north", "south": "south"}, region.DefaultCrossing
	at := func(dataCentre string, tokens int) promptHolder {
		return promptHolder{&state{Target: Target{Addr: dataCentre, DataCentre: dataCentre}}, tokens}
	}
	s := at("north-a", 0).state
	for _, test := range []struct {
		far, near int
		want      string
	}{
		{6300, 6300, "north-b"}, {6400, 6300, "north-b"}, {9000, 6300, "south"}, {6300, 0, "south"}, {700, 0, ""}, {700, 100, "north-b"}, {0, 0, ""},
	} {
		holders := []promptHolder{at("south", test.far), at("north-b", test.near)}
		qt.Check(t, tb.copyFrom(s, holders), qt.Equals, test.want, qt.Commentf("%v", test))
	}
}
