package rollout

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"
)

// ErrSuperseded: the store has the record of a newer order.
var ErrSuperseded = errors.New("rollout: a newer order of the service stands")

// Book keeps the records of orders in the store.
type Book interface {
	// Save keeps a record unless the store has a final one of the same order, and returns what
	// it has then. It fails with ErrSuperseded, or with an error of the store.
	Save(ctx context.Context, r Record) (Record, error)
}

const (
	// stepInterval is the time between two looks at an order.
	stepInterval = 200 * time.Millisecond
	// saveTimeout bounds one call of the store.
	saveTimeout = 2 * time.Second
)

// Owner sums up the reports on orders and decides on them. Each node has one; which node is asked
// is for the nodes that report, so that two nodes may own an order at the same time. It is safe for
// concurrent use.
type Owner struct {
	Bounds Bounds
	Book   Book
	// Targets counts the targets of a service as this node sees them.
	Targets func(service, version string) Targets
	// Nodes is how many nodes there are.
	Nodes func() int
	// Withdrawn reports whether an order does not stand any more.
	Withdrawn func(o Order) bool
	Log       *slog.Logger

	mu   sync.Mutex
	runs map[Order]*run
	// closed owners decide nothing more.
	closed bool
}

// run is an order at its owner.
type run struct {
	o      *Owner
	record Record
	trial  *Trial
	// releases end the waits of the nodes' last reports.
	releases map[string]chan struct{}
	step     Step
	answer   Answer
	// changed is closed when the answer changes.
	changed chan struct{}
	// saved says that the store has the record.
	saved bool
	// dropped runs decide nothing more.
	dropped bool
}

// Report takes in a report and answers it once its node should go by something else.
func (w *Owner) Report(ctx context.Context, r Report) (Answer, error) {
	release := make(chan struct{})
	x := w.take(r, release)
	if x == nil {
		return Answer{}, errClosed
	}
	timer := time.NewTimer(min(r.Hold, mostHold))
	defer timer.Stop()
	for {
		w.mu.Lock()
		answer, changed := x.answer, x.changed
		w.mu.Unlock()
		if answer != r.Has && answer.State != Unknown {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			if answer.State == Unknown {
				return Answer{}, errUndecided
			}
			return answer, nil
		case <-release:
			return answer, nil
		case <-ctx.Done():
			return Answer{}, ctx.Err()
		}
	}
}

var (
	errUndecided = errors.New("rollout: the store does not have the order's record yet")
	errClosed    = errors.New("rollout: this node ends")
)

// Lapse drops what is known of all orders: the host stood still, and another node may have decided
// on them meanwhile. Reports begin them anew.
func (w *Owner) Lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop()
}

// Close ends all decisions, for good: the node ends, and another one decides.
func (w *Owner) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.drop()
}

// drop forgets all orders. The lock is held.
func (w *Owner) drop() {
	for _, x := range w.runs {
		x.dropped = true
	}
	clear(w.runs)
}

// take adds a report to what is known of its order; nil where the owner is closed.
func (w *Owner) take(r Report, release chan struct{}) *run {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return nil
	}
	now := time.Now()
	x := w.runs[r.Order]
	if x == nil {
		x = w.begin(r.Order, now)
	}
	x.trial.Take(r, now)
	if last := x.releases[r.Node]; last != nil {
		close(last)
	}
	x.releases[r.Node] = release
	return x
}

// begin starts to decide on an order. The lock is held.
func (w *Owner) begin(o Order, now time.Time) *run {
	x := &run{
		o: w, trial: NewTrial(o, w.Bounds, now), releases: make(map[string]chan struct{}), changed: make(chan struct{}),
		record: Record{Service: o.Service, To: o.To, Revision: o.Revision, State: Running, Began: now, Deadline: now.Add(o.Lasts)},
	}
	if w.runs == nil {
		w.runs = make(map[Order]*run)
	}
	w.runs[o] = x
	w.Log.Info("this node decides on a roll-out", "service", o.Service, "to", o.To, "lasts", o.Lasts)
	go x.decide()
	return x
}

// decide looks at the order until nobody reports on it any more.
func (x *run) decide() {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		if !x.saved {
			x.save()
		}
		forgotten, ended := x.look()
		if forgotten {
			return
		}
		if ended {
			x.save()
		}
		<-tick.C
	}
}

// save writes the record, and goes by what the store has.
func (x *run) save() {
	w := x.o
	w.mu.Lock()
	record, dropped := x.record, x.dropped
	w.mu.Unlock()
	if dropped {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	kept, err := w.Book.Save(ctx, record)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, ErrSuperseded):
		x.record.State, x.record.Reason, x.saved = RolledBack, err.Error(), true
	case err != nil:
		w.Log.Info("state of the roll-out not written yet", "service", record.Service, "to", record.To, "state", record.State, "err", err)
		return
	default:
		x.record, x.saved = kept, true
		x.trial.control.Began = kept.Began
	}
	x.tell(Answer{State: x.record.State, Share: x.answer.Share})
}

// look takes one step, and reports whether the order is forgotten or was ended.
func (x *run) look() (forgotten, ended bool) {
	w := x.o
	order := x.trial.control.Order
	view := View{Nodes: w.Nodes(), Targets: w.Targets(order.Service, order.To), Withdrawn: w.Withdrawn(order)}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if x.dropped {
		return true, false
	}
	if x.trial.Count(now).Nodes == 0 {
		w.Log.Info("roll-out left to other nodes: none reports here", "service", order.Service, "to", order.To, "nodes", len(x.releases))
		delete(w.runs, order)
		return true, false
	}
	if x.record.State.Final() {
		return false, false
	}
	x.take(x.trial.Step(now, view), view, now)
	return false, x.record.State.Final()
}

// take goes by a step. The lock is held.
func (x *run) take(step Step, view View, now time.Time) {
	if step.State != x.step.State || step.Phase != x.step.Phase || step.Share != x.step.Share {
		n := x.trial.Count(now)
		x.o.Log.Info("roll-out decided", "service", x.record.Service, "to", x.record.To, "state", step.State, "phase", step.Phase, "share", step.Share, "reason", step.Reason,
			"sent", n.Sent, "sent_new", n.SentNew, "per_second", n.PerSecond, "new_targets", view.Targets.New, "warm", view.Targets.Warm, "old_targets", view.Targets.Old, "nodes", n.Nodes, "of", view.Nodes)
	}
	x.step = step
	if !step.State.Final() {
		if x.saved {
			x.tell(Answer{State: Running, Share: step.Share})
		}
		return
	}
	x.record.State, x.record.Reason, x.saved = step.State, step.Reason, false
	if step.State == RolledBack {
		// Nobody waits for the store with this.
		x.tell(Answer{State: Running})
	}
}

// tell gives all nodes an answer. The lock is held.
func (x *run) tell(a Answer) {
	if a == x.answer {
		return
	}
	x.answer = a
	close(x.changed)
	x.changed = make(chan struct{})
}

// Status is what the owner of an order knows of it.
type Status struct {
	Record
	Share         float64
	Phase         string
	Sent, SentNew uint64
	Nodes         int
}

// Orders returns the orders that this node decides on.
func (w *Owner) Orders() []Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Status
	now := time.Now()
	for _, x := range w.runs {
		n := x.trial.Count(now)
		out = append(out, Status{Record: x.record, Share: x.answer.Share, Phase: x.step.Phase, Sent: n.Sent, SentNew: n.SentNew, Nodes: n.Nodes})
	}
	return out
}
