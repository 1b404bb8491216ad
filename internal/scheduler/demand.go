package scheduler

import (
	"time"

	"topazmoor/internal/catalog"
)

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
