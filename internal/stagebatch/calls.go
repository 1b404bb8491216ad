package stagebatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/poison"
	"topazmoor/internal/readiness"
	"topazmoor/internal/routes"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/targets"
)

const (
	// maxTries is the most calls that one piece is put into.
	maxTries = 4
	// busyPause is how long a target that rejected a call is left alone: about
	// the time of half a call of another caller.
	busyPause = 120 * time.Millisecond
	// failPause is the first pause after a failed call; it doubles with each
	// failure in a row, up to maxFailPause.
	failPause    = 300 * time.Millisecond
	maxFailPause = 3 * time.Second
	// overdueFactor and overdueSlack give the time after which the pieces of a
	// call are put into another one. Calls of sound targets vary by a tenth.
	overdueFactor = 1.8
	overdueSlack  = 200 * time.Millisecond
	// lostFactor and lostSlack give the time after which a call is given up, so
	// that its slot can be used: its answer is lost, or its target is so slow
	// that the pieces were made elsewhere long ago.
	lostFactor = 4.0
	lostSlack  = 800 * time.Millisecond
	// inputTime is how long after the start of a call its inputs were fetched:
	// targets fetch them first, some 10 MB over 10 Gbit/s in 10 ms.
	inputTime = 130 * time.Millisecond
	// sharedLife is how long a pool is presumed to be shared after a target had
	// calls of others: views of who forms batches differ for some seconds.
	sharedLife = 4 * time.Second
)

// call is one call in progress.
type call struct {
	service string
	m       *maker
	// target is the process that was called: m may stand for another one by now.
	target  targets.Target
	spec    *routes.Batch
	batch   []*piece
	started time.Time
	// began is when the call was given to its target, by the list of targets.
	began time.Time
	// permit is what the target's limit asks for; the zero one where it names none.
	permit sharedrate.Permit
	// sound is the time that a sound target takes, expected what this one does.
	sound, expected time.Duration
	// failed calls may not have fetched their inputs.
	ended, failed bool
}

// start makes a call. The lock is held.
func (f *Former) start(service string, m *maker, spec *routes.Batch, batch []*piece, now time.Time) {
	slower := m.slower(f.pools[service].makers, now)
	m.calls++
	m.lastCall, m.callBytes = now, 0
	f.pools[service].versions.called(m.Version, len(batch), max(spec.Items, 1))
	f.list.StageCalled(m.Target)
	c := &call{service: service, m: m, target: m.Target, spec: spec, batch: batch, started: now, began: f.list.Began(m.Process()), permit: m.usePermit(), sound: expected(spec, len(batch))}
	c.expected = times(c.sound, slower)
	items := make([]Item, len(batch))
	for i, p := range batch {
		p.attempts++
		o := p.order
		m.callBytes += o.ResultBytes
		items[i] = Item{Request: o.Request, Stage: o.Stage, Piece: p.index, Key: o.Key, Inputs: o.Inputs, Remaining: o.Deadline.Sub(now)}
	}
	watchdog := time.AfterFunc(times(c.expected, overdueFactor)+overdueSlack, func() { f.overdue(c) })
	f.log.Info("stage call", "service", service, "target", m.ID, "addr", m.Addr, "items", len(items), "queued", len(f.pools[service].queue),
		"slow", m.slow(), "expected_ms", c.expected.Milliseconds(), "requests", requestsOf(batch))
	if m.sound(now) && now.After(f.pool(service).sharedUntil) {
		time.AfterFunc(inputTime, func() { f.inputsRead(c) })
	}
	target := m.Target
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), times(c.expected, lostFactor)+lostSlack)
		defer cancel()
		reply, err := f.worker.Run(ctx, target, items, func() bool { return f.list.MaySend(target.Process(), c.began, c.permit) })
		f.heard(c, target, reply, err)
		watchdog.Stop()
		if brokeOff(ctx, err) && f.targetEnded(c, target) {
			f.spread(c)
		}
		f.ended(c, reply, err)
	}()
}

// brokeOff reports whether a call ended at its target without an answer.
func brokeOff(ctx context.Context, err error) bool {
	var ce *CallError
	return ctx.Err() == nil && errors.As(err, &ce) && !ce.NotRun && !ce.Unreachable && !ce.Moved
}

// targetEnded tells under which requests a call broke off, and reports whether its target
// ended.
func (f *Former) targetEnded(c *call, target targets.Target) bool {
	if f.Guard == nil {
		return false
	}
	told := make(map[poison.Digest]<-chan bool)
	for _, p := range c.batch {
		o := p.order
		if told[o.Digest] == nil {
			told[o.Digest] = f.Guard.Ended(poison.Run{
				Digest: o.Digest, Began: c.started, Process: target.Process(), Addr: target.Addr, Probe: o.Probe, GoesOn: true,
			})
		}
	}
	ended := false
	for _, ch := range told {
		ended = <-ch || ended
	}
	return ended
}

// spread puts the orders of a call under which its target ended into calls of their own; those
// in quarantine end.
func (f *Former) spread(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range c.batch {
		o := p.order
		o.alone = true
		if o.Probe != "" || f.Guard.Quarantined(o.Digest) {
			o.finish(ErrCrashed)
		}
	}
}

// requestsOf lists the requests that a batch serves, for logs.
func requestsOf(batch []*piece) []string {
	var out []string
	for _, p := range batch {
		if id := p.order.Request; len(out) == 0 || out[len(out)-1] != id {
			out = append(out, id)
		}
	}
	return out
}

// times returns a multiple of a duration.
func times(d time.Duration, factor float64) time.Duration {
	return time.Duration(factor * float64(d))
}

// inputsRead notes that the target has fetched the inputs of a call.
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

// overdue puts the pieces of a call that takes too long into another one. The
// call goes on: whichever result comes first is used.
func (f *Former) overdue(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.ended || f.Off.Has(mechanism.SecondCall) {
		return
	}
	c.m.soundAt = time.Time{}
	c.m.overdue(float64(time.Since(c.started)) / float64(c.sound))
	f.log.Warn("stage call overdue, its pieces go elsewhere", "service", c.service, "target", c.m.ID, "items", len(c.batch), "ms", time.Since(c.started).Milliseconds(), "requests", requestsOf(c.batch))
	f.requeue(c)
	f.pump(c.service, f.pool(c.service), c.spec)
}

// requeue puts the pieces of a call that have no result back. The lock is held.
func (f *Former) requeue(c *call) {
	p := f.pool(c.service)
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

// ended takes in the outcome of a call.
func (f *Former) ended(c *call, reply Reply, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.ended, c.failed = true, err != nil
	c.m.calls--
	now := time.Now()
	f.list.StageEnded(c.target, outcomeOf(reply, err), times(c.spec.CallTime, float64(now.Sub(c.started))/float64(c.sound)))
	if err != nil {
		f.failed(c, err, now)
	} else {
		c.m.failures = 0
		ratio := float64(now.Sub(c.started)) / float64(c.sound)
		if producedAny(reply.Results) {
			// A call that made nothing ends at once and tells nothing of the speed.
			c.m.took(ratio)
		}
		c.m.soundAt = time.Time{}
		if ratio < soundRatio {
			c.m.soundAt = now
		}
		p := f.pool(c.service)
		p.noteMade(len(c.batch), len(p.queue), now)
		if reply.Others > 0 {
			f.pool(c.service).sharedUntil = now.Add(sharedLife)
		}
		f.takeIn(c, reply.Results, now)
	}
	f.pump(c.service, f.pool(c.service), c.spec)
}

func producedAny(results []ItemResult) bool {
	return slices.ContainsFunc(results, func(r ItemResult) bool { return r.Reason == Produced })
}

// failed takes in a call without results. The lock is held.
func (f *Former) failed(c *call, err error, now time.Time) {
	var ce *CallError
	c.m.soundAt = time.Time{}
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
	f.log.Warn("stage call failed", "service", c.service, "target", c.m.ID, "addr", c.m.Addr, "items", len(c.batch), "pause_ms", pause.Milliseconds(), "requests", requestsOf(c.batch), "rest_ms", noticeOf(Reply{}, err).Rest.Milliseconds(), "err", err)
	f.requeue(c)
}

// heard takes in what a target says of whether it takes work.
func (f *Former) heard(c *call, target targets.Target, reply Reply, err error) {
	a := targets.Answer{Notice: noticeOf(reply, err), Began: c.began}
	var ce *CallError
	if errors.As(err, &ce) {
		a.Rejected = ce.NotRun && !ce.Moved
		if ce.Unreachable || ce.Withheld || !ce.NotRun {
			f.list.EndedUnheard(target.Process(), c.began)
		}
	}
	switch f.list.Heard(target.Process(), a) {
	case readiness.BeganToLeave:
		f.log.Info("target says that it leaves", "target", target.ID, "addr", target.Addr, "service", c.service)
	case readiness.BeganToRest:
		f.log.Info("target asks for rest", "target", target.ID, "addr", target.Addr, "service", c.service, "rest_ms", a.Notice.Rest.Milliseconds())
	case readiness.Unchanged:
	}
	f.list.HeardLimit(target.Process(), limitOf(reply, err), c.began)
}

// limitOf returns what the target said of its rate with the outcome of a call.
func limitOf(reply Reply, err error) sharedrate.Word {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Limit
	}
	return reply.Limit
}

// noticeOf returns what the target said with the outcome of a call.
func noticeOf(reply Reply, err error) readiness.Notice {
	var ce *CallError
	if errors.As(err, &ce) {
		return ce.Notice
	}
	return reply.Notice
}

// takeIn hands out the results of a call. The lock is held.
func (f *Former) takeIn(c *call, results []ItemResult, now time.Time) {
	full := false
	for i, r := range results {
		p := c.batch[i]
		o := p.order
		switch r.Reason {
		case Produced:
			c.m.results[r.Handle] = held{bytes: o.ResultBytes, until: now.Add(c.spec.Keep)}
			if o.ended || o.handles[p.index] != "" {
				f.giveUp(c.service, []string{r.Handle})
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
		case NoRoom:
			full = true
			p.attempts--
		case ItemFailed:
		}
	}
	if full {
		c.m.soundAt = time.Time{}
		// Until it is known how full the target is.
		c.m.pausedUntil = now.Add(busyPause)
		go f.askRoom(c.service, c.m, c.m.Addr, c.spec)
	}
	f.requeue(c)
}
