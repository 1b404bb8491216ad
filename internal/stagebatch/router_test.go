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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// slowRemote is another node that takes its time, and says so or not.
type slowRemote struct {
	takes time.Duration
	// says is how often the node says that it works on an order; 0 for once.
	says   time.Duration
	orders int
}

func (r *slowRemote) Produce(ctx context.Context, _ string, o Order, accepted func(Waits)) (Result, error) {
	r.orders++
	accepted(Waits{})
	end := time.After(r.takes)
	var tick <-chan time.Time
	if r.says > 0 {
		t := time.NewTicker(r.says)
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

// instant is a Worker whose calls take the time of the specification.
type instant struct{}

func (instant) Run(ctx context.Context, t targets.Target, items []Item, may func() bool) (Reply, error) {
	time.Sleep(200 * time.Millisecond)
	out := make([]ItemResult, len(items))
	for i, it := range items {
		out[i].Handle = t.Addr + "/" + it.Request
	}
	return Reply{Results: out}, nil
}

func (instant) Free(context.Context, string, []string) error { return nil }
func (instant) Room(context.Context, string) (int64, error)  { return 1 << 20, nil }
func (instant) Maker(string) string                          { return "" }

func poolSpec(string) *routes.Batch {
	return &routes.Batch{Slots: 1, Queue: 2, Items: 8, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond, RoomBytes: 1 << 20, Keep: 4 * time.Second}
}

// routerTo returns a Router of a node that would not form batches itself while
// the remote node does.
func routerTo(r Remote) *Router {
	list := targets.New("dc")
	list.Update([]targets.Target{{ID: "t", Service: "pool", Addr: "a:1", DataCentre: "dc", Slots: 1}}, time.Time{})
	local := NewFormer(instant{}, list, poolSpec, quiet)
	router := NewRouter(Node{Name: "self"}, local, r, func() []Node { return []Node{{Name: "other", Addr: "b:1"}} }, quiet)
	router.Stop()
	return router
}

func orderOf(pieces int) Order {
	now := time.Now()
	return Order{Service: "pool", Request: "r", Pieces: pieces, Due: now.Add(time.Second), Deadline: now.Add(20 * time.Second)}
}

// A former whose pool is slow was taken for a dead one, its orders went to
// other nodes too, and the pools were busy with the same pieces several times.
func TestSlowFormerIsNotTakenForADeadOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		remote := &slowRemote{takes: 8 * time.Second, says: 250 * time.Millisecond}
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
		// It is asked again later.
		time.Sleep(suspectFor)
		c.Assert(router.Live(), qt.Equals, 2)
	})
}

// stuckRemote is a node whose connection takes nothing more: its call ends only long
// after it was given up, with results.
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

// An order waited for as long as its call was stuck, seconds instead of the time
// after which a silent node is passed over.
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

// After a loss of all nodes orders were refused by formers that did not know the pool's
// targets yet, although the nodes that gave the orders did.
func TestOrderOfAPoolThatTheFormerDoesNotKnowGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router := routerTo(&startingRemote{})
		res, err := router.Produce(t.Context(), orderOf(3))
		c.Assert(err, qt.IsNil)
		c.Assert(res.Handles, qt.HasLen, 3)
		// A pool that has no target for anybody.
		o := orderOf(1)
		o.Service = "empty"
		_, err = router.Produce(t.Context(), o)
		c.Assert(err, qt.Equals, ErrNoTarget)
	})
}
