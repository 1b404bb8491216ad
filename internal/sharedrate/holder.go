package sharedrate

import (
	"time"
)

// Permit allows one request, in the time from From until before Until.
type Permit struct{ From, Until time.Time }

// Valid reports whether a request may be sent under the permit at now.
func (p Permit) Valid(now time.Time) bool { return !now.Before(p.From) && now.Before(p.Until) }

// permitCache holds one node's permits of one rate, and how fast the node uses them. It must not be
// used concurrently.
type permitCache struct {
	// permits are the unused permits, in the order in which they become usable.
	permits []Permit
	// retryAt is the earliest time at which to ask for more permits.
	retryAt time.Time
	// takenPerSecond is the recent number of permits used per second, as of takenAt.
	takenPerSecond float64
	takenAt        time.Time
	lastUsed       time.Time
}

const (
	// takenWindow is the time over which the use of a rate is averaged.
	takenWindow = time.Second
	// prefetchTime is the period of expected use for which permits are requested in advance: some
	// round trips. An unused permit is lost to all nodes.
	prefetchTime = 50 * time.Millisecond
)

// take takes the first permit that has not expired, if it is usable now or by latest.
func (h *permitCache) take(latest, now time.Time) (Permit, bool) {
	h.lastUsed = now
	for len(h.permits) > 0 && !now.Before(h.permits[0].Until) {
		h.permits = h.permits[1:]
	}
	if len(h.permits) == 0 {
		return Permit{}, false
	}
	p := h.permits[0]
	if p.From.After(now) && p.From.After(latest) {
		return Permit{}, false
	}
	h.permits = h.permits[1:]
	h.takenPerSecond = h.rate(now) + 1/takenWindow.Seconds()
	h.takenAt = now
	return p, true
}

// rate returns the recent number of permits used per second.
func (h *permitCache) rate(now time.Time) float64 {
	return h.takenPerSecond * max(0, 1-float64(now.Sub(h.takenAt))/float64(takenWindow))
}

// want returns the number of permits to ask for: one for each waiting request, plus those for
// prefetchTime.
func (h *permitCache) want(waiting int, now time.Time) int {
	return waiting + int(h.rate(now)*prefetchTime.Seconds())
}

// add adds the permits of a grant received at now.
func (h *permitCache) add(g Grant, now time.Time) {
	for i := range g.Permits {
		from := now.Add(max(g.FirstIn+time.Duration(i)*g.Spacing, 0))
		h.permits = append(h.permits, Permit{From: from, Until: from.Add(permitTTL)})
	}
	h.retryAt = now.Add(g.RetryAfter)
}

// giveBack returns an unused permit, unless it has expired.
func (h *permitCache) giveBack(p Permit, now time.Time) {
	if now.Before(p.Until) {
		h.permits = append([]Permit{p}, h.permits...)
	}
}
