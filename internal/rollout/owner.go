package rollout

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"topazmoor/internal/ownership"
)

// ErrSuperseded reports that the store has the record of a newer roll-out order of the same service.
var ErrSuperseded = errors.New("rollout: a newer order of the service stands")

// RecordStore writes the records of roll-out orders to the store.
type RecordStore interface {
	// Save writes the record r of an order. If the store already has a record of the same order, Save
	// replaces the stored record only if its state is not final and the state of r is. Save returns
	// the record that the store has afterwards. It fails with ErrSuperseded, or with an error of the
	// store.
	Save(ctx context.Context, r Record) (Record, error)
}

const (
	// stepInterval is the time between two steps of a roll-out order; each step decides on the state
	// of the order and the share of calls that go to the new version.
	stepInterval = 200 * time.Millisecond
	// saveTimeout is the timeout of one write to the store.
	saveTimeout = 2 * time.Second
)

// Owner aggregates the nodes' reports on roll-out orders and decides on the orders. Each node has an
// Owner. Each reporting node chooses the Owner that it reports to, so two nodes may own an order at the
// same time. An Owner is safe for concurrent use.
type Owner struct {
	Bounds      Bounds
	RecordStore RecordStore
	// Targets returns the numbers of the service's targets that this node knows of; in the result, New
	// is the number of targets of the given version.
	Targets func(service, version string) Targets
	// Nodes returns the number of nodes of the fleet.
	Nodes func() int
	// Withdrawn reports whether an order was removed or replaced.
	Withdrawn func(o Order) bool
	Log       *slog.Logger

	mu sync.Mutex
	// runs holds the orders that this owner decides on.
	runs map[Order]*run
	// closed says that the owner makes no more decisions.
	closed bool
}

// run is the state of an order at its owner.
type run struct {
	o      *Owner
	record Record
	trial  *Trial
	// releases holds, by reporting node, a channel that ends the hold of the node's last report when
	// closed.
	releases map[string]chan struct{}
	step     Step
	answer   Answer
	// changed is closed when the answer changes.
	changed chan struct{}
	// saved says that the store has the present value of record.
	saved bool
	// dropped says that the owner makes no more decisions on the run.
	dropped bool
}

// Report adds a report to the evidence on the order that it names. It returns the answer of the order
// once this differs from the answer that the reporting node has, once the report's hold is over, or
// once the node sends its next report.
func (w *Owner) Report(ctx context.Context, r Report) (Answer, error) {
	release := make(chan struct{})
	x := w.addReport(r, release)
	if x == nil {
		return Answer{}, errClosed
	}
	timer := time.NewTimer(min(r.Hold, maxHold))
	defer timer.Stop()
	for {
		w.mu.Lock()
		answer, changed := x.answer, x.changed
		w.mu.Unlock()
		if !r.KnowsLongFrom {
			answer = answer.forOld()
		}
		if !answer.sameEffect(r.Has) && answer.State != Unknown {
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
	errClosed    = errors.New("rollout: the owner is closed")
)

// Expire drops the state of all orders. It is called after the host was suspended: another node may
// have decided on the orders meanwhile. The next report on an order starts a new run.
func (w *Owner) Expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.drop()
}

// Close ends all decisions of this owner permanently. It is called when the node stops; another node
// decides from then on.
func (w *Owner) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.drop()
}

// drop discards the runs of all orders. The lock is held.
func (w *Owner) drop() {
	for _, x := range w.runs {
		x.dropped = true
	}
	clear(w.runs)
}

// addReport adds a report to the run of the order that the report names, and starts the run if there is
// none. It returns nil if the owner is closed.
func (w *Owner) addReport(r Report, release chan struct{}) *run {
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
	x.trial.AddReport(r, now)
	x.adopt(r.Has.State)
	if last := x.releases[r.Node]; last != nil {
		close(last)
	}
	x.releases[r.Node] = release
	return x
}

// adopt takes over the final state that a reporting node knows from before the store was restored. The
// lock is held.
func (x *run) adopt(state State) {
	if !state.prevails(x.record.State) {
		return
	}
	x.record.State, x.record.Reason, x.record.Remembered, x.saved = state, "decided before the store was restored", true, false
	x.o.Log.Info("roll-out was decided before the store was restored", "service", x.record.Service, "to", x.record.To, "state", state)
	if state == RolledBack {
		x.publish(Answer{State: Running})
	}
}

// begin starts the run of an order. The lock is held.
func (w *Owner) begin(o Order, now time.Time) *run {
	x := &run{
		o: w, trial: NewTrial(o, w.Bounds, now), releases: make(map[string]chan struct{}), changed: make(chan struct{}),
		record: Record{Service: o.Service, To: o.To, Revision: o.Revision, State: Running, Began: now, Deadline: now.Add(o.Lasts)},
	}
	if w.runs == nil {
		w.runs = make(map[Order]*run)
	}
	for old, y := range w.runs {
		if o.isRestored(old) && old.Revision.Before(o.Revision) {
			y.dropped = true
			x.record.Began, x.record.Deadline, x.trial.control.Began = y.record.Began, y.record.Deadline, y.record.Began
			delete(w.runs, old)
		}
	}
	w.runs[o] = x
	w.Log.Info("roll-out started at this owner", "service", o.Service, "to", o.To, "lasts", o.Lasts, "row_version", o.Revision, "level", ownership.LevelOf(ownership.RolloutDecision))
	go x.decide()
	return x
}

// decide takes a step of the run's order in each stepInterval until the run is removed.
func (x *run) decide() {
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		x.save()
		removed, ended := x.evaluate()
		if removed {
			return
		}
		if ended {
			x.save()
		}
		<-tick.C
	}
}

// save writes the run's record to the store if the store does not have it yet, and takes over the
// record that the store has afterwards.
func (x *run) save() {
	w := x.o
	w.mu.Lock()
	record, done := x.record, x.dropped || x.saved
	w.mu.Unlock()
	if done {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), saveTimeout)
	defer cancel()
	kept, err := w.RecordStore.Save(ctx, record)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case errors.Is(err, ErrSuperseded):
		x.record.State, x.record.Reason, x.saved = RolledBack, err.Error(), true
	case err != nil:
		w.Log.Info("state of the roll-out not written yet", "service", record.Service, "to", record.To, "state", record.State, "err", err)
		return
	case x.record.Remembered && !record.Remembered:
		// A node told of the final state meanwhile. The next call writes it.
		return
	default:
		x.record, x.saved = kept, true
		x.trial.control.Began = kept.Began
	}
	x.publish(Answer{State: x.record.State, Share: x.answer.Share})
}

// evaluate takes one step of the order. removed reports that the run has no further steps, because the
// owner dropped it or no node reports on the order any more. ended reports that this step ended the
// order.
func (x *run) evaluate() (removed, ended bool) {
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
		w.Log.Info("ownership of the roll-out ended: no node reports to this owner", "service", order.Service, "to", order.To, "nodes", len(x.releases))
		delete(w.runs, order)
		return true, false
	}
	if x.record.State.Final() {
		return false, false
	}
	x.applyStep(x.trial.Step(now, view), view, now)
	return false, x.record.State.Final()
}

// applyStep applies a step. The lock is held.
func (x *run) applyStep(step Step, view View, now time.Time) {
	if step.State != x.step.State || step.Phase != x.step.Phase || step.Share != x.step.Share {
		n := x.trial.Count(now)
		x.o.Log.Info("roll-out step changed", "service", x.record.Service, "to", x.record.To, "state", step.State, "phase", step.Phase, "share", step.Share, "long_from_ms", step.LongFrom.Milliseconds(), "reason", step.Reason,
			"sent", n.Sent, "sent_new", n.SentNew, "per_second", n.PerSecond, "new_targets", view.Targets.New, "warm", view.Targets.Warm, "cold_rate", view.Targets.ColdRate, "old_targets", view.Targets.Old, "uncovered", view.Targets.Uncovered, "old_in_flight", n.OldInFlight, "nodes", n.Nodes, "of", view.Nodes, "evidence_age_ms", x.trial.EvidenceAge(now).Milliseconds())
	}
	x.step = step
	if !step.State.Final() {
		if x.saved {
			x.publish(Answer{State: Running, Share: step.Share, LongFrom: step.LongFrom, OldStops: step.OldStops, Moving: step.Moving})
		}
		return
	}
	x.record.State, x.record.Reason, x.saved = step.State, step.Reason, false
	if step.State == RolledBack {
		// The nodes get an answer without a share at once, so that they stop sending calls to the new
		// version before the store has the record of the roll-back.
		x.publish(Answer{State: Running})
	}
}

// publish sets the answer of the run and sends it to the nodes whose reports on the order are held. The
// lock is held.
func (x *run) publish(a Answer) {
	if a == x.answer {
		return
	}
	x.answer = a
	close(x.changed)
	x.changed = make(chan struct{})
}

// Status describes an order at its owner.
type Status struct {
	Record
	Share         float64
	Phase         string
	Sent, SentNew uint64
	Nodes         int
	// EvidenceAge is the time since the oldest report that the owner goes by.
	EvidenceAge time.Duration
}

// Orders returns the status of the roll-out orders whose progress this owner decides, from the reports
// of the nodes that chose it.
func (w *Owner) Orders() []Status {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []Status
	now := time.Now()
	for _, x := range w.runs {
		n := x.trial.Count(now)
		out = append(out, Status{Record: x.record, Share: x.answer.Share, Phase: x.step.Phase, Sent: n.Sent, SentNew: n.SentNew, Nodes: n.Nodes, EvidenceAge: x.trial.EvidenceAge(now)})
	}
	return out
}
