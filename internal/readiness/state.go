package readiness

import "time"

// Status is whether a target may be sent work.
type Status uint8

// The statuses, the best first.
const (
	// Open: the target has reported nothing that prevents calls.
	Open Status = iota
	// OnTrial: the target's rest, or the time in which it was avoided, is over; the next call is the
	// trial call. Until that is accepted or lost, the target is Resting or Avoided again, so
	// that it gets no second trial call.
	OnTrial
	// Avoided: the target rejected a call without asking for rest, or the trial call after that is in
	// progress; it is called only if there is no other target.
	Avoided
	// Resting: the target asked to get no calls for a time, its rest, which is not over; or it is
	// over and the trial call after it is in progress.
	Resting
	// Leaving: it takes no new work any more.
	Leaving
)

// String implements fmt.Stringer.
func (s Status) String() string {
	return [...]string{"open", "on trial", "avoided", "resting", "leaving"}[s]
}

const (
	// initialAvoidTime is how long a target is avoided that rejected a call without asking for
	// rest: about the time of another caller's call, as the target may only be at capacity. The
	// time doubles with each trial call that is rejected too, up to maxAvoidTime: a target that
	// rejects every call has no load, and would be preferred for its low load.
	initialAvoidTime = 250 * time.Millisecond
	maxAvoidTime     = 2 * time.Second
	// trialTimeout is how long a trial call without an answer counts as in progress; after that,
	// another call may be the trial call.
	trialTimeout = 3 * time.Second
)

// MaxRest bounds the rest that a target may ask for. A time of hours is usually a mistake, and
// makes the target unavailable to all callers of the node. For this time the request for rest is
// respected; then the target gets a trial call, as after any rest.
const MaxRest = time.Hour

// State is the readiness that one process of a target reported. The zero value is that of a
// process that has reported nothing. It must not be used concurrently.
type State struct {
	leaving bool
	// until is when the last rest, or the time in which the target is avoided, ends; zero once
	// the target accepted a trial call after it. restRequested is set if the target asked for
	// that rest.
	until         time.Time
	restRequested bool
	// avoidances counts the times in which the target was avoided since it last accepted a trial
	// call.
	avoidances int
	// trial is when the trial call began; zero for none.
	trial time.Time
}

// Change is the change of a State by a notice, for logs.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	StartedLeaving
	StartedResting
)

// Update updates the State from an answer that was received now. rejected is set if the answer
// rejected the call.
//
// A notice comes from the target itself, so it takes precedence over any list, which may be older.
// Leaving holds until the process ends: a list that shows the target as ready does not undo it.
func (s *State) Update(n Notice, rejected bool, now time.Time) Change {
	change := Unchanged
	if n.Leaving && !s.leaving {
		s.leaving = true
		change = StartedLeaving
	}
	if rest := min(n.Rest, MaxRest); rest > 0 {
		if !(s.restRequested && s.paused(now)) && change == Unchanged {
			change = StartedResting
		}
		s.pause(now.Add(rest), true, now)
		return change
	}
	if rejected && !s.paused(now) {
		s.pause(now.Add(min(initialAvoidTime<<min(s.avoidances, maxDoublings), maxAvoidTime)), false, now)
		s.avoidances++
	}
	return change
}

// maxDoublings bounds how often initialAvoidTime is doubled, so that the shift does not overflow.
const maxDoublings = 8

// pause begins a rest, or a time in which the target is avoided. It does not shorten a rest in
// progress.
func (s *State) pause(until time.Time, restRequested bool, now time.Time) {
	s.trial = time.Time{}
	if s.restRequested && s.paused(now) && !until.After(s.until) {
		return
	}
	s.until, s.restRequested = until, restRequested
}

// paused reports whether a rest, or a time in which the target is avoided, is in progress. A call
// that the target accepts meanwhile does not end a rest: the target asked for a time, and gets all
// of it.
func (s *State) paused(now time.Time) bool { return now.Before(s.until) }

// Status returns whether the target may get work now.
func (s *State) Status(now time.Time) Status {
	switch {
	case s.leaving:
		return Leaving
	case s.until.IsZero():
		return Open
	case !s.paused(now) && (s.trial.IsZero() || now.Sub(s.trial) >= trialTimeout):
		return OnTrial
	case s.restRequested:
		return Resting
	}
	return Avoided
}

// AvailableAt returns when the rest of the target ends; zero if it does not rest, if its trial call
// is in progress, or if it is leaving.
func (s *State) AvailableAt(now time.Time) time.Time {
	if s.leaving || !s.restRequested || !s.paused(now) {
		return time.Time{}
	}
	return s.until
}

// CallStarted records the start of a call. It is the trial call if the target is OnTrial.
func (s *State) CallStarted(now time.Time) {
	if s.Status(now) == OnTrial {
		s.trial = now
	}
}

// Accepted records that the target accepted a call. The rest is over if the call began with the
// trial call or after it; a call from before says nothing about the target's state after the rest.
func (s *State) Accepted(began time.Time) {
	if !s.trial.IsZero() && !began.Before(s.trial) {
		s.until, s.trial, s.restRequested, s.avoidances = time.Time{}, time.Time{}, false, 0
	}
}

// Unanswered records that a call ended without an answer. If it began with the trial call or after
// it, another call may be the trial call.
func (s *State) Unanswered(began time.Time) {
	if !s.trial.IsZero() && !began.Before(s.trial) {
		s.trial = time.Time{}
	}
}

// HasReported reports whether the process has reported anything that still applies.
func (s *State) HasReported() bool { return s.leaving || !s.until.IsZero() }

// MaySend reports whether a call that began at a given time may be sent now. The status at that
// time allowed the call, but may have changed while the call waited. While the target rests, only
// its trial call may be sent.
func (s *State) MaySend(began, now time.Time) bool {
	switch s.Status(now) {
	case Open, OnTrial, Avoided:
		return true
	case Resting:
		return !s.trial.IsZero() && began.Equal(s.trial)
	}
	return false
}
