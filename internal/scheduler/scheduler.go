// Package scheduler applies the decisions of flow and routing to the calls of
// one node: it queues calls by pool, grants each a target, and keeps the live
// state of the targets that the decisions read.
package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/flow"
	"topazmoor/internal/store"
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

// Retry reports whether the retry budget of a pool allows one more attempt,
// and uses it up.
func (s *Scheduler) Retry(poolName string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(poolName).budget.Take()
}

func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{name: name, budget: flow.NewBudget(s.cfg.RetryRatio), demand: make(map[string]int)}
		s.pools[name] = p
	}
	return p
}
