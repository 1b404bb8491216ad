package stagebatch

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/routes"
	"topazmoor/internal/targets"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// slowRemote is another node that takes long for an order and reports its progress or not.
type slowRemote struct {
	takes time.Duration
	// interval is the time between two reports that the node is working on an order; 0 for a
	// single report at the start.
	interval time.Duration
	orders   int
}

func (r *slowRemote) Produce(ctx context.Context, _ string, o Order, accepted func(Waits)) (Result, error) {
	r.orders++
	accepted(Waits{})
	end := time.After(r.takes)
	var tick <-chan time.Time
	if r.interval > 0 {
		t := time.NewTicker(r.interval)
		defer t.Stop()
		tick = t.C
	}
	for {
		select {
		case <-ctx.Done():
			return Result{}, ctx.Err()
		case <-tick:
			accepted(Waits{})
		case <-end:
			return Result{Handles: make([]string, o.Pieces)}, nil
		}
	}
}

func (r *slowRemote) Free(context.Context, string, string, []string, bool) error { return nil }

// fixedTimeWorker is a Worker whose calls always take 200 ms.
type fixedTimeWorker struct{}

func (fixedTimeWorker) Run(ctx context.Context, t targets.Target, items []Item, may func() bool) (Reply, error) {
	time.Sleep(200 * time.Millisecond)
	out := make([]ItemResult, len(items))
	for i, it := range items {
		out[i].Handle = t.Addr + "/" + it.Request
	}
	return Reply{Results: out}, nil
}

func (fixedTimeWorker) Free(context.Context, string, []string) error { return nil }
func (fixedTimeWorker) Space(context.Context, string) (int64, error) { return 1 << 20, nil }
func (fixedTimeWorker) HolderAddr(string) string                     { return "" }

func poolSpec(string) *routes.Batch {
	return &routes.Batch{Slots: 1, Queue: 2, Items: 8, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond, ResultSpace: 1 << 20, Keep: 4 * time.Second}
}

// routerTo returns a Router whose node forms batches only if the remote node does not.
func routerTo(r Remote) *Router {
	list := targets.New("dc")
	list.Replace([]targets.Target{{ID: "t", Service: "pool", Addr: "a:1", DataCentre: "dc", Slots: 1}}, time.Time{})
	local := NewFormer(fixedTimeWorker{}, list, poolSpec, discardLog)
	router := NewRouter(Node{Name: "self"}, local, r, func() []Node { return []Node{{Name: "other", Addr: "b:1"}} }, discardLog)
	router.Stop()
	return router
}

func orderOf(pieces int) Order {
	now := time.Now()
	return Order{Service: "pool", Request: "r", Pieces: pieces, Due: now.Add(time.Second), Deadline: now.Add(20 * time.Second)}
}

// Guards against treating the former of a slow pool as dead: its orders are then sent to other
// nodes too, and the pool produces the same pieces several times.
func TestSlowFormerIsNotTakenForADeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		remote := &slowRemote{takes: 8 * time.Second, interval: 250 * time.Millisecond}
		router := routerTo(remote)
		res, err := router.Produce(t.Context(), orderOf(3))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Former, qt.Equals, "b:1")
		c.Assert(remote.orders, qt.Equals, 1)
		c.Assert(router.Live(), qt.Equals, 2)
	})
}

func TestSilentFormerIsPassedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		remote := &slowRemote{takes: time.Hour}
		router := routerTo(remote)
		start := time.Now()
		res, err := router.Produce(t.Context(), orderOf(3))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Former, qt.Equals, "")
		c.Assert(time.Since(start) < silenceTimeout+time.Second, qt.IsTrue)
		c.Assert(router.Live(), qt.Equals, 1)
		// It receives orders again later.
		time.Sleep(suspectFor)
		c.Assert(router.Live(), qt.Equals, 2)
	})
}

// stuckRemote is a node with a stalled connection: a call ends only long after it was cancelled,
// and returns results.
type stuckRemote struct {
	takes time.Duration
	freed atomic.Int32
}

func (r *stuckRemote) Produce(context.Context, string, Order, func(Waits)) (Result, error) {
	time.Sleep(r.takes)
	return Result{Handles: []string{"late"}}, nil
}

func (r *stuckRemote) Free(context.Context, string, string, []string, bool) error {
	r.freed.Add(1)
	return nil
}

// Guards against an order that waits until its stuck call ends, seconds instead of the timeout
// after which an unresponsive node is skipped.
func TestStuckCallIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		remote := &stuckRemote{takes: 3 * time.Second}
		router := routerTo(remote)
		start := time.Now()
		res, err := router.Produce(t.Context(), orderOf(1))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Former, qt.Equals, "")
		c.Assert(time.Since(start) < acceptTimeout+500*time.Millisecond, qt.IsTrue)
		time.Sleep(4 * time.Second)
		c.Assert(remote.freed.Load(), qt.Equals, int32(1))
	})
}

// startingRemote is a node that has just started and knows no targets.
type startingRemote struct{ slowRemote }

func (r *startingRemote) Produce(context.Context, string, Order, func(Waits)) (Result, error) {
	r.orders++
	return Result{}, ErrNoTarget
}

// Guards against orders that fail after a loss of all nodes because their former does not know
// the pool's targets yet, although the node that sent the order does.
func TestOrderOfAPoolThatTheFormerDoesNotKnowGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router := routerTo(&startingRemote{})
		res, err := router.Produce(t.Context(), orderOf(3))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Handles, qt.HasLen, 3)
		// No node knows a target of this pool.
		o := orderOf(1)
		o.Service = "empty"
		_, err = router.Produce(t.Context(), o)
		c.Assert(err, qt.Equals, ErrNoTarget)
	})
}
