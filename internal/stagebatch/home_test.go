package stagebatch

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/ownership"
	"topazmoor/internal/region"
	"topazmoor/internal/targets"
)

// regionFleet is a fleet of nodes and of targets of one pool in several regions. The data centre of a
// region has the name of the region followed by 1. Messages between regions take 12 ms.
type regionFleet struct {
	pool    *fakePool
	list    *targets.Table
	regions region.Map
	routers map[string]*Router

	mu   sync.Mutex
	dead map[string]bool
	// cut holds the regions that have no connection to the others.
	cut map[string]bool
	// orders holds the regions of the nodes that were sent the orders of a request.
	orders map[string][]string
}

// newRegionFleet returns a fleet with a number of nodes and a number of targets in each of some regions.
func newRegionFleet(nodes, hosts map[string]int) *regionFleet {
	fl := &regionFleet{
		regions: region.Map{"north1": "north", "south1": "south", "west1": "west"}, routers: make(map[string]*Router),
		dead: make(map[string]bool), cut: make(map[string]bool), orders: make(map[string][]string),
	}
	fl.pool, fl.list = newFakePool(8)
	for _, h := range fl.pool.hosts {
		h.space = 1 << 30
	}
	var all []targets.Target
	for _, name := range []string{"north", "south", "west"} {
		for range hosts[name] {
			i := len(all)
			all = append(all, targets.Target{ID: fmt.Sprint(name, "-t", i), Service: "pool", Addr: fmt.Sprintf("10.0.0.%d:1", i+1), DataCentre: name + "1", Slots: 1})
		}
	}
	fl.list.Replace(all, time.Time{})
	var members []Node
	for _, name := range []string{"north", "south", "west"} {
		for i := range nodes[name] {
			id := fmt.Sprint(name, "-", i)
			members = append(members, Node{Name: id, Addr: id, DataCentre: name + "1"})
		}
	}
	for _, n := range members {
		others := slices.DeleteFunc(slices.Clone(members), func(o Node) bool { return o.Name == n.Name })
		f := NewFormer(fl.pool, fl.list, poolSpec, discardLog)
		f.Name, f.Regions, f.Crossing = n.Name, fl.regions, region.DefaultCrossing
		r := NewRouter(n, f, &fleetLink{fl, n}, func() []Node { return others }, discardLog)
		r.Exchange = &fleetLink{fl, n}
		fl.routers[n.Name] = r
	}
	return fl
}

func (fl *regionFleet) set(m map[string]bool, name string) {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	m[name] = true
}

// fleetLink is what one node reaches of the others. It implements Remote and WaitsExchange.
type fleetLink struct {
	fl   *regionFleet
	from Node
}

// reach returns the Router at an address, after the time of a message; nil if there is no answer.
func (l *fleetLink) reach(addr string) *Router {
	if l.fl.regions[l.from.DataCentre] != l.fl.routers[addr].region() {
		time.Sleep(12 * time.Millisecond)
	}
	return l.answering(addr)
}

// answering returns the Router at an address; nil if it does not answer.
func (l *fleetLink) answering(addr string) *Router {
	r := l.fl.routers[addr]
	from, to := l.fl.regions[l.from.DataCentre], r.region()
	l.fl.mu.Lock()
	defer l.fl.mu.Unlock()
	if l.fl.dead[addr] || from != to && (l.fl.cut[from] || l.fl.cut[to]) {
		return nil
	}
	return r
}

func (l *fleetLink) Produce(ctx context.Context, addr string, o Order, accepted func(Waits)) (Result, error) {
	r := l.reach(addr)
	if r == nil {
		<-ctx.Done()
		return Result{}, ctx.Err()
	}
	l.fl.mu.Lock()
	l.fl.orders[o.Request] = append(l.fl.orders[o.Request], r.region())
	l.fl.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		tick := time.NewTicker(250 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
			if l.answering(addr) != nil {
				accepted(r.local.Waits(o.Service, o.Regions))
			}
		}
	}()
	res, err := r.local.Produce(ctx, o, accepted)
	if l.reach(addr) == nil {
		<-ctx.Done()
		return Result{}, ctx.Err()
	}
	return res, err
}

func (l *fleetLink) Free(context.Context, string, string, []string, bool) error { return nil }

func (l *fleetLink) Waits(ctx context.Context, addr, service string, in region.Set) (Waits, error) {
	r := l.reach(addr)
	if r == nil {
		<-ctx.Done()
		return Waits{}, ctx.Err()
	}
	return r.local.Waits(service, in), nil
}

// madeIn returns the regions of the targets that hold the results of an order.
func (fl *regionFleet) madeIn(res Result) []string {
	var out []string
	for _, h := range res.Handles {
		name := fl.regions[fl.list.DataCentreOf(fl.pool.HolderAddr(h))]
		if !slices.Contains(out, name) {
			out = append(out, name)
		}
	}
	return out
}

func perRegion(north, south, west int) map[string]int {
	return map[string]int{"north": north, "south": south, "west": west}
}

func TestOrdersRunInTheirHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(2, 2, 2), perRegion(1, 1, 1))
		for from := range fl.routers {
			for _, preferred := range []string{"", "north1", "south1"} {
				request := from + preferred
				res, err := fl.routers[from].Produce(t.Context(), orderPreferring(request, preferred, 2, 5*time.Second))
				c.Assert(err, qt.IsNil)
				home := fl.regions[preferred]
				if preferred == "" {
					home = fl.routers[from].region()
				}
				c.Assert(fl.madeIn(res), qt.DeepEquals, []string{home})
				if former := fl.routers[res.Former]; former != nil {
					c.Assert(former.region(), qt.Equals, home)
				} else {
					c.Assert(fl.routers[from].region(), qt.Equals, home)
				}
			}
		}
	})
}

func TestEstimatesAreThoseOfTheHomeRegion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		r := newRegionFleet(perRegion(1, 1, 1), perRegion(1, 1, 1)).routers["north-0"]
		r.recordWaits(Order{Service: "pool", Regions: region.Only("north")}, Waits{LateNew: 9 * time.Second})
		r.recordWaits(Order{Service: "pool", Regions: region.Only("south")}, Waits{OnTime: []time.Duration{time.Second}, Spilled: 2 * time.Second})
		call := expected(poolSpec(""), 1)
		c.Assert(r.Estimate("pool", Work{Pieces: 1}), qt.Equals, call)
		c.Assert(r.Estimate("pool", Work{Pieces: 1, DataCentre: "south1"}), qt.Equals, call+time.Second)
		// A late order is sent to the region that does it sooner, unless it may not leave its own.
		c.Assert(r.Estimate("pool", Work{Pieces: 1, Late: true}), qt.Equals, call+2*time.Second+48*time.Millisecond)
		c.Assert(r.Estimate("pool", Work{Pieces: 1, Late: true, Regions: region.Only("north")}), qt.Equals, call+9*time.Second)
	})
}

// With one region the choice of the former and the order itself are as without regions.
func TestOneRegionIsServedByOneFormer(t *testing.T) {
	c := qt.New(t)
	fl := newRegionFleet(perRegion(4, 0, 0), perRegion(2, 0, 0))
	for name, r := range fl.routers {
		r.local.Regions = region.Map{"north1": "north"}
		c.Assert(r.homeRegions("pool", "north1", region.Set{}), qt.HasLen, 0)
		c.Assert(r.local.poolKey("pool", region.Only("north")), qt.Equals, poolKey{service: "pool"})
		all := append(slices.Clone(r.nodes()), r.self)
		rankNodes("pool", all)
		c.Assert(r.ranked("pool", region.Set{}), qt.DeepEquals, all, qt.Commentf(name))
		c.Assert(r.FirstBatchNode("pool"), qt.Equals, all[0].Name)
		waiting := &pool{queue: []*piece{{order: &order{Order: Order{Due: time.Now().Add(time.Minute)}}}}, traffic: traffic{ranks: 1}}
		c.Assert(waiting.wait(poolSpec(""), time.Now()).Spilled, qt.Equals, time.Duration(0))
	}
}

// Guards against targets that get no orders, as no region contains their data centre.
func TestTargetsWithoutAKnownRegionAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(1, 1, 0), perRegion(1, 1, 0))
		from := fl.routers["north-0"]
		c.Assert(from.homeRegions("pool", "", region.Set{}), qt.DeepEquals, []string{"north", "south"})
		fl.list.Replace([]targets.Target{
			{ID: "n", Service: "pool", Addr: "10.0.0.1:1", DataCentre: "north1", Slots: 1},
			{ID: "x", Service: "pool", Addr: "10.0.0.2:1", DataCentre: "elsewhere", Slots: 1},
		}, time.Time{})
		c.Assert(from.homeRegions("pool", "", region.Set{}), qt.HasLen, 0)
		res, err := from.Produce(t.Context(), orderPreferring("a", "elsewhere", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(fl.pool.HolderAddr(res.Handles[0]), qt.Equals, "10.0.0.2:1")
	})
}

func TestOrdersOfARegionThatCannotServeThemGoToTheNearest(t *testing.T) {
	for name, fl := range map[string]*regionFleet{
		"no targets": newRegionFleet(perRegion(1, 1, 1), perRegion(0, 1, 1)),
		"no nodes":   newRegionFleet(perRegion(0, 1, 1), perRegion(1, 1, 1)),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				from := fl.routers["south-0"]
				busy := Waits{OnTime: []time.Duration{time.Second}}
				from.recordWaits(Order{Service: "pool", Regions: region.Only("west")}, busy)
				// South is the region of the node.
				res, err := from.Produce(t.Context(), orderPreferring("a", "north1", 1, 5*time.Second))
				c.Assert(err, qt.IsNil)
				c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"south"})
				// An order that is limited to the region is not served elsewhere.
				limited := orderPreferring("b", "", 1, time.Second)
				limited.Regions = region.Only("north")
				res, err = from.Produce(t.Context(), limited)
				c.Assert(errors.Is(err, ErrNoTarget) || slices.Equal(fl.madeIn(res), []string{"north"}), qt.IsTrue, qt.Commentf("%v %v", res, err))
			})
		})
	}
}

// Guards against orders that fail because their home region has just lost its targets.
func TestOrderOfARegionThatHasJustLostItsTargetsGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(1, 1, 0), perRegion(0, 1, 0))
		from := fl.routers["north-0"]
		from.targetRegions["pool"] = targetRegions{names: []string{"north", "south"}, generation: fl.list.Generation(), at: time.Now()}
		res, err := from.Produce(t.Context(), orderPreferring("a", "", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"south"})
	})
}

// Guards against orders that wait for a region without connection, one after the other.
func TestRegionsThatLoseEachOtherGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(1, 3, 0), perRegion(1, 1, 0))
		fl.set(fl.cut, "south")
		began := time.Now()
		res, err := fl.routers["north-0"].Produce(t.Context(), orderPreferring("a", "south1", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"north"})
		c.Assert(time.Since(began) < (maxNodes+1)*acceptTimeout+200*time.Millisecond, qt.IsTrue)
		began = time.Now()
		_, err = fl.routers["north-0"].Produce(t.Context(), orderPreferring("b", "south1", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(time.Since(began), qt.Equals, expected(poolSpec(""), 1))
		res, err = fl.routers["south-1"].Produce(t.Context(), orderPreferring("c", "", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"south"})
		for id, n := range fl.pool.made {
			c.Assert(n, qt.Equals, 1, qt.Commentf(id))
		}
	})
}

func TestFormerOfARegionIsReplacedInIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(1, 3, 0), perRegion(1, 1, 0))
		from := fl.routers["north-0"]
		first := from.ranked("pool", region.Only("south"))[0].Name
		fl.set(fl.dead, first)
		res, err := from.Produce(t.Context(), orderPreferring("a", "south1", 1, 5*time.Second))
		c.Assert(err, qt.IsNil)
		c.Assert(fl.madeIn(res), qt.DeepEquals, []string{"south"})
		c.Assert(res.Former, qt.Not(qt.Equals), first)
		c.Assert(fl.routers[res.Former].region(), qt.Equals, "south")
	})
}

// Nodes may disagree for a while on which node of a region forms its batches.
func TestTwoFormersOfARegionAreHarmless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		fl := newRegionFleet(perRegion(2, 1, 0), perRegion(2, 1, 0))
		for _, name := range []string{"north-0", "north-1"} {
			fl.routers[name].nodes = func() []Node { return nil }
		}
		var wg sync.WaitGroup
		for i := range 20 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 40 * time.Millisecond)
				from := fl.routers[fmt.Sprint("north-", i%2)]
				res, err := from.Produce(t.Context(), orderPreferring(fmt.Sprint("r", i), "", 2, 5*time.Second))
				c.Check(err, qt.IsNil)
				c.Check(fl.madeIn(res), qt.DeepEquals, []string{"north"})
			})
		}
		wg.Wait()
	})
}

// Estimates are requested several times for each request, so the node list is read only when it changes.
func TestRegionsWithNodesAreReadOnceForEachNodeList(t *testing.T) {
	c := qt.New(t)
	r := newRegionFleet(perRegion(1, 2, 0), perRegion(1, 1, 1)).routers["north-0"]
	c.Assert(r.homeRegions("pool", "", region.Set{}), qt.DeepEquals, []string{"north", "south"})
	c.Assert(testing.AllocsPerRun(10, func() { r.regionsWithNodes() }), qt.Equals, 0.0)
	moved := []Node{{Name: "south-0", DataCentre: "south1"}, {Name: "west-0", DataCentre: "west1"}}
	r.nodes = func() []Node { return moved }
	c.Assert(r.homeRegions("pool", "", region.Set{}), qt.DeepEquals, []string{"north", "south", "west"})
	r.Stop()
	c.Assert(r.homeRegions("pool", "", region.Set{}), qt.DeepEquals, []string{"south", "west"})
	r.nodes = func() []Node { return nil }
	c.Assert(r.homeRegions("pool", "", region.Set{}), qt.HasLen, 0)
}

func TestLeaderStandsAtTheLevelOfItsWork(t *testing.T) {
	c := qt.New(t)
	leaders := make(map[ownership.Work]map[string]bool)
	for _, r := range newRegionFleet(perRegion(3, 3, 3), perRegion(1, 1, 1)).routers {
		for _, w := range []ownership.Work{ownership.RolloutDecision, ownership.StageBatches} {
			if leaders[w] == nil {
				leaders[w] = make(map[string]bool)
			}
			n, self := r.Leader(w, "task")
			leaders[w][n.Name] = true
			c.Assert(self, qt.Equals, n.Name == r.self.Name)
			c.Assert(ownership.Same(w, r.place(n), r.place(r.self)), qt.IsTrue)
		}
	}
	c.Assert(leaders[ownership.RolloutDecision], qt.HasLen, 1)
	c.Assert(leaders[ownership.StageBatches], qt.HasLen, 3)
}
