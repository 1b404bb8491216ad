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

// Report is what one node tells the owner of an order.
type Report struct {
	Node  string
	Order Order
	// Evidence is all that the node saw since the order came.
	Evidence Evidence
	// OldInFlight counts the calls of the node that the old version still works on.
	OldInFlight int
	// Has is what the node goes by; the owner answers once it would have it go by something
	// else, and after Hold.
	Has  Answer
	Hold time.Duration
}

// Answer is what nodes go by.
type Answer struct {
	State State
	Share float64
}

// Remote reports to the owner of an order.
type Remote interface {
	Report(ctx context.Context, r Report) (Answer, error)
}

const (
	// holdPerNode bounds the reports that the owner gets each second.
	holdPerNode = 4 * time.Millisecond
	leastHold   = 500 * time.Millisecond
	mostHold    = 3500 * time.Millisecond
	// leaseHolds and leaseSlack are for how long a share holds without an answer of the owner, and
	// how long a node that does not report counts as one of the owner's.
	leaseHolds = 2
	leaseSlack = time.Second
	// reportRetry is the pause after a report without an answer, reportPause that after others.
	reportRetry = 400 * time.Millisecond
	reportPause = 100 * time.Millisecond
	// maxBarred bounds the versions of a service that get nothing.
	maxBarred = 16
)

// Gate decides at one node which version a call goes to, and counts how the calls end. It is safe
// for concurrent use. It implements suture.Service.
type Gate struct {
	Node   string
	Remote Remote
	// Nodes is how many nodes there are.
	Nodes func() int
	Log   *slog.Logger

	mu     sync.Mutex
	orders map[string]*standing
	barred map[string][]string
	// withdrawn are the revisions of orders that do not stand any more, the newest by service.
	withdrawn map[string]store.Version
	poked     chan struct{}
	draw      func() float64
}

// standing is an order that stands.
type standing struct {
	Order
	answer Answer
	// until is when the share lapses.
	until    time.Time
	evidence Evidence
	// oldInFlight counts calls at targets of other versions.
	oldInFlight int
	// unheard says that the owner has not heard of a bad answer yet; alarm wakes the reports.
	unheard bool
	alarm   chan struct{}
	// lapses counts the calls of Lapse: what was asked for before them may be old.
	lapses int
	cancel context.CancelFunc
}

// NewGate returns a Gate without orders.
func NewGate(node string, remote Remote, nodes func() int, log *slog.Logger) *Gate {
	return &Gate{
		Node: node, Remote: remote, Nodes: nodes, Log: log, orders: make(map[string]*standing), barred: make(map[string][]string),
		withdrawn: make(map[string]store.Version), poked: make(chan struct{}, 1), draw: rand.Float64,
	}
}

// SetOrders takes in the orders that stand.
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
		g.end(s)
		g.barred[o.Service] = slices.DeleteFunc(g.barred[o.Service], func(v string) bool { return v == o.To })
		g.orders[o.Service] = &standing{Order: o, evidence: Evidence{Tallies: make(map[Source]Tally)}, alarm: make(chan struct{}, 1)}
	}
	for service, s := range g.orders {
		if !stand[service] {
			g.end(s)
			delete(g.orders, service)
		}
	}
	select {
	case g.poked <- struct{}{}:
	default:
	}
}

// end notes that an order does not stand any more: unless it was completed, its version gets
// nothing. The lock is held.
func (g *Gate) end(s *standing) {
	if s == nil {
		return
	}
	if s.cancel != nil {
		s.cancel()
	}
	g.withdrawn[s.Service] = s.Revision
	if s.answer.State == Completed {
		return
	}
	barred := append(g.barred[s.Service], s.To)
	g.barred[s.Service] = barred[max(len(barred)-maxBarred, 0):]
}

// Lapse takes all shares back until the owner answers anew: the host stood still, and its clock with
// it.
func (g *Gate) Lapse() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.orders {
		s.lapses++
		s.until = time.Time{}
		select {
		case s.alarm <- struct{}{}:
		default:
		}
	}
}

// Withdrawn reports whether an order stood at this node and does not any more.
func (g *Gate) Withdrawn(o Order) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last, ok := g.withdrawn[o.Service]
	return ok && !last.Before(o.Revision)
}

// Lanes returns the groups of targets that a call for a service may go to, the preferred one
// first; nil for all. again says that the request was sent before: it has no part in a trial.
// others reports whether targets of other versions are listed.
func (g *Gate) Lanes(service string, again bool, others func(version string) bool) []Lane {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, barred := g.orders[service], g.barred[service]
	if s == nil {
		if len(barred) == 0 {
			return nil
		}
		return []Lane{{Barred: barred}}
	}
	old := Lane{Barred: append(slices.Clone(barred), s.To)}
	switch {
	case s.answer.State == Completed:
		return []Lane{{Only: s.To, Barred: barred}, {Barred: barred}}
	case s.answer.State == Unknown && !others(s.To):
		// Where the old targets are gone the order was completed, as far as can be known.
		return []Lane{{Barred: barred}}
	case again || g.draw() >= s.share(time.Now()):
		return []Lane{old}
	}
	return []Lane{{Only: s.To, Barred: barred, Part: s.answer.Share}, old}
}

// share is the share that the new version may have now.
func (s *standing) share(now time.Time) float64 {
	if s.unheard || s.answer.State != Running || now.After(s.until) {
		return 0
	}
	return s.answer.Share
}

// Trial returns the version of a service that is on trial with the share of the calls that it may
// have; "" for none.
func (g *Gate) Trial(service string) (version string, share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.orders[service]
	if s == nil || s.answer.State == Completed {
		return "", 0
	}
	return s.To, s.share(time.Now())
}

// Barred returns the versions of a service that get nothing.
func (g *Gate) Barred(service string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.barred[service])
}

// Call is one call of a target, as evidence.
type Call struct {
	Service, Version, Target, Route string
}

// Sent counts a call.
func (g *Gate) Sent(c Call) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.orders[c.Service]
	if s == nil || s.answer.State.Final() {
		return
	}
	s.evidence.Sent++
	if c.Version == s.To {
		s.evidence.SentNew++
	} else {
		s.oldInFlight++
	}
}

// Outcome is how a call ended.
type Outcome uint8

// The outcomes of calls. Calls that were not run, or of which nothing is known, are Nothing.
const (
	Good Outcome = iota
	Bad
	// Left calls were given up without an answer.
	Left
	Nothing
)

// Ended counts how a call of Sent ended, after the time that it took to its answer.
func (g *Gate) Ended(c Call, outcome Outcome, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.orders[c.Service]
	if s == nil || s.answer.State.Final() {
		return
	}
	source := Source{Route: c.Route, New: c.Version == s.To}
	if source.New {
		source.Target = c.Target
	} else {
		s.oldInFlight = max(s.oldInFlight-1, 0)
	}
	t := s.evidence.Tallies[source]
	switch outcome {
	case Good:
		t.Took[bucketOf(took)]++
	case Left:
		t.Left[bucketOf(took)]++
	case Bad:
		t.Bad++
		if source.New {
			s.unheard = true
			select {
			case s.alarm <- struct{}{}:
			default:
			}
		}
	case Nothing:
		return
	}
	s.evidence.Tallies[source] = t
}

// Serve implements suture.Service: it reports to the owners of the orders.
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
		case <-g.poked:
		}
	}
}

// report reports on an order until it is decided.
func (g *Gate) report(ctx context.Context, s *standing) {
	for ctx.Err() == nil {
		r, unheard, lapses := g.next(s)
		call, cancel := context.WithCancel(ctx)
		waits := make(chan struct{})
		go func() {
			defer close(waits)
			select {
			case <-s.alarm:
				cancel()
			case <-call.Done():
			}
		}()
		answer, err := g.Remote.Report(call, r)
		alarmed := call.Err() != nil
		cancel()
		<-waits
		pause := reportPause
		switch {
		case err == nil:
			if g.heard(s, r, unheard, lapses, answer) {
				return
			}
		case !alarmed:
			pause = reportRetry
			g.lost(s, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// HoldOf returns for how long an owner holds the report of a node in a fleet of some nodes.
func HoldOf(nodes int) time.Duration {
	return min(max(time.Duration(nodes)*holdPerNode, leastHold), mostHold)
}

// LeaseOf returns how long an owner and a node that reports count on each other, by the time for
// which the report is held.
func LeaseOf(hold time.Duration) time.Duration { return leaseHolds*hold + leaseSlack }

// next returns the next report, whether it tells of a bad answer, and how many lapses it follows.
func (g *Gate) next(s *standing) (r Report, unheard bool, lapses int) {
	hold := HoldOf(g.Nodes())
	g.mu.Lock()
	defer g.mu.Unlock()
	r = Report{Node: g.Node, Order: s.Order, Evidence: s.evidence.Clone(), OldInFlight: s.oldInFlight, Has: s.answer, Hold: hold}
	if s.unheard {
		r.Hold = 0
	}
	return r, s.unheard, s.lapses
}

// heard takes in an answer, and reports whether the order is decided.
func (g *Gate) heard(s *standing, r Report, unheard bool, lapses int, a Answer) (decided bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lapses != s.lapses {
		return false
	}
	if a != s.answer {
		g.Log.Info("roll-out", "service", s.Service, "to", s.To, "state", a.State, "share", a.Share, "before", s.answer.State, "share_before", s.answer.Share)
	}
	s.answer = a
	s.until = time.Now().Add(LeaseOf(r.Hold))
	if unheard && s.evidence.newBad() == r.Evidence.newBad() {
		s.unheard = false
	}
	return a.State.Final()
}

// newBad counts the bad answers of the new version.
func (e Evidence) newBad() (n uint32) {
	for source, t := range e.Tallies {
		if source.New {
			n += t.Bad
		}
	}
	return n
}

// lost notes a report without an answer.
func (g *Gate) lost(s *standing, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Now().After(s.until) && s.answer.Share > 0 && s.answer.State == Running {
		s.answer.Share = 0
		g.Log.Warn("roll-out paused here: its owner does not answer", "service", s.Service, "to", s.To, "err", err)
	}
}
