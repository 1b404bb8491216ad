package stagebatch

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
	"topazmoor/internal/targets"
)

// Former forms the batches of stage pools at this node. It is safe for
// concurrent use.
type Former struct {
	// Name is that of the node.
	Name string
	// Regions gives the region of each data centre.
	Regions region.Map
	// Off are the mechanisms that an experiment switches off.
	Off mechanism.Set
	// Guard is told under which orders targets ended; nil for nobody.
	Guard Guard

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
	// working is the choice of the targets that are worked with.
	working working
	// versions shares out the calls while the version of the targets changes.
	versions versions
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
	suspect := f.Guard != nil && f.Guard.Suspect(o.Digest)
	w := &order{Order: o, alone: o.Probe != "" || suspect, handles: make([]string, o.Pieces), missing: o.Pieces, unread: o.Pieces, done: make(chan struct{})}
	f.mu.Lock()
	p := f.pool(o.Service)
	f.refresh(p, o.Service)
	if !f.hasMaker(p, o.Regions) {
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

// hasMaker reports whether a pool has a target in some regions. The lock is held.
func (f *Former) hasMaker(p *pool, in region.Set) bool {
	for _, m := range p.makers {
		if f.Regions.Allows(in, m.DataCentre) {
			return true
		}
	}
	return false
}

// knowsTarget reports whether a service has a target in some regions that may be sent work.
func (f *Former) knowsTarget(service string, in region.Set) bool {
	return slices.ContainsFunc(f.list.Usable(service), func(t targets.Target) bool { return f.Regions.Allows(in, t.DataCentre) })
}

// refresh takes in the targets as they are listed now. The lock is held.
func (f *Former) refresh(p *pool, service string) {
	spec, now := f.spec(service), time.Now()
	p.versions.set(f.list.Trial(service))
	generation := f.list.Generation()
	if spec != nil && !p.working.due(generation, now) {
		for id, m := range p.makers {
			if t, ok := f.list.UsableTarget(id); ok && t.Born == m.Born {
				f.look(m, t)
				continue
			}
			delete(p.makers, id)
		}
		return
	}
	p.working.generation = generation
	listed := f.list.Usable(service)
	if spec != nil {
		listed = f.choose(p, listed, spec, now)
	}
	seen := make(map[string]bool, len(listed))
	for _, t := range listed {
		seen[t.ID] = true
		m := p.makers[t.ID]
		if m == nil || m.Born != t.Born {
			// A process that started again holds no results and tells nothing of its speed yet.
			m = &maker{results: make(map[string]held)}
			p.makers[t.ID] = m
		}
		f.look(m, t)
	}
	for id := range p.makers {
		if !seen[id] {
			delete(p.makers, id)
		}
	}
}

// look takes in what is known of one target. The lock is held.
func (f *Former) look(m *maker, t targets.Target) {
	m.Target = t
	m.standing, m.opens = f.list.Standing(t.Process())
	m.perSecond, m.bounded = f.list.Bounded(t.Process())
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
	f.askPermits(service, p, spec, now)
	f.hand(service, p, spec, now)
	for f.widen(service, p, spec, now) {
		f.askDoubtful(service, p, spec, now)
		f.hand(service, p, spec, now)
	}
	f.wakeLater(service, p, spec, now)
}

// hand gives batches to the targets that are free. The lock is held.
func (f *Former) hand(service string, p *pool, spec *routes.Batch, now time.Time) {
	working := p.dataCentres()
	for _, m := range freeMakers(p.makers, spec, now) {
		if len(p.queue) == 0 {
			break
		}
		if !p.versions.mayCall(m.Version) {
			continue
		}
		f.fill(service, p, m, spec, now, f.placeOf(p, m, working, spec, now))
	}
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
