package passthrough

import (
	"time"

	"topazmoor/internal/targets"
)

const (
	// maxPermitWait is the longest that a request waits for a permit of a rate-limited target:
	// about as far ahead as permits are granted.
	maxPermitWait = time.Second
	// rankStep is how much earlier a request gets its permit for each rank that it is more urgent,
	// as in the queues of stage pools.
	rankStep = 150 * time.Millisecond
	// maxPicks bounds the targets that are selected for one send, including those that give no
	// permit.
	maxPicks = 16
)

// pickTarget selects a target and waits for the permit to call it. It returns nil if there is
// none.
func (c *call) pickTarget(q targets.Query) *targets.Lease {
	q.PermitDeadline = c.permitDeadline()
	for range maxPicks {
		l := c.s.cfg.Targets.Pick(q)
		if l == nil {
			return nil
		}
		err := l.Permit(c.ctx, c.permitOrder())
		if err == nil {
			return l
		}
		c.log.Info("no permit for target", "target", l.ID, "addr", l.Addr, "service", c.service, "limit", l.Basis.Limit, "err", err)
		if c.ctx.Err() != nil {
			return nil
		}
	}
	return nil
}

// permitDeadline is how long the request may wait for a permit and still meet its objective.
func (c *call) permitDeadline() time.Time {
	now := time.Now()
	due := c.arrived.Add(c.route.Objective - c.s.cfg.Targets.Latency(c.service))
	if latest := now.Add(maxPermitWait); due.After(latest) {
		return latest
	}
	return due
}

// permitOrder orders the requests of this node that wait for permits of the same target.
func (c *call) permitOrder() time.Time {
	return c.arrived.Add(c.route.Objective + time.Duration(c.rank)*rankStep)
}
