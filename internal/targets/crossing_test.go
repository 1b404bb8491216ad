package targets

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
)

const (
	playTick = 5 * time.Millisecond
	// playWork is how long a target works on a call, playObjective what callers want.
	playWork      = 100 * time.Millisecond
	playObjective = 250 * time.Millisecond
	playDeadline  = time.Second
	playSlots     = 4
)

// played is a call of the play.
type played struct {
	from    string
	rank    int
	arrived time.Time
	began   time.Time
	lease   *Lease
}

// playedTarget runs up to playSlots calls at once; others wait in order of arrival.
type playedTarget struct{ running, waiting []*played }

// play is a fleet with one node in each region, whose calls of ranks 0 and 4 alternate.
type play struct {
	at      time.Time
	tables  map[string]*Table
	targets map[string]*playedTarget
	// cut are the regions that can't be reached from others.
	cut map[string]bool
	// inTime and asked count calls by region and rank, crossed those that left their region.
	inTime, asked map[string]int
	crossed       int
}

// newPlay returns a fleet with some targets in each region.
func newPlay(targets map[string]int) *play {
	p := &play{
		at: time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC), tables: make(map[string]*Table), targets: make(map[string]*playedTarget),
		cut: make(map[string]bool), inTime: make(map[string]int), asked: make(map[string]int),
	}
	var list []Target
	regions := region.Map{}
	for name, n := range targets {
		regions[name] = name
		for i := range n {
			id := fmt.Sprint(name, i)
			list = append(list, Target{ID: id, Service: "s", Addr: id, DataCentre: name, Slots: playSlots})
			p.targets[id] = &playedTarget{}
		}
	}
	for name := range targets {
		t := New(name)
		t.now = func() time.Time { return p.at }
		t.Regions, t.Crossing = regions, region.DefaultCrossing
		t.Replace(list, time.Time{})
		p.tables[name] = t
	}
	return p
}

func key(from string, rank int) string { return fmt.Sprint(from, " rank ", rank) }

// run plays some time with arrivals a second in each region.
func (p *play) run(d time.Duration, perSecond map[string]int) {
	due := make(map[string]float64)
	count := make(map[string]int)
	for end := p.at.Add(d); p.at.Before(end); p.at = p.at.Add(playTick) {
		p.work()
		for name, rate := range perSecond {
			for due[name] += float64(rate) * playTick.Seconds(); due[name] >= 1; due[name]-- {
				p.arrive(name, 4*(count[name]%2))
				count[name]++
			}
		}
	}
}

func (p *play) arrive(from string, rank int) {
	p.asked[key(from, rank)]++
	l := p.tables[from].Pick(Query{Service: "s", Rank: rank, Left: playDeadline, Exchange: Exchange{Bytes: 1000}})
	if l == nil {
		return
	}
	if l.DataCentre != from {
		if p.cut[from] || p.cut[l.DataCentre] {
			l.Done(Unreachable, 0)
			return
		}
		p.crossed++
		if l.Basis.Crossed.Region != l.DataCentre || l.Basis.Crossed.Cost < region.DefaultCrossing.RoundTrip {
			panic("the lease does not give the cost of its crossing")
		}
	}
	t := p.targets[l.ID]
	t.waiting = append(t.waiting, &played{from: from, rank: rank, arrived: p.at, lease: l})
}

// work ends calls, and begins those that wait, at all targets.
func (p *play) work() {
	for _, t := range p.targets {
		var running []*played
		for _, c := range t.running {
			if p.at.Sub(c.began) < playWork {
				running = append(running, c)
				continue
			}
			c.lease.RecordLoad(Load{Running: len(t.running), Waiting: len(t.waiting)})
			c.lease.Done(Served, p.at.Sub(c.arrived))
			if p.at.Sub(c.arrived) <= playObjective {
				p.inTime[key(c.from, c.rank)]++
			}
		}
		for len(running) < playSlots && len(t.waiting) > 0 {
			t.waiting[0].began = p.at
			running, t.waiting = append(running, t.waiting[0]), t.waiting[1:]
		}
		t.running = running
	}
}

// share is the share of calls that were served in time.
func (p *play) share(from string, rank int) float64 {
	return float64(p.inTime[key(from, rank)]) / float64(p.asked[key(from, rank)])
}

// A region with one and a half times the calls that its targets can serve sends the excess to a
// region with spare slots, whose own callers notice nothing.
func TestFullRegionSpillsToOneWithSpareSlots(t *testing.T) {
	p := newPlay(map[string]int{"north": 4, "south": 4})
	p.run(20*time.Second, map[string]int{"north": 230, "south": 40})
	qt.Check(t, p.share("south", 0) > 0.97, qt.IsTrue, qt.Commentf("%v", p.share("south", 0)))
	qt.Check(t, p.share("south", 4) > 0.97, qt.IsTrue, qt.Commentf("%v", p.share("south", 4)))
	qt.Check(t, p.share("north", 0) > 0.95, qt.IsTrue, qt.Commentf("%v", p.share("north", 0)))
	qt.Check(t, p.crossed > 1000, qt.IsTrue, qt.Commentf("%d", p.crossed))
}

// A region without targets is served by another one, which can't serve all: its own callers keep
// most of what they had, and urgent calls of the lost region come before the others.
func TestLostRegionIsServedInTheOrderOfRanks(t *testing.T) {
	p := newPlay(map[string]int{"north": 0, "south": 4})
	p.run(20*time.Second, map[string]int{"north": 150, "south": 80})
	qt.Check(t, p.share("south", 0) > 0.9, qt.IsTrue, qt.Commentf("%v", p.share("south", 0)))
	qt.Check(t, p.share("north", 0) > p.share("north", 4)+0.1, qt.IsTrue, qt.Commentf("%v %v", p.share("north", 0), p.share("north", 4)))
	qt.Check(t, p.share("north", 0) > 0.7, qt.IsTrue, qt.Commentf("%v", p.share("north", 0)))
}

// Two regions that are short at the same time share the spare slots of the third.
func TestTwoShortRegionsLeaveTheThirdItsOwn(t *testing.T) {
	p := newPlay(map[string]int{"north": 2, "south": 2, "west": 4})
	p.run(20*time.Second, map[string]int{"north": 120, "south": 120, "west": 80})
	qt.Check(t, p.share("west", 0) > 0.9, qt.IsTrue, qt.Commentf("%v", p.share("west", 0)))
	qt.Check(t, p.share("west", 4) > 0.9, qt.IsTrue, qt.Commentf("%v", p.share("west", 4)))
	for _, name := range []string{"north", "south"} {
		qt.Check(t, p.share(name, 0) > 0.4, qt.IsTrue, qt.Commentf("%v", p.share(name, 0)))
		qt.Check(t, p.share(name, 0) >= p.share(name, 4)-0.05, qt.IsTrue, qt.Commentf("%v %v", p.share(name, 0), p.share(name, 4)))
	}
}

// While its links to other regions are cut, a region serves by itself; afterwards it spills again.
func TestCutRegionKeepsItsCallsUntilTheLinksAreBack(t *testing.T) {
	p := newPlay(map[string]int{"north": 4, "south": 4})
	load := map[string]int{"north": 150, "south": 40}
	p.cut["north"] = true
	p.run(10*time.Second, load)
	qt.Check(t, p.crossed, qt.Equals, 0)
	qt.Check(t, p.share("north", 0) > 0.9, qt.IsTrue, qt.Commentf("%v", p.share("north", 0)))
	p.cut["north"] = false
	p.run(10*time.Second, map[string]int{"north": 230, "south": 40})
	qt.Check(t, p.crossed > 300, qt.IsTrue, qt.Commentf("%d", p.crossed))
}

func TestCallsThatCannotEndInTimeStay(t *testing.T) {
	p := newPlay(map[string]int{"north": 0, "south": 1})
	north := p.tables["north"]
	qt.Check(t, north.Pick(Query{Service: "s", Left: 50 * time.Millisecond}), qt.IsNil)
	qt.Check(t, north.Pick(Query{Service: "s", Left: 70 * time.Millisecond}), qt.IsNotNil)
	// A call that may be served only elsewhere is no call from outside.
	qt.Check(t, north.Pick(Query{Service: "s", Left: 50 * time.Millisecond, Regions: region.Only("south")}), qt.IsNotNil)
}

// A prompt keeps to an engine of each region unless its shared parts take longer to read again than
// crossing to another region costs, bytes and round trips of the stages included.
func TestEachRegionPrefersAnEngineOfItsOwn(t *testing.T) {
	for _, test := range []struct {
		name string
		e    Exchange
		far  bool
	}{
		{"short request", Exchange{Bytes: 2000}, true},
		{"long request", Exchange{Bytes: 40_000}, false},
		{"request with stages", Exchange{Bytes: 2000, RoundTrips: 4}, false},
	} {
		tb, _ := newTableInRegions(6)
		far := 0
		for i := range 30 {
			l := tb.Pick(Query{Service: "engines", Engine: &EngineQuery{Affinity: uint64(i + 1), Tokens: 9000, Shared: 6300}, Exchange: test.e})
			if l.DataCentre == "dc2" {
				far++
			}
			l.MarkPromptRead()
			l.Done(Served, 0)
		}
		qt.Check(t, far > 5, qt.Equals, test.far, qt.Commentf("%s: %d", test.name, far))
	}
}
