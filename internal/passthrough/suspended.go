package passthrough

import (
	"context"
	"time"
)

// timeLeft returns the time until the deadline, less the time for which the host was suspended
// since the request arrived: the caller's clock kept running.
func (c *call) timeLeft() time.Duration {
	return time.Until(c.deadline) - (c.s.cfg.SuspendedTime() - c.suspendedBefore)
}

// register adds a request in progress with its cancel function.
func (s *Server) register(c *call, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = cancel
}

func (s *Server) unregister(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// HostResumed is called after the host was suspended for gap. Requests whose deadline has passed
// end now, the others at their deadline: the timers of their contexts run on a clock that stopped
// meanwhile.
func (s *Server) HostResumed(gap time.Duration) {
	if stop := s.stop.Load(); stop != nil {
		s.Stop(stop.earlier(gap))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cancel := range s.calls {
		time.AfterFunc(max(c.timeLeft(), 0), cancel)
	}
}
