package passthrough

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"topazmoor/internal/frontdoor"
	"topazmoor/internal/verdict"
)

// callerGone reports whether the caller closed its request, so that no response reaches it.
func (c *call) callerGone() bool { return c.r.Context().Err() != nil }

// refuse sends the final response of a request that got none from a target. The status agrees
// with the verdict: statuses such as 503 are sent only for a request that has not run.
func (c *call) refuse(err error) {
	e := verdict.As(verdict.WithPrior(err, c.verdict()))
	status := frontdoor.StatusOf(e.Code)
	switch {
	case e.Verdict != verdict.NotRun && promisesNotRun(status):
		status = http.StatusBadGateway
	case e.Verdict == verdict.NotRun && status > http.StatusInternalServerError:
		// A 503 promises that the request has not run, so that callers may repeat even a request that
		// must not run twice.
		status = http.StatusServiceUnavailable
	}
	c.recordDone(e.Code, status, e)
	if c.callerGone() {
		panic(http.ErrAbortHandler)
	}
	p := frontdoor.NewProblem(e, c.meta.ID, "")
	p.Status = status
	body, merr := json.Marshal(p)
	if merr != nil {
		c.log.Error("refusal not encoded", "err", merr)
		panic(http.ErrAbortHandler)
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if e.RetryAfter > 0 {
		c.s.cfg.Wire.SetRetryAfter(h, e.RetryAfter)
	}
	c.w.WriteHeader(status)
	// A write fails only if the caller is gone.
	_, _ = c.w.Write(body)
}

// promisesNotRun reports whether a status means that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// verdict returns whether the request may have run so far.
func (c *call) verdict() verdict.Verdict {
	if c.runs > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// timeoutError returns the error for a request that ended by its deadline, by its caller, or
// by the end of the process.
func (c *call) timeoutError() error {
	switch {
	case c.callerGone():
		return verdict.New(c.verdict(), verdict.Canceled, "the caller left")
	case c.s.ending.Err() != nil:
		return verdict.New(c.verdict(), verdict.Stopping, "the node stopped before the request ended").After(stopRetryAfter)
	case c.runs == 0:
		return notRun(verdict.DeadlineUnreachable, "the request could not be started in time")
	}
	return verdict.New(c.verdict(), verdict.DeadlineExceeded, "no answer came in time")
}

// stopRetryAfter is the retry delay named by a stopping node, and the shortest of other
// refusals: the caller retries almost at once, at another node.
const stopRetryAfter = 20 * time.Millisecond

// recordDone logs and counts the end of a request. code is empty for a response of a target.
func (c *call) recordDone(code verdict.Code, status int, err error) {
	route, took := "", time.Since(c.arrived)
	version := int64(0)
	if c.route != nil {
		route = c.route.Name
	}
	if c.cfg != nil {
		version = c.cfg.Version
	}
	ran := verdict.Ran
	if code != "" {
		ran = c.verdict()
	}
	c.s.cfg.Observer.RequestDone(Done{Rank: c.rank, Code: code, Verdict: ran, Took: took})
	attrs := []any{"route", route, "service", c.service, "account", c.account, "rank", c.rank, "config", version,
		"status", status, "code", code, "ms", took.Milliseconds(), "sends", c.sends, "targets", c.tried, "digest", c.digest}
	if err == nil {
		c.log.Info("answered", attrs...)
		return
	}
	c.log.Info("not answered", append(attrs, "reason", err.Error())...)
}
