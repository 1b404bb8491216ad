package targets

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
)

// newReachTable returns a table of a node in north with one target in south, which has ten slots.
func newReachTable() (*Table, *clock, *state) {
	tb, now := newTable(Target{ID: "a", Service: "s", Addr: "a", DataCentre: "south", Slots: 10})
	tb.DataCentre, tb.Regions, tb.Crossing = "north", region.Map{"north": "north", "south": "south"}, region.DefaultCrossing
	return tb, now, tb.byID["a"]
}

// A target that was slow must get calls from other regions again: a node that no longer
// calls it cannot measure that it is fast now.
func TestSlowTargetOfAnotherRegionIsCalledAgain(t *testing.T) {
	tb, now, _ := newReachTable()
	q := Query{Service: "s", Left: time.Second}
	tb.Pick(q).Done(Served, 3*time.Second)
	qt.Check(t, tb.Pick(q), qt.IsNil)
	now.at = now.at.Add(latencyMaxAge)
	qt.Check(t, tb.Pick(q), qt.IsNotNil)
}

// The price of the bytes is not part of the time that a call takes: it must not keep a large request of a region
// without targets from the only ones that there are.
func TestLargeRequestOfALostRegionIsServed(t *testing.T) {
	tb, _, _ := newReachTable()
	qt.Check(t, tb.Pick(Query{Service: "s", Left: time.Second, Exchange: Exchange{Bytes: 1_000_000}}), qt.IsNotNil)
}

// The targets of one region serve all calls, also if the region of some data centres is not known.
func TestNothingIsBeyondReachWithOneRegion(t *testing.T) {
	for _, regions := range []region.Map{nil, {"north": "x"}, {"north": "x", "south": "x"}} {
		tb, _, s := newReachTable()
		tb.Regions, s.inFlight = regions, 1000
		qt.Check(t, tb.Pick(Query{Service: "s", Rank: 9, Left: time.Millisecond}), qt.IsNotNil, qt.Commentf("%v", regions))
	}
}

// Each rank gets its own share of the slots of another region, with and without targets at home.
func TestSharesOfOutsideCallsByRank(t *testing.T) {
	for _, test := range []struct{ rank, spare, lost int }{
		{0, 10, 20}, {1, 9, 18}, {2, 8, 16}, {4, 6, 12}, {5, 5, 10}, {9, 5, 10},
	} {
		for _, own := range []bool{true, false} {
			tb, _, s := newReachTable()
			want := test.lost
			if own {
				want = test.spare
				tb.Change(ListUpdate{Updated: []Target{{ID: "b", Service: "s", Addr: "b", DataCentre: "north", Slots: 1}}}, time.Time{})
				tb.byID["b"].inFlight = 1000
			}
			for s.inFlight < 100 {
				if l := tb.Pick(Query{Service: "s", Rank: test.rank}); l == nil || l.ID != "a" {
					break
				}
			}
			qt.Check(t, s.inFlight, qt.Equals, want, qt.Commentf("rank %d, own targets: %v", test.rank, own))
		}
	}
}

// A region without targets must not be starved by an old report of load: after loadMaxAge the target
// counts as free but for this node's calls.
func TestReportOfAFullTargetExpires(t *testing.T) {
	tb, now, s := newReachTable()
	q := Query{Service: "s", Rank: 9}
	l := tb.Pick(q)
	l.RecordLoad(Load{Running: 10, Waiting: 50})
	l.Done(Served, 0)
	qt.Check(t, tb.Pick(q), qt.IsNil)
	now.at = now.at.Add(loadMaxAge + time.Millisecond)
	qt.Check(t, tb.Pick(q), qt.IsNotNil)
	qt.Check(t, s.inFlight, qt.Equals, 1)
}

// A stream whose caller has a part of the answer is not broken off because another region is full.
func TestResumedStreamGoesToAFullRegion(t *testing.T) {
	tb, _, s := newReachTable()
	s.inFlight = 20
	q := Query{Service: "s", Rank: 9, Engine: &EngineQuery{Affinity: 7, Tokens: 9000, Shared: 6300}}
	qt.Check(t, tb.Pick(q), qt.IsNil)
	q.Resumed = true
	qt.Check(t, tb.Pick(q), qt.IsNotNil)
}

// With one region the cost of crossing has no effect, also if the region of some data centres is not known.
func TestNoCostOfTheWayWithOneRegion(t *testing.T) {
	tb, _, _ := newReachTable()
	tb.Regions = region.Map{"north": "x"}
	tb.Change(ListUpdate{Updated: []Target{{ID: "b", Service: "s", Addr: "b", DataCentre: "north", Slots: 1}}}, time.Time{})
	tb.byID["b"].inFlight = 1
	qt.Check(t, tb.Pick(Query{Service: "s", Exchange: Exchange{Bytes: 100_000}}).ID, qt.Equals, "a")
}
