package passthrough

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/httpconn"
	"topazmoor/internal/poison"
	"topazmoor/internal/readiness"
	"topazmoor/internal/targets"
	"topazmoor/internal/verdict"
)

// attempt is a request sent to one target whose response has begun.
type attempt struct {
	lease *targets.Lease
	n     sendInfo
	ans   *httpconn.Answer
	info  ResponseMeta
	start time.Time
	// firstEvent is when the first event of a stream arrived; progress is how far the answer has come.
	firstEvent time.Time
	progress   poison.Progress
	// longestGap is the longest wait for an event of a stream after the first event.
	longestGap time.Duration
}

// failure describes a send that gave no response to deliver.
type failure struct {
	// ran reports that the target may have begun to process the request.
	ran bool
	// busy reports that the target rejected the request.
	busy      bool
	inputGone bool
	// unsent reports that the target was not reached, so it received nothing. withheld reports
	// that the target was no longer callable when the first byte of the request was due.
	unsent, withheld bool
	// stale reports that a kept-alive connection ended at once without a byte of a response: the
	// target had closed it, or its process had ended.
	stale bool
	// budgetCharged reports that the repeat after this failure is already charged to the repeat budget.
	budgetCharged bool
	// target is the ID of the target.
	target string
	// noResend reports that the request cannot be sent to any further target: none may be called,
	// or the caller is gone.
	noResend bool
	err      error
}

// reason returns the label of the failure for logs and metrics.
func (f *failure) reason() string {
	switch {
	case f.busy:
		return "busy"
	case f.withheld:
		return "withheld"
	}
	return "failure"
}

// send sends the request to a target and reads the head of its response. Exactly one of its
// results is set. On a failure send ends the lease. Sends of one request may run concurrently,
// so send only reads the call.
func (c *call) send(ctx context.Context, l *targets.Lease, n sendInfo, o Outgoing) (*attempt, *failure) {
	o.Target, o.Account, o.Rank = l.ID, c.account, c.rank
	o.Remaining = c.timeLeft()
	a := &attempt{lease: l, n: n, start: time.Now()}
	c.log.Info("sent", "target", l.ID, "addr", l.Addr, "service", c.service, "send", n.number, "fresh", n.fresh, "chosen_ms", a.start.Sub(n.chosen).Milliseconds(), "rank", c.rank,
		"left_ms", o.Remaining.Milliseconds(), "config", c.cfg.Version, "candidates", l.Basis.Candidates, "calls", l.Basis.Calls,
		"failures", l.Basis.Failures, "version", l.Version, "version_why", l.Basis.VersionWhy, "share", l.Basis.Share, "load_age_ms", l.Basis.LoadAge.Milliseconds(), "limit", l.Basis.Limit, "inputs", len(o.Inputs), "after_event", o.LastEvent, "copy_from", o.CopyFrom)
	c.logCrossed(l)
	ans, err := c.s.cfg.Sender.Do(ctx, l.Addr, &httpconn.Request{
		ID: c.meta.ID, Method: c.r.Method, Target: c.r.RequestURI, Host: c.r.Host,
		Header: c.s.cfg.Wire.ToTarget(c.r.Header, o), Body: c.bodySegments(),
		// The target may report that it leaves, or ask for rest, between its selection and the first
		// byte, also while a connection is opened.
		NewConn: n.fresh, ShouldSend: l.MaySend, Room: c.hold.TryGrow,
	})
	if err != nil {
		return nil, c.noAnswer(ctx, l, n, a.start, err)
	}
	a.ans, a.progress = ans, poison.Begun
	if !ans.Certain() {
		return nil, c.uncertainAnswer(a)
	}
	a.info = c.s.cfg.Wire.FromTarget(ans.Status, ans.Header)
	if a.info.Load != nil {
		l.RecordLoad(*a.info.Load)
	}
	c.applyNotice(a)
	if a.info.Moved && c.meta.VersionBound {
		// The process at this address may merely have other weights, which does not show that the
		// target is gone.
		a.info.Moved = false
	}
	if f := rejected(a); f != nil {
		return nil, c.finishRejected(ctx, a, f)
	}
	return a, nil
}

// logCrossed logs why a request goes to another region, and what that costs, as a time.
func (c *call) logCrossed(l *targets.Lease) {
	x := l.Basis.Crossed
	if x.Region == "" {
		return
	}
	e := c.exchange()
	c.log.Info("sent to another region", "target", l.ID, "region", x.Region, "cost_ms", x.Cost.Milliseconds(), "round_trips", e.RoundTrips, "bytes", e.Bytes,
		"own_candidates", x.Own, "own_calls", x.OwnCalls, "calls", l.Basis.Calls)
}

// applyNotice applies what the response reports about the target's readiness and limit. The
// head of a stream carries this as any other response does.
func (c *call) applyNotice(a *attempt) {
	// Other statuses concern the request, not the target.
	busy := a.ans.Status == http.StatusServiceUnavailable || a.ans.Status == http.StatusTooManyRequests
	switch a.lease.UpdateReadiness(a.info.Notice, busy && a.info.NotRun) {
	case readiness.StartedLeaving:
		c.log.Info("target announced that it is leaving", "target", a.lease.ID, "addr", a.lease.Addr, "service", c.service, "status", a.ans.Status)
	case readiness.StartedResting:
		c.log.Info("target announced a pause", "target", a.lease.ID, "addr", a.lease.Addr, "service", c.service, "status", a.ans.Status,
			"rest_ms", a.info.Notice.Rest.Milliseconds())
	case readiness.Unchanged:
	}
	a.lease.UpdateLimit(a.info.Limit)
}

// staleWithin is how soon a kept-alive connection fails if the target had already closed it:
// after one round trip.
const staleWithin = 20 * time.Millisecond

// noAnswer classifies a send without a response, ends the lease and reports the outcome to the
// guard.
func (c *call) noAnswer(ctx context.Context, l *targets.Lease, n sendInfo, start time.Time, err error) *failure {
	var ce *httpconn.Error
	sent := !errors.As(err, &ce) || ce.Sent
	if !sent {
		l.MarkUnsent()
	}
	switch {
	case ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent), ce != nil && ce.Withheld:
		l.Done(targets.Abandoned, 0)
	case ce != nil && ce.Refused:
		l.Done(targets.Unreachable, 0)
	default:
		l.Done(targets.Failed, 0)
	}
	stale := ce != nil && ce.Reused && time.Since(start) < staleWithin
	earlier := 0
	if ce != nil {
		earlier = ce.Earlier
	}
	c.log.Info("no answer from target", "target", l.ID, "addr", l.Addr, "digest", c.digest, "parts", c.meta.Prompt, "began", false, "sent", sent, "stale", stale,
		"ran_ms", time.Since(start).Milliseconds(), "conn_requests", earlier, "err", err)
	if !sent {
		l.ReturnPermit()
	}
	if sent {
		// The guard finds out whether the target's process has ended, or had closed the connection.
		c.reportInterrupted(l, n, start, poison.Waiting, ctx.Err() != nil)
	} else {
		c.reportAbandoned(n)
	}
	return &failure{ran: sent, unsent: !sent, withheld: ce != nil && ce.Withheld, stale: stale, target: l.ID, err: err}
}

var errUncertain = errors.New("the answer names no request and may belong to an earlier one")

// uncertainAnswer drops an answer that may belong to an earlier request on its connection: it proves nothing, and says
// nothing about the target.
func (c *call) uncertainAnswer(a *attempt) *failure {
	a.ans.Body.Close()
	a.lease.Done(targets.Abandoned, 0)
	c.reportAbandoned(a.n)
	c.log.Info("answer of target dropped", "target", a.lease.ID, "addr", a.lease.Addr, "status", a.ans.Status, "conn_requests", a.ans.Earlier, "err", errUncertain)
	return &failure{ran: true, target: a.lease.ID, err: errUncertain}
}

// rejected returns the failure of a response that is not the target's own result of the
// request, or nil.
func rejected(a *attempt) *failure {
	switch {
	case a.info.Moved:
		return &failure{err: errors.New("another process has the target's address")}
	case a.info.NotRun:
		return &failure{busy: true, inputGone: a.info.InputGone, err: errors.New("the target rejected the request")}
	case a.ans.Status < http.StatusMultipleChoices && !a.info.Signed:
		return &failure{ran: true, err: errors.New("the answer has no signature")}
	case a.ans.Header.Get("Content-Encoding") != "":
		return &failure{ran: true, err: errors.New("the answer is encoded, so that it is not the target's own")}
	}
	return nil
}

// finishRejected reads the rest of a rejection and ends the lease. It returns f, or the failure of a rejection that breaks off, which
// does not show that the target has not run the request.
func (c *call) finishRejected(ctx context.Context, a *attempt, f *failure) *failure {
	if err := httpanswer.Drain(a.ans.Body); err != nil && ctx.Err() == nil {
		return c.endedEarly(ctx, a, err)
	}
	outcome := targets.Failed
	switch {
	case a.info.Moved:
		outcome = targets.Moved
	case f.busy:
		outcome = targets.Busy
	}
	a.lease.Done(outcome, 0)
	c.reportAbandoned(a.n)
	c.log.Info("target rejected the request", "target", a.lease.ID, "addr", a.lease.Addr, "status", a.ans.Status,
		"not_run", a.info.NotRun, "moved", a.info.Moved, "load", a.info.Load, "leaving", a.info.Notice.Leaving, "rest_ms", a.info.Notice.Rest.Milliseconds(),
		"named", a.ans.Named, "conn_requests", a.ans.Earlier, "err", f.err)
	return f
}

// endedEarly ends the lease of an attempt whose response broke off before anything of it was delivered, and returns the failure.
func (c *call) endedEarly(ctx context.Context, a *attempt, err error) *failure {
	a.ans.Body.Close()
	outcome := targets.Failed
	if ctx.Err() != nil {
		outcome = targets.Abandoned
	}
	a.lease.Done(outcome, 0)
	c.reportInterrupted(a.lease, a.n, a.start, a.progress, ctx.Err() != nil)
	c.log.Info("response of target ended early", "target", a.lease.ID, "addr", a.lease.Addr, "digest", c.digest, "parts", c.meta.Prompt, "began", true,
		"ran_ms", time.Since(a.start).Milliseconds(), "err", err)
	return &failure{ran: true, target: a.lease.ID, err: err}
}

// mayRepeat reports whether the request may be sent to one more target after a failure, and
// charges the repeat budget if that send counts as a repeat.
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
	if c.chargesBudget(f) && !c.s.cfg.Repeats.Take(c.ctx, c.service) {
		c.log.Info("request not repeated: repeat budget exhausted", "service", c.service, "why", why)
		return false
	}
	c.s.cfg.Observer.Repeated(c.service, why)
	if f != nil {
		c.log.Info("sent again", "why", why, "after", f.err.Error(), "runs", c.runs)
	}
	return true
}

// mayRunAgain reports whether the request may run at one more target. It may have run at every
// target that received it. A send on a kept-alive connection that the target had closed almost
// surely did not run; it does not use up an attempt of a request that may be repeated.
func (c *call) mayRunAgain() bool {
	return c.runs == 0 || c.route.Repeatable() && c.runs-c.stale < max(c.route.MaxAttempts, 1)
}

// maxUnreachable is how many unreachable targets a request may try without charging the repeat
// budget. Such targets received nothing, and targets that have ended stay in the list for some
// seconds, while a node's share of the budget is small. A higher number would only search a
// service that is gone.
const maxUnreachable = 4

// chargesBudget reports whether another send counts as a repeat.
func (c *call) chargesBudget(f *failure) bool {
	switch {
	case c.sends == 0, f != nil && (f.budgetCharged || f.withheld):
		return false
	case f != nil && f.unsent && c.unsent < maxUnreachable:
		c.unsent++
		return false
	}
	return true
}

// finalError returns the error for the caller after a failure that allows no further send.
func (c *call) finalError(f *failure) error {
	switch {
	case c.ctx.Err() != nil:
		return c.timeoutError()
	case f.isQuarantined():
		return c.quarantineError(f.err)
	case f == nil:
		return notRun(verdict.NoTarget, "no target of the service can take the request").After(c.retryAfterPause())
	case c.runs > 0:
		return verdict.Wrap(f.err, verdict.MayHaveRun, verdict.TargetFailed, "the target gave no complete answer")
	case f.busy:
		return verdict.Wrap(f.err, verdict.NotRun, verdict.TargetRefused, "the targets of the service are full").After(c.retryAfterPause())
	}
	return verdict.Wrap(f.err, verdict.NotRun, verdict.NoTarget, "no target of the service was reached").After(c.retryAfter())
}

// retryAfter is the retry delay after which a new attempt has a fair chance: a tenth of the
// objective, in which a call of another caller has ended.
func (c *call) retryAfter() time.Duration {
	return max(c.route.Objective/10, stopRetryAfter)
}
