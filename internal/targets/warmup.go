package targets

import "time"

// warmup is until when a target is cold: it can serve only few calls a second, from all nodes
// together, and fails under more. The zero value is a warm target.
type warmup struct {
	// until is when the target is warm.
	until time.Time
}

// set sets how long the target stays cold from now on.
func (w *warmup) set(left time.Duration, now time.Time) {
	w.until = time.Time{}
	if left > 0 {
		w.until = now.Add(left)
	}
}

// cold reports whether the target is cold.
func (w *warmup) cold(now time.Time) bool { return now.Before(w.until) }

// left returns how long the target stays cold from now on.
func (w *warmup) left(now time.Time) time.Duration { return max(w.until.Sub(now), 0) }
