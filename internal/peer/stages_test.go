package peer

import (
	"context"
	"io"
	"log/slog"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/region"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/standin/memnet"
)

// slowStages completes an order after the duration takes. It closes withdrawn if the order is
// cancelled first.
type slowStages struct {
	takes     time.Duration
	withdrawn chan struct{}
}

func (s *slowStages) Produce(ctx context.Context, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error) {
	accepted(stagebatch.Waits{})
	select {
	case <-ctx.Done():
		close(s.withdrawn)
		return stagebatch.Result{}, ctx.Err()
	case <-time.After(s.takes):
	}
	if o.Service == "late" {
		return stagebatch.Result{}, stagebatch.ErrLate
	}
	return stagebatch.Result{Handles: []string{o.Request + "/0", o.Request + "/1"}}, nil
}

// spillingStages is a former in a region that is short of targets. It records the orders that it is sent.
type spillingStages struct {
	slowStages
	got stagebatch.Order
}

func (s *spillingStages) Produce(_ context.Context, o stagebatch.Order, _ func(stagebatch.Waits)) (stagebatch.Result, error) {
	s.got = o
	if len(o.SpillTo) == 0 {
		return stagebatch.Result{}, stagebatch.ErrLate
	}
	return stagebatch.Result{}, &stagebatch.SpillError{Region: o.SpillTo[0]}
}

func TestOrderIsSentToAnotherRegion(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := qt.New(t)
		stages := &spillingStages{}
		cl, addr := stageServer(t, stages)
		o := stagebatch.Order{Service: "pool", Request: "r", Pieces: 1, Inputs: []string{"a"}, InputBytes: 9, SpillTo: []string{"south", "west"}, Regions: region.Only("north")}
		_, err := cl.Produce(t.Context(), addr, o, func(stagebatch.Waits) {})
		c.Assert(err, qt.DeepEquals, &stagebatch.SpillError{Region: "south"})
		c.Assert(stages.got.SpillTo, qt.DeepEquals, o.SpillTo)
		c.Assert(stages.got.InputBytes, qt.Equals, int64(9))
		o.SpillTo, o.Spilled = nil, true
		_, err = cl.Produce(t.Context(), addr, o, func(stagebatch.Waits) {})
		c.Assert(err, qt.Equals, stagebatch.ErrLate)
		c.Assert(stages.got.Spilled, qt.IsTrue)
		waits, err := cl.Waits(t.Context(), addr, "pool", region.Only("north"))
		c.Assert(err, qt.IsNil)
		c.Assert(waits, qt.DeepEquals, stages.Waits("pool", region.Set{}))
	})
}

// Guards against spilling to a busy pool whose former is of an earlier version and does not report the
// wait of orders from other regions.
func TestWaitsOfOrdersFromOtherRegionsAreNeverLessThanOwn(t *testing.T) {
	w := waitsFrom(&peerpb.Accepted{WaitMs: []int64{100, 900}})
	qt.Assert(t, w.Spilled, qt.Equals, 900*time.Millisecond)
	qt.Assert(t, waitsFrom(&peerpb.Accepted{}).Spilled, qt.Equals, time.Duration(0))
}

func (s *slowStages) Waits(string, region.Set) stagebatch.Waits {
	return stagebatch.Waits{OnTime: []time.Duration{0, time.Second}, Spilled: 2 * time.Second}
}

func (s *slowStages) Free(string, []string) {}

func (s *slowStages) FreeIfNearlyFull(string, []string) {}

// stageServer starts a server in the bubble and returns a client and its
// address.
func stageServer(t *testing.T, stages Stages) (*Client, string) {
	t.Helper()
	net := memnet.New()
	ln, err := net.Listen("10.0.0.1:1")
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(ln, []byte("key"), "server", Handler{Stages: stages}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx) }()
	cl := NewClient(net.DialFrom("10.0.0.2"), []byte("key"), "client", nil, nil)
	t.Cleanup(func() {
		cl.Close()
		cancel()
		<-done
	})
	return cl, ln.Addr().String()
}

// inBubble runs f in a synctest bubble, with virtual time. yamux keeps timers in a
// sync.Pool; a timer made in a bubble must not be used outside of it, nor one made
// outside within it.
func inBubble(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	emptyPools()
	defer emptyPools()
	synctest.Test(t, f)
}

// emptyPools empties all sync.Pools. A pool keeps its items through one garbage
// collection, so it takes two.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

func TestOrderIsReportedWhileItIsWorkedOn(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := qt.New(t)
		cl, addr := stageServer(t, &slowStages{takes: 3 * time.Second, withdrawn: make(chan struct{})})
		progress := 0
		o := stagebatch.Order{Service: "pool", Request: "r", Pieces: 2, Deadline: time.Now().Add(time.Minute)}
		res, err := cl.Produce(t.Context(), addr, o, func(stagebatch.Waits) { progress++ })
		c.Assert(err, qt.IsNil)
		c.Assert(res.Handles, qt.DeepEquals, []string{"r/0", "r/1"})
		c.Assert(progress > int(3*time.Second/orderHeartbeat)-2, qt.IsTrue, qt.Commentf("%d progress messages", progress))
		o.Service = "late"
		_, err = cl.Produce(t.Context(), addr, o, func(stagebatch.Waits) {})
		c.Assert(err, qt.Equals, stagebatch.ErrLate)
	})
}

func TestOrderIsWithdrawnWithItsCaller(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		c := qt.New(t)
		stages := &slowStages{takes: time.Hour, withdrawn: make(chan struct{})}
		cl, addr := stageServer(t, stages)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := cl.Produce(ctx, addr, stagebatch.Order{Service: "pool", Pieces: 2}, func(stagebatch.Waits) {})
		c.Assert(err, qt.IsNotNil)
		<-stages.withdrawn
	})
}
