package stagebatch

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/poison"
	"topazmoor/internal/readiness"
	"topazmoor/internal/routes"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/targets"
)

const (
	// maxTries is the maximum number of calls for one piece. Calls that the target rejected, or
	// that were withheld, and those for which it had no space are not counted.
	maxTries = 4
	// busyPause is how long a target that rejected a call gets no further call: about half the
	// duration of another caller's call.
	busyPause = 120 * time.Millisecond
	// failPause is the first pause after a failed call. It doubles with each consecutive
	// failure, up to maxFailPause.
	failPause    = 300 * time.Millisecond
	maxFailPause = 3 * time.Second
	// overdueFactor and overdueSlack determine when the pieces of a running call are queued for
	// a second call. Calls of healthy targets vary by a tenth.
	overdueFactor = 1.8
	overdueSlack  = 200 * time.Millisecond
	// lostFactor and lostSlack determine when a call is cancelled so that its slot becomes free:
	// its reply is lost, or the target is so slow that another target has long produced the
	// pieces.
	lostFactor = 4.0
	lostSlack  = 800 * time.Millisecond
	// inputTime is the time after the start of a call by which its inputs have been read.
	// Targets fetch the inputs first: some 10 MB take 10 ms at 10 Gbit/s.
	inputTime = 130 * time.Millisecond
	// maxTimerDelay is the longest that a timer of a busy process is late; a later one shows that the process did not
	// run.
	maxTimerDelay = 500 * time.Millisecond
	// sharedLife is how long a pool counts as shared after a target reported calls of other
	// formers. Nodes may disagree for some seconds on which node forms the batches.
	sharedLife = 4 * time.Second
)

// call is one call to a target, which produces the pieces of a batch.
type call struct {
	pool *pool
	m    *targetState
	// target is the process that was called. m may represent its successor by now.
	target  targets.Target
	spec    *routes.Batch
	batch   []*piece
	started time.Time
	// began is the start of the call as recorded by the target list.
	began time.Time
	// connected is when the connection to the target was there; nil before.
	connected atomic.Pointer[time.Time]
	// permit is the rate-limit permit of the call; zero if the target advertises no limit.
	permit sharedrate.Permit
	// healthy is the duration of the call at a healthy target, expected the duration at this
	// one.
	healthy, expected time.Duration
	// failed means that the target may not have read the inputs.
	ended, failed bool
	// overdueAt is when the call becomes overdue, isOverdue that it was found to be.
	overdueAt time.Time
	isOverdue bool
	// stalled means that this process did not run for a while during the call, so that its duration is no measure
	// of the target.
	stalled bool
}

// checkStalled finds out whether this process did not run for a while: the call is long past overdueAt, and the
// watchdog has not seen it.
func (c *call) checkStalled(now time.Time) {
	if !c.isOverdue && now.Sub(c.overdueAt) > maxTimerDelay {
		c.stalled = true
	}
}

// ratio returns the ratio of the call's actual to its nominal duration; 1 if the actual one is not known.
func (c *call) ratio(took time.Duration) float64 {
	if c.stalled {
		return 1
	}
	return float64(took) / float64(c.healthy)
}

// start starts a call of a target for a batch of its pool. The lock is held.
func (f *Former) start(p *pool, m *targetState, spec *routes.Batch, batch []*piece, now time.Time) {
	slower := m.slower(p.states, now)
	m.calls++
	m.lastCall, m.callBytes = now, 0
	p.versionSplit.recordCall(m.Version, len(batch), max(spec.Items, 1))
	f.list.RecordStageCallStart(m.Target)
	c := &call{pool: p, m: m, target: m.Target, spec: spec, batch: batch, started: now, began: f.list.BeginCall(m.Process()), permit: m.takePermit(), healthy: expected(spec, len(batch))}
	c.expected = times(c.healthy, slower)
	items := make([]Item, len(batch))
	for i, pc := range batch {
		pc.attempts++
		o := pc.order
		m.callBytes += o.ResultBytes
		items[i] = Item{Request: o.Request, Stage: o.Stage, Piece: pc.index, Key: o.Key, Inputs: o.Inputs, Remaining: o.Deadline.Sub(now)}
	}
	overdueAfter := times(c.expected, overdueFactor) + overdueSlack
	c.overdueAt = now.Add(overdueAfter)
	watchdog := time.AfterFunc(overdueAfter, func() { f.overdue(c) })
	f.log.Info("stage call", "service", p.service, "target", m.ID, "addr", m.Addr, "items", len(items), "queued", len(p.queue),
		"slow", m.slow(), "expected_ms", c.expected.Milliseconds(), "requests", requestsOf(batch))
	if m.healthy(now) && now.After(p.sharedUntil) {
		time.AfterFunc(inputTime, func() { f.inputsRead(c) })
	}
	target := m.Target
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), times(c.expected, lostFactor)+lostSlack)
		defer cancel()
		reply, err := f.worker.Run(ctx, target, items, func() bool { return f.maySend(c, target) })
		f.recordNotice(c, target, reply, err)
		watchdog.Stop()
		if brokeOff(ctx, err) && f.reportBrokenOff(c, target) {
			f.isolateOrders(c)
		}
		f.ended(c, reply, err)
	}()
}

// maySend reports whether a call may be sent, now that it has a connection.
func (f *Former) maySend(c *call, target targets.Target) bool {
	now := time.Now()
	c.connected.Store(&now)
	return f.list.MaySend(target.Process(), c.began, c.permit)
}

// answerTime returns how long the target had the call, which ended now. The time to connect is that of this
// node's path.
func (c *call) answerTime(now time.Time) time.Duration {
	if at := c.connected.Load(); at != nil {
		return now.Sub(*at)
	}
	return now.Sub(c.started)
}

// brokeOff reports whether a call reached its target and ended without a reply, other than by
// its timeout.
func brokeOff(ctx context.Context, err error) bool {
	var ce *CallError
	return ctx.Err() == nil && errors.As(err, &ce) && !ce.NotRun && !ce.Unreachable && !ce.Moved
}

// reportBrokenOff reports the requests of a call that broke off to the Guard, and returns
// whether the target's process ended.
func (f *Former) reportBrokenOff(c *call, target targets.Target) bool {
	if f.Guard == nil {
		return false
	}
	reported := make(map[poison.Digest]<-chan bool)
	for _, p := range c.batch {
		o := p.order
		if reported[o.Digest] == nil {
			reported[o.Digest] = f.Guard.Ended(poison.Run{
				Request: poison.Request{Digest: o.Digest}, Began: c.started, Process: target.Process(), Addr: target.Addr,
				Probe: o.claimedProbe(), ProbeContinues: true,
			})
		}
	}
	ended := false
	for _, ch := range reported {
		ended = <-ch || ended
	}
	return ended
}

// isolateOrders handles the orders of a call during which the target's process ended.
// Quarantined orders end with ErrCrashed. Later calls for the others carry one order each.
func (f *Former) isolateOrders(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range c.batch {
		o := p.order
		o.isolated = true
		if o.Probe != "" || f.Guard.Quarantined(o.Digest) {
			o.finish(ErrCrashed)
		}
	}
}

// requestsOf lists the requests of a batch, for logs.
func requestsOf(batch []*piece) []string {
	var out []string
	for _, p := range batch {
		if id := p.order.Request; len(out) == 0 || out[len(out)-1] != id {
			out = append(out, id)
		}
	}
	return out
}

// times multiplies a duration by a factor.
func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// inputsRead records that the target has read the inputs of a call.
func (f *Former) inputsRead(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.failed {
		return
	}
	for _, p := range c.batch {
		if p.read {
			continue
		}
		p.read = true
		if p.order.unread--; p.order.unread == 0 && p.order.InputsRead != nil {
			go p.order.InputsRead()
		}
	}
}

// overdue queues the pieces of an overdue call for a second call. The first call continues, and
// the result that arrives first is used.
func (f *Former) overdue(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.ended || f.Off.Has(mechanism.SecondCall) {
		return
	}
	now := time.Now()
	c.m.healthyAt = time.Time{}
	c.checkStalled(now)
	c.isOverdue = true
	if !c.stalled {
		c.m.overdue(c.ratio(now.Sub(c.started)))
	}
	f.log.Warn("stage call overdue, requeueing its pieces", "service", c.pool.service, "target", c.m.ID, "items", len(c.batch), "ms", now.Sub(c.started).Milliseconds(), "stalled", c.stalled, "requests", requestsOf(c.batch))
	f.requeue(c)
	f.pump(c.pool, c.spec)
}

// requeue returns the pieces of a call that have no result to the queue. The lock is held.
func (f *Former) requeue(c *call) {
	p := c.pool
	for _, pc := range c.batch {
		if pc.order.ended || pc.queued || pc.order.handles[pc.index] != "" {
			continue
		}
		if pc.attempts >= maxTries {
			pc.order.finish(ErrFailed)
			continue
		}
		pc.queued = true
		p.queue = append(p.queue, pc)
	}
}

// ended processes the outcome of a call.
func (f *Former) ended(c *call, reply Reply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.ended, c.failed = true, err != nil
	c.m.calls--
	now := time.Now()
	c.checkStalled(now)
	f.list.RecordStageCallEnd(c.target, outcomeOf(reply, err), times(c.spec.CallTime, c.ratio(c.answerTime(now))))
	if err != nil {
		f.failed(c, err, now)
	} else {
		c.m.failures = 0
		ratio := c.ratio(now.Sub(c.started))
		if producedAny(reply.Results) && !c.stalled {
			// A call that produced nothing ends at once and is no measure of the target's speed.
			c.m.recordRatio(ratio)
		}
		c.m.healthyAt = time.Time{}
		if ratio < healthyRatio && !c.stalled {
			c.m.healthyAt = now
		}
		p := c.pool
		p.recordProduced(len(c.batch), len(p.queue), now)
		if reply.OtherCalls > 0 {
			c.pool.sharedUntil = now.Add(sharedLife)
		}
		f.applyResults(c, reply.Results, now)
	}
	f.pump(c.pool, c.spec)
}

func producedAny(results []ItemResult) bool {
	return slices.ContainsFunc(results, func(r ItemResult) bool { return r.Reason == Produced })
}

// failed processes a call without results. The lock is held.
func (f *Former) failed(c *call, err error, now time.Time) {
	var ce *CallError
	c.m.healthyAt = time.Time{}
	pause := failPause << min(c.m.failures, 4)
	if errors.As(err, &ce) && ce.NotRun && !ce.Unreachable && !ce.Moved {
		pause = busyPause
		for _, p := range c.batch {
			p.attempts--
		}
	} else {
		c.m.failures++
	}
	c.m.pausedUntil = now.Add(min(pause, maxFailPause))
	f.log.Warn("stage call failed", "service", c.pool.service, "target", c.m.ID, "addr", c.m.Addr, "items", len(c.batch), "pause_ms", pause.Milliseconds(), "requests", requestsOf(c.batch), "rest_ms", noticeOf(Reply{}, err).Rest.Milliseconds(), "err", err)
	f.requeue(c)
}

// recordNotice records the readiness and the rate limit that a target reports.
func (f *Former) recordNotice(c *call, target targets.Target, reply Reply, err error) {
	a := targets.Answer{Notice: noticeOf(reply, err), Began: c.began}
	var ce *CallError
	if errors.As(err, &ce) {
		a.Rejected = ce.NotRun && !ce.Moved
		if ce.Unreachable || ce.Withheld || !ce.NotRun {
			f.list.EndCallWithoutAnswer(target.Process(), c.began)
		}
	}
	switch f.list.UpdateReadiness(target.Process(), a) {
	case readiness.StartedLeaving:
		f.log.Info("target announced that it is leaving", "target", target.ID, "addr", target.Addr, "service", c.pool.service)
	case readiness.StartedResting:
		f.log.Info("target announced a pause", "target", target.ID, "addr", target.Addr, "service", c.pool.service, "rest_ms", a.Notice.Rest.Milliseconds())
	case readiness.Unchanged:
	}
	f.list.UpdateLimit(target.Process(), limitOf(reply, err), c.began)
}

// limitOf returns the rate limit that the target reported with the outcome of a call.
func limitOf(reply Reply, err error) sharedrate.AdvertisedLimit {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Limit
	}
	return reply.Limit
}

// noticeOf returns the readiness that the target reported with the outcome of a call.
func noticeOf(reply Reply, err error) readiness.Notice {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Notice
	}
	return reply.Notice
}

// applyResults assigns the results of a call to their orders. The lock is held.
func (f *Former) applyResults(c *call, results []ItemResult, now time.Time) {
	full := false
	for i, r := range results {
		p := c.batch[i]
		o := p.order
		switch r.Reason {
		case Produced:
			c.m.results[r.Handle] = storedResult{bytes: o.ResultBytes, until: now.Add(c.spec.Keep)}
			if o.ended || o.handles[p.index] != "" {
				f.release(c.pool.service, []string{r.Handle})
				continue
			}
			o.handles[p.index] = r.Handle
			if o.missing--; o.missing == 0 {
				o.finish(nil)
			}
		case Late:
			o.finish(ErrLate)
		case InputGone:
			o.finish(ErrInputGone)
		case NoSpace:
			full = true
			p.attempts--
		case ItemFailed:
		}
	}
	if full {
		c.m.healthyAt = time.Time{}
		// The pause lasts until the target's free space is known.
		c.m.pausedUntil = now.Add(busyPause)
		go f.querySpace(c.pool, c.m, c.m.Addr, c.spec)
	}
	f.requeue(c)
}
