package rollout

import (
	"slices"
	"time"
)

// MayResume reports whether a version may get streams that began at it: one that is barred gets nothing,
// and one on trial gets them only while it gets other calls.
func (g *Gate) MayResume(service, version string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if slices.Contains(g.barred[service], version) {
		return false
	}
	s := g.orders[service]
	return s == nil || version != s.To || s.answer.State == Completed || s.share(time.Now()) > 0
}

// isLong reports whether a call of a route is too long for the old version, which may stop before the
// call ends, or is a repeat that needs no trial. The lock is held.
func (s *orderState) isLong(route string, again bool, now time.Time) bool {
	if s.answer.LongFrom <= 0 || s.share(now) <= 0 {
		return false
	}
	return again || s.longest[route] >= s.answer.LongFrom
}
