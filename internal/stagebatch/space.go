package stagebatch

import (
	"context"
	"time"

	"topazmoor/internal/readiness"
	"topazmoor/internal/routes"
)

const (
	// releaseDelay is how long results to be released are collected, so that one call releases
	// many.
	releaseDelay = 15 * time.Millisecond
	// releaseTimeout bounds a call that releases results or queries free space. Results that are
	// not released expire.
	releaseTimeout = time.Second
)

// queryUnknownSpace queries the free space of the targets whose use of space is unknown, and
// pauses these targets meanwhile. Otherwise a new former would find full targets only by calls
// that produce nothing. The lock is held.
func (f *Former) queryUnknownSpace(p *pool, spec *routes.Batch, now time.Time) {
	for _, m := range p.states {
		if m.standing >= readiness.Resting || m.bounded || !m.spaceUnknown(spec, now) {
			continue
		}
		m.querying = true
		if pause := now.Add(queryPause); pause.After(m.pausedUntil) {
			m.pausedUntil = pause
		}
		go f.querySpace(p, m, m.Addr, spec)
	}
}

// querySpace queries a target's free space for results. The target may hold results produced for
// another former, or for this node before a restart.
func (f *Former) querySpace(p *pool, m *targetState, addr string, spec *routes.Batch) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	free, err := f.worker.Space(ctx, addr)
	f.mu.Lock()
	defer f.mu.Unlock()
	m.queried, m.querying = true, false
	if err != nil {
		f.log.Info("free space query failed", "service", p.service, "target", m.ID, "err", err)
		return
	}
	now := time.Now()
	m.foreignBytes = max(spec.ResultSpace-free-m.storedBytes(), 0)
	if free > 0 && now.After(m.foreignUntil) && m.pausedUntil.Before(now.Add(busyPause)) {
		// The target can take smaller calls at once. It stays paused if the previous figure is
		// still valid, as even a call that fitted that figure was rejected, or if a failed call
		// has paused it for longer.
		m.pausedUntil = now
	}
	m.foreignUntil = now.Add(foreignTTL)
	f.log.Info("target free space", "service", p.service, "target", m.ID, "free", free, "held", m.storedBytes(), "foreign", m.foreignBytes)
	f.pump(p, spec)
}

// release releases results at the targets that hold them, after a short delay and together with
// others. The lock is held.
func (f *Former) release(service string, handles []string) {
	for _, h := range handles {
		if h == "" {
			continue
		}
		addr := f.worker.HolderAddr(h)
		if len(f.releasing[addr]) == 0 {
			time.AfterFunc(releaseDelay, func() { f.sendRelease(service, addr) })
		}
		f.releasing[addr] = append(f.releasing[addr], h)
	}
}

// sendRelease makes the call that releases the collected results of a target. Their space counts
// as free only after the target has replied.
func (f *Former) sendRelease(service, addr string) {
	if wait := f.list.RemainingRest(addr); wait > 0 {
		// The target asked for rest. Handles that are collected meanwhile are released by
		// the same call.
		time.AfterFunc(wait, func() { f.sendRelease(service, addr) })
		return
	}
	if !f.mayRelease(service, addr) {
		return
	}
	f.mu.Lock()
	handles := f.releasing[addr]
	delete(f.releasing, addr)
	f.mu.Unlock()
	if f.list.Drained(addr) {
		f.log.Info("results not released, data centre is drained", "addr", addr, "results", len(handles))
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := f.worker.Free(ctx, addr, handles); err != nil {
		f.log.Info("release of results failed", "addr", addr, "results", len(handles), "err", err)
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	spec := f.spec(service)
	for _, p := range f.poolsOf(service) {
		for _, m := range p.states {
			for _, h := range handles {
				delete(m.results, h)
			}
		}
		if spec != nil {
			f.pump(p, spec)
		}
	}
}
