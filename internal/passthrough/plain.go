package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/targets"
)

const (
	// wholeBody is the largest answer that is read whole before it is
	// delivered, in bytes: one that breaks before its end can still be asked
	// for again.
	wholeBody = 256 << 10
	// hedgeFactor times the mean time of a call is when a request that may be
	// repeated goes to a second target too; near the 95th percentile of calls
	// that vary by a half.
	hedgeFactor = 2.5
	// minHedge keeps small means from causing hedges, and stands for unknown
	// ones.
	minHedge = 40 * time.Millisecond
)

var errSilent = errors.New("passthrough: the target fell silent")

// whole is an answer of which the first bytes, or all, were read.
type whole struct {
	a     *attempt
	start []byte
	// complete says that start is the whole body.
	complete bool
}

// result is the outcome of one attempt of a plain request.
type result struct {
	ans *whole
	f   *failure
}

// plainRun is a request without events on its way through attempts, which may run
// beside each other.
type plainRun struct {
	c   *call
	ctx context.Context
	// results holds the results of all attempts, so that they never wait to give
	// them.
	results chan result
	running int
	// last is the newest failure, fallback an answer that says the target failed.
	last     *failure
	fallback *whole
}

// servePlain sends a request without events, again where that is allowed, and
// delivers the first good answer.
func (c *call) servePlain() {
	c.s.cfg.Repeats.Request(c.service)
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	x := &plainRun{c: c, ctx: ctx, results: make(chan result, maxSends)}
	if !x.start(targets.Query{}) {
		c.refuse(c.failed(x.last))
		return
	}
	hedges := make(chan bool, 1)
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for x.running > 0 {
		select {
		case <-c.ctx.Done():
			c.refuse(c.timedOut())
			return
		case <-hedge.C:
			if c.mayHedge() && c.mayRunAgain() {
				// Another node may be asked; an answer that comes meanwhile does not wait for that.
				go func() { hedges <- c.s.cfg.Repeats.Take(c.ctx, c.service) }()
			}
		case allowed := <-hedges:
			if allowed && c.mayHedge() && c.mayRunAgain() {
				c.s.cfg.Observer.Repeated(c.service, "hedge")
				x.start(targets.Query{Unbounded: true})
			}
		case r := <-x.results:
			if x.take(r) {
				c.deliver(r.ans)
				return
			}
		}
	}
	if x.fallback != nil {
		c.deliver(x.fallback)
		return
	}
	c.refuse(c.failed(x.last))
}

// start makes one more attempt and reports whether there was a target for it.
func (x *plainRun) start(q targets.Query) bool {
	c := x.c
	if c.sends >= maxSends {
		return false
	}
	l, n, f := c.nextSend(q)
	if f != nil {
		if f.isQuarantined() {
			x.last = f
		}
		return false
	}
	// Until the attempt proves otherwise the request may have run.
	c.runs++
	x.running++
	go func() { x.results <- c.attemptPlain(x.ctx, l, n) }()
	return true
}

// take takes in the result of an attempt. It reports whether its answer is to be
// delivered; otherwise it makes another attempt where that is allowed and no other
// one is running.
func (x *plainRun) take(r result) bool {
	c := x.c
	x.running--
	switch {
	case r.ans == nil:
		x.last = r.f
	case r.ans.a.ans.Status < http.StatusInternalServerError || !c.route.Repeatable():
		return true
	default:
		x.fallback = r.ans
		x.last = &failure{ran: true, err: errors.New("the target answered with a failure")}
	}
	if !x.last.ran {
		c.runs--
	}
	if x.running == 0 && c.mayRepeat(x.last, "failure") {
		x.start(targets.Query{})
	}
	return false
}

// mayHedge reports whether the request may go to a second target while the first works on
// it. Where a target ended under it, it runs at one at a time.
func (c *call) mayHedge() bool {
	return c.route.Repeatable() && !c.s.cfg.Off.Has(mechanism.Hedges) && !c.s.cfg.Guard.Suspect(c.digest)
}

// maxSends bounds the sends of one request, rejected ones included.
const maxSends = 4

// hedgeAfter is when a second target is asked.
func (c *call) hedgeAfter() time.Duration {
	mean := c.s.cfg.Targets.Latency(c.service)
	return max(time.Duration(hedgeFactor*float64(mean)), minHedge)
}

// attemptPlain makes one attempt and reads its answer.
func (c *call) attemptPlain(ctx context.Context, l *targets.Lease, n sending) result {
	a, f := c.send(ctx, l, n, Outgoing{})
	if f != nil {
		return result{f: f}
	}
	w, err := readWhole(a)
	if err != nil {
		a.ans.Body.Close()
		outcome := targets.Failed
		if ctx.Err() != nil {
			outcome = targets.Abandoned
		}
		l.Done(outcome, 0)
		c.brokeOff(l, n, a.start, ctx.Err() != nil)
		c.log.Info("answer of target broke off", "target", l.ID, "addr", l.Addr, "digest", c.digest,
			"ran_ms", time.Since(a.start).Milliseconds(), "err", err)
		return result{f: &failure{ran: true, err: err}}
	}
	if a.ans.Status >= http.StatusInternalServerError {
		l.Faulty()
	}
	l.Done(targets.Served, time.Since(a.start))
	c.answered()
	return result{ans: w}
}

// readWhole reads an answer to its end if it is not too long.
func readWhole(a *attempt) (*whole, error) {
	body, err := io.ReadAll(io.LimitReader(a.ans.Body, wholeBody))
	if err != nil {
		return nil, err
	}
	w := &whole{a: a, start: body, complete: len(body) < wholeBody}
	if w.complete {
		a.ans.Body.Close()
	}
	return w, nil
}

// deliver sends a target's answer to the caller.
func (c *call) deliver(w *whole) {
	if c.left() {
		w.a.ans.Body.Close()
		c.done("canceled", 0, nil)
		panic(http.ErrAbortHandler)
	}
	c.s.cfg.Observer.Began(c.rank, c.estimated, time.Since(c.arrived), c.route.Objective)
	c.writeHead(w.a, w)
	_, err := c.w.Write(w.start)
	if err == nil && !w.complete {
		_, err = io.Copy(c.w, w.a.ans.Body)
		w.a.ans.Body.Close()
	}
	if err != nil {
		// The answer must not look complete.
		c.done("broken_off", w.a.ans.Status, err)
		panic(http.ErrAbortHandler)
	}
	c.done("", w.a.ans.Status, nil)
}

// writeHead sends the head of a target's answer.
func (c *call) writeHead(a *attempt, w *whole) {
	h := c.w.Header()
	for name, values := range c.s.cfg.Wire.ToCaller(a.ans.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// net/http would guess one.
		h["Content-Type"] = nil
	}
	switch {
	case w != nil && w.complete && c.r.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(w.start)))
	case a.ans.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.ans.Length, 10))
	}
	c.w.WriteHeader(a.ans.Status)
}
