// Package scheduler applies the decisions of flow and routing to the calls of
// one node: it queues calls per pool, grants each call a target, and keeps the
// live state of the targets that the decisions read.
package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/region"
	"topazmoor/internal/store"
)

// Config configures a Scheduler.
type Config struct {
	// DataCentre is the data centre of the node.
	DataCentre string
	// RemoteCost is the time that a call to another data centre takes longer.
	RemoteCost time.Duration
	// Regions gives the region of each data centre, and Crossing the cost of a call to another
	// region than the node's.
	Regions  region.Map
	Crossing region.Crossing
	// PrefixGain is the time that a cached prompt prefix saves.
	PrefixGain time.Duration
	// Rollouts decides which versions get calls; nil for all.
	Rollouts Rollouts
	// QueueLimit is the maximum number of waiting calls per pool.
	QueueLimit int
	// RetryRatio is the number of retries and hedges allowed per call.
	RetryRatio float64
	// Seed seeds the random choice between targets with equal scores.
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
	// Stage is the key under which the stage's service time is estimated.
	Stage string
	// Latest is the latest start at which the request can still finish.
	Latest time.Time
	// Prefix is the hash of the prompt's prefix; 0 for none.
	Prefix uint64
	// Exclude lists the IDs of targets that this request was sent to already; they
	// are used again only when no other target can serve the call.
	Exclude []string
	// Version is the software version of the targets that may get the call: a stream goes on only at the
	// version that began it. "" for any.
	Version string
	// Regions returns the regions in which the call may be served now; nil stands for all. It is
	// called under the scheduler's lock and must not block.
	Regions func() region.Set
}

// regions returns the regions in which the call may be served now.
func (c *Call) regions() region.Set {
	if c.Regions == nil {
		return region.Set{}
	}
	return c.Regions()
}

// Outcome is how a granted call ended. It updates the target's live state.
type Outcome uint8

// The outcomes of a call.
const (
	// Succeeded: the target answered.
	Succeeded Outcome = iota
	// Refused: the target answered that it did not start the call.
	Refused
	// Failed: the target failed during the call or timed out.
	Failed
	// Unreachable: the target refused the connection.
	Unreachable
	// Abandoned: the call was cancelled, because the caller disconnected or another
	// attempt succeeded.
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

// defaultServiceTime is the service time assumed before the first sample.
const defaultServiceTime = 50 * time.Millisecond

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
// host is leaving when its state in the host list is not live, or when drained
// returns true for its ID. Waiting calls that no target serves any more are
// refused.
func (s *Scheduler) SetHosts(hosts []store.Host, drained func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byPool := make(map[string][]store.Host)
	for _, h := range hosts {
		byPool[h.Pool] = append(byPool[h.Pool], h)
	}
	for name, p := range s.pools {
		if byPool[name] == nil {
			p.setHosts(nil, drained, s.share, s.cfg.Regions)
			s.refuseUnserved(p)
		}
	}
	for name, list := range byPool {
		p := s.pool(name)
		p.setHosts(list, drained, s.share, s.cfg.Regions)
		s.refuseUnserved(p)
		s.grantWaiting(p)
	}
}

// SetNodes sets the number of nodes that share the targets. Each node may use an
// equal share of the slots, and beyond it the slots that are idle by the load
// reports; see docs/design/005-flow.md.
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
		s.grantWaiting(p)
	}
}

// TakeRetry reports whether the retry budget of a pool allows one more attempt,
// and if so uses up one retry.
func (s *Scheduler) TakeRetry(poolName string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(poolName).budget.Take()
}

// pool returns the pool of that name and creates it if needed. The caller holds
// the lock.
func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, budget: flow.NewBudget(s.cfg.RetryRatio), demand: make(map[string]int)}
		p.others = p.hasOther
		s.pools[name] = p
	}
	return p
}
