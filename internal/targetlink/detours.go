package targetlink

import (
	"maps"
	"sync"
	"time"
)

// detourFor is how long a target that was reached through another node is called through other nodes
// first. The own path to it is tried again afterwards.
const detourFor = 3 * time.Second

// detours has the targets that were recently reached through other nodes only. The zero detours is empty.
type detours struct {
	mu sync.Mutex
	// until is by the address of the target.
	until map[string]time.Time
}

// opened records that a target was reached through another node.
func (d *detours) opened(addr string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until, known := d.until[addr]; known && now.Before(until) {
		return
	}
	if d.until == nil {
		d.until = make(map[string]time.Time)
	}
	maps.DeleteFunc(d.until, func(_ string, until time.Time) bool { return now.After(until) })
	d.until[addr] = now.Add(detourFor)
}

// active reports whether a target is called through other nodes first.
func (d *detours) active(addr string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.until[addr])
}
