package targets

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/sharedrate"
)

// The rate limit that a target advertises, and the rate that it can serve while it is cold, apply
// to the calls of all nodes together. A node cannot comply by counting its own calls: each call
// needs a permit from the node that grants the permits for the process.

// Permits grants permits for calls to targets with a bounded rate; *sharedrate.Limiter in
// production.
type Permits interface {
	// Acquire waits for a permit that may be used by latest; the waiter with the earliest turn
	// is served first. It fails with *sharedrate.Denied.
	Acquire(ctx context.Context, rate sharedrate.Rate, turn, latest time.Time) (sharedrate.Permit, error)
	// GiveBack returns a permit that was not used.
	GiveBack(key string, p sharedrate.Permit)
	// Ended records that a process reported at a time that it has no rate limit any more.
	Ended(key string, heard time.Time)
}

// limit is the rate limit that a process advertises, for the requests of all nodes together.
type limit struct {
	sharedrate.LimitEstimate
	// availableAt is the earliest time at which a permit may be available; zero for unknown.
	availableAt time.Time
}

// advertised returns the advertised limit, in requests a second; negative for none.
func (l *limit) advertised() float64 {
	if perSecond, limited := l.Limit(); limited {
		return perSecond
	}
	return -1
}

// limited reports whether the process advertises a limit.
func (l *limit) limited() bool {
	_, limited := l.Limit()
	return limited
}

// rate returns the rate of calls that a target accepts now from all nodes together: the lower of
// its advertised limit and, while it is cold, its warm-up rate. bounded is false if neither
// applies. The lock is held.
func (t *Table) rate(s *state, now time.Time) (r sharedrate.Rate, bounded bool) {
	if t.Permits == nil {
		return sharedrate.Rate{}, false
	}
	r = sharedrate.Rate{Key: s.process, ConfirmedAt: s.reported.limit.ConfirmedAt()}
	r.PerSecond, bounded = s.reported.limit.Limit()
	if !s.warmup.cold(now) || t.WarmupRate == nil {
		return r, bounded
	}
	if warm := t.WarmupRate(s.Service); warm > 0 && (!bounded || warm < r.PerSecond) {
		// All nodes derive this rate from the same list, so it counts as confirmed now.
		r.PerSecond, r.ConfirmedAt, bounded = warm, now, true
	}
	return r, bounded
}

// bounded reports whether calls at a target need permits. The lock is held.
func (t *Table) bounded(s *state, now time.Time) bool {
	_, bounded := t.rate(s, now)
	return bounded
}

// lacksPermit reports whether calls to a target need a permit and none is available yet, as far as
// this node knows. The lock is held.
func (t *Table) lacksPermit(s *state, now time.Time) bool {
	return now.Before(s.reported.limit.availableAt) && t.bounded(s, now)
}

// LimitChange is a change of the rate limit that a process advertises.
type LimitChange struct {
	Process, Addr, Service string
	// PerSecond is the new limit, in requests a second; negative for none any more.
	PerSecond float64
	// LimitedFor is how long the process had advertised limits without interruption.
	LimitedFor time.Duration
	// ByOtherNode is set if another node observed the change.
	ByOtherNode bool
}

// UpdateLimit updates the limit of a process from the answer to a call that began at a given time.
func (t *Table) UpdateLimit(process string, w sharedrate.AdvertisedLimit, began time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.reported[process]; s != nil {
		t.updateLimit(process, s, w, began)
	}
}

// UpdateLimit updates the limit of the target's process from the answer to the call.
func (l *Lease) UpdateLimit(w sharedrate.AdvertisedLimit) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.t.updateLimit(l.s.process, l.s.reported, w, l.began)
}

// updateLimit updates the limit of a process; if it has ended, it informs Permits. The lock is held.
func (t *Table) updateLimit(process string, s *reported, w sharedrate.AdvertisedLimit, began time.Time) {
	now, since := t.now(), s.limit.LimitedSince()
	if !s.limit.Observe(w, began, now) {
		return
	}
	s.limit.availableAt = time.Time{}
	if !s.limit.limited() && t.Permits != nil {
		t.Permits.Ended(process, now)
	}
	t.notifyLimitChange(process, s, since, false)
}

// notifyLimitChange reports a change of a limit to LimitChanged. since is when the process first
// advertised a limit, zero for none before. The lock is held.
func (t *Table) notifyLimitChange(process string, s *reported, since time.Time, byOtherNode bool) {
	if t.LimitChanged == nil {
		return
	}
	change := LimitChange{Process: process, PerSecond: s.limit.advertised(), ByOtherNode: byOtherNode}
	if !since.IsZero() {
		change.LimitedFor = t.now().Sub(since)
	}
	if listed := t.byProcess[process]; listed != nil {
		change.Addr, change.Service = listed.Addr, listed.Service
	}
	t.LimitChanged(change)
}

// Permit waits for the permit that the call needs if its target's rate is bounded: until the
// query's PermitDeadline if the rates of all candidates were bounded, and not at all otherwise.
// Without a permit the lease ends as Abandoned, and until a permit may be available the target is
// chosen only for requests that can wait for it.
func (l *Lease) Permit(ctx context.Context, turn time.Time) error {
	p, err := l.t.Permit(ctx, l.s.process, turn, l.latest)
	if err != nil {
		l.Done(Abandoned, 0)
		return err
	}
	l.permit = p
	return nil
}

// Permit waits until latest for the permit that a call without a Lease needs if the rate of its
// target is bounded. It returns the zero permit if none is needed.
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

// conflictBackoff is how long a target gets no calls that need a permit of its rate limit if nodes
// disagree on whether it still has that limit: another node has reported that the limit ended, but
// not clearly after this node's last report of the limit.
const conflictBackoff = 100 * time.Millisecond

// denied records that a call got no permit: it ends the limit if another node observed its end
// after this node's last report of it, and else sets when to try again.
func (t *Table) denied(process string, d *sharedrate.Denied) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.reported[process]
	if s == nil {
		return
	}
	since := s.limit.LimitedSince()
	if d.Ended && s.limit.ObserveEnd(d.EndedAt) {
		t.notifyLimitChange(process, s, since, true)
		return
	}
	s.limit.availableAt = d.RetryAt
	if soonest := t.now().Add(conflictBackoff); d.Ended {
		s.limit.availableAt = soonest
	}
}

// ReturnPermit returns the permit of a call of which no byte was sent.
func (l *Lease) ReturnPermit() {
	if l.t.Permits != nil && l.permit != (sharedrate.Permit{}) {
		l.t.Permits.GiveBack(l.s.process, l.permit)
	}
}

// permitAllows reports whether a call under a permit may be sent now. The lock is held.
func (t *Table) permitAllows(s *state, p sharedrate.Permit, now time.Time) bool {
	return !t.bounded(s, now) || p.Valid(now)
}

// RateBound returns how many calls a second a process accepts from all nodes together; ok is false
// if its rate is not bounded.
func (t *Table) RateBound(process string) (perSecond float64, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byProcess[process]
	if s == nil {
		return 0, false
	}
	rate, ok := t.rate(s, t.now())
	return rate.PerSecond, ok
}

// RateBoundedAt returns the process at an address if its rate is bounded.
func (t *Table) RateBoundedAt(addr string) (process string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.at(addr)
	if s == nil || !t.bounded(s, t.now()) {
		return "", false
	}
	return s.process, true
}

// LimitedTargets returns how many listed targets advertise a rate limit, by service.
func (t *Table) LimitedTargets() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]float64)
	for _, s := range t.byID {
		if s.reported.limit.limited() {
			out[s.Service]++
		}
	}
	return out
}
