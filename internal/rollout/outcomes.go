package rollout

import "slices"

// maxOutcomes is the number of ended orders that a node remembers; the oldest ones are forgotten.
const maxOutcomes = 256

// outcome is the final state of an order.
type outcome struct {
	Order
	state State
}

// outcomes remembers the final states of orders, the oldest first. A store that is restored from a copy
// loses records of orders that ended after the copy, and may have the rows of these orders again.
type outcomes struct{ list []outcome }

// isRestored reports whether o is the order old after the store was restored: the versions of all rows
// change with the store's era.
func (o Order) isRestored(old Order) bool {
	return o.Service == old.Service && o.To == old.To && o.Lasts == old.Lasts && !o.Revision.SameEra(old.Revision)
}

// find returns the final state of an order, or of the order that it was before the store was restored;
// Unknown if there is none.
func (m *outcomes) find(o Order) State {
	for _, e := range slices.Backward(m.list) {
		if e.Order == o || o.isRestored(e.Order) {
			return e.state
		}
	}
	return Unknown
}

// set remembers the final state of an order. It replaces what was known of orders of the same service
// to the same version, which this one repeats.
func (m *outcomes) set(o Order, s State) {
	m.forget(o)
	m.list = append(m.list, outcome{o, s})
	m.list = m.list[max(len(m.list)-maxOutcomes, 0):]
}

// forget drops what is known of orders of the same service to the same version.
func (m *outcomes) forget(o Order) {
	m.list = slices.DeleteFunc(m.list, func(e outcome) bool { return e.Service == o.Service && e.To == o.To })
}

// renew continues an order under the revision that it has since the store was restored. The lock is
// held.
func (g *Gate) renew(s *orderState, o Order) {
	s.Order = o
	if s.answer.State.Final() {
		g.outcomes.set(o, s.answer.State)
		s.endReports()
	}
	s.interruptReport()
	g.Log.Info("roll-out continues after the store was restored", "service", o.Service, "to", o.To, "state", s.answer.State, "row_version", o.Revision)
}

// recall sets the final state of a new order if this node knows that the order ended before the store
// was restored. Otherwise the order is new, also if it repeats an earlier one. The lock is held.
func (g *Gate) recall(s *orderState) {
	state := g.outcomes.find(s.Order)
	if state == Unknown {
		g.outcomes.forget(s.Order)
		return
	}
	s.answer.State = state
	g.outcomes.set(s.Order, state)
	g.Log.Info("roll-out had ended before the store was restored", "service", s.Service, "to", s.To, "state", state, "row_version", s.Revision)
}

// StoreRestored reports the final states of the current orders to their owners again: the store may
// have lost the records.
func (g *Gate) StoreRestored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.orders {
		if s.answer.State.Final() {
			s.endReports()
		}
	}
	g.restartReports()
}

// prevails reports whether a final state replaces another state that is known of the same order. At
// Completed the targets of the old version stop, so that it is never replaced.
func (s State) prevails(over State) bool {
	return s.Final() && !over.Final() || s == Completed && over == RolledBack
}

// isSameOrder reports whether two records are of one order. In different eras of the store these are
// orders of the same service to the same version within the same time.
func (r Record) isSameOrder(o Record) bool {
	if r.Revision.SameEra(o.Revision) {
		return r.Revision == o.Revision
	}
	return r.To == o.To && r.Deadline.Sub(r.Began) == o.Deadline.Sub(o.Began)
}

// Resolve decides which record a store has after r is to be saved there and it has kept, of the same
// service; kept is zero if it has none. It fails with ErrSuperseded if kept is of a later order. The
// first final state of an order stands, unless nodes remember r from before the store was restored: then
// r was decided before a state that was written since, and Completed prevails over RolledBack.
func Resolve(kept, r Record) (Record, error) {
	switch {
	case kept.State == Unknown:
		return r, nil
	case !kept.isSameOrder(r) && r.Revision.Before(kept.Revision):
		return Record{}, ErrSuperseded
	case !kept.isSameOrder(r):
		return r, nil
	}
	out := kept
	outdated := r.Remembered && kept.Revision.Era < r.Revision.Era
	if r.State.prevails(kept.State) && (r.Remembered || !kept.State.Final()) || r.State.Final() && outdated {
		out.State, out.Reason = r.State, r.Reason
	}
	if out.Revision.Before(r.Revision) {
		out.Revision = r.Revision
	}
	return out, nil
}
