package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/sse"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/targets"
)

const (
	// stallFactor times the mean time to the first event, at least minStall, is
	// how long an engine may be silent before a stream that may be resumed goes
	// to another one. A sound engine may take more than a second while it reads long
	// prompts, and to leave it costs a second reading of the prompt; callers wait four
	// times the objective.
	stallFactor = 4
	minStall    = 2500 * time.Millisecond
	// gapFactor times the longest pause that is still in time, at least minGap, is the
	// same for later events. Callers give up after eight times that pause, and not before
	// two seconds.
	gapFactor = 3
	minGap    = 2 * time.Second
	// presumedGap stands for a route that names no longest pause.
	presumedGap = 500 * time.Millisecond
)

// serveStream runs the stages, sends the request to an engine and passes its
// events on, at another engine where the stream may be resumed.
func (c *call) serveStream() {
	c.s.cfg.Repeats.Request(c.service)
	x := &streaming{c: c, last: c.meta.LastEvent}
	defer func() { c.release(x.in) }()
	defer c.drop()
	for {
		if x.in == nil {
			if err := c.hold(); err != nil {
				x.end(c.quarantined(err))
				return
			}
			in, err := c.produceInputs(c.ctx)
			if errors.Is(err, stagebatch.ErrCrashed) {
				// The former told of it, and of the probe.
				c.held = ""
			}
			if mayRedo(err) && x.redone < maxRedo && c.ctx.Err() == nil {
				x.redone++
				continue
			}
			if err != nil {
				x.end(c.stageFailure(err))
				return
			}
			x.in = in
		}
		f := x.run()
		if f == nil {
			return
		}
		if f.inputGone && x.redone < maxRedo && c.ctx.Err() == nil {
			// The engine did not run the request; its inputs have lapsed.
			x.redone++
			x.giveUpInputs()
			// The engine is not to blame.
			c.tried = c.tried[:len(c.tried)-1]
			continue
		}
		if f.none || !c.mayRepeat(f, f.why()) {
			x.end(c.failed(f))
			return
		}
	}
}

// mayRedo reports whether stages that failed may run again: their inputs were gone, or their
// targets ended, in which case the guard decides.
func mayRedo(err error) bool {
	return errors.Is(err, stagebatch.ErrInputGone) || errors.Is(err, stagebatch.ErrCrashed)
}

// maxRedo is how often the stages of a request run again because their results
// were gone.
const maxRedo = 2

// streaming is one stream on its way to the caller.
type streaming struct {
	c *call
	// started says that the head was sent to the caller.
	started bool
	// last is the ID of the last event that was sent to the caller.
	last   string
	events int
	redone int
	// in are the results that the next engine reads; nil when they must be
	// produced.
	in *inputs
}

// giveUpInputs frees the results of the stages.
func (x *streaming) giveUpInputs() {
	x.c.release(x.in)
	x.in = nil
}

// end finishes a stream that did not come to its end: by a refusal, or, once
// events were sent, by breaking the connection, so that it does not look
// complete.
func (x *streaming) end(err error) {
	if !x.started {
		x.c.refuse(err)
		return
	}
	x.c.done("broken_off", http.StatusOK, err)
	panic(http.ErrAbortHandler)
}

// run sends the request to one engine and passes its events on. It returns nil
// when the stream is complete.
func (x *streaming) run() *failure {
	c := x.c
	l, n, f := c.nextSend(targets.Query{Engine: c.engineQuery(x.in)})
	if f != nil {
		return f
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	// A silent engine is given up only where the stream may go on elsewhere.
	watchdog := newWatchdog(func() bool {
		if !c.s.cfg.Repeats.Take(c.ctx, c.service) {
			return false
		}
		cancel(errSilent)
		return true
	})
	defer watchdog.stop()
	if c.route.Resumable && c.runs-c.stale+1 < c.route.MaxAttempts && !c.s.cfg.Off.Has(mechanism.SilentEngines) {
		watchdog.watch(max(stallFactor*c.firstEventTime(), minStall))
	}
	c.runs++
	a, f := c.send(ctx, l, n, Outgoing{Inputs: x.in.handles, LastEvent: x.last, CopyFrom: l.CopyFrom})
	if f != nil {
		if !f.ran {
			c.runs--
		}
		f.paid = watchdog.fired()
		return f
	}
	defer a.ans.Body.Close()
	if a.ans.Status != http.StatusOK {
		return x.pass(a)
	}
	return x.relay(ctx, a, watchdog)
}

// pass delivers an answer that is no stream.
func (x *streaming) pass(a *attempt) *failure {
	w, err := readWhole(a)
	if err != nil {
		a.lease.Done(targets.Failed, 0)
		x.c.brokeOff(a.lease, a.n, a.start, x.c.ctx.Err() != nil)
		return &failure{ran: true, err: err}
	}
	if a.ans.Status >= http.StatusInternalServerError {
		a.lease.Faulty()
	}
	a.lease.Done(targets.Served, 0)
	x.c.answered()
	if x.started || (x.c.route.Resumable && a.ans.Status >= http.StatusInternalServerError && x.c.runs < x.c.route.MaxAttempts) {
		return &failure{ran: true, err: errors.New("the engine answered with a failure")}
	}
	x.c.deliver(w)
	return nil
}

// relay passes the events of an answer on until its end.
func (x *streaming) relay(ctx context.Context, a *attempt, watchdog *watchdog) *failure {
	c := x.c
	events := sse.NewReader(a.ans.Body)
	flush := http.NewResponseController(c.w)
	gap := c.route.MaxGap
	if gap <= 0 {
		gap = presumedGap
	}
	mayMove := c.route.Resumable && c.runs-c.stale < c.route.MaxAttempts && !c.s.cfg.Off.Has(mechanism.SilentEngines)
	first := true
	for {
		ev, err := events.Next()
		if err == io.EOF {
			a.lease.Done(targets.Served, 0)
			c.answered()
			if !x.started {
				x.head(a)
			}
			c.done("", http.StatusOK, nil)
			return nil
		}
		if err != nil {
			f := x.broken(ctx, a, err)
			f.paid = watchdog.fired()
			return f
		}
		if first {
			first = false
			a.lease.PromptRead()
			a.lease.FirstEvent(time.Since(a.start))
			c.s.cfg.Observer.Began(c.rank, c.estimated, time.Since(c.arrived), c.route.Objective)
			x.giveUpInputs()
		}
		if mayMove {
			watchdog.watch(max(time.Duration(gapFactor*float64(gap)), minGap))
		}
		if !x.started {
			x.head(a)
		}
		if _, err := c.w.Write(ev.Raw); err != nil {
			return x.callerLeft(a, err)
		}
		x.events++
		if ev.ID != "" {
			x.last = ev.ID
		}
		if !events.Buffered() {
			if err := flush.Flush(); err != nil {
				return x.callerLeft(a, err)
			}
		}
	}
}

// head sends the head of the answer to the caller, once.
func (x *streaming) head(a *attempt) {
	x.started = true
	x.c.writeHead(a, nil)
}

// broken notes a stream that ended before its end.
func (x *streaming) broken(ctx context.Context, a *attempt, err error) *failure {
	outcome := targets.Failed
	if x.c.ctx.Err() != nil {
		outcome = targets.Abandoned
	}
	a.lease.Done(outcome, 0)
	x.c.log.Info("stream broke off", "target", a.lease.ID, "addr", a.lease.Addr, "digest", x.c.digest, "events", x.events, "last", x.last,
		"ran_ms", time.Since(a.start).Milliseconds(), "silent", errors.Is(context.Cause(ctx), errSilent), "err", err)
	x.c.brokeOff(a.lease, a.n, a.start, ctx.Err() != nil)
	return &failure{ran: true, err: err}
}

// callerLeft notes that events can no longer be sent to the caller.
func (x *streaming) callerLeft(a *attempt, err error) *failure {
	a.lease.Done(targets.Abandoned, 0)
	x.c.abandoned(a.n)
	return &failure{ran: true, none: true, err: err}
}
