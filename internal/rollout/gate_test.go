package rollout

import (
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After the host was suspended a share is valid only once the owner has answered a new report.
func TestShareLapsesWhenTheHostStoodStill(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.random = func() float64 { return 0 }
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	s := g.orders["s"]
	tried := func() bool {
		return g.TargetGroups("s", false, func(string) bool { return true })[0].Version == "v2"
	}
	running := Answer{State: Running, Share: 0.1}
	r, unreportedBad, lapses := g.next(s)
	g.applyAnswer(s, r, unreportedBad, lapses, running)
	c.Assert(tried(), qt.IsTrue)
	g.Expire()
	c.Assert(tried(), qt.IsFalse)
	// This answers a report from before the suspension.
	g.applyAnswer(s, r, unreportedBad, lapses, running)
	c.Assert(tried(), qt.IsFalse)
	r, unreportedBad, lapses = g.next(s)
	g.applyAnswer(s, r, unreportedBad, lapses, running)
	c.Assert(tried(), qt.IsTrue)
}

// The owner hears at once that nothing is left at the old version, where all traffic goes to the new one.
func TestEndOfTheLastCallAtTheOldVersionIsReportedAtOnce(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	s := g.orders["s"]
	for _, share := range []float64{0.25, 1} {
		s.answer = Answer{State: Running, Share: share}
		g.Sent(Call{Service: "s", Version: "v1"})
		g.Ended(Call{Service: "s", Version: "v1"}, Good, time.Millisecond)
		c.Check(len(s.wake) == 1, qt.Equals, share == 1)
	}
}
