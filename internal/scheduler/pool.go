package scheduler

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routing"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// pool holds the live state of the targets of one pool and the calls that wait
// for them. It is guarded by the scheduler's lock.
type pool struct {
	name    string
	targets []*target
	// candidates has one entry per target, in the order of targets, for
	// routing.Pick.
	candidates []routing.Candidate
	queue      flow.Queue
	budget     flow.Budget
	// demand counts the waiting and running calls by model.
	demand map[string]int
	// timer rechecks the queue; nil while none is scheduled.
	timer *time.Timer
	// round numbers the grants: in each round every waiting call is tried at most once.
	round uint64
	// grants measures the rate of granted calls.
	grants meter
	// others is the method value of hasOther, made once because making one allocates.
	others func(version string) bool
}

// target is the live state of one target.
type target struct {
	id      string
	limit   flow.Limit
	service flow.Estimate
	breaker routing.Breaker
	// ready is whether the target accepts calls, by its own notices.
	ready readiness.State
	// inFlight is the number of this node's calls in flight at the target.
	inFlight int
	// slots is the number of calls that the target runs at once.
	slots int
}

// callEnded removes a call of a model from the demand, when it ended or stopped
// waiting.
func (p *pool) callEnded(model string) {
	p.demand[model]--
	if p.demand[model] == 0 {
		delete(p.demand, model)
	}
}

// setHosts replaces the targets of a pool and keeps the state of those that stay.
// share is the part of each target's slots that this node may use, and regions the region of
// each data centre.
func (p *pool) setHosts(hosts []store.Host, drained func(string) bool, share float64, regions region.Map) {
	existing := make(map[string]*target, len(p.targets))
	loads := make(map[string]routing.Load, len(p.targets))
	for i, t := range p.targets {
		existing[t.id] = t
		loads[t.id] = p.candidates[i].Load
	}
	p.targets = p.targets[:0:0]
	p.candidates = p.candidates[:0:0]
	for _, h := range hosts {
		t := existing[h.ID]
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
		p.candidates = append(p.candidates, routing.Candidate{Target: targetOf(h, regions), Load: load})
	}
}

func targetOf(h store.Host, regions region.Map) routing.Target {
	return routing.Target{
		ID: h.ID, Addr: h.Addr, Version: h.Version, DataCentre: h.DataCentre, Region: regions[h.DataCentre],
		Models: h.Models, Adapters: h.Adapters,
		Slots: h.Slots, Hash: xxhash.Sum64String(h.ID),
	}
}

// refresh copies the state of the targets into the candidates.
func (p *pool) refresh(now time.Time) {
	for i, t := range p.targets {
		c := &p.candidates[i]
		c.Sent = t.inFlight
		c.Limit = t.limit.Calls()
		c.Down = t.down(now)
		c.Service = t.service.Mean()
		if c.Service == 0 {
			c.Service = defaultServiceTime
		}
	}
}

// down reports whether a target gets no call now, because its breaker is open, it
// requested a pause, or the trial call after that pause is in flight.
func (t *target) down(now time.Time) bool {
	return t.breaker.Down(now) || t.ready.Status(now) == readiness.Resting
}

// anyFree reports whether any target is available for a call of the urgent class,
// which has the highest limit.
func (p *pool) anyFree() bool {
	for i := range p.candidates {
		c := &p.candidates[i]
		if routing.Filter(&routing.Query{LimitFactor: limitFactor[catalog.Urgent]}, c) == routing.Eligible {
			return true
		}
	}
	return false
}

// othersCanServe reports whether a target outside q.Exclude can serve q now or when
// its load falls below the limit.
func (p *pool) othersCanServe(q *routing.Query) bool {
	for i := range p.candidates {
		switch routing.Filter(q, &p.candidates[i]) {
		case routing.Eligible, routing.AtLimit:
			return true
		}
	}
	return false
}

// checkAdmission returns an error if the call cannot be queued: QueueLimit calls wait
// already, or no target serves the call.
func (s *Scheduler) checkAdmission(p *pool, c *Call) error {
	if limit := s.cfg.QueueLimit; p.queue.Len() >= limit {
		return verdict.New(verdict.NotRun, verdict.Overloaded, "pool %s has %d calls waiting", p.name, limit).
			After(time.Second).At(c.Stage, "")
	}
	return s.checkTargets(p, c, time.Now())
}

// queueWait estimates how long a new call of this class that may be served in the regions waits in
// the queue, by the mean service time of a call.
func (p *pool) queueWait(class catalog.Class, regions region.Set, mean time.Duration) time.Duration {
	capacity, busy := 0, 0
	for i := range p.candidates {
		c := &p.candidates[i]
		if !c.Leaving && !c.Down && regions.Has(c.Region) {
			capacity += c.Limit
			busy += min(p.targets[i].inFlight, c.Limit)
		}
	}
	if !regions.All() && busy < capacity {
		// The calls ahead wait for targets of other regions.
		return 0
	}
	ahead := p.queue.Ahead(class)
	if capacity == 0 || (ahead == 0 && busy < capacity) {
		return 0
	}
	return mean * time.Duration(ahead+1) / time.Duration(capacity)
}
