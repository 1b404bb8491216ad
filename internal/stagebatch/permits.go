package stagebatch

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/routes"
	"topazmoor/internal/sharedrate"
)

// permits is the state of a former's permits for a rate-limited target. Each call needs a permit
// that all nodes account for, as other formers and other calls may use the target too.
type permits struct {
	// bounded means that the target accepts only perSecond calls a second.
	bounded   bool
	perSecond float64
	// permit is the permit for the next call to the target. requestingPermit means that the former
	// is requesting one. permitOpensAt is the time before which no permit is available.
	permit           sharedrate.Permit
	requestingPermit bool
	permitOpensAt    time.Time
}

// permitted reports whether the target's rate limit allows a call.
func (p *permits) permitted(now time.Time) bool { return !p.bounded || p.permit.Valid(now) }

// takePermit returns the permit for the next call, and removes it from p so that it is used once.
func (p *permits) takePermit() sharedrate.Permit {
	permit := p.permit
	p.permit = sharedrate.Permit{}
	return permit
}

// activeShare returns the fraction of time for which the target can work under its rate limit if each
// call has the full number of pieces.
func (m *targetState) activeShare(spec *routes.Batch) float64 {
	if !m.bounded {
		return 1
	}
	return min(m.perSecond*expected(spec, spec.Items).Seconds(), 1)
}

// permitAhead is the longest wait for a permit, as permits are granted at most that long before they
// can be used.
const permitAhead = time.Second

// requestPermits requests a permit for each idle rate-limited target that has none. The lock is
// held.
func (f *Former) requestPermits(p *pool, spec *routes.Batch, now time.Time) {
	for _, m := range p.states {
		if !m.bounded || m.requestingPermit || now.Before(m.permit.Until) || now.Before(m.permitOpensAt) || !m.idle(spec, now) {
			continue
		}
		m.requestingPermit = true
		go f.requestPermit(p, m, spec)
	}
}

// requestPermit waits for a permit for the next call of a target.
func (f *Former) requestPermit(p *pool, m *targetState, spec *routes.Batch) {
	f.mu.Lock()
	process := m.Process()
	f.mu.Unlock()
	now := time.Now()
	permit, err := f.list.Permit(context.Background(), process, now, now.Add(permitAhead))
	f.mu.Lock()
	defer f.mu.Unlock()
	m.requestingPermit, m.permit = false, permit
	var denied *sharedrate.Denied
	if errors.As(err, &denied) {
		m.permitOpensAt = denied.RetryAt
		f.log.Info("no permit for a stage call", "service", p.service, "target", m.ID, "limit", m.perSecond, "err", err)
		return
	}
	f.pump(p, spec)
}

// mayRelease reports whether the former may now tell the target at addr to free the results that are
// collected for release. At a rate-limited target such a request counts against the same limit as
// calls, so it is sent only if the target is nearly full; otherwise the results expire there.
func (f *Former) mayRelease(service, addr string) bool {
	process, bounded := f.list.RateBoundedAt(addr)
	if !bounded {
		return true
	}
	spec := f.spec(service)
	if spec == nil || !f.processNearlyFull(service, process, spec) {
		f.mu.Lock()
		delete(f.releasing, addr)
		f.mu.Unlock()
		return false
	}
	now := time.Now()
	_, err := f.list.Permit(context.Background(), process, now, now.Add(permitAhead))
	if err != nil {
		time.AfterFunc(permitAhead, func() { f.sendRelease(service, addr) })
	}
	return err == nil
}

// processNearlyFull reports whether the target with the given process may lack space for the results
// of its next call, in one of the pools that contain it.
func (f *Former) processNearlyFull(service, process string, spec *routes.Batch) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.poolsOf(service) {
		for _, m := range p.states {
			if m.Process() == process && m.nearlyFull(spec, time.Now()) {
				return true
			}
		}
	}
	return false
}
