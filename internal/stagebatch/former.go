package stagebatch

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/poison"
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
	"topazmoor/internal/targets"
)

// Former forms the batches of stage pools at this node. It is safe for concurrent use.
type Former struct {
	// Name is the name of the node.
	Name string
	// Regions maps each data centre to its region.
	Regions region.Map
	// Crossing is the cost of running an order in another region.
	Crossing region.Crossing
	// OtherWaits returns the waits of a service's pools in other regions, as far as they are known;
	// nil if no order is sent to another region.
	OtherWaits func(service string, regions []string) []RegionWaits
	// Spills counts the orders that are sent to other regions; nil for none.
	Spills SpillObserver
	// Off holds the mechanisms of the former that an experiment disables.
	Off mechanism.Set
	// Guard tracks the orders during which targets ended; nil disables this.
	Guard Guard

	worker Worker
	list   *targets.Table
	spec   func(service string) *routes.Batch
	log    *slog.Logger

	mu    sync.Mutex
	pools map[poolKey]*pool
	// orders counts the orders that this former accepted; an order's number (seq) is taken from it.
	orders uint64
	// releasing holds the handles of stage results that are to be released, by the address of the
	// target that holds them.
	releasing map[string][]string
}

// poolKey identifies a pool of targets: those of a service in one region, or in all regions if
// region is "".
type poolKey struct{ service, region string }

// poolKey returns the key of the pool whose targets run orders that are limited to the given regions. In a
// fleet with several regions, orders for a single region have a pool of their own, so that the waits and
// the working set of that pool are those of the region's targets.
func (f *Former) poolKey(service string, in region.Set) poolKey {
	if !f.Regions.Several() {
		return poolKey{service: service}
	}
	return poolKey{service: service, region: in.Sole()}
}

// pool is the state of one stage pool.
type pool struct {
	poolKey
	queue  []*piece
	states map[string]*targetState
	wakeAt time.Time
	traffic
	// sharedUntil is the time until which other nodes are assumed to form batches of this pool too,
	// so that calls of this former may have to wait at the targets.
	sharedUntil  time.Time
	working      working
	versionSplit versionSplit
}

// NewFormer returns a Former. spec returns the batch settings of a service, or nil for an
// unknown service.
func NewFormer(w Worker, list *targets.Table, spec func(service string) *routes.Batch, log *slog.Logger) *Former {
	return &Former{worker: w, list: list, spec: spec, log: log, pools: make(map[poolKey]*pool), releasing: make(map[string][]string)}
}

// Produce runs an order and returns when it ends. It calls accepted with the estimated waits
// once the order is queued.
func (f *Former) Produce(ctx context.Context, o Order, accepted func(Waits)) (Result, error) {
	spec := f.spec(o.Service)
	if spec == nil {
		return Result{}, ErrNoTarget
	}
	if o.Pieces < 0 || o.Pieces > MaxPieces {
		return Result{}, ErrLate
	}
	suspect := f.Guard != nil && f.Guard.Suspect(poison.Request{Digest: o.Digest})
	w := &order{Order: o, isolated: o.Probe != "" || suspect, handles: make([]string, o.Pieces), missing: o.Pieces, unread: o.Pieces, done: make(chan struct{})}
	f.mu.Lock()
	p := f.pool(f.poolKey(o.Service, o.Regions))
	f.refresh(p)
	if !f.hasTarget(p, o.Regions) {
		f.mu.Unlock()
		return Result{}, ErrNoTarget
	}
	waits, err := f.enqueue(p, w, spec)
	f.mu.Unlock()
	if err != nil {
		return Result{}, err
	}
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
		f.release(o.Service, w.handles)
		return Result{}, w.err
	}
	return Result{Handles: slices.Clone(w.handles)}, nil
}

// enqueue queues the pieces of an order, starts the calls that are possible, and returns the estimated
// waits. Its error is that of admitToRegion. The lock is held.
func (f *Former) enqueue(p *pool, w *order, spec *routes.Batch) (Waits, error) {
	now := time.Now()
	if p.region != "" && p.idle() {
		// What the pool produced while it had no orders says nothing about its rate.
		p.busySince = now
	}
	if len(p.queue)+w.Pieces > maxQueued {
		return Waits{}, ErrLate
	}
	if err := f.admitToRegion(p, w.Order, spec, now); err != nil {
		return Waits{}, err
	}
	f.orders++
	w.seq, w.queuedAt = f.orders, now
	p.recordOrder(w.Order, now)
	for i := range w.Pieces {
		p.queue = append(p.queue, &piece{order: w, index: i, queued: true})
	}
	f.pump(p, spec)
	return p.wait(spec, now), nil
}

// Waits returns the estimated waits of the pool of a service whose targets run orders that are limited
// to the given regions.
func (f *Former) Waits(service string, in region.Set) Waits {
	spec := f.spec(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pools[f.poolKey(service, in)]
	if spec == nil || p == nil {
		return Waits{}
	}
	return p.wait(spec, time.Now())
}

// Queued returns the number of pieces queued at this node, by service.
func (f *Former) Queued() map[string]float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]float64, len(f.pools))
	for key, p := range f.pools {
		out[key.service] += float64(len(p.queue))
	}
	return out
}

// Free releases the stage results with the given handles at the targets that hold them.
func (f *Former) Free(service string, handles []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.release(service, handles)
}

// FreeIfNearlyFull releases stage results that a later stage has read, if the target that holds them is
// nearly full. Otherwise the results are kept, as the stage that read them has not ended: if that stage
// fails, its piece is produced again from the same results, and if these are gone all stages of the
// request must run again.
func (f *Former) FreeIfNearlyFull(service string, handles []string) {
	spec := f.spec(service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if spec == nil {
		return
	}
	now := time.Now()
	for _, p := range f.poolsOf(service) {
		for _, m := range p.states {
			if !m.nearlyFull(spec, now) {
				continue
			}
			for _, h := range handles {
				if _, ok := m.results[h]; ok {
					f.release(service, []string{h})
				}
			}
		}
	}
}

// pool returns a pool, and creates it if there is none. The lock is held.
func (f *Former) pool(key poolKey) *pool {
	p := f.pools[key]
	if p == nil {
		p = &pool{poolKey: key, states: make(map[string]*targetState), traffic: traffic{busySince: time.Now()}}
		f.pools[key] = p
	}
	return p
}

// poolsOf returns the pools of a service. The lock is held.
func (f *Former) poolsOf(service string) []*pool {
	var out []*pool
	for key, p := range f.pools {
		if key.service == service {
			out = append(out, p)
		}
	}
	return out
}

// usableTargets returns the usable targets of a pool.
func (f *Former) usableTargets(key poolKey) []targets.Target {
	usable := f.list.Usable(key.service)
	if key.region == "" {
		return usable
	}
	return slices.DeleteFunc(usable, func(t targets.Target) bool { return f.Regions[t.DataCentre] != key.region })
}

// hasTarget reports whether the pool's working set, the targets that this former uses, contains a
// target in the given regions. The lock is held.
func (f *Former) hasTarget(p *pool, in region.Set) bool {
	for _, m := range p.states {
		if f.Regions.Allows(in, m.DataCentre) {
			return true
		}
	}
	return false
}

// hasUsableTarget reports whether a service has a usable target in the given regions.
func (f *Former) hasUsableTarget(service string, in region.Set) bool {
	return slices.ContainsFunc(f.list.Usable(service), func(t targets.Target) bool { return f.Regions.Allows(in, t.DataCentre) })
}

// refresh updates the pool from the target list. The lock is held.
func (f *Former) refresh(p *pool) {
	spec, now := f.spec(p.service), time.Now()
	p.versionSplit.set(f.list.Trial(p.service))
	generation := f.list.Generation()
	if spec != nil && !p.working.stale(generation, now) {
		for id, m := range p.states {
			if t, ok := f.list.UsableTarget(id); ok && t.Born == m.Born {
				f.updateTarget(m, t)
				continue
			}
			delete(p.states, id)
		}
		return
	}
	p.working.generation = generation
	listed := f.usableTargets(p.poolKey)
	if spec != nil {
		listed = f.chooseWorkingSet(p, listed, spec, now)
	}
	seen := make(map[string]bool, len(listed))
	for _, t := range listed {
		seen[t.ID] = true
		m := p.states[t.ID]
		if m == nil || m.Born != t.Born {
			// The target is new or its process restarted: it holds no results, and its speed is
			// unknown.
			m = &targetState{results: make(map[string]storedResult)}
			p.states[t.ID] = m
		}
		f.updateTarget(m, t)
	}
	for id := range p.states {
		if !seen[id] {
			delete(p.states, id)
		}
	}
}

// updateTarget updates the state of one target from the target list. The lock is held.
func (f *Former) updateTarget(m *targetState, t targets.Target) {
	m.Target = t
	m.standing, m.opens = f.list.Status(t.Process())
	m.perSecond, m.bounded = f.list.RateBound(t.Process())
}

// pump starts calls for the queued pieces at the free targets of the pool. The lock is held.
func (f *Former) pump(p *pool, spec *routes.Batch) {
	if len(p.queue) == 0 {
		return
	}
	f.refresh(p)
	now := time.Now()
	f.queryUnknownSpace(p, spec, now)
	if !f.Off.Has(mechanism.GiveUpHopeless) {
		p.failHopeless(spec, now)
	}
	f.requestPermits(p, spec, now)
	f.dispatch(p, spec, now)
	for f.widenWorkingSet(p, spec, now) {
		f.queryUnknownSpace(p, spec, now)
		f.dispatch(p, spec, now)
	}
	f.wakeLater(p, spec, now)
}

// dispatch gives batches to the free targets. The lock is held.
func (f *Former) dispatch(p *pool, spec *routes.Batch, now time.Time) {
	working := p.dataCentres()
	for _, m := range freeTargets(p.states, spec, now) {
		if len(p.queue) == 0 {
			break
		}
		if !p.versionSplit.mayCall(m.Version) {
			continue
		}
		f.fill(p, m, spec, now, f.placementOf(p, m, working, spec, now))
	}
}

// fill takes a batch of pieces that fits a free target from the queue of its pool (see take) and starts
// the call. The lock is held.
func (f *Former) fill(p *pool, m *targetState, spec *routes.Batch, now time.Time, pl placement) {
	var batch []*piece
	batch, p.queue = take(p.queue, spec, m.freeBytes(spec, now), now, pl)
	if len(batch) > 0 {
		f.start(p, m, spec, batch, now)
	}
}

// freeTargets lists the targets that may receive a call, fastest first.
func freeTargets(states map[string]*targetState, spec *routes.Batch, now time.Time) []*targetState {
	var out []*targetState
	for _, m := range states {
		if m.free(spec, now) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b *targetState) int {
		return cmp.Or(cmp.Compare(a.slow(), b.slow()), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// wakeInterval is how often a queue that waits for paused or full targets is checked.
const wakeInterval = 50 * time.Millisecond

// wakeLater schedules another check of a non-empty queue, because the pause of a target ends, and the
// results that fill a target expire, without an event that would cause a check. The lock is held.
func (f *Former) wakeLater(p *pool, spec *routes.Batch, now time.Time) {
	if len(p.queue) == 0 || now.Before(p.wakeAt) {
		return
	}
	p.wakeAt = now.Add(wakeInterval)
	time.AfterFunc(wakeInterval, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.pump(p, spec)
	})
}
