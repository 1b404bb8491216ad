package stagebatch

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"topazmoor/internal/region"
)

// Node is another node that may form batches.
type Node struct {
	// Name is unique, Addr is where the node takes calls.
	Name, Addr string
	// DataCentre is where the node stands.
	DataCentre string
	// Means is what the node has for the batches that it forms.
	Means Means
}

// Remote makes orders at other nodes; package peer has the real one.
type Remote interface {
	// Produce runs an order at the node at addr. accepted is called with the waits of
	// the node's pool when the node has taken the order, and again and again while it
	// works on it, never twice at a time. The error is one of this package's, or
	// another one when the node did not answer or refused.
	Produce(ctx context.Context, addr string, o Order, accepted func(Waits)) (Result, error)
	// Free gives up results at the node that formed their batches, with ifTight only
	// where room is short.
	Free(ctx context.Context, addr, service string, handles []string, ifTight bool) error
}

const (
	// acceptTimeout is how long a node may take to accept an order: a round
	// trip is 1 to 2 ms, and a busy node is held up for some tens of ms.
	acceptTimeout = 250 * time.Millisecond
	// silenceTimeout is how long a node that works on an order may say nothing.
	// It says so four times a second; a slowed host may miss one time. It must
	// not depend on how long the order takes: when orders of a slow pool are
	// given up, they go to other nodes too, each piece is produced several
	// times, and the pool gets slower still.
	silenceTimeout = 900 * time.Millisecond
	// suspectFor is how long a node that did not answer is passed over. Frozen
	// and restarted processes are back after a few seconds.
	suspectFor = 2 * time.Second
	// maxNodes is how many other nodes are tried before this node forms its
	// own batch.
	maxNodes = 2
	// estimateLife is how long the estimate of a pool is believed.
	estimateLife = time.Second
)

// Router sends orders to the node that forms the batches of their pool. It is
// safe for concurrent use.
type Router struct {
	self   Node
	local  *Former
	remote Remote
	nodes  func() []Node
	log    *slog.Logger

	mu       sync.Mutex
	suspects map[string]time.Time
	waits    map[waitsKey]told
	stopping bool
}

// waitsKey names a pool as a former sees it: work that may be done in some regions only has a
// former there.
type waitsKey struct{ service, regions string }

// told is what the former of a pool said of the time that pieces wait.
type told struct {
	waits Waits
	at    time.Time
}

// NewRouter returns a Router of the node self. nodes lists the other nodes.
func NewRouter(self Node, local *Former, remote Remote, nodes func() []Node, log *slog.Logger) *Router {
	return &Router{
		self: self, local: local, remote: remote, nodes: nodes, log: log,
		suspects: make(map[string]time.Time), waits: make(map[waitsKey]told),
	}
}

// Stop makes the Router send new orders to other nodes where there are any.
func (r *Router) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// ranked returns the nodes in some regions that are not suspect, in the order in which they form
// the batches of a service.
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
	rank(service, out)
	return out
}

// Live returns how many nodes take part, this one included.
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

// Produce runs an order at the first node that takes it.
func (r *Router) Produce(ctx context.Context, o Order) (Result, error) {
	for i, n := range r.ranked(o.Service, o.Regions) {
		if n.Name == r.self.Name || i >= maxNodes {
			break
		}
		res, err := r.produceAt(ctx, n, o)
		if err == nil || r.final(o, err) || ctx.Err() != nil {
			return res, err
		}
		r.suspect(n, o, err)
	}
	return r.local.Produce(ctx, o, func(w Waits) { r.note(o, w) })
}

// final reports whether another node would give the same answer. A node that knows no target
// of a pool which this one knows has just started: a loss of all nodes is over sooner where
// its orders go on to the next.
func (r *Router) final(o Order, err error) bool {
	if errors.Is(err, ErrNoTarget) {
		return !r.local.knowsTarget(o.Service, o.Regions)
	}
	for _, e := range []error{ErrLate, ErrInputGone, ErrFailed, ErrCrashed} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// ErrSilent is the cause of the end of a call to a node that said nothing for too
// long.
var ErrSilent = errors.New("stagebatch: the node fell silent")

// produceAt runs an order at another node and gives it up when the node falls
// silent.
func (r *Router) produceAt(ctx context.Context, n Node, o Order) (Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := time.AfterFunc(acceptTimeout, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	done := make(chan outcome, 1)
	go func() {
		res, err := r.remote.Produce(ctx, n.Addr, o, func(w Waits) {
			watchdog.Reset(silenceTimeout)
			r.note(o, w)
		})
		res.Former = n.Addr
		done <- outcome{res, err}
	}()
	select {
	case out := <-done:
		if out.err != nil && errors.Is(context.Cause(ctx), ErrSilent) {
			out.err = ErrSilent
		}
		return out.res, out.err
	case <-ctx.Done():
		// The call itself may be held up by a connection that takes nothing more.
		go r.freeLate(o.Service, done)
		return Result{}, context.Cause(ctx)
	}
}

// outcome is the end of an order at another node.
type outcome struct {
	res Result
	err error
}

// freeLate gives up the results of an order that was given up meanwhile.
func (r *Router) freeLate(service string, done <-chan outcome) {
	if out := <-done; out.err == nil {
		r.Free(service, out.res)
	}
}

func (r *Router) suspect(n Node, o Order, err error) {
	r.Suspect(n)
	r.log.Warn("node does not form batches, passed over", "peer", n.Name, "addr", n.Addr, "request", o.Request, "service", o.Service, "err", err)
}

// note keeps the waits of a pool.
func (r *Router) note(o Order, w Waits) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waits[waitsKey{o.Service, o.Regions.String()}] = told{waits: w, at: time.Now()}
}

// Estimate returns the time that an order would take, by what the pool's former last
// said.
func (r *Router) Estimate(service string, w Work) time.Duration {
	spec := r.local.spec(service)
	if spec == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e := expected(spec, w.Pieces)
	if last := r.waits[waitsKey{service, w.Regions.String()}]; time.Since(last.at) < estimateLife {
		e += last.waits.of(w)
	}
	return e
}

// freeRemoteTimeout bounds the call to the former; results lapse anyhow.
const freeRemoteTimeout = 500 * time.Millisecond

// Free gives up the results of an order.
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

// FreeIfTight gives up results that were read, where room is short; see Former.
func (r *Router) FreeIfTight(service string, res Result) {
	if len(res.Handles) == 0 {
		return
	}
	if res.Former == "" {
		r.local.FreeIfTight(service, res.Handles)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeRemoteTimeout)
		defer cancel()
		if err := r.remote.Free(ctx, res.Former, service, res.Handles, true); err != nil {
			r.log.Debug("results not given up early", "former", res.Former, "err", err)
		}
	}()
}

// Lead returns the node that answers for something that all nodes share, as this node sees it,
// and whether it is this one.
func (r *Router) Lead(name string) (n Node, self bool) {
	ranked := r.ranked(name, region.Set{})
	if len(ranked) == 0 {
		return r.self, true
	}
	return ranked[0], ranked[0].Name == r.self.Name
}

// Suspect passes over a node that did not answer for a while.
func (r *Router) Suspect(n Node) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspects[n.Name] = time.Now().Add(suspectFor)
}

// First returns the node that forms the batches of a service now, as this node
// sees it.
func (r *Router) First(service string) string {
	n, _ := r.Lead(service)
	return n.Name
}
