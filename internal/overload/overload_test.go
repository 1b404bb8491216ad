package overload

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestOnlyAQueueThatDoesNotEmptyCounts(t *testing.T) {
	for name, tc := range map[string]struct {
		delays []time.Duration
		want   time.Duration
	}{
		"idle":                    {make([]time.Duration, 10), 0},
		"a pause of the process":  {[]time.Duration{0, 0, 5 * time.Second, 0, 0, 0, 0, 0, 0, 0}, 0},
		"a quota that is used up": {[]time.Duration{0, 90, 0, 90, 0, 90, 0, 90, 0, 90}, 0},
		"a queue":                 {[]time.Duration{300, 200, 250, 400, 500, 450, 300, 250, 210, 220}, 200},
	} {
		t.Run(name, func(t *testing.T) {
			var m minimum
			for i, d := range tc.delays {
				least, full := m.add(d)
				qt.Check(t, full, qt.Equals, i == len(tc.delays)-1)
				if full {
					qt.Check(t, least, qt.Equals, tc.want)
				}
			}
		})
	}
}

func TestShareFollowsTheDelay(t *testing.T) {
	c := qt.New(t)
	var changes []bool
	d := &Detector{OnChange: func(shedding bool, _ time.Duration) { changes = append(changes, shedding) }}
	for range 10 {
		d.update(maxDelay)
	}
	c.Check(d.Share(), qt.Equals, 0.0)
	for range 10 {
		d.update(2 * maxDelay)
	}
	c.Check(d.Share(), qt.Equals, maxShed)
	for range 10 {
		d.update(0)
	}
	c.Check(d.Share(), qt.Equals, 0.0)
	c.Check(changes, qt.DeepEquals, []bool{true, false})
}

func TestGateClosesItsShareAndNoMoreThanRoom(t *testing.T) {
	c := qt.New(t)
	share := 0.0
	g := &Gate{Share: func() float64 { return share }, Most: 50}
	taken := func(n int) (k int) {
		for range n {
			if g.Enter() {
				k++
			}
		}
		return k
	}
	c.Check(taken(25), qt.Equals, 25)
	c.Check(g.Crowded(), qt.IsFalse)
	c.Check(taken(100), qt.Equals, 25)
	c.Check(g.Crowded(), qt.IsTrue)
	for range 50 {
		g.Leave()
	}
	share = maxShed
	c.Check(taken(100), qt.Equals, 20)
	open, closed := g.Counts()
	c.Check(open, qt.Equals, 20)
	c.Check(closed, qt.Equals, int64(155))
}

func TestRoomFollowsTheDescriptors(t *testing.T) {
	for descriptors, want := range map[int]int{0: 0, 100: 25, 600: 150, 1024: 262, 4100: 1800, 8192: 3846} {
		qt.Check(t, MostConnections(descriptors, 0, 0), qt.Equals, want, qt.Commentf("%d descriptors", descriptors))
	}
}

// A balancer takes a node that accepts none of seven connections for a failed one.
func TestFewConnectionsAreClosedInARow(t *testing.T) {
	g := &Gate{Share: func() float64 { return maxShed }}
	row, most := 0, 0
	for range 1000 {
		if row++; g.Enter() {
			row = 0
		}
		most = max(most, row)
	}
	qt.Check(t, most < 7, qt.IsTrue, qt.Commentf("%d closed in a row", most))
}
