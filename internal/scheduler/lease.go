package scheduler

import (
	"sync"
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/readiness"
	"topazmoor/internal/routing"
)

// Lease is the right to make one call at a target.
type Lease struct {
	// Target is where the call goes.
	Target routing.Target

	s     *Scheduler
	p     *pool
	t     *target
	stage string
	model string
	start time.Time
	once  sync.Once
}

// Heard takes in what the target said of whether it takes work when it turned the call away.
func (l *Lease) Heard(n readiness.Notice) {
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	l.t.ready.Hear(n, true, time.Now())
}

// Release gives the slot back and notes how the call ended. Only the first
// Release counts.
func (l *Lease) Release(o Outcome) {
	l.once.Do(func() { l.release(o) })
}

func (l *Lease) release(o Outcome) {
	now := time.Now()
	took := now.Sub(l.start)
	l.s.mu.Lock()
	defer l.s.mu.Unlock()
	t := l.t
	t.sent--
	l.p.left(l.model)
	if o == Succeeded {
		t.ready.Took(l.start)
	}
	t.ready.Lost(l.start)
	switch o {
	case Succeeded:
		t.breaker.Success()
		t.limit.Done(took, now)
		t.service.Add(took)
		l.s.observe(l.stage, took)
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
	l.s.pump(l.p)
}

func (s *Scheduler) observe(stage string, took time.Duration) {
	e := s.stages[stage]
	if e == nil {
		e = &flow.Estimate{}
		s.stages[stage] = e
	}
	e.Add(took)
}
