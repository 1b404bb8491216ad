// Package blackboard holds the only state that the controllers of one node
// share: typed, versioned snapshots. A controller reads the cells it depends
// on, decides, and replaces the cells it owns. Snapshots are never changed
// after they were stored, so readers need no lock.
package blackboard

import (
	"sync"
	"sync/atomic"
)

// Cell holds one snapshot of type T and its version. The zero Cell holds the
// zero T at version 0. All methods may be called concurrently.
type Cell[T any] struct {
	cur atomic.Pointer[snapshot[T]]

	mu      sync.Mutex
	changed chan struct{}
}

type snapshot[T any] struct {
	value   T
	version uint64
}

// Load returns the current snapshot and its version.
func (c *Cell[T]) Load() (T, uint64) {
	s := c.cur.Load()
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

// Store replaces the snapshot and wakes all who wait on Changed.
func (c *Cell[T]) Store(v T) {
	c.Update(func(T) T { return v })
}

// Update replaces the snapshot by f of the current one. Updates of one cell
// run one after another, so none is lost. f must not change its argument.
func (c *Cell[T]) Update(f func(T) T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, version := c.Load()
	c.cur.Store(&snapshot[T]{value: f(old), version: version + 1})
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
