package stagebatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"topazmoor/internal/ownership"
	"topazmoor/internal/region"
)

// Node is a node that may form batches.
type Node struct {
	// Name is unique. Addr is the address at which the node accepts calls.
	Name, Addr string
	// DataCentre is the data centre of the node.
	DataCentre string
	// Capacity is the capacity of the node for forming batches.
	Capacity Capacity
}

// Remote runs orders at other nodes. The production implementation is in package peer.
type Remote interface {
	// Produce runs an order at the node at addr. It calls accepted with the waits of the node's
	// pool when the node has accepted the order, and periodically while the order is in
	// progress, never concurrently. The error is one of this package, or another one if the node
	// did not reply or refused the order.
	Produce(ctx context.Context, addr string, o Order, accepted func(Waits)) (Result, error)
	// Free releases results at the node that formed their batches. With ifTight it releases only
	// those at nearly full targets.
	Free(ctx context.Context, addr, service string, handles []string, ifTight bool) error
}

const (
	// acceptTimeout is how long a node may take to accept an order. A round trip takes 1 to 2
	// ms, and a busy node is delayed by some tens of ms.
	acceptTimeout = 250 * time.Millisecond
	// silenceTimeout is the maximum time between two messages of a node that works on an order.
	// The node sends four a second, and on a slowed host one may be missed. The timeout must not
	// depend on the duration of the order: cancelled orders of a slow pool are sent to other
	// nodes as well, so that each piece is produced several times and the pool gets even slower.
	silenceTimeout = 900 * time.Millisecond
	// suspectFor is how long a node that did not respond gets no orders. Frozen and restarted
	// processes are back after a few seconds.
	suspectFor = 2 * time.Second
	// maxNodes is the number of other nodes that are tried before this node forms the batches
	// itself.
	maxNodes = 2
	// estimateTTL is how long the reported waits of a pool are used.
	estimateTTL = time.Second
)

// Router sends orders to the node that forms the batches of their pool. It is safe for
// concurrent use.
type Router struct {
	self   Node
	local  *Former
	remote Remote
	nodes  func() []Node
	log    *slog.Logger
	// Exchange requests the waits of other regions; nil if no order is sent to another region.
	Exchange WaitsExchange

	mu       sync.Mutex
	suspects map[string]time.Time
	// suspectRegions are the regions in which no node accepted an order, with the time until which
	// they get none if another region may.
	suspectRegions map[string]time.Time
	waits          map[waitsKey]reportedWaits
	targetRegions  map[string]targetRegions
	nodeRegions    nodeRegions
	// waitsAsked is when the waits of pools in other regions were last requested.
	waitsAsked map[waitsKey]time.Time
	stopping   bool
}

// waitsKey identifies a pool and a set of regions. Orders that are restricted to some regions go
// to a former in these regions, so waits are kept for each set.
type waitsKey struct{ service, regions string }

// reportedWaits are the waits of a pool as its former last reported them.
type reportedWaits struct {
	waits Waits
	at    time.Time
}

// NewRouter returns the Router of the node self. nodes returns the other nodes.
func NewRouter(self Node, local *Former, remote Remote, nodes func() []Node, log *slog.Logger) *Router {
	r := &Router{
		self: self, local: local, remote: remote, nodes: nodes, log: log,
		suspects: make(map[string]time.Time), waits: make(map[waitsKey]reportedWaits),
		suspectRegions: make(map[string]time.Time), targetRegions: make(map[string]targetRegions), waitsAsked: make(map[waitsKey]time.Time),
	}
	local.OtherWaits = r.otherWaits
	return r
}

// Stop makes the Router send new orders to other nodes if there are any.
func (r *Router) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// ranked returns the nodes in the given regions that are not suspect, in the order in which they
// form the batches of a service.
func (r *Router) ranked(service string, in region.Set) []Node {
	now := time.Now()
	all := r.nodes()
	r.mu.Lock()
	out := make([]Node, 0, len(all)+1)
	if !r.stopping && r.local.Regions.Allows(in, r.self.DataCentre) {
		out = append(out, r.self)
	}
	for _, n := range all {
		if until, ok := r.suspects[n.Name]; ok && now.Before(until) || !r.local.Regions.Allows(in, n.DataCentre) {
			continue
		}
		out = append(out, n)
	}
	r.mu.Unlock()
	rankNodes(service, out)
	return out
}

// Live returns the number of nodes that are not suspect, including this one.
func (r *Router) Live() int {
	now := time.Now()
	n := 1
	all := r.nodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, node := range all {
		if now.After(r.suspects[node.Name]) {
			n++
		}
	}
	return n
}

// Produce runs an order at the first node that accepts it. In a fleet with several regions that is a
// node of the order's home region; see homeRegions.
func (r *Router) Produce(ctx context.Context, o Order) (Result, error) {
	regions := r.homeRegions(o.Service, o.DataCentre, o.Regions)
	if len(regions) == 0 {
		return r.produceWithin(ctx, o)
	}
	return r.produceByRegion(ctx, o, regions)
}

// produceWithin runs an order in its regions: at the first other node that accepts it, else at this
// node.
func (r *Router) produceWithin(ctx context.Context, o Order) (Result, error) {
	if res, err, ended := r.produceAtOthers(ctx, o); ended {
		return res, err
	}
	return r.produceLocally(ctx, o)
}

// produceAtOthers runs an order at the nodes that precede this one in the rank order of the order's regions,
// until one of them accepts it. ended is false if none of them did.
func (r *Router) produceAtOthers(ctx context.Context, o Order) (res Result, err error, ended bool) {
	for i, n := range r.ranked(o.Service, o.Regions) {
		if n.Name == r.self.Name || i >= maxNodes {
			break
		}
		res, err := r.produceAt(ctx, n, o)
		if err == nil || r.final(o, err) || ctx.Err() != nil {
			return res, err, true
		}
		r.markSuspect(n, o, err)
	}
	return Result{}, nil, false
}

// produceLocally runs an order at this node.
func (r *Router) produceLocally(ctx context.Context, o Order) (Result, error) {
	return r.local.Produce(ctx, o, func(w Waits) { r.recordWaits(o, w) })
}

// final reports whether an error is the same at every node. ErrNoTarget of a node is not final
// if this node has a target of the pool: the other node has just started. Sending the order to
// the next node shortens the recovery from a loss of all nodes.
func (r *Router) final(o Order, err error) bool {
	if errors.Is(err, ErrNoTarget) {
		return !r.local.hasUsableTarget(o.Service, o.Regions)
	}
	var spilled *SpillError
	if errors.As(err, &spilled) {
		return true
	}
	for _, e := range []error{ErrLate, ErrInputGone, ErrFailed, ErrCrashed} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// ErrNoMessage is the cancellation cause of a call to a node that sent no message within the
// timeout.
var ErrNoMessage = errors.New("stagebatch: no message from the node within the timeout")

// produceAt has another node produce the results of an order, and cancels the call with ErrNoMessage
// if the node sends no message in time.
func (r *Router) produceAt(ctx context.Context, n Node, o Order) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(acceptTimeout, func() { cancel(ErrNoMessage) })
	defer watchdog.Stop()
	done := make(chan outcome, 1)
	go func() {
		res, err := r.remote.Produce(ctx, n.Addr, o, func(w Waits) {
			watchdog.Reset(silenceTimeout)
			r.recordWaits(o, w)
		})
		res.Former = n.Addr
		done <- outcome{res, err}
	}()
	select {
	case out := <-done:
		if out.err != nil && errors.Is(context.Cause(ctx), ErrNoMessage) {
			out.err = ErrNoMessage
		}
		return out.res, out.err
	case <-ctx.Done():
		// The call itself may be blocked on a stalled connection.
		go r.releaseLate(o.Service, done)
		return Result{}, context.Cause(ctx)
	}
}

// outcome is the result or error of an order at another node.
type outcome struct {
	res Result
	err error
}

// releaseLate releases the results of an order that was cancelled meanwhile.
func (r *Router) releaseLate(service string, done <-chan outcome) {
	if out := <-done; out.err == nil {
		r.Free(service, out.res)
	}
}

func (r *Router) markSuspect(n Node, o Order, err error) {
	r.Suspect(n)
	r.log.Warn("node does not form batches, passed over", "peer", n.Name, "addr", n.Addr, "request", o.Request, "service", o.Service, "err", err)
}

// recordWaits records the waits of a pool.
func (r *Router) recordWaits(o Order, w Waits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits[waitsKey{o.Service, o.Regions.String()}] = reportedWaits{waits: w, at: time.Now()}
}

// Estimate returns the estimated duration of an order, based on the waits that the pool's former
// last reported.
func (r *Router) Estimate(service string, w Work) time.Duration {
	spec := r.local.spec(service)
	if spec == nil {
		return 0
	}
	in := w.Regions
	regions := r.homeRegions(service, w.DataCentre, in)
	if len(regions) > 0 {
		in = region.Only(regions[0])
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var wait time.Duration
	if last := r.waits[waitsKey{service, in.String()}]; time.Since(last.at) < estimateTTL {
		wait = last.waits.forWork(w)
	}
	if w.Late && len(regions) > 0 {
		wait = min(wait, r.waitElsewhere(service, regions[1:]))
	}
	return expected(spec, w.Pieces) + wait
}

// freeRemoteTimeout bounds a call to the former that releases results. Results that are not
// released expire.
const freeRemoteTimeout = 500 * time.Millisecond

// Free releases the results of an order.
func (r *Router) Free(service string, res Result) {
	if len(res.Handles) == 0 {
		return
	}
	if res.Former == "" {
		r.local.Free(service, res.Handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeRemoteTimeout)
		defer cancel()
		if err := r.remote.Free(ctx, res.Former, service, res.Handles, false); err != nil {
			r.local.Free(service, res.Handles)
		}
	}()
}

// FreeIfNearlyFull releases results that were read if their target is nearly full; see
// Former.FreeIfNearlyFull.
func (r *Router) FreeIfNearlyFull(service string, res Result) {
	if len(res.Handles) == 0 {
		return
	}
	if res.Former == "" {
		r.local.FreeIfNearlyFull(service, res.Handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeRemoteTimeout)
		defer cancel()
		if err := r.remote.Free(ctx, res.Former, service, res.Handles, true); err != nil {
			r.log.Debug("early release of results failed", "former", res.Former, "err", err)
		}
	}()
}

// Leader returns the node that owns a task of a kind of work for this node, as seen by this node, and
// whether it is this node.
func (r *Router) Leader(w ownership.Work, name string) (n Node, self bool) {
	own := r.place(r.self)
	for _, n := range r.ranked(name, region.Set{}) {
		if ownership.Same(w, own, r.place(n)) {
			return n, n.Name == r.self.Name
		}
	}
	return r.self, true
}

// place returns the place of a node.
func (r *Router) place(n Node) ownership.Place {
	return ownership.Place{DataCentre: n.DataCentre, Region: r.local.Regions[n.DataCentre]}
}

// Suspect marks a node that did not respond. The node gets no orders for suspectFor.
func (r *Router) Suspect(n Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[n.Name] = time.Now().Add(suspectFor)
}

// FirstBatchNode returns the name of the node that forms the batches of a service for this node's
// region, as seen by this node.
func (r *Router) FirstBatchNode(service string) string {
	in := region.Set{}
	if regions := r.homeRegions(service, "", in); len(regions) > 0 {
		in = region.Only(regions[0])
	}
	ranked := r.ranked(service, in)
	if len(ranked) == 0 {
		return r.self.Name
	}
	return ranked[0].Name
}
