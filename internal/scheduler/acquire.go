package scheduler

import (
	"context"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/routing"
	"topazmoor/internal/verdict"
)

// pumpInterval is how often a queue is looked at while all its targets are
// set aside.
const pumpInterval = 100 * time.Millisecond

// Acquire waits for a target. The error is a *verdict.Error with NotRun.
func (s *Scheduler) Acquire(ctx context.Context, c Call) (*Lease, error) {
	w := &waiter{call: c, done: make(chan grant, 1)}
	s.mu.Lock()
	p := s.pool(c.Pool)
	if err := p.refuse(s.cfg.QueueLimit, &c); err != nil {
		s.mu.Unlock()
		return nil, err
	}
	if len(c.Exclude) == 0 {
		p.budget.Call()
	}
	cost := s.mean(c.Stage)
	if cost == 0 {
		cost = unknownService
	}
	it := &flow.Item{Class: c.Class, Account: c.Account, Latest: c.Latest, Cost: cost, Value: w}
	p.queue.Push(it, time.Now())
	p.demand[c.Model]++
	s.pump(p)
	s.mu.Unlock()
	return s.wait(ctx, p, it, w)
}

func (s *Scheduler) wait(ctx context.Context, p *pool, it *flow.Item, w *waiter) (*Lease, error) {
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
			"no target of pool %s came free in time", p.name).After(s.retryAfter(p, it.Class))
	}
	s.mu.Lock()
	removed := p.queue.Remove(it)
	if removed {
		p.left(w.call.Model)
	}
	s.mu.Unlock()
	if !removed {
		// Settled in the same moment: a slot is given back.
		if g := <-w.done; g.lease != nil {
			g.lease.Release(Abandoned)
		}
	}
	return nil, err
}

// retryAfter is when the queue as it stands will have been served.
func (s *Scheduler) retryAfter(p *pool, class catalog.Class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(p.wait(class, unknownService), time.Second)
}

// pump grants targets to waiting calls while some fit. It is called with the
// lock held.
func (s *Scheduler) pump(p *pool) {
	now := time.Now()
	p.refresh(now)
	fits := func(it *flow.Item) bool { return s.pick(p, &it.Value.(*waiter).call) >= 0 }
	for p.queue.Len() > 0 && p.anyFree() {
		it := p.queue.Pop(now, fits)
		if it == nil {
			break
		}
		w := it.Value.(*waiter)
		w.done <- grant{lease: s.grant(p, s.pick(p, &w.call), &w.call, now)}
	}
	s.arm(p)
}

// arm schedules another look at a queue whose targets may come back without
// any call ending.
func (s *Scheduler) arm(p *pool) {
	if p.queue.Len() == 0 || p.timer != nil {
		return
	}
	p.timer = time.AfterFunc(pumpInterval, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		p.timer = nil
		s.pump(p)
	})
}

func (s *Scheduler) pick(p *pool, c *Call) int {
	q := routing.Query{
		Model: c.Model, Adapter: c.Adapter, DataCentre: s.cfg.DataCentre,
		Prefix: c.Prefix, Exclude: c.Exclude, Reach: reach[c.Class],
		RemoteCost: s.cfg.RemoteCost, PrefixGain: s.cfg.PrefixGain,
	}
	if i := routing.Pick(&q, p.cands, s.rng); i >= 0 || len(c.Exclude) == 0 {
		return i
	}
	if p.othersLeft(&q) {
		return -1
	}
	q.Exclude = nil
	return routing.Pick(&q, p.cands, s.rng)
}

func (s *Scheduler) grant(p *pool, i int, c *Call, now time.Time) *Lease {
	t := p.targets[i]
	t.sent++
	t.breaker.Start()
	t.ready.Begin(now)
	p.cands[i].Sent = t.sent
	p.cands[i].Down = t.down(now)
	return &Lease{Target: p.cands[i].Target, s: s, p: p, t: t, stage: c.Stage, model: c.Model, start: now}
}

// reach is how far the calls of each class may fill a target, as a multiple of
// its slots; see docs/design/005-flow.md.
var reach = [catalog.Classes]float64{catalog.Urgent: 2, catalog.Standard: 1, catalog.Batch: 0.75}

// waiter is a call in the queue of a pool.
type waiter struct {
	call Call
	done chan grant
}

// grant ends the wait of a call: a target, or the refusal.
type grant struct {
	lease *Lease
	err   error
}
