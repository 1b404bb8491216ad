package passthrough

import (
	"math/rand/v2"
	"time"

	"topazmoor/internal/verdict"
)

// retryJitter is the fraction of a rest over which the retries after its end are spread: all nodes
// learn of the rest at the same time, and the target first takes one trial call of each node.
const retryJitter = 0.3

// timeUntilCallable returns how long all targets of the service rest; 0 if one may be called
// now, or none is known.
func (c *call) timeUntilCallable() time.Duration {
	at, ok := c.s.cfg.Targets.AvailableAt(c.service, c.regions())
	if !ok || at.IsZero() {
		return 0
	}
	return max(time.Until(at), 0)
}

// retryAfterPause returns the delay after which a caller should retry a request for which no target was
// free: the time until the first target may be called again, jitter included, but at least retryAfter.
func (c *call) retryAfterPause() time.Duration {
	return max(addJitter(c.timeUntilCallable()), c.retryAfter())
}

// addJitter lengthens a wait by a random part, so that callers do not retry at the same time.
func addJitter(wait time.Duration) time.Duration {
	if wait <= 0 {
		return 0
	}
	return wait + rand.N(time.Duration(retryJitter*float64(wait))+1)
}

// refuseAllPaused refuses a request at once if all targets will still rest when its stages
// are done: it would wait in vain, and its stage results would be wasted.
func (c *call) refuseAllPaused() error {
	wait := c.timeUntilCallable()
	if wait <= 0 || wait <= c.onTimeEstimator().timeToAnswer()-c.firstEventTime() {
		return nil
	}
	return notRun(verdict.TargetRefused, "all targets of the service ask for rest").After(c.retryAfterPause())
}
