package spill_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/spill"
	_ "topazmoor/internal/standin/fixedseed"
)

const ms = time.Millisecond

// order is due in 500 ms and useless after 2 s.
var order = spill.Order{UntilDue: 500 * ms, UntilDeadline: 2000 * ms, Trip: 24 * ms, Cost: 100 * ms}

func pool(name string, wait, late time.Duration) spill.Pool {
	return spill.Pool{Region: name, Wait: wait, Late: late, Takes: 200 * ms}
}

func TestDecisions(t *testing.T) {
	stale := pool("south", 0, 0)
	stale.Age = spill.MaxAge + ms
	for name, tc := range map[string]struct {
		home   spill.Pool
		others []spill.Pool
		action spill.Action
		region string
	}{
		"on time at home":                 {pool("north", 50*ms, 900*ms), []spill.Pool{pool("south", 0, 0)}, spill.Keep, "north"},
		"just on time at home":            {pool("north", 300*ms, 900*ms), []spill.Pool{pool("south", 150*ms, 0)}, spill.Send, "south"},
		"just on time, nowhere sooner":    {pool("north", 300*ms, 3000*ms), []spill.Pool{pool("south", 250*ms, 0)}, spill.Keep, "north"},
		"on time only elsewhere":          {pool("north", 400*ms, 900*ms), []spill.Pool{pool("south", 200*ms, 0), pool("west", 100*ms, 0)}, spill.Send, "west"},
		"gain less than the cost":         {pool("north", 310*ms, 900*ms), []spill.Pool{pool("south", 250*ms, 0)}, spill.Keep, "north"},
		"late everywhere":                 {pool("north", 400*ms, 900*ms), []spill.Pool{pool("south", 290*ms, 0)}, spill.Keep, "north"},
		"by its deadline only elsewhere":  {pool("north", 400*ms, 3000*ms), []spill.Pool{pool("south", 400*ms, 900*ms)}, spill.Send, "south"},
		"by its deadline nowhere":         {pool("north", 400*ms, 3000*ms), []spill.Pool{pool("south", 400*ms, 3000*ms)}, spill.Refuse, "north"},
		"other region not heard of":       {pool("north", 400*ms, 900*ms), []spill.Pool{stale}, spill.Keep, "north"},
		"no other region allowed":         {pool("north", 400*ms, 900*ms), nil, spill.Keep, "north"},
		"deadline missed, nothing to ask": {pool("north", 4000*ms, 4000*ms), nil, spill.Refuse, "north"},
	} {
		t.Run(name, func(t *testing.T) {
			d := spill.Decide(order, tc.home, tc.others)
			qt.Assert(t, d.Action, qt.Equals, tc.action)
			qt.Assert(t, d.Region, qt.Equals, tc.region)
		})
	}
}

func drawPool(t *rapid.T, name string) spill.Pool {
	draw := func(what string, most int) time.Duration {
		return time.Duration(rapid.IntRange(0, most).Draw(t, name+" "+what)) * ms
	}
	return spill.Pool{Region: name, Wait: draw("wait", 3000), Late: draw("late", 3000), Takes: 200*ms + draw("takes", 200), Age: draw("age", 2000)}
}

// ends is the oracle: whether a region would complete the order on time, and by its deadline.
func ends(o spill.Order, p spill.Pool, trip time.Duration) (onTime, byDeadline bool) {
	late := max(p.Wait, p.Late)
	return p.Wait+trip+p.Takes <= o.UntilDue, late*9/10+trip+p.Takes <= o.UntilDeadline
}

func TestOracleOrdersLeaveOnlyForARegionThatServesThemBetter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o, home := order, drawPool(t, "north")
		o.UntilDue = time.Duration(rapid.IntRange(0, 2000).Draw(t, "due")) * ms
		others := []spill.Pool{drawPool(t, "south"), drawPool(t, "west")}
		d := spill.Decide(o, home, others)
		onTimeAtHome, byDeadlineAtHome := ends(o, home, 0)
		switch d.Action {
		case spill.Keep:
			if !onTimeAtHome && !byDeadlineAtHome {
				t.Fatalf("kept although it is of no use: %+v", d)
			}
		case spill.Refuse:
			if onTimeAtHome || byDeadlineAtHome {
				t.Fatalf("refused although home serves it: %+v", d)
			}
		case spill.Send:
			if home.Wait+home.Takes+250*ms <= o.UntilDue {
				t.Fatalf("sent although it is on time at home: %+v", d)
			}
			for _, p := range others {
				onTime, byDeadline := ends(o, p, o.Trip)
				if p.Region != d.Region {
					continue
				}
				if p.Age > spill.MaxAge || !onTime && (onTimeAtHome || byDeadlineAtHome || !byDeadline) {
					t.Fatalf("sent to a region that does not serve it better: %+v", d)
				}
			}
		}
		// A less urgent order waits at least as long at home: it leaves if a more urgent one does.
		less := home
		less.Wait += time.Duration(rapid.IntRange(0, 500).Draw(t, "longer")) * ms
		less.Late = max(less.Late, less.Wait)
		if d.Action == spill.Send && spill.Decide(o, less, others).Action != spill.Send {
			t.Fatalf("an urgent order leaves before a less urgent one: %+v", d)
		}
	})
}
