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
	// maxBufferedBody is the largest response, in bytes, that is read completely before it is
	// delivered: if it ends early, the request can still be repeated.
	maxBufferedBody = 256 << 10
	// maxPassedBody bounds the rest of a response that is passed on as it arrives, in bytes.
	maxPassedBody = 1 << 30
	// hedgeFactor times the mean duration of a call is the delay after which a repeatable request
	// is also sent to a second target. That is near the 95th percentile of calls that vary by a
	// half.
	hedgeFactor = 2.5
	// minHedge is the shortest hedge delay, so that small means cause no hedges. It is also the
	// delay while the mean is unknown.
	minHedge = 40 * time.Millisecond
)

var errSilent = errors.New("passthrough: the target sent no data for too long")

// bufferedAnswer is a response whose body was read completely, or up to maxBufferedBody or the room that there is for it.
type bufferedAnswer struct {
	a     *attempt
	start [][]byte
	// complete reports that start is the whole body.
	complete bool
}

// result is the outcome of one attempt of a plain request.
type result struct {
	ans *bufferedAnswer
	f   *failure
}

// plainRequest tracks the attempts of a request without events; attempts may run concurrently.
type plainRequest struct {
	c   *call
	ctx context.Context
	// results has capacity for the results of all attempts, so that no attempt blocks on sending
	// its own.
	results chan result
	running int
	// last is the newest failure; fallback is a response with a 5xx status.
	last     *failure
	fallback *bufferedAnswer
}

// servePlain sends a request without events, repeats it where that is allowed, and delivers
// the first good response.
func (c *call) servePlain() {
	c.s.cfg.Repeats.Request(c.service)
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	x := &plainRequest{c: c, ctx: ctx, results: make(chan result, maxSends)}
	if !x.start(targets.Query{}) {
		c.refuse(c.finalError(x.last))
		return
	}
	hedges := make(chan bool, 1)
	hedge := time.NewTimer(c.hedgeAfter())
	defer hedge.Stop()
	for x.running > 0 {
		select {
		case <-c.ctx.Done():
			c.refuse(c.timeoutError())
			return
		case <-hedge.C:
			if c.mayHedge() && c.mayRunAgain() {
				// The budget may need a call to another node; responses that arrive meanwhile are not delayed
				// by it.
				go func() { hedges <- c.s.cfg.Repeats.Take(c.ctx, c.service) }()
			}
		case allowed := <-hedges:
			if allowed && c.mayHedge() && c.mayRunAgain() {
				c.s.cfg.Observer.Repeated(c.service, "hedge")
				x.start(targets.Query{SkipScarce: true})
			}
		case r := <-x.results:
			if x.handleResult(r) {
				c.deliver(r.ans)
				return
			}
		}
	}
	if x.fallback != nil {
		c.deliver(x.fallback)
		return
	}
	c.refuse(c.finalError(x.last))
}

// start begins one more attempt and reports whether there was a target for it.
func (x *plainRequest) start(q targets.Query) bool {
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
	// The request may run from here on, until the attempt proves otherwise.
	c.runs++
	x.running++
	go func() { x.results <- c.attemptPlain(x.ctx, l, n) }()
	return true
}

// handleResult processes the result of an attempt. It reports whether the response is to be
// delivered; otherwise it begins another attempt if that is allowed and none is running.
func (x *plainRequest) handleResult(r result) bool {
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

// mayHedge reports whether the request may be sent to a second target while the first
// processes it. A request during which a target ended runs at one target at a time.
func (c *call) mayHedge() bool {
	return c.route.Repeatable() && !c.s.cfg.Off.Has(mechanism.Hedges) && !c.s.cfg.Guard.Suspect(c.guarded())
}

// maxSends bounds the sends of one request, including rejected ones.
const maxSends = 4

// hedgeAfter is the delay after which the request is sent to a second target.
func (c *call) hedgeAfter() time.Duration {
	mean := c.s.cfg.Targets.Latency(c.service)
	return max(time.Duration(hedgeFactor*float64(mean)), minHedge)
}

// attemptPlain sends the request to one target and reads its response.
func (c *call) attemptPlain(ctx context.Context, l *targets.Lease, n sendInfo) result {
	a, f := c.send(ctx, l, n, Outgoing{})
	if f != nil {
		return result{f: f}
	}
	w, err := c.readBuffered(a)
	if err != nil {
		return result{f: c.endedEarly(ctx, a, err)}
	}
	if a.ans.Status >= http.StatusInternalServerError {
		l.MarkFaulty()
	}
	l.Done(targets.Served, time.Since(a.start))
	c.reportAnswered()
	return result{ans: w}
}

// size returns the number of bytes that were read.
func (w *bufferedAnswer) size() int {
	n := 0
	for _, segment := range w.start {
		n += len(segment)
	}
	return n
}

// readBuffered reads up to maxBufferedBody bytes of a response.
func (c *call) readBuffered(a *attempt) (*bufferedAnswer, error) {
	start, complete, err := c.hold.ReadAnswer(a.ans.Body, a.ans.Length, maxBufferedBody)
	if err != nil {
		return nil, err
	}
	if complete {
		a.ans.Body.Close()
	}
	return &bufferedAnswer{a: a, start: start, complete: complete}, nil
}

// deliver sends a target's response to the caller.
func (c *call) deliver(w *bufferedAnswer) {
	if c.callerGone() {
		w.a.ans.Body.Close()
		c.recordDone("canceled", 0, nil)
		panic(http.ErrAbortHandler)
	}
	c.s.cfg.Observer.ResponseBegan(c.rank, c.estimated, time.Since(c.arrived), c.route.Objective)
	c.writeHead(w.a, w)
	err := c.writeAnswer(w)
	if err != nil {
		// The connection is aborted so that the caller does not take the response for complete.
		c.recordDone("broken_off", w.a.ans.Status, err)
		panic(http.ErrAbortHandler)
	}
	c.recordDone("", w.a.ans.Status, nil)
}

// writeAnswer sends the body of a response, with the part that was not read yet.
func (c *call) writeAnswer(w *bufferedAnswer) error {
	for _, segment := range w.start {
		if _, err := c.w.Write(segment); err != nil {
			w.a.ans.Body.Close()
			return err
		}
	}
	if w.complete {
		return nil
	}
	defer w.a.ans.Body.Close()
	return passBody(c.w, w.a.ans.Body)
}

var errLongBody = errors.New("passthrough: the body of the response does not end")

// passBody passes the rest of a body on.
func passBody(to io.Writer, from io.Reader) error {
	n, err := io.Copy(to, io.LimitReader(from, maxPassedBody+1))
	if err == nil && n > maxPassedBody {
		return errLongBody
	}
	return err
}

// writeHead sends the status and headers of a target's response.
func (c *call) writeHead(a *attempt, w *bufferedAnswer) {
	h := c.w.Header()
	for name, values := range c.s.cfg.Wire.ToCaller(a.ans.Header) {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		// A missing type stays missing: net/http would otherwise detect one.
		h["Content-Type"] = nil
	}
	switch {
	case w != nil && w.complete && c.r.Method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(w.size()))
	case a.ans.Length >= 0:
		h.Set("Content-Length", strconv.FormatInt(a.ans.Length, 10))
	}
	c.w.WriteHeader(a.ans.Status)
}
