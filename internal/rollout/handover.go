package rollout

import "time"

// handover is a stream at the old version that may continue at the new one.
type handover struct{ start func() }

// OnHandover calls start, in a goroutine of its own, when a stream that began at the old version is to
// continue at the new one, so that the old version may stop; at once if that is so already. stop ends
// the wait.
func (g *Gate) OnHandover(c Call, start func()) (stop func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.orders[c.Service]
	if s == nil || c.Version == s.To || s.answer.State.Final() {
		return func() {}
	}
	h := &handover{start}
	s.handovers[h] = struct{}{}
	s.startHandover()
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(s.handovers, h)
	}
}

// startHandover starts the handovers if the answer asks for them and calls go to the new version: the
// streams would continue at the old one otherwise. The lock is held.
func (s *orderState) startHandover() {
	if !s.answer.Handover || s.share(time.Now()) <= 0 {
		return
	}
	for h := range s.handovers {
		go h.start()
	}
	clear(s.handovers)
}

// isLong reports whether a call of a route is too long for the old version, which may stop before the
// call ends, or is a repeat that needs no trial. The lock is held.
func (s *orderState) isLong(route string, again bool, now time.Time) bool {
	if s.answer.LongFrom <= 0 || s.share(now) <= 0 {
		return false
	}
	return again || s.longest[route] >= s.answer.LongFrom
}
