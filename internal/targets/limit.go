package targets

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/sharedrate"
)

// What a target names as its limit, or bears while it is cold, is the sum of what all nodes send. No
// node can keep to it by what it sends itself: each call needs a permit of the node that grants those
// of the process.

// Permits hands out what nodes may send to targets with a bounded rate; *sharedrate.Limiter in
// production.
type Permits interface {
	// Acquire waits for a permit that may be used by latest, the earliest turn first. It
	// fails with *sharedrate.Denied.
	Acquire(ctx context.Context, rate sharedrate.Rate, turn, latest time.Time) (sharedrate.Permit, error)
	// GiveBack returns a permit that was not used.
	GiveBack(key string, p sharedrate.Permit)
	// Ended tells that the limit of a process was heard to have ended.
	Ended(key string, heard time.Time)
}

// limit is the rate of requests that a process takes from all nodes together, as it names it.
type limit struct {
	sharedrate.Belief
	// opens is when a permit may next be had, as far as it is known.
	opens time.Time
}

// named returns the limit, in requests a second; negative for none.
func (l *limit) named() float64 {
	if perSecond, limited := l.Limit(); limited {
		return perSecond
	}
	return -1
}

// limited reports whether the process names a limit.
func (l *limit) limited() bool {
	_, limited := l.Limit()
	return limited
}

// rate returns what a target takes from all nodes together now: what it names, and what it bears
// while it is cold. bounded is false for one that is neither. The lock is held.
func (t *Table) rate(s *state, now time.Time) (r sharedrate.Rate, bounded bool) {
	if t.Permits == nil {
		return sharedrate.Rate{}, false
	}
	r = sharedrate.Rate{Key: s.process, Heard: s.said.limit.Heard()}
	r.PerSecond, bounded = s.said.limit.Limit()
	if !s.warmup.cold(now) || t.WarmupRate == nil {
		return r, bounded
	}
	if warm := t.WarmupRate(s.Service); warm > 0 && (!bounded || warm < r.PerSecond) {
		// All nodes know it by the same list.
		r.PerSecond, r.Heard, bounded = warm, now, true
	}
	return r, bounded
}

// bounded reports whether calls at a target need permits. The lock is held.
func (t *Table) bounded(s *state, now time.Time) bool {
	_, bounded := t.rate(s, now)
	return bounded
}

// closed reports whether it is known that there is no permit for a target now. The lock is held.
func (t *Table) closed(s *state, now time.Time) bool {
	return now.Before(s.said.limit.opens) && t.bounded(s, now)
}

// LimitChange is a change of the limit that a process named.
type LimitChange struct {
	Process, Addr, Service string
	// PerSecond is the new limit, in requests a second; negative for none any more.
	PerSecond float64
	// Lasted is how long limits were named without a pause.
	Lasted time.Duration
	// Told says that another node heard of it.
	Told bool
}

// HeardLimit takes in what a process said of its limit with the answer to a call that began at
// a moment.
func (t *Table) HeardLimit(process string, w sharedrate.Word, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.said[process]; s != nil {
		t.heardLimit(process, s, w, began)
	}
}

// HeardLimit takes in what the target said of its limit with the answer to the call.
func (l *Lease) HeardLimit(w sharedrate.Word) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.t.heardLimit(l.s.process, l.s.said, w, l.began)
}

// heardLimit is called with the lock held.
func (t *Table) heardLimit(process string, s *said, w sharedrate.Word, began time.Time) {
	now, since := t.now(), s.limit.Since()
	if !s.limit.Hear(w, began, now) {
		return
	}
	s.limit.opens = time.Time{}
	if !s.limit.limited() && t.Permits != nil {
		t.Permits.Ended(process, now)
	}
	t.limitChanged(process, s, since, false)
}

// limitChanged tells of a change of a limit that was named since a moment. The lock is held.
func (t *Table) limitChanged(process string, s *said, since time.Time, told bool) {
	if t.LimitChanged == nil {
		return
	}
	change := LimitChange{Process: process, PerSecond: s.limit.named(), Told: told}
	if !since.IsZero() {
		change.Lasted = t.now().Sub(since)
	}
	if listed := t.byProcess[process]; listed != nil {
		change.Addr, change.Service = listed.Addr, listed.Service
	}
	t.LimitChanged(change)
}

// Permit waits for the permit that the call needs if its target's rate is bounded: by the query's
// Latest where those of all targets are, and not at all where others take calls. The lease is ended
// where there is none; the target is not chosen again until there may be one.
func (l *Lease) Permit(ctx context.Context, turn time.Time) error {
	p, err := l.t.Permit(ctx, l.s.process, turn, l.latest)
	if err != nil {
		l.Done(Abandoned, 0)
		return err
	}
	l.permit = p
	return nil
}

// Permit does the same for a call that no Lease stands for. The permit is the zero one where none
// is needed.
func (t *Table) Permit(ctx context.Context, process string, turn, latest time.Time) (sharedrate.Permit, error) {
	t.mu.Lock()
	s := t.byProcess[process]
	if s == nil {
		t.mu.Unlock()
		return sharedrate.Permit{}, nil
	}
	rate, bounded := t.rate(s, t.now())
	t.mu.Unlock()
	if !bounded {
		return sharedrate.Permit{}, nil
	}
	p, err := t.Permits.Acquire(ctx, rate, turn, latest)
	var denied *sharedrate.Denied
	if errors.As(err, &denied) {
		t.denied(process, denied)
	}
	return p, err
}

// doubtTime is how long a target is left alone of which nodes heard different things.
const doubtTime = 100 * time.Millisecond

// denied notes that a call got no permit.
func (t *Table) denied(process string, d *sharedrate.Denied) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.said[process]
	if s == nil {
		return
	}
	since := s.limit.Since()
	if d.Ended && s.limit.EndedAt(d.HeardAt) {
		t.limitChanged(process, s, since, true)
		return
	}
	s.limit.opens = d.Opens
	if soonest := t.now().Add(doubtTime); d.Ended {
		s.limit.opens = soonest
	}
}

// Unsent returns the call's permit: no byte of it was sent.
func (l *Lease) Unsent() {
	if l.t.Permits != nil && l.permit != (sharedrate.Permit{}) {
		l.t.Permits.GiveBack(l.s.process, l.permit)
	}
}

// permits reports whether a call under a permit may be sent now. The lock is held.
func (t *Table) permits(s *state, p sharedrate.Permit, now time.Time) bool {
	return !t.bounded(s, now) || p.Valid(now)
}

// Bounded returns how many calls a second a process takes from all nodes together; ok is false for
// one that is not bounded.
func (t *Table) Bounded(process string) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byProcess[process]
	if s == nil {
		return 0, false
	}
	rate, ok := t.rate(s, t.now())
	return rate.PerSecond, ok
}

// BoundedAt returns the process at an address if its rate is bounded.
func (t *Table) BoundedAt(addr string) (process string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.at(addr)
	if s == nil || !t.bounded(s, t.now()) {
		return "", false
	}
	return s.process, true
}

// LimitedTargets returns how many listed targets name a limit, by service.
func (t *Table) LimitedTargets() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]float64)
	for _, s := range t.byID {
		if s.said.limit.limited() {
			out[s.Service]++
		}
	}
	return out
}
