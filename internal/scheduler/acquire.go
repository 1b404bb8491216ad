package scheduler

import (
	"context"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/rollout"
	"topazmoor/internal/routing"
	"topazmoor/internal/verdict"
)

// recheckInterval is the time between checks of a queue of waiting calls whose
// targets may become available without any call ending.
const recheckInterval = 100 * time.Millisecond

// Acquire waits until the call gets a target. It returns an error when ctx ends, at
// c.Latest, or when the pool cannot serve the call; the error is a *verdict.Error
// with NotRun.
func (s *Scheduler) Acquire(ctx context.Context, c Call) (*Lease, error) {
	w := &waiter{call: c, done: make(chan grant, 1)}
	s.mu.Lock()
	p := s.pool(c.Pool)
	if err := s.checkAdmission(p, &c); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if len(c.Exclude) == 0 {
		p.budget.Call()
	}
	cost := s.mean(c.Stage)
	if cost == 0 {
		cost = defaultServiceTime
	}
	it := &flow.Item{Class: c.Class, Account: c.Account, Latest: c.Latest, Cost: cost, Value: w}
	p.queue.Push(it, time.Now())
	p.demand[c.Model]++
	s.grantWaiting(p)
	s.mu.Unlock()
	return s.awaitGrant(ctx, p, it, w)
}

// awaitGrant waits for the grant of a queued call, and removes the call from the queue
// when ctx ends or at it.Latest.
func (s *Scheduler) awaitGrant(ctx context.Context, p *pool, it *flow.Item, w *waiter) (*Lease, error) {
	select {
	case g := <-w.done:
		return g.lease, g.err
	default:
	}
	timer := time.NewTimer(time.Until(it.Latest))
	defer timer.Stop()
	var err *verdict.Error
	select {
	case g := <-w.done:
		return g.lease, g.err
	case <-ctx.Done():
		err = verdict.New(verdict.NotRun, verdict.Canceled, "the call was cancelled while it waited for pool %s", p.name)
	case <-timer.C:
		err = verdict.New(verdict.NotRun, verdict.DeadlineUnreachable,
			"no target of pool %s came free in time", p.name).After(s.retryAfter(p, &w.call))
	}
	s.mu.Lock()
	removed := p.queue.Remove(it)
	if removed {
		p.callEnded(w.call.Model)
	}
	s.mu.Unlock()
	if !removed {
		// The call was taken from the queue, with a grant or an error, while its wait ended here. As
		// the caller gets the error of the ended wait, the lease of a grant is released.
		if g := <-w.done; g.lease != nil {
			g.lease.Release(Abandoned)
		}
	}
	return nil, err
}

// retryAfter estimates how long a new call like c would wait in the pool's queue now. It returns at
// least a second.
func (s *Scheduler) retryAfter(p *pool, c *Call) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(p.queueWait(c.Class, c.regions(), defaultServiceTime), time.Second)
}

// grantWaiting grants targets to waiting calls until no call fits a target. The
// caller holds the lock.
func (s *Scheduler) grantWaiting(p *pool) {
	now := time.Now()
	p.refresh(now)
	// In a round the target for a waiting call is picked once: the regions and versions that it may go to
	// may change before a second pick.
	fits := func(it *flow.Item) bool {
		w := it.Value.(*waiter)
		if w.round != p.round {
			w.round, w.picked = p.round, s.pick(p, w)
		}
		return w.picked >= 0
	}
	for p.queue.Len() > 0 && p.anyFree() {
		p.round++
		it := p.queue.Pop(now, fits)
		if it == nil {
			break
		}
		w := it.Value.(*waiter)
		w.done <- grant{lease: s.grant(p, w.picked, &w.call, now)}
	}
	s.scheduleRecheck(p)
}

// scheduleRecheck schedules a check of a queue that is not empty, because targets may
// become available without any call ending.
func (s *Scheduler) scheduleRecheck(p *pool) {
	if p.queue.Len() == 0 || p.timer != nil {
		return
	}
	p.timer = time.AfterFunc(recheckInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.timer = nil
		s.refuseUnservedNow(p)
		s.grantWaiting(p)
	})
}

// pick returns the index of the target for a waiting call, or -1 if none is available now. It takes
// the first group of targets that has one.
func (s *Scheduler) pick(p *pool, w *waiter) int {
	groups := s.groups(p, w)
	if groups == nil {
		return s.pickFrom(p, &w.call, nil)
	}
	for i := range groups {
		if best := s.pickFrom(p, &w.call, &groups[i]); best >= 0 {
			return best
		}
	}
	return -1
}

// pickFrom returns the index of the target in a group for a call, or -1 if none is available now.
// Excluded targets are used only if no other target can serve the call, now or later.
func (s *Scheduler) pickFrom(p *pool, c *Call, group *rollout.TargetGroup) int {
	q := routing.Query{
		Model: c.Model, Adapter: c.Adapter, DataCentre: s.cfg.DataCentre,
		Region: s.cfg.Regions[s.cfg.DataCentre], Regions: c.regions(), CrossingCost: s.cfg.Crossing.Cost(1, 0),
		Prefix: c.Prefix, Exclude: c.Exclude, LimitFactor: limitFactor[c.Class],
		RemoteCost: s.cfg.RemoteCost, PrefixGain: s.cfg.PrefixGain, Group: group,
	}
	q.MaxHash = p.maxHash(&q)
	if i := routing.Pick(&q, p.candidates, s.rng); i >= 0 || len(c.Exclude) == 0 {
		return i
	}
	if p.othersCanServe(&q) {
		return -1
	}
	q.Exclude = nil
	return routing.Pick(&q, p.candidates, s.rng)
}

// grant starts a call at target i of the pool.
func (s *Scheduler) grant(p *pool, i int, c *Call, now time.Time) *Lease {
	t := p.targets[i]
	t.inFlight++
	t.breaker.Start()
	t.ready.CallStarted(now)
	p.candidates[i].Sent = t.inFlight
	p.candidates[i].Down = t.down(now)
	l := &Lease{Target: p.candidates[i].Target, s: s, p: p, t: t, stage: c.Stage, model: c.Model, start: now}
	p.grants.add(now)
	if s.cfg.Rollouts != nil {
		s.cfg.Rollouts.Sent(l.evidence())
	}
	return l
}

// limitFactor holds, by priority class of a call, the factor on the limit of this
// node's calls in flight at a target; see docs/design/005-flow.md.
var limitFactor = [catalog.Classes]float64{catalog.Urgent: 2, catalog.Standard: 1, catalog.Batch: 0.75}

// waiter is a call in the queue of a pool.
type waiter struct {
	call Call
	done chan grant
	// picked is the index of the target that was picked for the call in the pool's round of the number
	// round; -1 if there was none.
	picked int
	round  uint64
	// refusal is why no target will serve the call; nil if one may.
	refusal error
	// draw holds the groups of targets that were drawn for the call.
	draw draw
}

// grant is the result of waiting: a lease or an error.
type grant struct {
	lease *Lease
	err   error
}
