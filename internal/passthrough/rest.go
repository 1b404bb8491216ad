package passthrough

import (
	"math/rand/v2"
	"time"

	"topazmoor/internal/verdict"
)

// restSpread is the part of a rest over which the callers that wait for its end come back: all
// nodes hear of it at the same time, and the target takes one call of each as a trial first.
const restSpread = 0.3

// untilOpen is how long no target of a service may be called; 0 where one may, or none is known.
func (c *call) untilOpen() time.Duration {
	at, ok := c.s.cfg.Targets.Opens(c.service, c.regions())
	if !ok || at.IsZero() {
		return 0
	}
	return max(time.Until(at), 0)
}

// comeBackOpen is when a caller that found no target may come back: when the first of those
// that rest may be called, or as after any failure.
func (c *call) comeBackOpen() time.Duration {
	return max(spread(c.untilOpen()), c.comeBack())
}

// spread adds a part to a wait, so that callers do not come back together.
func spread(wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	return wait + rand.N(time.Duration(restSpread*float64(wait))+1)
}

// refuseAtRest refuses a request at once that would find all targets at rest when its stages
// are done: it would wait for nothing, and its stages would be made in vain.
func (c *call) refuseAtRest() error {
	wait := c.untilOpen()
	if wait <= 0 || wait <= c.onTime().need()-c.firstEventTime() {
		return nil
	}
	return notRun(verdict.TargetRefused, "all targets of the service ask for rest").After(c.comeBackOpen())
}
