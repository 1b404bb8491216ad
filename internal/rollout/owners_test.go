package rollout

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// sharedBook keeps one record, as the store does for all owners.
type sharedBook struct {
	mu   sync.Mutex
	kept Record
}

func (b *sharedBook) Save(_ context.Context, r Record) (Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept.State == Unknown || !b.kept.State.Final() && r.State.Final() {
		b.kept = r
	}
	return b.kept, nil
}

func (b *sharedBook) state() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept.State
}

// reportEach is how often nodes report in these tests.
const reportEach = 500 * time.Millisecond

// fleet is some nodes that each send calls and report to an owner. Only their counts are played.
type fleet struct {
	book  *sharedBook
	order Order
	nodes int
	// perSecond is the number of calls that a node sends.
	perSecond func(node int) float64
	// owner returns whom a node reports to; nil for nobody.
	owner func(node int) *Owner

	mu        sync.Mutex
	sent, new float64
	// restarts counts the restarts of the nodes.
	restarts map[int]int
}

func (f *fleet) life(node int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarts[node]
}

func (f *fleet) restart(node int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts[node]++
}

// each returns the same number of calls for all nodes.
func each(perSecond float64) func(int) float64 { return func(int) float64 { return perSecond } }

func (f *fleet) newOwner(ctx context.Context) *Owner {
	w := &Owner{
		Bounds: Bounds{Share: 0.1, Slack: 50}, Book: f.book, Nodes: func() int { return f.nodes },
		Targets:   func(string, string) Targets { return Targets{New: 4, Warm: 4, Old: 4} },
		Withdrawn: func(Order) bool { return false },
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	context.AfterFunc(ctx, w.Close)
	return w
}

// run lets a node send calls, all of them answered well, and report, until the order is decided.
// After a restart it knows nothing.
func (f *fleet) run(ctx context.Context, node int, rnd *rand.Rand) {
	var e Evidence
	has, until, life := Answer{}, time.Time{}, -1
	for ctx.Err() == nil && !has.State.Final() {
		if now := f.life(node); now != life {
			life = now
			e = Evidence{Tallies: make(map[Source]Tally)}
			has, until = Answer{}, time.Time{}
		}
		share := has.Share
		if time.Now().After(until) {
			share = 0
		}
		for range int(f.perSecond(node) * reportEach.Seconds()) {
			source := Source{Route: "a"}
			if rnd.Float64() < share {
				source = Source{Route: "a", New: true, Target: fmt.Sprint("t", rnd.IntN(4))}
				e.SentNew++
			}
			e.Sent++
			t := e.Tallies[source]
			t.Took[bucketOf(20*time.Millisecond)]++
			e.Tallies[source] = t
			f.count(source.New)
		}
		if w := f.owner(node); w != nil {
			a, err := w.Report(ctx, Report{Node: fmt.Sprint("n", node), Order: f.order, Evidence: e.Clone(), Has: has, Hold: leastHold})
			if err == nil {
				has, until = a, time.Now().Add(LeaseOf(leastHold))
			}
		}
		time.Sleep(reportEach)
	}
}

func (f *fleet) count(isNew bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sent++
	if isNew {
		f.new++
	}
}

// exposure is what the version got, as a part of what it may get while it is not known.
func (f *fleet) exposure() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.new / (0.1*f.sent + 50)
}

// play runs a fleet for the order's time.
func (f *fleet) play(t *testing.T, seed uint64, during func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for node := range f.nodes {
		wg.Go(func() { f.run(ctx, node, rand.New(rand.NewPCG(seed, uint64(node)))) })
	}
	during(ctx)
	cancel()
	wg.Wait()
	time.Sleep(time.Minute)
}

// TestOwnerThatNobodyReportsToDecidesNothing guards against a good version that is rolled back for
// too few answers by a node that all others have left.
func TestOwnerThatNobodyReportsToDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{book: &sharedBook{}, nodes: 5}
		w := f.newOwner(ctx)
		_, err := w.Report(ctx, Report{Node: "a", Order: Order{Service: "s", To: "v2", Lasts: 15 * time.Second}, Hold: leastHold})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Second)
		qt.Assert(t, f.book.state(), qt.Equals, Running)
		qt.Assert(t, w.Orders(), qt.HasLen, 0)
	})
}

// TestOwnerOfFewNodesLeavesTheDecisionToThatOfMost guards against the same where one node goes on
// reporting to another owner than the others.
func TestOwnerOfFewNodesLeavesTheDecisionToThatOfMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{book: &sharedBook{}, nodes: 5, order: Order{Service: "s", To: "v2", Lasts: 25 * time.Second}}
		f.perSecond = func(node int) float64 { return float64(10 * min(node, 1)) }
		few, most := f.newOwner(ctx), f.newOwner(ctx)
		f.owner = func(node int) *Owner {
			if node == 0 {
				return few
			}
			return most
		}
		f.play(t, 1, func(context.Context) { time.Sleep(f.order.Lasts) })
		qt.Assert(t, f.book.state(), qt.Equals, Completed)
	})
}

// TestOrderIsDecidedInTimeWhereNoOwnerHearsOfMostNodes: a fleet in pieces still ends its orders.
func TestOrderIsDecidedInTimeWhereNoOwnerHearsOfMostNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{book: &sharedBook{}, nodes: 5, perSecond: each(2), order: Order{Service: "s", To: "v2", Lasts: 25 * time.Second}}
		owners := []*Owner{f.newOwner(ctx), f.newOwner(ctx), f.newOwner(ctx)}
		f.owner = func(node int) *Owner { return owners[node%3] }
		f.play(t, 1, func(context.Context) { time.Sleep(f.order.Lasts) })
		qt.Assert(t, f.book.state().Final(), qt.IsTrue)
	})
}

// TestVersionKeepsToItsBoundWhileOwnersChange guards against owners that begin late, or beside
// others, and give a version more than it may get. It turns bad later, and nothing is known of it yet.
func TestVersionKeepsToItsBoundWhileOwnersChange(t *testing.T) {
	for seed := range uint64(30) {
		perSecond := []float64{4, 30, 120}[seed%3]
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			rnd := rand.New(rand.NewPCG(seed, 7))
			f := &fleet{book: &sharedBook{}, nodes: 5, perSecond: each(perSecond), restarts: make(map[int]int), order: Order{Service: "s", To: "v2", Lasts: 25 * time.Second}}
			var mu sync.Mutex
			owners := []*Owner{f.newOwner(ctx), f.newOwner(ctx), f.newOwner(ctx)}
			reportsTo := make([]int, f.nodes)
			f.owner = func(node int) *Owner {
				mu.Lock()
				defer mu.Unlock()
				return owners[reportsTo[node]]
			}
			f.play(t, seed, func(ctx context.Context) {
				for began := time.Now(); time.Since(began) < time.Duration(tryUntil*float64(f.order.Lasts)); {
					time.Sleep(time.Duration(rnd.Int64N(int64(3 * time.Second))))
					node := rnd.IntN(f.nodes)
					f.restart(node)
					mu.Lock()
					owners[rnd.IntN(len(owners))] = f.newOwner(ctx)
					reportsTo[node] = rnd.IntN(len(owners))
					mu.Unlock()
					qt.Check(t, f.exposure() <= 1, qt.IsTrue, qt.Commentf("seed %d after %v: %.2f of the bound", seed, time.Since(began), f.exposure()))
				}
			})
		})
	}
}

// TestOwnerOfANodeThatEndsDecidesNothing guards against a process that stops and goes on deciding.
func TestOwnerOfANodeThatEndsDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{book: &sharedBook{}, nodes: 1}
		w := f.newOwner(t.Context())
		w.Close()
		_, err := w.Report(t.Context(), Report{Node: "a", Order: Order{Service: "s", To: "v2", Lasts: time.Second}, Hold: leastHold})
		qt.Assert(t, err, qt.ErrorIs, errClosed)
		time.Sleep(2 * time.Second)
		qt.Assert(t, f.book.state(), qt.Equals, Unknown)
	})
}
