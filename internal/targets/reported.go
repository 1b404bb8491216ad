package targets

import (
	"time"

	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/store"
)

// reported is the state that one process reported with its answers, and how its entry drained.
type reported struct {
	readiness.State
	// limit is the rate limit that it advertises, for the requests of all nodes together.
	limit limit
	// maxRejections is readiness.Notice.MaxRejections of the last answer.
	maxRejections float64
	// listedAt is when an update of the list last named the process, or removed it.
	listedAt time.Time
	// drainRevision is the revision of the list entry that drained it; zero if it does not drain.
	drainRevision store.Version
}

// drains reports whether a listed process drains. An entry without the drain does not end it if the
// entry predates the one that drained the process: the store was restored from an older copy.
func (s *reported) drains(entry Target) bool {
	switch {
	case entry.Draining:
		s.drainRevision = entry.Revision
	case !s.drainRevision.IsZero() && entry.Revision.MayPrecede(s.drainRevision):
		return true
	default:
		s.drainRevision = store.Version{}
	}
	return entry.Draining
}

// reportedRetention is how long the state that a process reported is kept while the process is not
// listed: entries lapse while the store is unavailable and come back, and a process that leaves
// goes on serving for some seconds, at times many, after its entry is removed.
const reportedRetention = 10 * time.Minute

// reportedBy returns the reported state of a listed process, an empty one if it has reported
// nothing, and records that the process is listed now.
func (t *Table) reportedBy(process string, now time.Time) *reported {
	s := t.reported[process]
	if s == nil {
		s = &reported{}
		t.reported[process] = s
	}
	s.listedAt = now
	return s
}

// pruneInterval is the interval of pruneReported while no process leaves the list.
const pruneInterval = 30 * time.Second

// pruneReported drops the state of processes that are not listed, if it is empty or the process was
// last listed more than reportedRetention ago. left is set if a process has left the list.
func (t *Table) pruneReported(now time.Time, left bool) {
	if !left && now.Sub(t.prunedAt) < pruneInterval {
		return
	}
	t.prunedAt = now
	for process, s := range t.reported {
		if t.byProcess[process] == nil && (!s.HasReported() && !s.limit.limited() && s.drainRevision.IsZero() || now.Sub(s.listedAt) > reportedRetention) {
			delete(t.reported, process)
		}
	}
}

// Answer is what an answer reports about its target, besides its content.
type Answer struct {
	Notice readiness.Notice
	// Rejected is set if the target rejected the call.
	Rejected bool
	// Began is when the call began: the time that Table.BeginCall returned for it, or that of the
	// choice of its Lease.
	Began time.Time
}

// UpdateReadiness updates the readiness of a process from an answer, and returns what changed.
func (t *Table) UpdateReadiness(process string, a Answer) readiness.Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.reported[process]
	if s == nil {
		return readiness.Unchanged
	}
	return t.updateReadiness(s, a)
}

func (t *Table) updateReadiness(s *reported, a Answer) readiness.Change {
	s.maxRejections = a.Notice.MaxRejections
	change := s.Update(t.withRejectionRest(a), a.Rejected, t.now())
	if !a.Rejected {
		s.Accepted(a.Began)
	}
	return change
}

// BeginCall records the start of a call to a process without a Lease, and returns its time.
func (t *Table) BeginCall(process string) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if s := t.reported[process]; s != nil {
		s.CallStarted(now)
	}
	return now
}

// EndCallWithoutAnswer records that a call that BeginCall started has ended without an answer.
func (t *Table) EndCallWithoutAnswer(process string, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.reported[process]; s != nil {
		s.Unanswered(began)
	}
}

// UpdateReadiness updates the readiness of the target's process from the answer to the call, and
// returns what changed.
func (l *Lease) UpdateReadiness(n readiness.Notice, rejected bool) readiness.Change {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	return l.t.updateReadiness(l.s.reported, Answer{Notice: n, Rejected: rejected, Began: l.began})
}

// MaySend reports whether the call may be sent now: the state of its target may have changed since
// the target was chosen. It is called when a connection is there.
func (l *Lease) MaySend() bool {
	t := l.t
	if !t.trusted() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.byID[l.ID], t.now()
	l.observed.connected = now.Sub(l.began)
	return t.maySend(s, l.began) && t.permitAllows(s, l.permit, now)
}

// MaySend reports whether a call to a process, for which the process was chosen at began, may be
// sent now under a permit.
func (t *Table) MaySend(process string, began time.Time, p sharedrate.Permit) bool {
	if !t.trusted() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byProcess[process]
	return t.maySend(s, began) && t.permitAllows(s, p, t.now())
}

// maySend reports whether a call that began at a given time may be sent to a target now. The trial
// call of a target may be sent while the target rests for all other calls. The lock is held.
func (t *Table) maySend(s *state, began time.Time) bool {
	now := t.now()
	return s != nil && s.usable(now) && s.ready.MaySend(began, now)
}

// AvailableAt returns the earliest time at which a target of a service in some regions may be
// called; zero for now, or if the trial call of a target is in progress. ok is false if no target
// there is usable.
func (t *Table) AvailableAt(service string, in region.Set) (at time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for _, s := range t.services[service] {
		if !s.usable(now) || !t.Regions.Allows(in, s.DataCentre) {
			continue
		}
		availableAt := s.ready.AvailableAt(now)
		if t.lacksPermit(s, now) && s.reported.limit.availableAt.After(availableAt) {
			availableAt = s.reported.limit.availableAt
		}
		if availableAt.IsZero() {
			return time.Time{}, true
		}
		if !ok || availableAt.Before(at) {
			at, ok = availableAt, true
		}
	}
	return at, ok
}

// Status returns whether a process takes work, as it reported, and until when it rests; zero if
// it does not rest, or if its trial call is in progress.
func (t *Table) Status(process string) (readiness.Status, time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.reported[process], t.now()
	if s == nil {
		return readiness.Open, time.Time{}
	}
	return s.Status(now), s.AvailableAt(now)
}

// RemainingRest returns for how long the target at an address asked to get no work from now on; 0
// if it does not rest.
func (t *Table) RemainingRest(addr string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.at(addr), t.now()
	if s == nil {
		return 0
	}
	if opens := s.ready.AvailableAt(now); !opens.IsZero() {
		return opens.Sub(now)
	}
	return 0
}
