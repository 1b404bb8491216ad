package readiness

import "time"

// Standing is whether a target may be sent work.
type Standing uint8

// The standings, the best first.
const (
	// Open: nothing that the target said speaks against it.
	Open Standing = iota
	// OnTrial: its rest is over; one call may be made, and no other one until that was taken.
	OnTrial
	// Avoided: it turned a call away without a time, or the trial after that is under way; it is
	// called only where no other target is.
	Avoided
	// Resting: it asked for rest, or its trial is under way.
	Resting
	// Leaving: it takes no new work any more.
	Leaving
)

// String implements fmt.Stringer.
func (s Standing) String() string {
	return [...]string{"open", "on trial", "avoided", "resting", "leaving"}[s]
}

const (
	// firstAvoid is how long a target is avoided that turned a call away without a time: about
	// a call of another caller, as it may be merely full. It doubles with each trial that is
	// turned away too, up to maxAvoid: a target that turns everything away has nothing to do,
	// and would be chosen first for that.
	firstAvoid = 250 * time.Millisecond
	maxAvoid   = 2 * time.Second
	// trialLife is when a trial of which nothing was heard is over.
	trialLife = 3 * time.Second
)

// Longest bounds what a target may ask for. A time of hours is a mistake more often than a wish,
// and a target that is lost to a node is so to all its callers; but it asked, so that within this
// time it gets nothing, and then a single call as after any rest.
const Longest = time.Hour

// State is what one process of a target said of itself. The zero value has said nothing. It
// must not be used concurrently.
type State struct {
	leaving bool
	// until is when the last rest, or the time in which the target is avoided, ends; zero once
	// a call after it was taken. asked says that the target asked for it.
	until time.Time
	asked bool
	// strikes counts the rejections without a time since a call was taken.
	strikes int
	// trial is when the call of the trial was begun; zero for none.
	trial time.Time
}

// Change is what a notice changed, for logs.
type Change uint8

// The changes.
const (
	Unchanged Change = iota
	BeganToLeave
	BeganToRest
)

// Hear takes in what the process said with an answer that came now. rejected says that the
// answer turned the call away.
//
// It is the target's own word, so that it goes before any list, which may be older, and holds
// until its process ends: a list that has it ready is no reason to call it again.
func (s *State) Hear(n Notice, rejected bool, now time.Time) Change {
	change := Unchanged
	if n.Leaving && !s.leaving {
		s.leaving = true
		change = BeganToLeave
	}
	if rest := min(n.Rest, Longest); rest > 0 {
		if !(s.asked && s.waiting(now)) && change == Unchanged {
			change = BeganToRest
		}
		s.wait(now.Add(rest), true, now)
		return change
	}
	if rejected && !s.waiting(now) {
		s.wait(now.Add(min(firstAvoid<<min(s.strikes, maxStrikes), maxAvoid)), false, now)
		s.strikes++
	}
	return change
}

// maxStrikes bounds the doubling.
const maxStrikes = 8

// wait begins a rest, or a time in which the target is avoided, which shortens no rest.
func (s *State) wait(until time.Time, asked bool, now time.Time) {
	s.trial = time.Time{}
	if s.asked && s.waiting(now) && !until.After(s.until) {
		return
	}
	s.until, s.asked = until, asked
}

// waiting reports whether the rest goes on, or the time in which the target is avoided. A call
// that it takes meanwhile does not end a rest: the target asked for a time, and that is what it
// gets.
func (s *State) waiting(now time.Time) bool { return now.Before(s.until) }

// Standing returns whether the target may be sent work now.
func (s *State) Standing(now time.Time) Standing {
	switch {
	case s.leaving:
		return Leaving
	case s.until.IsZero():
		return Open
	case !s.waiting(now) && (s.trial.IsZero() || now.Sub(s.trial) >= trialLife):
		return OnTrial
	case s.asked:
		return Resting
	}
	return Avoided
}

// Opens returns when a target that rests may be called again; zero for at once, and for one
// whose trial is under way.
func (s *State) Opens(now time.Time) time.Time {
	if s.leaving || !s.asked || !s.waiting(now) {
		return time.Time{}
	}
	return s.until
}

// Begin notes that a call begins.
func (s *State) Begin(now time.Time) {
	if s.Standing(now) == OnTrial {
		s.trial = now
	}
}

// Took notes that the target took a call that began at a moment: its rest is over if that was
// the call of the trial. One from before the rest tells nothing.
func (s *State) Took(began time.Time) {
	if !s.trial.IsZero() && !began.Before(s.trial) {
		s.until, s.trial, s.asked, s.strikes = time.Time{}, time.Time{}, false, 0
	}
}

// Lost notes that a call that began at a moment ended without an answer of the target; the
// next one may be the trial.
func (s *State) Lost(began time.Time) {
	if !s.trial.IsZero() && !began.Before(s.trial) {
		s.trial = time.Time{}
	}
}

// Said reports whether the process has said anything that still holds.
func (s *State) Said() bool { return s.leaving || !s.until.IsZero() }

// Admits reports whether a call that began at a moment may be sent now. It was let in by the
// standing of that moment, which may have changed while it waited.
func (s *State) Admits(began, now time.Time) bool {
	switch s.Standing(now) {
	case Open, OnTrial, Avoided:
		return true
	case Resting:
		return !s.trial.IsZero() && began.Equal(s.trial)
	}
	return false
}
