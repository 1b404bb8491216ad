package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/targets"
)

// StagePolicy says which nodes form the batches of a pool.
type StagePolicy string

// The policies that are compared.
const (
	// OwnBatches: each node forms batches of its own pieces.
	OwnBatches StagePolicy = "own"
	// DataCentreBatches: one node a data centre.
	DataCentreBatches StagePolicy = "datacentre"
	// PoolBatches: one node for the pool, as built.
	PoolBatches StagePolicy = "pool"
)

// StageScenario is a load on one stage pool in virtual time.
type StageScenario struct {
	Name  string
	Hosts int
	// Targets is the size of the pool, Spec what each target does.
	Targets int
	Spec    routes.Batch
	// Orders is the mean number of orders a second, each of Pieces pieces.
	Orders float64
	Pieces int
	// Objective is the time within which an order has its value.
	Objective time.Duration
	// Burst multiplies the load in the middle third; 1 for none.
	Burst float64
	// FormerDies kills the node that forms the pool's batches in the middle.
	FormerDies bool
	// Slow targets take five times as long, and Grey ones fail four calls in ten after
	// working on them, in the middle third.
	Slow, Grey int
	Span       time.Duration
}

// StageResult is what a policy gives.
type StageResult struct {
	// Met is the percentage of orders that ended within their objective.
	Met float64
	// Batch is the mean number of pieces of a call, Busy the percentage of the
	// targets' time that calls took, Again the percentage of pieces that were made
	// more than once.
	Batch, Busy, Again float64
	// P95 is the 95th percentile of the time of orders.
	P95 time.Duration
}

const (
	// stageDataCentres is how many data centres hosts and targets are spread over.
	stageDataCentres = 4
	// peerLatency is the time of a message between nodes, one way.
	peerLatency = time.Millisecond
	// stageHeartbeat is how often a former says that it works on an order.
	stageHeartbeat = 250 * time.Millisecond
	// readTime is the time after which a reader has fetched a result.
	readTime = 300 * time.Millisecond
	// orderPatience is when an order is of no use any more.
	orderPatience = 8 * time.Second
	// slowTimes and greyShare are what the users' sites name for slow and failing servers.
	slowTimes = 5
	greyShare = 0.4
)

// stagePool emulates the targets of a pool: calls wait for a slot in turn, and
// are rejected when too many wait.
type stagePool struct {
	spec routes.Batch
	// slow and grey are the targets that are so in the middle third, by address.
	slow, grey map[string]bool
	began      time.Time
	span       time.Duration

	mu           sync.Mutex
	waiting      map[string]int
	slots        map[string]chan struct{}
	calls, items int
	busy         time.Duration
	made         map[string]int
	rng          *rand.Rand
}

func newStagePool(sc StageScenario, seed uint64) *stagePool {
	p := &stagePool{
		spec: sc.Spec, began: time.Now(), span: sc.Span, slow: make(map[string]bool), grey: make(map[string]bool),
		waiting: make(map[string]int), slots: make(map[string]chan struct{}), made: make(map[string]int),
		rng: rand.New(rand.NewPCG(seed, 2)),
	}
	for i := range sc.Slow {
		p.slow[targetAddr(i)] = true
	}
	for i := range sc.Grey {
		p.grey[targetAddr(sc.Targets-1-i)] = true
	}
	return p
}

// troubled reports whether the time of slow and grey targets is now.
func (p *stagePool) troubled() bool {
	at := time.Since(p.began)
	return at > p.span/3 && at < 2*p.span/3
}

// fails draws whether a call at a target fails.
func (p *stagePool) fails(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.grey[addr] && p.troubled() && p.rng.Float64() < greyShare
}

func targetAddr(i int) string { return fmt.Sprintf("10.1.0.%d:80", i) }

// Run implements stagebatch.Worker.
func (p *stagePool) Run(ctx context.Context, t targets.Target, items []stagebatch.Item, _ func() bool) (stagebatch.Reply, error) {
	time.Sleep(peerLatency)
	slot, err := p.enter(t.Addr)
	if err != nil {
		return stagebatch.Reply{}, err
	}
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		p.leave(t.Addr)
		return stagebatch.Reply{}, &stagebatch.CallError{NotRun: true, Cause: ctx.Err()}
	}
	takes := p.spec.CallTime + time.Duration(len(items))*p.spec.ItemTime
	if p.slow[t.Addr] && p.troubled() {
		takes *= slowTimes
	}
	time.Sleep(takes)
	<-slot
	p.leave(t.Addr)
	if p.fails(t.Addr) {
		return stagebatch.Reply{}, &stagebatch.CallError{Cause: errors.New("the target failed")}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls++
	p.items += len(items)
	p.busy += takes
	out := make([]stagebatch.ItemResult, len(items))
	for i, it := range items {
		id := fmt.Sprintf("%s/%d", it.Request, it.Piece)
		p.made[id]++
		out[i].Handle = fmt.Sprintf("%s/%s/%d", t.Addr, id, p.made[id])
	}
	return stagebatch.Reply{Results: out, OtherCalls: p.waiting[t.Addr]}, nil
}

func (p *stagePool) enter(addr string) (chan struct{}, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting[addr] >= p.spec.Slots+p.spec.Queue {
		return nil, &stagebatch.CallError{NotRun: true, Cause: errors.New("full")}
	}
	p.waiting[addr]++
	if p.slots[addr] == nil {
		p.slots[addr] = make(chan struct{}, p.spec.Slots)
	}
	return p.slots[addr], nil
}

func (p *stagePool) leave(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[addr]--
}

// Free implements stagebatch.Worker.
func (p *stagePool) Free(context.Context, string, []string) error {
	time.Sleep(peerLatency)
	return nil
}

// Space implements stagebatch.Worker.
func (p *stagePool) Space(context.Context, string) (int64, error) { return p.spec.ResultSpace, nil }

// HolderAddr implements stagebatch.Worker.
func (p *stagePool) HolderAddr(handle string) string {
	addr, _, _ := strings.Cut(handle, "/")
	return addr
}

// stageHosts are the nodes of a scenario. It implements stagebatch.Remote.
type stageHosts struct {
	formers map[string]*stagebatch.Former

	mu   sync.Mutex
	dead map[string]bool
}

func (h *stageHosts) isDead(addr string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead[addr]
}

func (h *stageHosts) kill(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.dead[addr] = true
}

// Produce implements stagebatch.Remote. A dead node says nothing.
func (h *stageHosts) Produce(ctx context.Context, addr string, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error) {
	time.Sleep(peerLatency)
	type end struct {
		res stagebatch.Result
		err error
	}
	done := make(chan end, 1)
	taken := make(chan stagebatch.Waits, 1)
	if !h.isDead(addr) {
		go func() {
			res, err := h.formers[addr].Produce(ctx, o, func(w stagebatch.Waits) { taken <- w })
			done <- end{res, err}
		}()
	}
	tick := time.NewTicker(stageHeartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return stagebatch.Result{}, ctx.Err()
		case w := <-taken:
			accepted(w)
		case <-tick.C:
			if !h.isDead(addr) {
				accepted(h.formers[addr].Waits(o.Service, o.Regions))
			}
		case e := <-done:
			if !h.isDead(addr) {
				time.Sleep(peerLatency)
				return e.res, e.err
			}
		}
	}
}

// Free implements stagebatch.Remote.
func (h *stageHosts) Free(_ context.Context, addr, service string, handles []string, ifTight bool) error {
	switch {
	case h.isDead(addr):
	case ifTight:
		h.formers[addr].FreeIfNearlyFull(service, handles)
	default:
		h.formers[addr].Free(service, handles)
	}
	return nil
}

const stageService = "pool"

// RunStages runs a scenario under a policy in virtual time; it must be called in
// a synctest bubble.
func RunStages(sc StageScenario, policy StagePolicy, seed uint64) StageResult {
	quiet := slog.New(slog.NewTextHandler(io.Discard, nil))
	pool := newStagePool(sc, seed)
	list := targets.New("dc0")
	var all []targets.Target
	for i := range sc.Targets {
		all = append(all, targets.Target{
			ID: fmt.Sprint("t", i), Service: stageService, Addr: targetAddr(i),
			DataCentre: fmt.Sprint("dc", i%stageDataCentres), Slots: sc.Spec.Slots,
		})
	}
	list.Replace(all, time.Time{})
	hosts := &stageHosts{formers: make(map[string]*stagebatch.Former), dead: make(map[string]bool)}
	routers := make([]*stagebatch.Router, sc.Hosts)
	spec := func(string) *routes.Batch { return &sc.Spec }
	for i := range routers {
		former := stagebatch.NewFormer(pool, list, spec, quiet)
		hosts.formers[hostName(i)] = former
		routers[i] = stagebatch.NewRouter(stagebatch.Node{Name: hostName(i)}, former, hosts, othersOf(i, sc.Hosts, policy), quiet)
	}
	return driveStages(sc, pool, hosts, routers, rand.New(rand.NewPCG(seed, 1)))
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

// othersOf lists the nodes that host i may order from.
func othersOf(i, hosts int, policy StagePolicy) func() []stagebatch.Node {
	var out []stagebatch.Node
	for j := range hosts {
		if j == i || policy == OwnBatches || (policy == DataCentreBatches && j%stageDataCentres != i%stageDataCentres) {
			continue
		}
		out = append(out, stagebatch.Node{Name: hostName(j), Addr: hostName(j)})
	}
	return func() []stagebatch.Node { return out }
}

// driveStages sends the orders of a scenario and measures them.
func driveStages(sc StageScenario, pool *stagePool, hosts *stageHosts, routers []*stagebatch.Router, rng *rand.Rand) StageResult {
	var mu sync.Mutex
	var took []time.Duration
	met := 0
	if sc.FormerDies {
		time.AfterFunc(sc.Span/2, func() { hosts.kill(routers[0].FirstBatchNode(stageService)) })
	}
	start := time.Now()
	var wg sync.WaitGroup
	orders := 0
	for time.Since(start) < sc.Span {
		rate := sc.Orders
		if at := time.Since(start); at > sc.Span/3 && at < 2*sc.Span/3 {
			rate *= max(sc.Burst, 1)
		}
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		home := rng.IntN(sc.Hosts)
		if hosts.isDead(hostName(home)) {
			continue
		}
		orders++
		request := fmt.Sprint("r", orders)
		wg.Go(func() {
			begun := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), orderPatience)
			defer cancel()
			res, err := routers[home].Produce(ctx, stagebatch.Order{
				Service: stageService, Request: request, Pieces: sc.Pieces, ResultBytes: 1,
				Due: begun.Add(sc.Objective), Deadline: begun.Add(orderPatience),
			})
			mu.Lock()
			took = append(took, time.Since(begun))
			if err == nil && time.Since(begun) <= sc.Objective {
				met++
			}
			mu.Unlock()
			time.Sleep(readTime)
			routers[home].Free(stageService, res)
		})
	}
	wg.Wait()
	span := time.Since(start)
	time.Sleep(time.Minute)
	return pool.result(met, took, span, sc.Targets)
}

// result sums a run up.
func (p *stagePool) result(met int, took []time.Duration, span time.Duration, n int) StageResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	again := 0
	for _, times := range p.made {
		again += times - 1
	}
	return StageResult{
		Met: 100 * float64(met) / float64(len(took)), P95: percentile(took, 0.95),
		Batch: float64(p.items) / float64(max(p.calls, 1)),
		Busy:  100 * p.busy.Seconds() / (span.Seconds() * float64(n)),
		Again: 100 * float64(again) / float64(max(len(p.made), 1)),
	}
}

// percentile returns the value below which a share of the times lies.
func percentile(times []time.Duration, share float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(times))
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
