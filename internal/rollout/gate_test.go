package rollout

import (
	"io"
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// After the host stood still a share holds only once the owner has answered anew.
func TestShareLapsesWhenTheHostStoodStill(t *testing.T) {
	c := qt.New(t)
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.draw = func() float64 { return 0 }
	g.SetOrders([]Order{{Service: "s", To: "v2", Lasts: time.Minute}})
	s := g.orders["s"]
	tried := func() bool {
		return g.Lanes("s", false, func(string) bool { return true })[0].Only == "v2"
	}
	running := Answer{State: Running, Share: 0.1}
	r, unheard, lapses := g.next(s)
	g.heard(s, r, unheard, lapses, running)
	c.Assert(tried(), qt.IsTrue)
	g.Lapse()
	c.Assert(tried(), qt.IsFalse)
	// An answer to what was asked before.
	g.heard(s, r, unheard, lapses, running)
	c.Assert(tried(), qt.IsFalse)
	r, unheard, lapses = g.next(s)
	g.heard(s, r, unheard, lapses, running)
	c.Assert(tried(), qt.IsTrue)
}
