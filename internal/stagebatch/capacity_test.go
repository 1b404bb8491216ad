package stagebatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// linkedNodes are nodes that form batches behind network links. Each order occupies the link of
// its node for the time of its transfer. It implements Remote.
type linkedNodes struct {
	mu sync.Mutex
	// free is when the link of a node becomes free, by address.
	free  map[string]time.Time
	means map[string]Capacity
}

// Produce implements Remote.
func (l *linkedNodes) Produce(ctx context.Context, addr string, o Order, accepted func(Waits)) (Result, error) {
	l.mu.Lock()
	now := time.Now()
	if l.free[addr].Before(now) {
		l.free[addr] = now
	}
	l.free[addr] = l.free[addr].Add(time.Duration(orderBytes / l.means[addr].LinkBytes * float64(time.Second)))
	wait := l.free[addr].Sub(now)
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return Result{}, context.Cause(ctx)
	case <-time.After(wait):
	}
	accepted(Waits{})
	return Result{Handles: make([]string, o.Pieces)}, nil
}

// Free implements Remote.
func (l *linkedNodes) Free(context.Context, string, string, []string, bool) error { return nil }

// fleetOf returns large and small nodes, like the entry hosts of a site.
func fleetOf(small, large int) (*linkedNodes, []Node) {
	l := &linkedNodes{free: make(map[string]time.Time), means: make(map[string]Capacity)}
	var nodes []Node
	for i := range small + large {
		m := Capacity{LinkBytes: 10e6 / 8, Processors: 0.192}
		if i < large {
			m = Capacity{LinkBytes: 200e6 / 8, Processors: 0.8}
		}
		n := Node{Name: fmt.Sprint("n", i), Addr: fmt.Sprint("n", i), Capacity: m}
		nodes, l.means[n.Addr] = append(nodes, n), m
	}
	return l, nodes
}

// A burst of 730 orders a second for one pool arrives at a fleet of 78 small and 8 large nodes.
// No order is delayed by a saturated link or sent to a second node because of one.
func TestBurstOfOrdersGoesToNodesThatCarryIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		remote, nodes := fleetOf(78, 8)
		pool, list := newFakePool(4)
		var mu sync.Mutex
		late := 0
		routers := make([]*Router, 6)
		for i := range routers {
			self := nodes[len(nodes)-1-i]
			others := nodes[:len(nodes)-len(routers)]
			routers[i] = NewRouter(self, NewFormer(pool, list, poolSpec, discardLog), remote, func() []Node { return others }, discardLog)
		}
		var all sync.WaitGroup
		for i := range 730 * 3 {
			all.Go(func() {
				begin := time.Now()
				_, err := routers[i%len(routers)].Produce(t.Context(), orderDueIn(fmt.Sprint("r", i), 1, 0, 3*time.Second))
				mu.Lock()
				defer mu.Unlock()
				if err != nil || time.Since(begin) > 50*time.Millisecond {
					late++
				}
			})
			time.Sleep(time.Second / 730)
		}
		all.Wait()
		c.Assert(late, qt.Equals, 0)
	})
}

// All nodes compute the same order of the nodes, whatever the order of their lists; a weak node
// never comes before a strong one, and the services are spread over the nodes of a class.
func TestRankOfFormers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var nodes []Node
		for i := range rapid.IntRange(1, 20).Draw(rt, "nodes") {
			nodes = append(nodes, Node{Name: fmt.Sprint("n", i), Capacity: Capacity{
				LinkBytes:  rapid.SampledFrom([]float64{0, 1e6, 3e6, 25e6}).Draw(rt, "link"),
				Processors: rapid.SampledFrom([]float64{0, 0.192, 0.4, 0.8}).Draw(rt, "processors"),
			}})
		}
		other := rapid.Permutation(nodes).Draw(rt, "known")
		rankNodes("pool", nodes)
		rankNodes("pool", other)
		best := 0.0
		for i, n := range nodes {
			if other[i] != n {
				rt.Fatalf("%s and %s at place %d", n.Name, other[i].Name, i)
			}
			best = max(best, n.Capacity.ordersPerSecond())
		}
		for i := 1; i < len(nodes); i++ {
			if a, b := nodes[i-1].Capacity.ordersPerSecond(), nodes[i].Capacity.ordersPerSecond(); a*classRatio < best && b*classRatio >= best {
				rt.Fatalf("a node of %.0f orders a second comes before one of %.0f", a, b)
			}
		}
	})
	nodes, firsts := make([]Node, 10), make(map[string]bool)
	for i := range nodes {
		nodes[i].Name = fmt.Sprint("n", i)
	}
	for i := range 40 {
		rankNodes(fmt.Sprint("pool", i), nodes)
		firsts[nodes[0].Name] = true
	}
	qt.Assert(t, len(firsts) > 6, qt.IsTrue)
}
