package scheduler

import (
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/region"
	"topazmoor/internal/rollout"
	"topazmoor/internal/routing"
	"topazmoor/internal/verdict"
)

// noTargetRetry is how long after its refusal a call that no target serves may be repeated: the host
// list may have changed by then.
const noTargetRetry = 2 * time.Second

// CheckTargets returns an error if it is known that no target will serve the call: none that has its
// model and adapter is in a region of the call, or all of those are down for longer than the call can
// wait. The error is a *verdict.Error with NotRun.
func (s *Scheduler) CheckTargets(c Call) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.checkTargets(s.pool(c.Pool), &c, time.Now())
}

// checkTargets is CheckTargets under the lock. Only calls that are bound to regions are refused because
// targets are down: few targets serve these calls, and they fail together.
func (s *Scheduler) checkTargets(p *pool, c *Call, now time.Time) error {
	allowed := c.regions()
	available, ok := p.availableAt(c, allowed, s.reachable(p.name, c), now)
	switch {
	case !ok:
		return noTargetError(p.name, c, allowed)
	case !allowed.All() && available.After(c.Latest):
		return verdict.New(verdict.NotRun, verdict.NoTarget,
			"all targets of pool %s in the regions %s are down", p.name, allowed).
			After(max(available.Sub(now), time.Second)).At(c.Stage, "")
	}
	return nil
}

// availableAt returns when the first target that may serve the call is expected to be up; it may be busy
// then. Such a target has the call's model and adapter, is in an allowed region and in the group, and is
// not leaving. ok is false if there is none.
func (p *pool) availableAt(c *Call, allowed region.Set, group *rollout.TargetGroup, now time.Time) (at time.Time, ok bool) {
	q := routing.Query{Model: c.Model, Adapter: c.Adapter, Regions: allowed, Group: group}
	for i, t := range p.targets {
		switch routing.Filter(&q, &p.candidates[i]) {
		case routing.WrongModel, routing.OutsideRegions, routing.OutsideGroup, routing.IsLeaving:
			continue
		}
		if up := t.availableAt(now); !ok || up.Before(at) {
			at, ok = up, true
		}
		if !at.After(now) {
			break
		}
	}
	return at, ok
}

// availableAt returns when the target is expected to be up: now if it is.
func (t *target) availableAt(now time.Time) time.Time {
	at := now
	for _, end := range []time.Time{t.breaker.AvailableAt(), t.ready.AvailableAt(now)} {
		if end.After(at) {
			at = end
		}
	}
	return at
}

// noTargetError is the error of a call that no target of the pool serves.
func noTargetError(pool string, c *Call, allowed region.Set) error {
	where := ""
	if !allowed.All() {
		where = " in the regions " + allowed.String()
	}
	return verdict.New(verdict.NotRun, verdict.NoTarget,
		"no target of pool %s%s serves model %q with adapter %q", pool, where, c.Model, c.Adapter).
		After(noTargetRetry).At(c.Stage, "")
}

// refuseUnserved refuses the waiting calls that no target will serve: at once, as waiting until their
// deadline would not help them.
func (s *Scheduler) refuseUnserved(p *pool) {
	s.refuseIf(p, func(*Call) bool { return true })
}

// refuseUnservedNow is refuseUnserved for the calls that may lose their last target without a change of
// the host list: those bound to regions or to a version, and all calls while versions are barred.
func (s *Scheduler) refuseUnservedNow(p *pool) {
	s.refuseIf(p, func(c *Call) bool { return s.reachable(p.name, c) != nil || !c.regions().All() })
}

// refuseIf refuses the waiting calls that the condition holds for and no target will serve.
func (s *Scheduler) refuseIf(p *pool, condition func(*Call) bool) {
	now := time.Now()
	unserved := func(it *flow.Item) bool {
		w := it.Value.(*waiter)
		if !condition(&w.call) {
			return false
		}
		w.refusal = s.checkTargets(p, &w.call, now)
		return w.refusal != nil
	}
	for _, it := range p.queue.Drop(unserved) {
		w := it.Value.(*waiter)
		p.callEnded(w.call.Model)
		w.done <- grant{err: w.refusal}
	}
}
