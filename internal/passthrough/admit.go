package passthrough

import (
	"sync"
	"time"

	"topazmoor/internal/routes"
	"topazmoor/internal/verdict"
)

const (
	// presumedFirstEvent stands for the time to an engine's first event until
	// one was measured.
	presumedFirstEvent = 150 * time.Millisecond
	// admitShare is the share of the estimated need that must fit the deadline:
	// the estimate counts work ahead that will itself be given up.
	admitShare = 0.9
	// backShare is the largest part of its time after which a caller is told to
	// come back; callers heed up to a third of what is left.
	backShare = 0.3
	// firstTryShare is the part of the usual patience of a route's callers from
	// which a request is taken as a caller's first try. Who comes back has less
	// time left, and is not refused for being late again.
	firstTryShare = 0.97
	// stopMargin is kept free before the end of the process.
	stopMargin = 500 * time.Millisecond
)

// firstEventTime estimates the time from the send to an engine's first event.
func (c *call) firstEventTime() time.Duration {
	if t := c.s.cfg.Targets.Latency(c.service); t > 0 {
		return t
	}
	return presumedFirstEvent
}

// firstTry reports whether the caller has not been refused before.
func (c *call) firstTry() bool {
	usual := c.s.usual.note(c.route.Name, c.meta.Patience)
	return c.meta.Patience > 0 && float64(c.meta.Patience) >= firstTryShare*float64(usual)
}

// patiences remembers, by route, the longest time that callers wait. It is
// bounded by the number of routes.
type patiences struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// note takes in one caller's patience and returns the longest of its route.
func (p *patiences) note(route string, patience time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil {
		p.longest = make(map[string]time.Duration)
	}
	p.longest[route] = max(p.longest[route], patience)
	return p.longest[route]
}

// need estimates the time until the answer begins.
func (c *call) need() time.Duration {
	if c.route.Kind != routes.Stream {
		return c.s.cfg.Targets.Latency(c.service)
	}
	return c.stagesTime() + c.firstEventTime()
}

// admit refuses at once what cannot be served in time, and, while its caller can
// come back, what would be late.
func (c *call) admit() error {
	need := c.need()
	c.estimated = need
	left := time.Until(c.deadline)
	c.log.Info("accepted", "route", c.route.Name, "service", c.service, "account", c.account, "rank", c.rank, "config", c.cfg.Version,
		"need_ms", need.Milliseconds(), "left_ms", left.Milliseconds(), "objective_ms", c.route.Objective.Milliseconds(), "pieces", c.meta.Pieces)
	if c.route.Kind == routes.Stream && need > c.route.Objective && c.firstTry() {
		back := min(need-c.route.Objective+c.comeBack(), time.Duration(backShare*float64(left)))
		c.log.Info("refused: it would be late", "need_ms", need.Milliseconds(), "objective_ms", c.route.Objective.Milliseconds(), "back_ms", back.Milliseconds())
		return notRun(verdict.Overloaded, "the answer would begin after %v, later than its objective", need.Round(time.Millisecond)).After(back)
	}
	if time.Duration(admitShare*float64(need)) > left {
		return notRun(verdict.DeadlineUnreachable, "the request needs about %v and %v are left",
			need.Round(time.Millisecond), left.Round(time.Millisecond)).After(need - left + c.comeBack())
	}
	if ends := c.s.stopping(); !ends.IsZero() && time.Until(ends) < need+stopMargin {
		return notRun(verdict.Stopping, "the node stops").After(stopRetryAfter)
	}
	return nil
}
