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

// sharedStore keeps one record for all owners, as the store does.
type sharedStore struct {
	mu   sync.Mutex
	kept Record
}

func (b *sharedStore) Save(_ context.Context, r Record) (Record, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.kept.State == Unknown || !b.kept.State.Final() && r.State.Final() {
		b.kept = r
	}
	return b.kept, nil
}

func (b *sharedStore) state() State {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept.State
}

// reportInterval is the time between two reports of a node in these tests.
const reportInterval = 500 * time.Millisecond

// fleet models nodes that each send calls and report to an owner. It models only the counts of the
// calls.
type fleet struct {
	store *sharedStore
	order Order
	nodes int
	// perSecond is the number of calls that a node sends.
	perSecond func(node int) float64
	// owner returns the Owner that a node reports to; nil for none.
	owner func(node int) *Owner

	mu        sync.Mutex
	sent, new float64
	// restarts counts the restarts of the nodes.
	restarts map[int]int
}

// incarnation returns the number of restarts of a node.
func (f *fleet) incarnation(node int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.restarts[node]
}

func (f *fleet) restart(node int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts[node]++
}

// uniformRate gives all nodes the same rate of calls.
func uniformRate(perSecond float64) func(int) float64 { return func(int) float64 { return perSecond } }

func (f *fleet) newOwner(ctx context.Context) *Owner {
	w := &Owner{
		Bounds: Bounds{Share: 0.1, Slack: 50}, RecordStore: f.store, Nodes: func() int { return f.nodes },
		Targets:   func(string, string) Targets { return Targets{New: 4, Warm: 4, Old: 4} },
		Withdrawn: func(Order) bool { return false },
		Log:       slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	context.AfterFunc(ctx, w.Close)
	return w
}

// run lets a node send calls, all with good answers, and report until the order is decided. A
// restart of the node loses its counts and its answer.
func (f *fleet) run(ctx context.Context, node int, rnd *rand.Rand) {
	var e Evidence
	has, until, incarnation := Answer{}, time.Time{}, -1
	for ctx.Err() == nil && !has.State.Final() {
		if now := f.incarnation(node); now != incarnation {
			incarnation = now
			e = Evidence{Tallies: make(map[Source]Tally)}
			has, until = Answer{}, time.Time{}
		}
		share := has.Share
		if time.Now().After(until) {
			share = 0
		}
		for range int(f.perSecond(node) * reportInterval.Seconds()) {
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
			a, err := w.Report(ctx, Report{Node: fmt.Sprint("n", node), Order: f.order, Evidence: e.Clone(), Has: has, Hold: minHold})
			if err == nil {
				has, until = a, time.Now().Add(LeaseOf(minHold))
			}
		}
		time.Sleep(reportInterval)
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

// exposure returns the calls of the new version, as a part of those that its bounds allow during the
// trial.
func (f *fleet) exposure() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.new / (0.1*f.sent + 50)
}

// runFor runs the nodes until during returns.
func (f *fleet) runFor(t *testing.T, seed uint64, during func(ctx context.Context)) {
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

// TestOwnerThatNobodyReportsToDecidesNothing guards against an owner that no node reports to any more
// and that rolls back a good version for too few answers.
func TestOwnerThatNobodyReportsToDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{store: &sharedStore{}, nodes: 5}
		w := f.newOwner(ctx)
		_, err := w.Report(ctx, Report{Node: "a", Order: Order{Service: "s", To: "v2", Lasts: 15 * time.Second}, Hold: minHold})
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(20 * time.Second)
		qt.Assert(t, f.store.state(), qt.Equals, Running)
		qt.Assert(t, w.Orders(), qt.HasLen, 0)
	})
}

// TestOwnerOfFewNodesLeavesTheDecisionToThatOfMost guards against the same fault in an owner that only
// one node reports to, while the other nodes report to another owner.
func TestOwnerOfFewNodesLeavesTheDecisionToThatOfMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{store: &sharedStore{}, nodes: 5, order: Order{Service: "s", To: "v2", Lasts: 25 * time.Second}}
		f.perSecond = func(node int) float64 { return float64(10 * min(node, 1)) }
		few, most := f.newOwner(ctx), f.newOwner(ctx)
		f.owner = func(node int) *Owner {
			if node == 0 {
				return few
			}
			return most
		}
		f.runFor(t, 1, func(context.Context) { time.Sleep(f.order.Lasts) })
		qt.Assert(t, f.store.state(), qt.Equals, Completed)
	})
}

// TestOrderIsDecidedInTimeWhereNoOwnerHearsOfMostNodes: an order is decided by its deadline also if
// no owner receives reports from most of the nodes.
func TestOrderIsDecidedInTimeWhereNoOwnerHearsOfMostNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := &fleet{store: &sharedStore{}, nodes: 5, perSecond: uniformRate(2), order: Order{Service: "s", To: "v2", Lasts: 25 * time.Second}}
		owners := []*Owner{f.newOwner(ctx), f.newOwner(ctx), f.newOwner(ctx)}
		f.owner = func(node int) *Owner { return owners[node%3] }
		f.runFor(t, 1, func(context.Context) { time.Sleep(f.order.Lasts) })
		qt.Assert(t, f.store.state().Final(), qt.IsTrue)
	})
}

// TestVersionKeepsToItsBoundWhileOwnersChange guards against owners that start late, or at the same
// time as others, and send the new version more calls than its bounds allow. Nodes and owners restart
// at random during the trial. All answers are good: the bounds must hold before anything is known of
// the version, as it may turn bad later.
func TestVersionKeepsToItsBoundWhileOwnersChange(t *testing.T) {
	for seed := range uint64(30) {
		perSecond := []float64{4, 30, 120}[seed%3]
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			rnd := rand.New(rand.NewPCG(seed, 7))
			f := &fleet{store: &sharedStore{}, nodes: 5, perSecond: uniformRate(perSecond), restarts: make(map[int]int), order: Order{Service: "s", To: "v2", Lasts: 25 * time.Second}}
			var mu sync.Mutex
			owners := []*Owner{f.newOwner(ctx), f.newOwner(ctx), f.newOwner(ctx)}
			reportsTo := make([]int, f.nodes)
			f.owner = func(node int) *Owner {
				mu.Lock()
				defer mu.Unlock()
				return owners[reportsTo[node]]
			}
			f.runFor(t, seed, func(ctx context.Context) {
				for began := time.Now(); time.Since(began) < time.Duration(trialUntil*float64(f.order.Lasts)); {
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

// TestOwnerOfANodeThatEndsDecidesNothing guards against an owner that decides while its process stops.
func TestOwnerOfANodeThatEndsDecidesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: &sharedStore{}, nodes: 1}
		w := f.newOwner(t.Context())
		w.Close()
		_, err := w.Report(t.Context(), Report{Node: "a", Order: Order{Service: "s", To: "v2", Lasts: time.Second}, Hold: minHold})
		qt.Assert(t, err, qt.ErrorIs, errClosed)
		time.Sleep(2 * time.Second)
		qt.Assert(t, f.store.state(), qt.Equals, Unknown)
	})
}
