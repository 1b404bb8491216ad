package passthrough

import (
	"context"
	"time"
)

// timeLeft returns how long the request is still of use, by a clock that goes on while the host
// is suspended: its caller's does.
func (c *call) timeLeft() time.Duration {
	return time.Until(c.deadline) - (c.s.cfg.Slept() - c.slept)
}

// begin notes a request in work, and how to end it.
func (s *Server) begin(c *call, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[c] = cancel
}

func (s *Server) end(c *call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, c)
}

// Woke tells that the host was suspended. Requests whose time has passed meanwhile end now,
// the others when it does: their contexts rest on a clock that stood still.
func (s *Server) Woke(gap time.Duration) {
	if n := s.endsAt.Load(); n != 0 {
		s.endsAt.Store(n - int64(gap))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, cancel := range s.calls {
		time.AfterFunc(max(c.timeLeft(), 0), cancel)
	}
}
