// Package blackboard provides the only state that the controllers of one node
// share: cells with typed, versioned snapshots. A controller reads the cells that
// it depends on and replaces the snapshots of the cells that it owns. A stored
// snapshot is never modified, so readers need no lock.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Cell holds one snapshot of type T and its version. The zero Cell holds the
// zero T at version 0. All methods may be called concurrently.
type Cell[T any] struct {
	current atomic.Pointer[snapshot[T]]

	mu      sync.Mutex
	changed chan struct{}
}

type snapshot[T any] struct {
	value   T
	version uint64
}

// Load returns the current snapshot and its version.
func (c *Cell[T]) Load() (T, uint64) {
	s := c.current.Load()
	if s == nil {
		var zero T
		return zero, 0
	}
	return s.value, s.version
}

// Get returns the current snapshot.
func (c *Cell[T]) Get() T {
	v, _ := c.Load()
	return v
}

// Store replaces the snapshot and closes the channel that Changed returned.
func (c *Cell[T]) Store(v T) {
	c.Update(func(T) T { return v })
}

// Update replaces the snapshot with the result of f, called with the current
// snapshot. Updates of one cell are serialised, so none is lost. f must not modify
// its argument.
func (c *Cell[T]) Update(f func(T) T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, version := c.Load()
	c.current.Store(&snapshot[T]{value: f(old), version: version + 1})
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Changed returns a channel that is closed at the next Store or Update. Call
// it before Load, so that no change is missed in between.
func (c *Cell[T]) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}
