package passthrough

import (
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/routes"
	"topazmoor/internal/verdict"
)

const (
	// admitShare is the share of the estimated need that must fit the deadline:
	// the estimate counts work ahead that will itself be given up.
	admitShare = 0.9
	// backShare is the largest part of its time after which a caller is told to
	// come back; callers heed up to a third of what is left.
	backShare = 0.3
	// stopMargin is kept free before the end of the process.
	stopMargin = 500 * time.Millisecond
)

// admit refuses at once what cannot be served by its deadline. What would be late is
// taken: the objective counts from the caller's first try, so that who is sent away is
// later still. Late work goes after all other work in the queues of the stages, so that
// it takes longer, and it is refused when too much of it waits already.
func (c *call) admit() error {
	if err := c.s.cfg.Guard.Admit(c.digest); err != nil {
		return c.quarantined(err)
	}
	if err := c.refuseAtRest(); err != nil {
		return err
	}
	need := c.onTime().need()
	late := c.route.Kind == routes.Stream && need > c.route.Objective
	if late && !c.s.cfg.Off.Has(mechanism.RefuseHopeless) {
		need = max(need, outlook{c: c, late: true}.need())
	}
	c.estimated = need
	left := c.timeLeft()
	c.log.Info("accepted", "route", c.route.Name, "service", c.service, "account", c.account, "rank", c.rank, "config", c.cfg.Version,
		"need_ms", need.Milliseconds(), "left_ms", left.Milliseconds(), "objective_ms", c.route.Objective.Milliseconds(), "late", late, "pieces", c.meta.Pieces, "digest", c.digest)
	if time.Duration(admitShare*float64(need)) > left {
		back := min(need-left+c.comeBack(), time.Duration(backShare*float64(left)))
		return notRun(verdict.DeadlineUnreachable, "the request needs about %v and %v are left",
			need.Round(time.Millisecond), left.Round(time.Millisecond)).After(back)
	}
	if ends := c.s.stopping(); !ends.IsZero() && time.Until(ends) < need+stopMargin {
		return notRun(verdict.Stopping, "the node stops").After(stopRetryAfter)
	}
	return nil
}
