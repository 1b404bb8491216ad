package scheduler

import "time"

// meterWindow is the time over which a meter counts.
const meterWindow = 10 * time.Second

// meter measures the rate of events by counting them in windows of meterWindow. The zero meter has seen
// none.
type meter struct {
	// began is when the present window began. count is the number of events in it, last that in the
	// window before.
	began       time.Time
	count, last int
}

// add counts an event.
func (m *meter) add(now time.Time) {
	m.advance(now)
	m.count++
}

// perSecond returns the rate of the last full window, in events a second.
func (m *meter) perSecond(now time.Time) float64 {
	m.advance(now)
	return float64(m.last) / meterWindow.Seconds()
}

// advance begins a new window if the present one is over at now.
func (m *meter) advance(now time.Time) {
	passed := now.Sub(m.began)
	switch {
	case passed < meterWindow:
		return
	case passed < 2*meterWindow:
		m.began, m.last = m.began.Add(meterWindow), m.count
	default:
		m.began, m.last = now, 0
	}
	m.count = 0
}

// CallRate returns the calls a second that this node sent to a pool in the last 10 to 20 seconds.
func (s *Scheduler) CallRate(pool string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pool(pool).grants.perSecond(time.Now())
}
