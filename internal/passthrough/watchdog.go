package passthrough

import (
	"sync"
	"time"
)

// watchdog notices an engine that is silent for too long. It gives the engine up
// only if that is allowed at that moment; otherwise it goes on watching, because
// silence alone is no reason to end an answer.
type watchdog struct {
	giveUp func() bool

	mu    sync.Mutex
	timer *time.Timer
	every time.Duration
	done  bool
	gave  bool
}

// newWatchdog returns a watchdog that does not watch yet. giveUp reports whether
// it gave the engine up.
func newWatchdog(giveUp func() bool) *watchdog { return &watchdog{giveUp: giveUp} }

// watch starts, or starts again, the time of silence.
func (w *watchdog) watch(silence time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	w.every = silence
	if w.timer == nil {
		w.timer = time.AfterFunc(silence, w.bark)
		return
	}
	w.timer.Reset(silence)
}

func (w *watchdog) bark() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if w.giveUp() {
		w.done, w.gave = true, true
		return
	}
	w.timer.Reset(w.every)
}

// stop ends the watch.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
}

// fired reports whether the engine was given up.
func (w *watchdog) fired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.gave
}
