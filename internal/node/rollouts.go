package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"topazmoor/internal/admin"
	"topazmoor/internal/catalog"
	"topazmoor/internal/membership"
	"topazmoor/internal/rollout"
	"topazmoor/internal/store"
	"topazmoor/internal/suspend"
	"topazmoor/internal/verdict"
)

const (
	// avoidOwner is how long a node that did not answer a report is not chosen as owner.
	avoidOwner = 5 * time.Second
	// suspendCheck is the time between two checks for a suspension of the host, while there are orders.
	suspendCheck = 100 * time.Millisecond
	// stoppedRetry is the pause before the record of a stopped order is read again.
	stoppedRetry = time.Second
)

// rollouts carries out the orders of roll-outs in the configuration: it passes them to the gate, sends
// the gate's reports to the node that decides, and decides where this node is that one. It implements
// suture.Service, peer.Rollouts and admin.Rollouts.
type rollouts struct {
	n    *Node
	gate *rollout.Gate
	// detector notices suspensions of the host: the clock by which shares lapse stands still in them.
	detector *suspend.Detector

	mu sync.Mutex
	// owners holds, by pool, the owner of the last order that this node decided on. Each order has an
	// owner of its own, with the order's bounds.
	owners map[string]ownedOrder
	// closed says that this node decides on no orders: from the end of Serve until it runs again.
	closed bool
	// avoided holds until when nodes are not chosen as owner, by address.
	avoided map[string]time.Time
	// stopped holds the stopped orders that were passed to the gate. Only Serve uses it.
	stopped map[rollout.Order]stoppedOrder
}

// ownedOrder is an order that this node decides on, with the owner that does.
type ownedOrder struct {
	order rollout.Order
	owner *rollout.Owner
}

// stoppedOrder is what a node knows of the record of a stopped order: whether it was read, and whether it
// says that the order was completed before the stop.
type stoppedOrder struct{ known, completed bool }

// newRollouts returns the roll-outs of a node whose peers are provisioned.
func newRollouts(n *Node) (*rollouts, error) {
	r := &rollouts{n: n, owners: make(map[string]ownedOrder), avoided: make(map[string]time.Time), stopped: make(map[rollout.Order]stoppedOrder)}
	r.gate = rollout.NewGate(n.s.Node.Name, ownerReporter{r}, func() int { return n.peers.nodes() }, n.log)
	var err error
	r.detector, err = suspend.New(n.env.BootLead, r.hostResumed)
	return r, eris.Wrap(err, "notice suspensions of the host")
}

// orderOf returns the order of a roll-out of the configuration.
func orderOf(o catalog.Rollout) rollout.Order {
	return rollout.Order{Service: o.Pool, To: o.To, Revision: store.Version{Number: o.Revision}, Lasts: o.Within.Std()}
}

// Serve implements suture.Service. It keeps the gate's orders as those of the configuration.
func (r *rollouts) Serve(ctx context.Context) error {
	r.open()
	defer r.close()
	for ctx.Err() == nil {
		changed := r.n.board.Catalog.Changed()
		var again <-chan time.Time
		if !r.apply(ctx) {
			again = time.After(stoppedRetry)
		}
		r.wait(ctx, changed, again)
	}
	return ctx.Err()
}

// wait returns when one of the channels is ready or ctx ends. Until then it checks for suspensions of the
// host if there are orders.
func (r *rollouts) wait(ctx context.Context, changed <-chan struct{}, again <-chan time.Time) {
	var check <-chan time.Time
	if len(r.n.board.Catalog.Get().Rollouts()) > 0 {
		tick := time.NewTicker(suspendCheck)
		defer tick.Stop()
		check = tick.C
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
			return
		case <-again:
			return
		case <-check:
			r.detector.Check()
		}
	}
}

// hostResumed is called after the host was suspended for gap. Shares and decisions from before are not
// used any more: another node may have decided meanwhile.
func (r *rollouts) hostResumed(gap time.Duration) {
	r.n.log.Warn("host was suspended, roll-outs wait for their owners", "ms", gap.Milliseconds())
	r.gate.Expire()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, owned := range r.owners {
		owned.owner.Expire()
	}
}

// apply passes the orders to the gate. It returns false if the record of a stopped order could not be
// read. A stopped order whose record is not known is withdrawn at the gate before its record is read: the
// store may answer late.
func (r *rollouts) apply(ctx context.Context) (known bool) {
	orders := r.n.board.Catalog.Get().Rollouts()
	r.passOrders(orders)
	known = true
	completed := false
	for _, o := range orders {
		order := orderOf(o)
		if !o.Stopped || r.stopped[order].known {
			continue
		}
		rec, err := r.record(ctx, o)
		if err != nil {
			r.n.log.Warn("record of a stopped roll-out not read, its version gets no calls", "pool", o.Pool, "to", o.To, "err", err)
		}
		s := stoppedOrder{known: err == nil, completed: rec.State == rollout.Completed}
		r.stopped[order] = s
		known = known && s.known
		completed = completed || s.completed
	}
	if completed {
		r.passOrders(orders)
	}
	return known
}

// passOrders passes to the gate the orders that stand: those that are not stopped, or were completed
// before.
func (r *rollouts) passOrders(orders map[string]catalog.Rollout) {
	var standing, fresh []rollout.Order
	stopped := make(map[rollout.Order]stoppedOrder)
	for _, o := range orders {
		order := orderOf(o)
		if !o.Stopped {
			standing = append(standing, order)
			continue
		}
		s, seen := r.stopped[order]
		if !seen {
			fresh = append(fresh, order)
		}
		stopped[order] = s
		if s.completed {
			standing = append(standing, order)
		}
	}
	r.stopped = stopped
	if len(fresh) > 0 {
		// The gate excludes the version of an order that is taken away from it. So it is given the order
		// first, also if this node has started after the stop.
		r.gate.SetOrders(slices.Concat(standing, fresh))
	}
	r.gate.SetOrders(standing)
}

// Report implements peer.Rollouts. It adds a report to the evidence of an order that this node decides
// on.
func (r *rollouts) Report(ctx context.Context, rep rollout.Report) (rollout.Answer, error) {
	owner := r.ownerOf(rep.Order)
	if owner == nil {
		return rollout.Answer{}, errUnknownOrder
	}
	return owner.Report(ctx, rep)
}

// errUnknownOrder refuses a report; the sender reports again.
var errUnknownOrder = errors.New("the configuration in force here does not have the order, or the node stops")

// ownerOf returns the owner of an order; nil if the configuration in force here lacks the order, or
// this node decides on none now.
func (r *rollouts) ownerOf(order rollout.Order) *rollout.Owner {
	o := r.n.board.Catalog.Get().Rollouts()[order.Service]
	if orderOf(o) != order {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	if owned := r.owners[order.Service]; owned.order == order {
		return owned.owner
	}
	owner := &rollout.Owner{
		Bounds: boundsOf(o), RecordStore: rolloutRecords{r.n}, Targets: r.targets,
		Nodes: func() int { return r.n.peers.nodes() }, Withdrawn: r.gate.Withdrawn, Log: r.n.log,
	}
	r.owners[order.Service] = ownedOrder{order: order, owner: owner}
	return owner
}

// boundsOf returns the bounds of an order's trial.
func boundsOf(o catalog.Rollout) rollout.Bounds {
	return rollout.Bounds{Share: o.Share, Slack: o.Slack}
}

// open lets this node decide on orders.
func (r *rollouts) open() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = false
}

// close ends the decisions of this node until open.
func (r *rollouts) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, owned := range r.owners {
		owned.owner.Close()
	}
	clear(r.owners)
}

// ownerReporter sends reports to the node that decides on an order. It implements rollout.Remote.
type ownerReporter struct{ r *rollouts }

// Report implements rollout.Remote. A node that does not answer is avoided for a time; a refusal shows
// that it is alive.
func (o ownerReporter) Report(ctx context.Context, rep rollout.Report) (rollout.Answer, error) {
	addr := o.r.ownerAddr(rep.Order.Service)
	if addr == "" {
		return o.r.Report(ctx, rep)
	}
	answer, err := o.r.n.peers.client.ReportRollout(ctx, addr, rep)
	var refused *verdict.Error
	if err != nil && ctx.Err() == nil && !errors.As(err, &refused) {
		o.r.avoid(addr)
	}
	return answer, err
}

// ownerAddr returns the address of the node that decides on the roll-out of a pool, by rendezvous hashing
// over the live nodes that answer; "" for this node.
func (r *rollouts) ownerAddr(pool string) string {
	addrs := map[string]string{r.n.s.Node.Name: ""}
	names := []string{r.n.s.Node.Name}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.n.peers.live() {
		if m.Health == membership.Alive && !time.Now().Before(r.avoided[m.Addr]) {
			addrs[m.Name] = m.Addr
			names = append(names, m.Name)
		}
	}
	return addrs[rendezvous(names, xxhash.Sum64String("roll-out of "+pool))]
}

// avoid excludes a node as owner for avoidOwner.
func (r *rollouts) avoid(addr string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoided[addr] = time.Now().Add(avoidOwner)
	r.n.log.Warn("owner of roll-outs avoided: it does not answer", "addr", addr, "for", avoidOwner)
}

// targets counts the targets of a pool that get work, by version. All count as warm: nothing tells when
// their warm-up is over.
func (r *rollouts) targets(pool, version string) rollout.Targets {
	var out rollout.Targets
	for _, c := range r.versionCounts(pool, version) {
		out.New += c.New
		out.Old += c.Old
	}
	out.Warm = out.New
	return out
}

// versionCounts counts the targets of a pool that get work by data centre, in the order of their names.
func (r *rollouts) versionCounts(pool, version string) []admin.VersionCount {
	regions := r.n.s.RegionMap()
	var out []admin.VersionCount
	for _, h := range servingHosts(r.n.board.Hosts.Get().Hosts, r.n.board.Catalog.Get()) {
		if h.Pool != pool {
			continue
		}
		i, found := slices.BinarySearchFunc(out, h.DataCentre, func(c admin.VersionCount, dc string) int {
			return cmp.Compare(c.DataCentre, dc)
		})
		if !found {
			out = slices.Insert(out, i, admin.VersionCount{DataCentre: h.DataCentre, Region: regions[h.DataCentre]})
		}
		if h.Version == version {
			out[i].New++
		} else {
			out[i].Old++
		}
	}
	return out
}
