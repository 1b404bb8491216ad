package passthrough

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/poison"
	"topazmoor/internal/sse"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/targets"
)

const (
	// stallFactor times the mean time to the first event, but at least minStallTimeout, is how
	// long an engine may send nothing before a resumable stream moves to another engine. A healthy
	// engine may take more than a second to process long prompts, and moving costs a second
	// processing of the prompt; callers wait for four times the objective.
	stallFactor     = 4
	minStallTimeout = 2500 * time.Millisecond
	// gapFactor times the longest pause between events that is still in time, but at least
	// minGapTimeout, is the same limit for later events. Callers give up after eight times that
	// pause, and not before two seconds.
	gapFactor     = 3
	minGapTimeout = 2 * time.Second
	// defaultMaxGap is the longest pause between events for a route that sets none.
	defaultMaxGap = 500 * time.Millisecond
	// streamProgress is the time after which a stream counts as evidence on the version of its target
	// although it has not ended.
	streamProgress = 2 * time.Second
	// provenAfter is how long after its first event a stream shows that its request does not crash the
	// engine.
	provenAfter = 250 * time.Millisecond
)

// serveStream runs the stages, sends the request to an engine and passes its events on. A
// resumable stream continues at another engine after a failure.
func (c *call) serveStream() {
	c.s.cfg.Repeats.Request(c.service)
	x := &streaming{c: c, lastEvent: c.meta.LastEvent}
	defer func() { c.freeResults(x.in) }()
	defer c.releaseProbe()
	defer func() {
		if c.endStream != nil {
			c.endStream(x.complete)
		}
	}()
	for {
		if x.in == nil {
			if err := c.claimProbe(); err != nil {
				x.end(c.quarantineError(err))
				return
			}
			in, err := c.produceInputs(c.ctx)
			if errors.Is(err, stagebatch.ErrCrashed) {
				// The node that forms the batches has reported the outcome of the run and of the probe.
				c.releaseProbeAfterStages()
			}
			if mayRerunStages(err) && x.stageReruns < maxStageReruns && c.ctx.Err() == nil {
				x.stageReruns++
				continue
			}
			if err != nil {
				x.end(c.stageError(err))
				return
			}
			x.in = in
		}
		f := x.run()
		if f == nil {
			return
		}
		if f.inputGone && x.stageReruns < maxStageReruns && c.ctx.Err() == nil {
			// The engine did not run the request; its inputs no longer exist.
			x.stageReruns++
			x.freeInputs()
			// The engine did not fail, so it may be selected again.
			c.tried = c.tried[:len(c.tried)-1]
			continue
		}
		if f.noResend || !c.mayRepeat(f, f.reason()) {
			x.end(c.finalError(f))
			return
		}
	}
}

// mayRerunStages reports whether failed stages may run again: their inputs no longer existed,
// or their targets ended, in which case the guard decides.
func mayRerunStages(err error) bool {
	return errors.Is(err, stagebatch.ErrInputGone) || errors.Is(err, stagebatch.ErrCrashed)
}

// maxStageReruns is how often the stages of a request run again, because their results no longer
// existed or their targets ended.
const maxStageReruns = 2

// streaming is the state of one stream to the caller.
type streaming struct {
	c *call
	// started reports that the head was sent to the caller.
	started bool
	// lastEvent is the ID of the last event that was sent to the caller.
	lastEvent   string
	events      int
	stageReruns int
	// complete reports that the target ended the stream and all of it was sent to the caller.
	complete bool
	// in holds the results that the next engine reads; nil if they must be produced.
	in *inputs
}

// freeInputs frees the results of the stages.
func (x *streaming) freeInputs() {
	x.c.freeResults(x.in)
	x.in = nil
}

// end finishes a stream that is incomplete: by a refusal, or, once the head was sent, by
// aborting the connection, so that the response does not look complete.
func (x *streaming) end(err error) {
	if !x.started {
		x.c.refuse(err)
		return
	}
	x.c.recordDone("broken_off", http.StatusOK, err)
	panic(http.ErrAbortHandler)
}

// run sends the request to one engine and passes its events on. It returns nil when the
// response to the caller is complete.
func (x *streaming) run() *failure {
	c := x.c
	l, n, f := c.nextSend(targets.Query{Engine: c.engineQuery(x.in), Resumed: x.started})
	if f != nil {
		return f
	}
	ctx, cancel := context.WithCancelCause(c.ctx)
	defer cancel(nil)
	// A silent engine is abandoned only if the stream may continue elsewhere.
	watchdog := newWatchdog(func() bool {
		if !c.s.cfg.Repeats.Take(c.ctx, c.service) {
			return false
		}
		cancel(errSilent)
		return true
	})
	defer watchdog.stop()
	if mayResume := c.route.Resumable && c.runs-c.stale+1 < c.route.MaxAttempts; mayResume && !c.s.cfg.Off.Has(mechanism.SilentEngines) {
		watchdog.watch(max(stallFactor*c.firstEventTime(), minStallTimeout))
	}
	c.runs++
	a, f := c.send(ctx, l, n, Outgoing{Inputs: x.in.handles, LastEvent: x.lastEvent, CopyFrom: l.CopyFrom})
	if f != nil {
		if !f.ran {
			c.runs--
		}
		f.budgetCharged = watchdog.fired()
		return f
	}
	defer a.ans.Body.Close()
	if a.ans.Status != http.StatusOK {
		return x.deliverPlain(a)
	}
	return x.relayEvents(ctx, a, watchdog)
}

// deliverPlain delivers a response that is not a stream.
func (x *streaming) deliverPlain(a *attempt) *failure {
	w, err := x.c.readBuffered(a)
	if err != nil {
		return x.c.endedEarly(x.c.ctx, a, err)
	}
	if a.ans.Status >= http.StatusInternalServerError {
		a.lease.MarkFaulty()
	}
	a.lease.Done(targets.Served, 0)
	x.c.reportAnswered()
	if x.started || (x.c.route.Resumable && a.ans.Status >= http.StatusInternalServerError && x.c.runs < x.c.route.MaxAttempts) {
		return &failure{ran: true, err: errors.New("the engine answered with a failure")}
	}
	x.c.deliver(w)
	return nil
}

// relayEvents passes the events of a response on until its end.
func (x *streaming) relayEvents(ctx context.Context, a *attempt, watchdog *watchdog) *failure {
	c := x.c
	events := sse.NewReader(a.ans.Body, c.hold.TryGrow)
	flush := http.NewResponseController(c.w)
	gap := c.route.MaxGap
	if gap <= 0 {
		gap = defaultMaxGap
	}
	mayResume := c.route.Resumable && c.runs-c.stale < c.route.MaxAttempts && !c.s.cfg.Off.Has(mechanism.SilentEngines)
	first, progressed := true, false
	for {
		waitBegan := time.Now()
		ev, err := events.Next()
		if !first {
			a.longestGap = max(a.longestGap, time.Since(waitBegan))
		}
		if err == io.EOF && first && !a.ans.Framed {
			// The target ended before its first event.
			err = sse.ErrTruncated
		}
		if err == io.EOF {
			x.finish(a, first)
			return nil
		}
		if err != nil {
			f := x.recordInterrupted(ctx, a, err)
			f.budgetCharged = watchdog.fired()
			return f
		}
		if ev.Empty && first {
			continue
		}
		if !progressed && !first && time.Since(a.start) >= streamProgress {
			progressed = true
			a.lease.RecordProgress(a.longestGap)
		}
		if first {
			first = false
			x.recordFirstEvent(a)
		}
		x.recordProven(a)
		if mayResume && !ev.Empty {
			watchdog.watch(max(time.Duration(gapFactor*float64(gap)), minGapTimeout))
		}
		if !x.started {
			x.sendHead(a)
		}
		if c.endStream == nil {
			c.recordVersion(a.lease.Version)
		}
		if err := x.sendEvent(ev); err != nil {
			return x.callerLeft(a, err)
		}
		if !events.Buffered() {
			if err := flush.Flush(); err != nil {
				return x.callerLeft(a, err)
			}
		}
	}
}

// sendEvent sends an event to the caller, without flushing it.
func (x *streaming) sendEvent(ev sse.Event) error {
	if _, err := x.c.w.Write(ev.Raw); err != nil {
		return err
	}
	x.events++
	if ev.ID != "" {
		x.lastEvent = ev.ID
	}
	return nil
}

// finish records a stream that the target ended, and ends the response to the caller. An answer
// without events is a failure of the target.
func (x *streaming) finish(a *attempt, empty bool) {
	x.complete = true
	if empty {
		a.lease.MarkFaulty()
	}
	a.streamDone(targets.Served)
	x.c.reportAnswered()
	if !x.started {
		x.sendHead(a)
	}
	x.c.recordDone("", http.StatusOK, nil)
}

// recordFirstEvent records the first event of a stream: the target has read the prompt and the results
// of the stages.
func (x *streaming) recordFirstEvent(a *attempt) {
	c := x.c
	a.firstEvent, a.progress = time.Now(), poison.Answering
	a.lease.MarkPromptRead()
	a.lease.RecordFirstEvent(time.Since(a.start))
	c.s.cfg.Observer.ResponseBegan(c.rank, c.estimated, time.Since(c.arrived), c.route.Objective)
	x.freeInputs()
}

// recordProven records an answer that has come so far that its request does not crash the target.
func (x *streaming) recordProven(a *attempt) {
	if a.progress == poison.Proven || time.Since(a.firstEvent) < provenAfter {
		return
	}
	a.progress = poison.Proven
	x.c.s.cfg.Guard.PartsAnswered(x.c.parts)
}

// sendHead sends the head of the response to the caller.
func (x *streaming) sendHead(a *attempt) {
	x.started = true
	x.c.writeHead(a, nil)
}

// streamDone ends the lease of a stream, with its longest gap.
func (a *attempt) streamDone(o targets.Outcome) {
	a.lease.RecordLongestGap(a.longestGap)
	a.lease.Done(o, 0)
}

// recordInterrupted records a stream that ended early.
func (x *streaming) recordInterrupted(ctx context.Context, a *attempt, err error) *failure {
	outcome := targets.Failed
	if x.c.ctx.Err() != nil {
		outcome = targets.Abandoned
	}
	a.streamDone(outcome)
	x.c.log.Info("stream of target ended early", "target", a.lease.ID, "addr", a.lease.Addr, "digest", x.c.digest, "parts", x.c.meta.Prompt, "began", true, "events", x.events, "last", x.lastEvent,
		"ran_ms", time.Since(a.start).Milliseconds(), "silent", errors.Is(context.Cause(ctx), errSilent), "err", err)
	x.c.reportInterrupted(a.lease, a.n, a.start, a.progress, ctx.Err() != nil)
	return &failure{ran: true, err: err}
}

// callerLeft records that events can no longer be sent to the caller.
func (x *streaming) callerLeft(a *attempt, err error) *failure {
	a.streamDone(targets.Abandoned)
	x.c.reportAbandoned(a.n)
	return &failure{ran: true, noResend: true, err: err}
}
