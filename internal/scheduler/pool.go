package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/readiness"
	"topazmoor/internal/routing"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// pool is the live state of the targets of one pool and the calls that wait for
// them. It is guarded by the scheduler's lock.
type pool struct {
	name    string
	targets []*target
	// cands mirrors targets for routing.Pick.
	cands  []routing.Candidate
	queue  flow.Queue
	budget flow.Budget
	// demand counts the calls that wait or run, by model.
	demand map[string]int
	timer  *time.Timer
}

type target struct {
	id      string
	limit   flow.Limit
	service flow.Estimate
	breaker routing.Breaker
	// ready is what the target said of whether it takes work.
	ready readiness.State
	sent  int
	slots int
}

// left notes that a call of a model ended or gave up.
func (p *pool) left(model string) {
	p.demand[model]--
	if p.demand[model] == 0 {
		delete(p.demand, model)
	}
}

// set replaces the targets of a pool, keeping the state of those that stay.
func (p *pool) set(hosts []store.Host, drained func(string) bool, share float64) {
	known := make(map[string]*target, len(p.targets))
	loads := make(map[string]routing.Load, len(p.targets))
	for i, t := range p.targets {
		known[t.id] = t
		loads[t.id] = p.cands[i].Load
	}
	p.targets = p.targets[:0:0]
	p.cands = p.cands[:0:0]
	for _, h := range hosts {
		t := known[h.ID]
		if t == nil {
			t = &target{id: h.ID, slots: h.Slots, limit: flow.NewLimit(float64(h.Slots) * share)}
		}
		if t.slots != h.Slots {
			t.slots = h.Slots
			t.limit.SetCeiling(float64(h.Slots) * share)
		}
		load := loads[h.ID]
		load.Leaving = h.State != store.Live || drained(h.ID)
		p.targets = append(p.targets, t)
		p.cands = append(p.cands, routing.Candidate{Target: targetOf(h), Load: load})
	}
}

func targetOf(h store.Host) routing.Target {
	return routing.Target{
		ID: h.ID, Addr: h.Addr, DataCentre: h.DataCentre,
		Models: h.Models, Adapters: h.Adapters,
		Slots: h.Slots, Hash: xxhash.Sum64String(h.ID),
	}
}

// refresh copies the state of the targets into the candidates.
func (p *pool) refresh(now time.Time) {
	for i, t := range p.targets {
		c := &p.cands[i]
		c.Sent = t.sent
		c.Limit = t.limit.Calls()
		c.Down = t.down(now)
		c.Service = t.service.Mean()
		if c.Service == 0 {
			c.Service = unknownService
		}
	}
}

// down reports whether a target gets no call now: it fails, or asked for rest.
func (t *target) down(now time.Time) bool {
	return t.breaker.Down(now) || t.ready.Standing(now) == readiness.Resting
}

func (p *pool) anyFree() bool {
	for i := range p.cands {
		c := &p.cands[i]
		if routing.Filter(&routing.Query{Reach: reach[catalog.Urgent]}, c) == routing.Eligible {
			return true
		}
	}
	return false
}

// othersLeft reports whether a target outside q.Exclude can serve q later.
func (p *pool) othersLeft(q *routing.Query) bool {
	for i := range p.cands {
		switch routing.Filter(q, &p.cands[i]) {
		case routing.Eligible, routing.AtLimit:
			return true
		}
	}
	return false
}

// refuse returns the refusal of a call that cannot be queued, or nil.
func (p *pool) refuse(limit int, c *Call) error {
	if p.queue.Len() >= limit {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "pool %s has %d calls waiting", p.name, limit).
			After(time.Second).At(c.Stage, "")
	}
	if p.serves(c) {
		return nil
	}
	return noTarget(p.name, c)
}

func noTarget(pool string, c *Call) error {
	return verdict.New(verdict.NotRun, verdict.NoTarget,
		"no target of pool %s serves model %q with adapter %q", pool, c.Model, c.Adapter).
		After(2*time.Second).At(c.Stage, "")
}

// serves reports whether any target may serve the call, now or when it is free
// or up again.
func (p *pool) serves(c *Call) bool {
	q := routing.Query{Model: c.Model, Adapter: c.Adapter}
	for i := range p.cands {
		switch routing.Filter(&q, &p.cands[i]) {
		case routing.WrongModel, routing.IsLeaving:
		default:
			return true
		}
	}
	return false
}

// refuseUnserved ends the wait of calls whose last target left: their answer is
// final, so it is not held back until their deadline.
func (p *pool) refuseUnserved() {
	unserved := func(it *flow.Item) bool { return !p.serves(&it.Value.(*waiter).call) }
	for _, it := range p.queue.Drop(unserved) {
		w := it.Value.(*waiter)
		p.left(w.call.Model)
		w.done <- grant{err: noTarget(p.name, &w.call)}
	}
}

// wait estimates how long a new call of this class waits in the queue.
func (p *pool) wait(class catalog.Class, mean time.Duration) time.Duration {
	capacity, busy := 0, 0
	for i := range p.cands {
		if !p.cands[i].Leaving && !p.cands[i].Down {
			capacity += p.cands[i].Limit
			busy += min(p.targets[i].sent, p.cands[i].Limit)
		}
	}
	ahead := p.queue.Ahead(class)
	if capacity == 0 || (ahead == 0 && busy < capacity) {
		return 0
	}
	return mean * time.Duration(ahead+1) / time.Duration(capacity)
}
