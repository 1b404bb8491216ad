package passthrough

import (
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

// need estimates the time until the answer begins.
func (c *call) need() time.Duration {
	if c.route.Kind != routes.Stream {
		return c.s.cfg.Targets.Latency(c.service)
	}
	return c.stagesTime() + c.firstEventTime()
}

// admit refuses at once what cannot be served in time.
func (c *call) admit() error {
	need := c.need()
	left := time.Until(c.deadline)
	if time.Duration(admitShare*float64(need)) > left {
		return notRun(verdict.DeadlineUnreachable, "the request needs about %v and %v are left",
			need.Round(time.Millisecond), left.Round(time.Millisecond)).After(need - left + c.comeBack())
	}
	if ends := c.s.stopping(); !ends.IsZero() && time.Until(ends) < need+stopMargin {
		return notRun(verdict.Stopping, "the node stops").After(stopRetryAfter)
	}
	return nil
}
