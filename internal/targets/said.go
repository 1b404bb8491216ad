package targets

import (
	"time"

	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/store"
)

// said is what one process said of itself.
type said struct {
	readiness.State
	// limit is the rate of requests that it takes from all nodes together.
	limit limit
	// listed is when the process was last in the list.
	listed time.Time
	// drained is the version of the entry by which it drains; zero for none.
	drained store.Version
}

// drains reports whether a listed process drains. An entry that has it ready again, of a store
// that came back from a copy of before, does not undo what it said since.
func (s *said) drains(entry Target) bool {
	switch {
	case entry.Draining:
		s.drained = entry.Revision
	case !s.drained.IsZero() && entry.Revision.Predates(s.drained):
		return true
	default:
		s.drained = store.Version{}
	}
	return entry.Draining
}

// saidLife is how long the words of a process are kept that is not listed: entries lapse while
// the store is away and come back, and a process that leaves serves on for some seconds, at
// times many, after its entry went.
const saidLife = 10 * time.Minute

// saidBy returns what a process that is listed said of itself so far.
func (t *Table) saidBy(process string, now time.Time) *said {
	s := t.said[process]
	if s == nil {
		s = &said{}
		t.said[process] = s
	}
	s.listed = now
	return s
}

// forgetPause is how often what processes said is looked through where none has left the list.
const forgetPause = 30 * time.Second

// forgetSaid drops the words of processes that are not listed and said nothing, or long ago. left
// says that a process has left the list.
func (t *Table) forgetSaid(now time.Time, left bool) {
	if !left && now.Sub(t.forgot) < forgetPause {
		return
	}
	t.forgot = now
	for process, s := range t.said {
		if t.byProcess[process] == nil && (!s.Said() && !s.limit.limited() && s.drained.IsZero() || now.Sub(s.listed) > saidLife) {
			delete(t.said, process)
		}
	}
}

// Answer is what an answer says of its target, beside its content.
type Answer struct {
	Notice readiness.Notice
	// Rejected says that the target turned the call away.
	Rejected bool
	// Began is when the call was given to the target.
	Began time.Time
}

// Heard takes in an answer of a process, and returns what that changed.
func (t *Table) Heard(process string, a Answer) readiness.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.said[process]
	if s == nil {
		return readiness.Unchanged
	}
	return t.heard(&s.State, a)
}

func (t *Table) heard(s *readiness.State, a Answer) readiness.Change {
	change := s.Hear(a.Notice, a.Rejected, t.now())
	if !a.Rejected {
		s.Took(a.Began)
	}
	return change
}

// Began notes that a call to a process begins that no Lease stands for.
func (t *Table) Began(process string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if s := t.said[process]; s != nil {
		s.Begin(now)
	}
	return now
}

// EndedUnheard notes that a call of Began ended without an answer.
func (t *Table) EndedUnheard(process string, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.said[process]; s != nil {
		s.Lost(began)
	}
}

// Heard takes in what the target says of itself with the answer to the call.
func (l *Lease) Heard(n readiness.Notice, rejected bool) readiness.Change {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.t.heard(l.s.ready, Answer{Notice: n, Rejected: rejected, Began: l.began})
}

// MaySend reports whether the call may be sent at this moment: some time may have passed since
// its target was chosen.
func (l *Lease) MaySend() bool {
	t := l.t
	if !t.trusted() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[l.ID]
	return t.maySend(s, l.began) && t.permits(s, l.permit, t.now())
}

// MaySend reports whether a call to a process, which began at a moment, may be sent now under a
// permit.
func (t *Table) MaySend(process string, began time.Time, p sharedrate.Permit) bool {
	if !t.trusted() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byProcess[process]
	return t.maySend(s, began) && t.permits(s, p, t.now())
}

// maySend is asked with the lock held. The call that is a target's trial may be sent although
// the target rests for all others.
func (t *Table) maySend(s *state, began time.Time) bool {
	now := t.now()
	return s != nil && s.usable(now) && s.ready.Admits(began, now)
}

// Opens returns when a target of a service in some regions may next be called: zero for now. ok
// is false where no target will be.
func (t *Table) Opens(service string, in region.Set) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.services[service] {
		if !s.usable(now) || !t.Regions.Allows(in, s.DataCentre) {
			continue
		}
		opens := s.ready.Opens(now)
		if t.closed(s, now) && s.said.limit.opens.After(opens) {
			opens = s.said.limit.opens
		}
		if opens.IsZero() {
			return time.Time{}, true
		}
		if !ok || opens.Before(at) {
			at, ok = opens, true
		}
	}
	return at, ok
}

// Standing returns what a process said of whether it takes work, and when it may next be
// called; zero for now.
func (t *Table) Standing(process string) (readiness.Standing, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.said[process], t.now()
	if s == nil {
		return readiness.Open, time.Time{}
	}
	return s.Standing(now), s.Opens(now)
}

// RestAt returns for how long the target at an address wants nothing; 0 for none.
func (t *Table) RestAt(addr string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.at(addr), t.now()
	if s == nil {
		return 0
	}
	if opens := s.ready.Opens(now); !opens.IsZero() {
		return opens.Sub(now)
	}
	return 0
}
