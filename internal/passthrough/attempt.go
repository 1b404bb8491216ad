package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"topazmoor/internal/httpconn"
	"topazmoor/internal/readiness"
	"topazmoor/internal/targets"
	"topazmoor/internal/verdict"
)

// attempt is one request at one target whose answer has begun.
type attempt struct {
	lease *targets.Lease
	n     sending
	ans   *httpconn.Answer
	told  Told
	start time.Time
}

// failure is an attempt that gave no answer to deliver.
type failure struct {
	// ran says that the target may have begun to work.
	ran bool
	// busy says that the target rejected the request.
	busy      bool
	inputGone bool
	// unsent says that the target was not reached, so that nothing arrived anywhere; withheld
	// that it was not to be sent anything any more when the send's turn came.
	unsent, withheld bool
	// stale says that a kept connection ended at once, without a byte of an answer:
	// its target had closed it, or ended.
	stale bool
	// paid says that the repeat after this failure was taken from the budget.
	paid bool
	// target is where the attempt was made.
	target string
	// none says that there is nobody to send the request to.
	none bool
	err  error
}

// why names the failure for logs and metrics.
func (f *failure) why() string {
	switch {
	case f.busy:
		return "busy"
	case f.withheld:
		return "withheld"
	}
	return "failure"
}

// send hands the request to a target and reads the head of its answer. Exactly one of its
// results is set. The lease is ended with a failure. It only reads the call: sends run beside
// each other.
func (c *call) send(ctx context.Context, l *targets.Lease, n sending, o Outgoing) (*attempt, *failure) {
	o.Target, o.Account, o.Rank = l.ID, c.account, c.rank
	o.Remaining = c.timeLeft()
	a := &attempt{lease: l, n: n, start: time.Now()}
	c.log.Info("sent", "target", l.ID, "addr", l.Addr, "service", c.service, "send", n.number, "fresh", n.fresh, "chosen_ms", a.start.Sub(n.chosen).Milliseconds(), "rank", c.rank,
		"left_ms", o.Remaining.Milliseconds(), "config", c.cfg.Version, "candidates", l.Basis.Candidates, "calls", l.Basis.Calls,
		"failures", l.Basis.Failures, "load_age_ms", l.Basis.LoadAge.Milliseconds(), "limit", l.Basis.Limit, "inputs", len(o.Inputs), "after_event", o.LastEvent, "copy_from", o.CopyFrom)
	ans, err := c.s.cfg.Sender.Do(ctx, l.Addr, &httpconn.Request{
		ID: c.meta.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: c.s.cfg.Wire.ToTarget(c.r.Header, o), Body: c.body,
		// What a target says of itself may come between its choice and the first byte, also
		// while a connection is opened.
		Fresh: n.fresh, May: l.MaySend,
	})
	if err != nil {
		return nil, c.noAnswer(ctx, l, n, a.start, err)
	}
	a.ans, a.told = ans, c.s.cfg.Wire.FromTarget(ans.Status, ans.Header)
	if a.told.Load != nil {
		l.Told(*a.told.Load)
	}
	c.heard(a)
	if a.told.Moved && c.meta.VersionBound {
		// Its weights may be other ones: no reason to think that the target is gone.
		a.told.Moved = false
	}
	if f := rejected(a); f != nil {
		c.settle(a, f)
		return nil, f
	}
	return a, nil
}

// heard takes in what the target says of whether it takes work. The head of a stream says it
// as any other answer does.
func (c *call) heard(a *attempt) {
	// Other statuses than these are about the request.
	busy := a.ans.Status == http.StatusServiceUnavailable || a.ans.Status == http.StatusTooManyRequests
	switch a.lease.Heard(a.told.Notice, busy && a.told.NotRun) {
	case readiness.BeganToLeave:
		c.log.Info("target says that it leaves", "target", a.lease.ID, "addr", a.lease.Addr, "service", c.service, "status", a.ans.Status)
	case readiness.BeganToRest:
		c.log.Info("target asks for rest", "target", a.lease.ID, "addr", a.lease.Addr, "service", c.service, "status", a.ans.Status,
			"rest_ms", a.told.Notice.Rest.Milliseconds())
	case readiness.Unchanged:
	}
	a.lease.HeardLimit(a.told.Limit)
}

// staleWithin is how soon a kept connection ends that its target had closed:
// after one round trip.
const staleWithin = 20 * time.Millisecond

// noAnswer reads a send without an answer.
func (c *call) noAnswer(ctx context.Context, l *targets.Lease, n sending, start time.Time, err error) *failure {
	var ce *httpconn.Error
	sent := !errors.As(err, &ce) || ce.Sent
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent), ce != nil && ce.Withheld:
		l.Done(targets.Abandoned, 0)
	case ce != nil && ce.Refused:
		l.Done(targets.Unreachable, 0)
	default:
		l.Done(targets.Failed, 0)
	}
	stale := ce != nil && ce.Reused && time.Since(start) < staleWithin
	c.log.Info("no answer from target", "target", l.ID, "addr", l.Addr, "digest", c.digest, "sent", sent, "stale", stale,
		"ran_ms", time.Since(start).Milliseconds(), "err", err)
	if !sent {
		l.Unsent()
	}
	if sent && !stale {
		c.brokeOff(l, n, start, ctx.Err() != nil)
	} else {
		c.abandoned(n)
	}
	return &failure{ran: sent, unsent: !sent, withheld: ce != nil && ce.Withheld, stale: stale, target: l.ID, err: err}
}

// rejected returns the failure of an answer that is not the target's answer to
// the request, or nil.
func rejected(a *attempt) *failure {
	switch {
	case a.told.Moved:
		return &failure{err: errors.New("another process has the target's address")}
	case a.told.NotRun:
		return &failure{busy: true, inputGone: a.told.InputGone, err: errors.New("the target rejected the request")}
	case a.ans.Status < http.StatusMultipleChoices && !a.told.Signed:
		return &failure{ran: true, err: errors.New("the answer has no signature")}
	case a.ans.Header.Get("Content-Encoding") != "":
		return &failure{ran: true, err: errors.New("the answer is encoded, so that it is not the target's own")}
	}
	return nil
}

// settle reads off a rejection, so that its connection can be kept, and ends
// the lease.
func (c *call) settle(a *attempt, f *failure) {
	// What cannot be read takes its connection with it.
	_, _ = io.Copy(io.Discard, io.LimitReader(a.ans.Body, maxRejection))
	a.ans.Body.Close()
	outcome := targets.Failed
	switch {
	case a.told.Moved:
		outcome = targets.Moved
	case f.busy:
		outcome = targets.Busy
	}
	a.lease.Done(outcome, 0)
	c.abandoned(a.n)
	c.log.Info("target rejected the request", "target", a.lease.ID, "addr", a.lease.Addr, "status", a.ans.Status,
		"not_run", a.told.NotRun, "moved", a.told.Moved, "load", a.told.Load, "leaving", a.told.Notice.Leaving, "rest_ms", a.told.Notice.Rest.Milliseconds(), "err", f.err)
}

// maxRejection bounds the body of a rejection that is read off, in bytes.
const maxRejection = 16 << 10

// mayRepeat reports whether the request may be sent to one more target after a
// failure, and uses up the budget.
func (c *call) mayRepeat(f *failure, why string) bool {
	if c.ctx.Err() != nil {
		return false
	}
	if f != nil && f.withheld {
		c.sends--
	}
	if f != nil && f.stale {
		c.stale++
		c.tried = slices.DeleteFunc(c.tried, func(id string) bool { return id == f.target })
	}
	if !c.mayRunAgain() {
		return false
	}
	if c.takesBudget(f) && !c.s.cfg.Repeats.Take(c.ctx, c.service) {
		c.log.Info("not sent again: the budget of repeats is used up", "service", c.service, "why", why)
		return false
	}
	c.s.cfg.Observer.Repeated(c.service, why)
	if f != nil {
		c.log.Info("sent again", "why", why, "after", f.err.Error(), "runs", c.runs)
	}
	return true
}

// mayRunAgain reports whether the request may run at one more target. It may have run wherever it
// was sent; where a kept connection had been closed it almost surely has not, which does not use up
// an attempt of a request that may be repeated.
func (c *call) mayRunAgain() bool {
	return c.runs == 0 || c.route.Repeatable() && c.runs-c.stale < max(c.route.MaxAttempts, 1)
}

// maxUnsent is how often a request may find a target gone without using up the budget of
// repeats. Nothing arrived there, and targets that ended stand in the list for some seconds, while
// a node's part of the budget is small. More would be a search through a service that is gone.
const maxUnsent = 4

// takesBudget reports whether another send counts as a repeat.
func (c *call) takesBudget(f *failure) bool {
	switch {
	case c.sends == 0, f != nil && (f.paid || f.withheld):
		return false
	case f != nil && f.unsent && c.unsent < maxUnsent:
		c.unsent++
		return false
	}
	return true
}

// failed is the final answer after a failure that may not be mended.
func (c *call) failed(f *failure) error {
	switch {
	case c.ctx.Err() != nil:
		return c.timedOut()
	case f.isQuarantined():
		return c.quarantined(f.err)
	case f == nil:
		return notRun(verdict.NoTarget, "no target of the service can take the request").After(c.comeBackOpen())
	case c.runs > 0:
		return verdict.Wrap(f.err, verdict.MayHaveRun, verdict.TargetFailed, "the target gave no complete answer")
	case f.busy:
		return verdict.Wrap(f.err, verdict.NotRun, verdict.TargetRefused, "the targets of the service are full").After(c.comeBackOpen())
	}
	return verdict.Wrap(f.err, verdict.NotRun, verdict.NoTarget, "no target of the service was reached").After(c.comeBack())
}

// comeBack is when a new attempt has a fair chance: after a tenth of the
// objective, when a call of another caller has ended.
func (c *call) comeBack() time.Duration {
	return max(c.route.Objective/10, stopRetryAfter)
}
