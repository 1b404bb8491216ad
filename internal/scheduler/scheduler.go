// Package scheduler applies the decisions of flow and routing to the calls of
// one node: it queues calls by pool, grants each a target, and keeps the live
// state of the targets that the decisions read.
package scheduler

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/routing"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// Config is what a Scheduler is built from.
type Config struct {
	// DataCentre is where the node stands.
	DataCentre string
	// RemoteCost is what a call to another data centre costs more.
	RemoteCost time.Duration
	// PrefixGain is the time that a cached prompt prefix saves.
	PrefixGain time.Duration
	// QueueLimit is the most waiting calls of a pool.
	QueueLimit int
	// RetryRatio is the share of calls that may be retried or hedged.
	RetryRatio float64
	// Seed seeds the random choice between equal targets.
	Seed uint64
}

// DefaultConfig returns the values used in production.
func DefaultConfig(dataCentre string, seed uint64) Config {
	return Config{
		DataCentre: dataCentre,
		RemoteCost: time.Millisecond,
		PrefixGain: 50 * time.Millisecond,
		QueueLimit: 4096,
		RetryRatio: 0.1,
		Seed:       seed,
	}
}

// Call describes one call that needs a target.
type Call struct {
	Pool, Model, Adapter string
	Account              string
	Class                catalog.Class
	// Stage is the key of the stage's service-time estimate.
	Stage string
	// Latest is the latest start at which the request can still finish.
	Latest time.Time
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Exclude lists targets that failed this request; they are used again
	// only when no other target is left.
	Exclude []string
}

// Outcome says how a granted call ended, for the target's live state.
type Outcome uint8

// The outcomes of a call.
const (
	// Succeeded: the target answered.
	Succeeded Outcome = iota
	// Refused: the target stated that it did not start the call.
	Refused
	// Failed: the target broke the call or timed out.
	Failed
	// Unreachable: the target refused the connection.
	Unreachable
	// Abandoned: the caller left or another attempt won.
	Abandoned
)

// Scheduler grants targets to the calls of one node. All methods may be
// called concurrently.
type Scheduler struct {
	cfg Config

	mu     sync.Mutex
	rng    *rand.Rand
	pools  map[string]*pool
	stages map[string]*flow.Estimate
	// share is the part of each target's slots that this node may use.
	share float64
}

// unknownService is the service time assumed before the first sample.
const unknownService = 50 * time.Millisecond

// pumpInterval is how often a queue is looked at while all its targets are
// set aside.
const pumpInterval = 100 * time.Millisecond

// New returns a Scheduler without targets.
func New(cfg Config) *Scheduler {
	return &Scheduler{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		pools:  make(map[string]*pool),
		stages: make(map[string]*flow.Estimate),
		share:  1,
	}
}

// SetHosts replaces the targets. The live state of hosts that stay is kept. A
// host is leaving when the host list says so or drained reports it.
func (s *Scheduler) SetHosts(hosts []store.Host, drained func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPool := make(map[string][]store.Host)
	for _, h := range hosts {
		byPool[h.Pool] = append(byPool[h.Pool], h)
	}
	for name, p := range s.pools {
		if byPool[name] == nil {
			p.set(nil, drained, s.share)
			p.refuseUnserved()
		}
	}
	for name, list := range byPool {
		p := s.pool(name)
		p.set(list, drained, s.share)
		p.refuseUnserved()
		s.pump(p)
	}
}

// SetNodes tells how many nodes share the targets. Each may use an even share
// of the slots, and what the load reports show to be idle; see
// docs/design/005-flow.md.
func (s *Scheduler) SetNodes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	share := 1 / float64(max(n, 1))
	if share == s.share {
		return
	}
	s.share = share
	for _, p := range s.pools {
		for _, t := range p.targets {
			t.limit.SetCeiling(float64(t.slots) * share)
		}
		s.pump(p)
	}
}

// Demand returns the number of calls in flight or waiting of each pool.
func (s *Scheduler) Demand() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.pools))
	for name, p := range s.pools {
		n := p.queue.Len()
		for _, t := range p.targets {
			n += t.sent
		}
		out[name] = n
	}
	return out
}

// ModelDemand is the number of calls of a model that wait or run.
type ModelDemand struct {
	Pool, Model string
	Calls       int
}

// ModelDemand returns the demand by model at this node.
func (s *Scheduler) ModelDemand() []ModelDemand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []ModelDemand
	for name, p := range s.pools {
		for model, n := range p.demand {
			out = append(out, ModelDemand{Pool: name, Model: model, Calls: n})
		}
	}
	return out
}

// Report notes a target's load report: its calls in flight and waiting, taken
// when this node had sentAt calls there.
func (s *Scheduler) Report(poolName, id string, calls, sentAt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(poolName)
	for i := range p.cands {
		if p.cands[i].ID == id {
			p.cands[i].Reported = calls
			p.cands[i].SentAtReport = sentAt
		}
	}
}

// Sent returns the number of this node's calls in flight at a target.
func (s *Scheduler) Sent(poolName, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.pool(poolName).targets {
		if t.id == id {
			return t.sent
		}
	}
	return 0
}

// TargetRef names a target.
type TargetRef struct{ Pool, ID, Addr string }

// Targets returns all targets.
func (s *Scheduler) Targets() []TargetRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []TargetRef
	for name, p := range s.pools {
		for i := range p.cands {
			out = append(out, TargetRef{Pool: name, ID: p.cands[i].ID, Addr: p.cands[i].Addr})
		}
	}
	return out
}

// Retry reports whether the retry budget of a pool allows one more attempt,
// and uses it up.
func (s *Scheduler) Retry(poolName string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(poolName).budget.Take()
}

// Estimate returns the mean and the high service time of a stage; both are 0
// while unknown.
func (s *Scheduler) Estimate(stage string) (mean, high time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.stages[stage]
	if e == nil {
		return 0, 0
	}
	return e.Mean(), e.High()
}

// StageDemand is one stage in an admission estimate.
type StageDemand struct {
	// Pool serves the stage; Stage is its estimate's key.
	Pool, Stage string
}

// Remaining estimates the time that the stages need from now on: for each the
// wait in its queue and the mean service time.
func (s *Scheduler) Remaining(stages []StageDemand, class catalog.Class) (total, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range stages {
		mean := s.mean(d.Stage)
		w := s.pool(d.Pool).wait(class, mean)
		wait += w
		total += w + mean
	}
	return total, wait
}

func (s *Scheduler) mean(stage string) time.Duration {
	if e := s.stages[stage]; e != nil {
		return e.Mean()
	}
	return 0
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, budget: flow.NewBudget(s.cfg.RetryRatio), demand: make(map[string]int)}
		s.pools[name] = p
	}
	return p
}

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
	p.cands[i].Sent = t.sent
	p.cands[i].Down = t.breaker.Down(now)
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
