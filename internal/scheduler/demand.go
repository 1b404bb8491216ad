package scheduler

import (
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/region"
)

// Demand returns the number of waiting and running calls of this node, by pool.
func (s *Scheduler) Demand() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.pools))
	for name, p := range s.pools {
		n := p.queue.Len()
		for _, t := range p.targets {
			n += t.inFlight
		}
		out[name] = n
	}
	return out
}

// ModelDemand is the number of waiting and running calls of a model in a pool.
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

// RecordLoad records a target's load report: calls is the number of its running and
// waiting calls, and sentAt the number of this node's calls in flight there when the
// report was taken.
func (s *Scheduler) RecordLoad(poolName, id string, calls, sentAt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pool(poolName)
	for i := range p.candidates {
		if p.candidates[i].ID == id {
			p.candidates[i].Reported = calls
			p.candidates[i].SentAtReport = sentAt
		}
	}
}

// InFlight returns the number of this node's calls in flight at a target.
func (s *Scheduler) InFlight(poolName, id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.pool(poolName).targets {
		if t.id == id {
			return t.inFlight
		}
	}
	return 0
}

// TargetRef identifies a target.
type TargetRef struct{ Pool, ID, Addr string }

// Targets returns all targets.
func (s *Scheduler) Targets() []TargetRef {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []TargetRef
	for name, p := range s.pools {
		for i := range p.candidates {
			out = append(out, TargetRef{Pool: name, ID: p.candidates[i].ID, Addr: p.candidates[i].Addr})
		}
	}
	return out
}

// Estimate returns the mean service time of a stage and one that most calls stay
// below; both are 0 before the first sample.
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
	// Regions are those in which the stage may be served.
	Regions region.Set
}

// EstimateRemaining estimates the time that the stages need from now on: for each stage the
// wait in its pool's queue plus the mean service time, 0 before the first sample.
// queueWait is the part of total that is spent in queues.
func (s *Scheduler) EstimateRemaining(stages []StageDemand, class catalog.Class) (total, queueWait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range stages {
		mean := s.mean(d.Stage)
		w := s.pool(d.Pool).queueWait(class, d.Regions, mean)
		queueWait += w
		total += w + mean
	}
	return total, queueWait
}

// mean returns the mean service time of a stage, 0 before the first sample. The
// caller holds the lock.
func (s *Scheduler) mean(stage string) time.Duration {
	if e := s.stages[stage]; e != nil {
		return e.Mean()
	}
	return 0
}
