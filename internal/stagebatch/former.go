package stagebatch

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/routes"
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

// Former forms the batches of stage pools at this node. It is safe for
// concurrent use.
type Former struct {
	// Off are the mechanisms that an experiment switches off.
	Off mechanism.Set

	worker Worker
	list   *targets.Table
	spec   func(service string) *routes.Batch
	log    *slog.Logger

	mu    sync.Mutex
	pools map[string]*pool
	// orders counts the orders so far.
	orders uint64
	// freeing holds results to be given up, by maker.
	freeing map[string][]string
}

// pool is one stage pool.
type pool struct {
	queue  []*piece
	makers map[string]*maker
	wakeAt time.Time
	traffic
	// sharedUntil is until when other nodes are presumed to form batches of this
	// pool too, so that calls may have to wait at their targets.
	sharedUntil time.Time
}

// NewFormer returns a Former. spec describes the targets of a service; nil for
// an unknown one.
func NewFormer(w Worker, list *targets.Table, spec func(service string) *routes.Batch, log *slog.Logger) *Former {
	return &Former{worker: w, list: list, spec: spec, log: log, pools: make(map[string]*pool), freeing: make(map[string][]string)}
}

// Produce runs an order to its end. accepted is called with the estimated waits once
// it is in the queue.
func (f *Former) Produce(ctx context.Context, o Order, accepted func(Waits)) (Result, error) {
	spec := f.spec(o.Service)
	if spec == nil {
		return Result{}, ErrNoTarget
	}
	w := &order{Order: o, handles: make([]string, o.Pieces), missing: o.Pieces, unread: o.Pieces, done: make(chan struct{})}
	f.mu.Lock()
	p := f.pool(o.Service)
	f.refresh(p, o.Service)
	if len(p.makers) == 0 {
		f.mu.Unlock()
		return Result{}, ErrNoTarget
	}
	f.orders++
	now := time.Now()
	w.seq, w.since = f.orders, now
	p.noteOrder(o.Priority, o.Pieces, now)
	for i := range o.Pieces {
		p.queue = append(p.queue, &piece{order: w, index: i, queued: true})
	}
	f.pump(o.Service, p, spec)
	waits := p.wait(spec, now)
	f.mu.Unlock()
	if accepted != nil {
		accepted(waits)
	}
	select {
	case <-w.done:
	case <-ctx.Done():
		f.mu.Lock()
		w.finish(ctx.Err())
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if w.err != nil {
		f.giveUp(o.Service, w.handles)
		return Result{}, w.err
	}
	return Result{Handles: slices.Clone(w.handles)}, nil
}

// Waits returns the estimated waits of a service's pool.
func (f *Former) Waits(service string) Waits {
	spec := f.spec(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[service]
	if spec == nil || p == nil {
		return Waits{}
	}
	return p.wait(spec, time.Now())
}

// Queued returns how many pieces wait at this node, by service.
func (f *Former) Queued() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.pools))
	for service, p := range f.pools {
		out[service] = float64(len(p.queue))
	}
	return out
}

// Free gives up results.
func (f *Former) Free(service string, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.giveUp(service, handles)
}

// FreeIfTight gives up results that were read, of makers that are short of room. Their
// reader has not ended yet: if it fails, a piece is made again from the same results, and
// where they are gone all of its request's stages are.
func (f *Former) FreeIfTight(service string, handles []string) {
	spec := f.spec(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[service]
	if spec == nil || p == nil {
		return
	}
	now := time.Now()
	for _, m := range p.makers {
		if !m.tight(spec, now) {
			continue
		}
		for _, h := range handles {
			if _, ok := m.results[h]; ok {
				f.giveUp(service, []string{h})
			}
		}
	}
}

func (f *Former) pool(service string) *pool {
	p := f.pools[service]
	if p == nil {
		p = &pool{makers: make(map[string]*maker), traffic: traffic{busySince: time.Now()}}
		f.pools[service] = p
	}
	return p
}

// refresh takes in the targets as they are listed now. The lock is held.
func (f *Former) refresh(p *pool, service string) {
	listed := f.list.Usable(service)
	seen := make(map[string]bool, len(listed))
	for _, t := range listed {
		seen[t.ID] = true
		m := p.makers[t.ID]
		if m == nil {
			m = &maker{results: make(map[string]held)}
			p.makers[t.ID] = m
		}
		m.Target = t
	}
	for id := range p.makers {
		if !seen[id] {
			delete(p.makers, id)
		}
	}
}

// pump hands batches to all targets that are free. The lock is held.
func (f *Former) pump(service string, p *pool, spec *routes.Batch) {
	if len(p.queue) == 0 {
		return
	}
	f.refresh(p, service)
	now := time.Now()
	f.askDoubtful(service, p, spec, now)
	if !f.Off.Has(mechanism.GiveUpHopeless) {
		p.giveUpHopeless(spec, now)
	}
	working := p.dataCentres()
	for _, m := range freeMakers(p.makers, spec, now) {
		if len(p.queue) == 0 {
			break
		}
		f.fill(service, p, m, spec, now, p.placeOf(m, working, spec, f.Off, now))
	}
	f.wakeLater(service, p, spec, now)
}

// fill gives a target that is free a batch of the orders that fit. The lock is
// held.
func (f *Former) fill(service string, p *pool, m *maker, spec *routes.Batch, now time.Time, pl place) {
	var batch []*piece
	batch, p.queue = take(p.queue, spec, m.room(spec, now), now, pl)
	if len(batch) > 0 {
		f.start(service, m, spec, batch, now)
	}
}

// freeMakers lists the targets that may be given a call, the fastest first.
func freeMakers(makers map[string]*maker, spec *routes.Batch, now time.Time) []*maker {
	var out []*maker
	for _, m := range makers {
		if m.free(spec, now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *maker) int {
		return cmp.Or(cmp.Compare(a.slow(), b.slow()), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// wakeInterval is how often a queue that waits for paused or full targets is
// looked at.
const wakeInterval = 50 * time.Millisecond

// wakeLater looks at a queue again while it is not empty: pauses end and
// results lapse without any other event. The lock is held.
func (f *Former) wakeLater(service string, p *pool, spec *routes.Batch, now time.Time) {
	if len(p.queue) == 0 || now.Before(p.wakeAt) {
		return
	}
	p.wakeAt = now.Add(wakeInterval)
	time.AfterFunc(wakeInterval, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.pump(service, p, spec)
	})
}

// call is one call in progress.
type call struct {
	service string
	m       *maker
	spec    *routes.Batch
	batch   []*piece
	started time.Time
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
	c := &call{service: service, m: m, spec: spec, batch: batch, started: now, sound: expected(spec, len(batch))}
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
		reply, err := f.worker.Run(ctx, target, items)
		watchdog.Stop()
		f.ended(c, reply, err)
	}()
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
	f.log.Warn("stage call failed", "service", c.service, "target", c.m.ID, "addr", c.m.Addr, "items", len(c.batch), "pause_ms", pause.Milliseconds(), "requests", requestsOf(c.batch), "err", err)
	f.requeue(c)
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
