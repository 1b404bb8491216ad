package targetlink

import (
	"maps"
	"sync"
	"time"
)

// indirectFor is how long a target that was reached through another node is called through other nodes
// first. The own path to it is tried again afterwards.
const indirectFor = 3 * time.Second

// indirectTargets are the targets that were recently reached through other nodes only. The zero value is empty.
type indirectTargets struct {
	mu sync.Mutex
	// until is by the address of the target.
	until map[string]time.Time
}

// opened records that a target was reached through another node.
func (t *indirectTargets) opened(addr string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until, known := t.until[addr]; known && now.Before(until) {
		return
	}
	if t.until == nil {
		t.until = make(map[string]time.Time)
	}
	maps.DeleteFunc(t.until, func(_ string, until time.Time) bool { return now.After(until) })
	t.until[addr] = now.Add(indirectFor)
}

// active reports whether a target is called through other nodes first.
func (t *indirectTargets) active(addr string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now.Before(t.until[addr])
}

// clear forgets all targets.
func (t *indirectTargets) clear() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.until)
}
