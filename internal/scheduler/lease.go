package scheduler

import (
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/readiness"
	"topazmoor/internal/routing"
)

// Lease grants one call at a target, until Release.
type Lease struct {
	// Target receives the call.
	Target routing.Target

	s     *Scheduler
	p     *pool
	t     *target
	stage string
	model string
	start time.Time
	// firstToken is the time until the first token of a streamed call, in nanoseconds; 0 without one.
	firstToken atomic.Int64
	once       sync.Once
}

// UpdateReadiness records the readiness notice that the target sent when it refused the call.
func (l *Lease) UpdateReadiness(n readiness.Notice) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.t.ready.Update(n, true, time.Now())
}

// Release returns the slot and records how the call ended. Only the first Release
// has an effect.
func (l *Lease) Release(o Outcome) {
	l.once.Do(func() { l.release(o) })
}

func (l *Lease) release(o Outcome) {
	now := time.Now()
	took := now.Sub(l.start)
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	t := l.t
	t.inFlight--
	l.p.callEnded(l.model)
	if o == Succeeded {
		t.ready.Accepted(l.start)
	}
	t.ready.Unanswered(l.start)
	l.recordEnd(o, took)
	switch o {
	case Succeeded:
		t.breaker.Success()
		t.limit.RecordLatency(took, now)
		t.service.Add(took)
		l.s.observeStage(l.stage, took)
	case Refused:
		t.breaker.Abandon()
		t.limit.Refused(now)
	case Failed:
		t.breaker.Failure(now)
	case Unreachable:
		t.breaker.Unreachable(now)
	case Abandoned:
		t.breaker.Abandon()
	}
	l.s.grantWaiting(l.p)
}

// observeStage adds a service time to the estimate of a stage. The caller holds the
// lock.
func (s *Scheduler) observeStage(stage string, took time.Duration) {
	e := s.stages[stage]
	if e == nil {
		e = &flow.Estimate{}
		s.stages[stage] = e
	}
	e.Add(took)
}
