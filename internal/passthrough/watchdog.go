package passthrough

import (
	"sync"
	"time"
)

// watchdog detects an engine that sends nothing for too long. It abandons the engine only if
// that is allowed at that moment; otherwise it keeps watching, because silence alone is no
// reason to end a response.
type watchdog struct {
	giveUp func() bool

	mu      sync.Mutex
	timer   *time.Timer
	timeout time.Duration
	stopped bool
	gaveUp  bool
}

// newWatchdog returns a watchdog whose timer is not started. giveUp reports whether it
// abandoned the engine.
func newWatchdog(giveUp func() bool) *watchdog { return &watchdog{giveUp: giveUp} }

// watch starts or restarts the timer.
func (w *watchdog) watch(silence time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.timeout = silence
	if w.timer == nil {
		w.timer = time.AfterFunc(silence, w.expire)
		return
	}
	w.timer.Reset(silence)
}

func (w *watchdog) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	if w.giveUp() {
		w.stopped, w.gaveUp = true, true
		return
	}
	w.timer.Reset(w.timeout)
}

// stop stops the timer.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// fired reports whether the engine was abandoned.
func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gaveUp
}
