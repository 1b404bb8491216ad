package rollout

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"topazmoor/internal/store"
)

// Report is the evidence and the state of one node for an order, as sent to its owner.
type Report struct {
	Node  string
	Order Order
	// Evidence counts all calls of the node since it received the order.
	Evidence Evidence
	// OldInFlight counts the calls of the node in flight at targets of the old version.
	OldInFlight int
	// Has is the answer that the node acts on. The owner holds the report until its answer
	// differs from Has, for Hold at most.
	Has  Answer
	Hold time.Duration
	// KnowsLongFrom says that the node understands LongFrom and OldStops of an Answer.
	KnowsLongFrom bool
}

// Answer is the decision of an owner that nodes act on.
type Answer struct {
	State State
	Share float64
	// LongFrom is set once the version is held to be good: repeats, and calls that are expected to last
	// that long, go to the new version, whatever the share. It has whole milliseconds; 0 for none.
	LongFrom time.Duration
	// OldStops says that the targets of the old version are about to stop. Streams there stay: they
	// cannot continue at another version.
	OldStops bool
	// Moving says that the owner holds the version to be good and moves the traffic to it.
	Moving bool
}

// minLongFrom is the LongFrom that makes all calls long.
const minLongFrom = time.Millisecond

// forOld returns the answer for a node of an earlier release: without the fields that it does not know.
// It could not repeat them in Report.Has, and no report of it would be held.
func (a Answer) forOld() Answer { return Answer{State: a.State, Share: a.Share} }

// sameEffect reports whether nodes do the same by both answers.
func (a Answer) sameEffect(o Answer) bool {
	a.Moving, o.Moving = false, false
	return a == o
}

// Remote sends reports to the owner of an order.
type Remote interface {
	Report(ctx context.Context, r Report) (Answer, error)
}

const (
	// holdPerNode is the hold of a report for each node of the fleet, between minHold and maxHold.
	// It limits how many reports an owner receives in a second.
	holdPerNode = 4 * time.Millisecond
	minHold     = 500 * time.Millisecond
	maxHold     = 3500 * time.Millisecond
	// A lease lasts for leaseHolds holds and leaseSlack: so long a share is valid without a new
	// answer of the owner, and so long the owner counts a node that sends no new report.
	leaseHolds = 2
	leaseSlack = time.Second
	// reportRetry is the pause after a report that failed, reportPause that after others.
	reportRetry = 400 * time.Millisecond
	reportPause = 100 * time.Millisecond
	// maxBarred is the number of versions of a service that a node excludes from calls; the oldest
	// entry is dropped beyond it.
	maxBarred = 16
)

// Gate selects the version that each call of one node goes to, counts how the calls end, and reports
// the counts to the owners of the orders. It is safe for concurrent use. It implements suture.Service.
type Gate struct {
	Node   string
	Remote Remote
	// Nodes returns the number of nodes of the fleet.
	Nodes func() int
	Log   *slog.Logger
	// CallEnded is called for each call that ended while an order of its service stands, with the
	// Gate's lock held; nil for none. replaced says that the call went to the old version and ended
	// after it was announced that the old version stops, or after the order was completed.
	CallEnded func(c Call, o Outcome, replaced bool)

	mu sync.Mutex
	// orders holds the current order of each service.
	orders map[string]*orderState
	// barred lists, by service, the versions that get no calls.
	barred map[string][]string
	// inFlight counts the calls in flight, by service and version. It is kept without an order too, as
	// calls may outlast the change of orders.
	inFlight map[string]map[string]int
	// withdrawn holds, by service, the revision of the last order that ended at this node.
	withdrawn map[string]store.Version
	// outcomes are the final states of orders that this node knows.
	outcomes outcomes
	// ordersChanged signals Serve that the orders changed.
	ordersChanged chan struct{}
	// random returns a random number in [0, 1).
	random func() float64
}

// orderState is the state of a current order at a node.
type orderState struct {
	Order
	answer Answer
	// until is when the share of the answer expires.
	until    time.Time
	evidence Evidence
	// longest is the longest time of a call to targets of other versions, by route.
	longest map[string]time.Duration
	// unreportedBad says that a bad answer of the new version has not been reported yet. wake
	// interrupts the report that is being held.
	unreportedBad bool
	wake          chan struct{}
	// lapses counts the calls of Expire. Answers to reports from before the last one are dropped:
	// they may be outdated.
	lapses int
	// cancel ends the reports; nil before they start.
	cancel context.CancelFunc
}

// NewGate returns a Gate without orders.
func NewGate(node string, remote Remote, nodes func() int, log *slog.Logger) *Gate {
	return &Gate{
		Node: node, Remote: remote, Nodes: nodes, Log: log, orders: make(map[string]*orderState), barred: make(map[string][]string),
		inFlight: make(map[string]map[string]int), withdrawn: make(map[string]store.Version), ordersChanged: make(chan struct{}, 1), random: rand.Float64,
	}
}

// SetOrders replaces the current orders by list. Orders that are missing or changed in it end.
func (g *Gate) SetOrders(list []Order) {
	g.mu.Lock()
	defer g.mu.Unlock()
	stand := make(map[string]bool, len(list))
	for _, o := range list {
		stand[o.Service] = true
		s := g.orders[o.Service]
		if s != nil && s.Order == o {
			continue
		}
		if s != nil && o.isRestored(s.Order) {
			g.renew(s, o)
			continue
		}
		g.end(s)
		g.barred[o.Service] = slices.DeleteFunc(g.barred[o.Service], func(v string) bool { return v == o.To })
		g.orders[o.Service] = &orderState{Order: o, evidence: Evidence{Tallies: make(map[Source]Tally)}, wake: make(chan struct{}, 1),
			longest: make(map[string]time.Duration),
		}
		g.recall(g.orders[o.Service])
	}
	for service, s := range g.orders {
		if !stand[service] {
			g.end(s)
			delete(g.orders, service)
		}
	}
	g.restartReports()
}

// restartReports makes Serve start the reports on orders that have none. The lock is held.
func (g *Gate) restartReports() {
	select {
	case g.ordersChanged <- struct{}{}:
	default:
	}
}

// endReports ends the reports on an order; Serve starts them again if the order still stands. The lock
// is held.
func (s *orderState) endReports() {
	if s.cancel != nil {
		s.cancel()
		s.cancel = nil
	}
}

// end ends the reports on an order that was removed or replaced. Unless the order was completed, its
// version gets no calls from then on. The lock is held.
func (g *Gate) end(s *orderState) {
	if s == nil {
		return
	}
	s.endReports()
	g.withdrawn[s.Service] = s.Revision
	if s.answer.State == Completed {
		return
	}
	g.outcomes.set(s.Order, RolledBack)
	barred := append(g.barred[s.Service], s.To)
	g.barred[s.Service] = barred[max(len(barred)-maxBarred, 0):]
}

// Expire makes the shares of all roll-out orders expire at once; the share of an order is used again
// when its owner has answered a new report. Expire is called after the host was suspended: the clock of
// the process did not advance during the suspension, so the shares did not expire by themselves.
func (g *Gate) Expire() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.orders {
		s.lapses++
		s.until = time.Time{}
		s.interruptReport()
	}
}

// Withdrawn reports whether this node has ended the order or a later one of its service.
func (g *Gate) Withdrawn(o Order) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.withdrawn[o.Service]
	return ok && !last.Before(o.Revision)
}

// TargetGroups returns the groups of targets that a call of a route for a service may go to, the
// preferred one first; nil if all targets are allowed. again says that the request is repeated:
// repeats are not sent to a version on trial. others reports whether targets of versions other than
// version exist.
func (g *Gate) TargetGroups(service, route string, again bool, others func(version string) bool) []TargetGroup {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, barred := g.orders[service], g.barred[service]
	if s == nil {
		if len(barred) == 0 {
			return nil
		}
		return []TargetGroup{{Excluded: barred, Why: "a version is excluded"}}
	}
	old := TargetGroup{Excluded: append(slices.Clone(barred), s.To), Why: "old version", Share: s.answer.Share}
	now := time.Now()
	switch {
	case s.answer.State == Completed:
		return []TargetGroup{{Version: s.To, Excluded: barred, Why: "completed"}, {Excluded: barred, Why: "no target of the new version"}}
	case s.answer.State == Unknown && !others(s.To):
		// No target of another version exists, so the order was probably completed.
		return []TargetGroup{{Excluded: barred, Why: "no order's state, one version"}}
	case s.isLong(route, again, now):
		return []TargetGroup{{Version: s.To, Excluded: barred, Why: "too long for the old version", Share: s.answer.Share}, old}
	case again:
		old.Why = "repeats are not tried"
		return []TargetGroup{old}
	case g.random() >= s.share(now):
		return []TargetGroup{old}
	}
	return []TargetGroup{{Version: s.To, Excluded: barred, Fraction: s.answer.Share, Why: "share", Share: s.answer.Share}, old}
}

// share returns the share of the calls that the new version gets at a time.
func (s *orderState) share(now time.Time) float64 {
	if s.unreportedBad || s.answer.State != Running || now.After(s.until) {
		return 0
	}
	return s.answer.Share
}

// Trial returns the version that a service's order moves traffic to, and its present share of the
// calls; "" without an order or after it was completed.
func (g *Gate) Trial(service string) (version string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.orders[service]
	if s == nil || s.answer.State == Completed {
		return "", 0
	}
	return s.To, s.share(time.Now())
}

// Barred returns the versions of a service that get no calls.
func (g *Gate) Barred(service string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.barred[service])
}

// Serve implements suture.Service. It reports on each order to its owner.
func (g *Gate) Serve(ctx context.Context) error {
	for {
		g.mu.Lock()
		for _, s := range g.orders {
			if s.cancel == nil {
				reporting, cancel := context.WithCancel(ctx)
				s.cancel = cancel
				go g.report(reporting, s)
			}
		}
		g.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.ordersChanged:
		}
	}
}

// report sends reports on an order until the owner's answer is final. A bad answer of the new version
// interrupts a report that is being held, so that it is reported at once.
func (g *Gate) report(ctx context.Context, s *orderState) {
	g.spreadFinal(ctx, s)
	for ctx.Err() == nil {
		r, unreportedBad, lapses := g.next(s)
		call, cancel := context.WithCancel(ctx)
		waits := make(chan struct{})
		go func() {
			defer close(waits)
			select {
			case <-s.wake:
				cancel()
			case <-call.Done():
			}
		}()
		answer, err := g.Remote.Report(call, r)
		woken := call.Err() != nil
		cancel()
		<-waits
		pause := reportPause
		switch {
		case err == nil:
			if g.applyAnswer(s, r, unreportedBad, lapses, answer) {
				return
			}
		case !woken:
			pause = reportRetry
			g.reportFailed(s, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// spreadFinal waits for a random part of a hold if the order is decided already: all nodes report it at
// that moment, and the owner should not get their reports at the same time.
func (g *Gate) spreadFinal(ctx context.Context, s *orderState) {
	g.mu.Lock()
	final := s.answer.State.Final()
	g.mu.Unlock()
	if !final {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Duration(g.random() * float64(HoldOf(g.Nodes())))):
	}
}

// HoldOf returns how long an owner holds a report in a fleet of a number of nodes.
func HoldOf(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*holdPerNode, minHold), maxHold)
}

// LeaseOf returns the lease of a report that is held for hold: how long its answer is valid at the
// node, and how long the owner counts the node as reporting.
func LeaseOf(hold time.Duration) time.Duration { return leaseHolds*hold + leaseSlack }

// next returns the next report, whether it reports a new bad answer, and the count of calls of
// Expire at that time.
func (g *Gate) next(s *orderState) (r Report, unreportedBad bool, lapses int) {
	hold := HoldOf(g.Nodes())
	g.mu.Lock()
	defer g.mu.Unlock()
	r = Report{Node: g.Node, Order: s.Order, Evidence: s.evidence.Clone(), OldInFlight: g.oldInFlight(s.Order), Has: s.answer, Hold: hold, KnowsLongFrom: true}
	if s.answer.State.Final() {
		// The owner needs only the state.
		r.Evidence.Tallies = nil
	}
	if s.unreportedBad {
		r.Hold = 0
	}
	return r, s.unreportedBad, s.lapses
}

// applyAnswer applies the owner's answer to a report, and reports whether the order is decided.
func (g *Gate) applyAnswer(s *orderState, r Report, unreportedBad bool, lapses int, a Answer) (decided bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lapses != s.lapses || r.Order != s.Order {
		return false
	}
	if s.answer.State.Final() && !a.State.prevails(s.answer.State) {
		// The node acted on this state, which the owner has heard of now.
		return a.State.Final()
	}
	if a != s.answer {
		g.Log.Info("roll-out", "service", s.Service, "to", s.To, "state", a.State, "share", a.Share, "before", s.answer.State, "share_before", s.answer.Share)
	}
	s.answer = a
	s.until = time.Now().Add(LeaseOf(r.Hold))
	if unreportedBad && s.evidence.newBad() == r.Evidence.newBad() {
		s.unreportedBad = false
	}
	if a.State.Final() {
		g.outcomes.set(s.Order, a.State)
	}
	return a.State.Final()
}

// newBad returns the number of bad answers of the new version.
func (e Evidence) newBad() (n uint32) {
	for source, t := range e.Tallies {
		if source.New {
			n += t.Bad
		}
	}
	return n
}

// reportFailed handles a report that failed: it ends the share once the lease is over.
func (g *Gate) reportFailed(s *orderState, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().After(s.until) && s.answer.Share > 0 && s.answer.State == Running {
		s.answer.Share = 0
		g.Log.Warn("roll-out paused here: its owner does not answer", "service", s.Service, "to", s.To, "err", err)
	}
}
