package passthrough

import (
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/verdict"
)

const (
	// admissionFraction is the fraction of the estimated time that must fit before the deadline.
	// It is below 1 because the estimate counts queued work that will itself be abandoned.
	admissionFraction = 0.9
	// maxRetryAfterFraction is the largest fraction of the caller's remaining time that a refusal
	// names as retry delay: callers honour delays of up to a third of what is left.
	maxRetryAfterFraction = 0.3
)

// admit refuses a request at once if it cannot be served by its deadline. A request that will
// miss its objective, but not its deadline, is admitted: the objective counts from the
// caller's first attempt, so a refused caller would be served later still. Late requests queue
// behind all other work of the stages, so their estimate is longer, and they are refused when
// too many of them are already queued.
func (c *call) admit() error {
	if err := c.s.cfg.Guard.Admit(c.guarded()); err != nil {
		return c.quarantineError(err)
	}
	if !c.hold.TryGrow(int64(c.allPieces() * stagebatch.PieceBytes)) {
		return notRun(verdict.Overloaded, "the node holds as many bytes of its callers as it may").After(c.retryAfter())
	}
	if err := c.bindVersion(); err != nil {
		return err
	}
	if err := c.refuseAllPaused(); err != nil {
		return err
	}
	timeToAnswer := c.onTimeEstimator().timeToAnswer()
	late := c.route.Kind == routes.Stream && timeToAnswer > c.route.Objective
	if late && !c.s.cfg.Off.Has(mechanism.RefuseHopeless) {
		timeToAnswer = max(timeToAnswer, estimator{c: c, late: true}.timeToAnswer())
	}
	c.estimated = timeToAnswer
	left := c.timeLeft()
	c.log.Info("accepted", "route", c.route.Name, "service", c.service, "account", c.account, "rank", c.rank, "config", c.cfg.Version,
		"need_ms", timeToAnswer.Milliseconds(), "left_ms", left.Milliseconds(), "objective_ms", c.route.Objective.Milliseconds(), "late", late, "pieces", c.meta.Pieces, "digest", c.digest, "parts", c.meta.Prompt)
	if time.Duration(admissionFraction*float64(timeToAnswer)) > left {
		delay := min(timeToAnswer-left+c.retryAfter(), time.Duration(maxRetryAfterFraction*float64(left)))
		return notRun(verdict.DeadlineUnreachable, "the request needs about %v and %v are left",
			timeToAnswer.Round(time.Millisecond), left.Round(time.Millisecond)).After(delay)
	}
	if stop := c.s.stop.Load(); stop != nil && !stop.admits(timeToAnswer, left) {
		return notRun(verdict.Stopping, "the node stops").After(stopRetryAfter)
	}
	return nil
}
