package restore

import (
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/watch"
)

// rewriteSpread is the time over which the nodes distribute the rewriting of lost rows: 338 nodes
// make 225 writes per second, of the 400 that the store accepts.
const rewriteSpread = 1500 * time.Millisecond

// Table passes the rows in force of a followed table to Apply. It is safe for concurrent use.
type Table struct {
	Name string
	// Apply is called with each set of rows in force, one call at a time.
	Apply func(v watch.View, r Result)
	// RewriteLost, if set, is called to write lost and undone rows again: once after each restore of the
	// store, after a random delay below rewriteSpread, if there are such rows by then.
	RewriteLost func(r Result)
	Log         *slog.Logger

	mu         sync.Mutex
	reconciler Reconciler
	// view is the newest copy. recheckTimer evaluates it again when a hold ends.
	view         watch.View
	last         Result
	recheckTimer *time.Timer
}

// Update evaluates a new copy of the table; it is an Apply function of watch.Table.
func (t *Table) Update(v watch.View) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.view = v
	t.update()
}

// update evaluates the newest copy. The caller holds t.mu.
func (t *Table) update() {
	if t.recheckTimer != nil {
		t.recheckTimer.Stop()
	}
	t.last = t.reconciler.Update(t.view, time.Now())
	if t.last.Restored {
		t.Log.Warn("the store came back from a copy, lost rows stay in force", "table", t.Name, "row_version", t.view.Version,
			"lost", len(t.last.Lost), "undone", len(t.last.Reappeared), "until", t.last.RecheckAt)
		if t.RewriteLost != nil {
			time.AfterFunc(rand.N(rewriteSpread), t.rewrite)
		}
	}
	if !t.last.RecheckAt.IsZero() {
		t.recheckTimer = time.AfterFunc(time.Until(t.last.RecheckAt), t.recheck)
	}
	t.Apply(watch.View{Rows: t.last.Rows, Version: t.view.Version, RestoredAt: t.view.RestoredAt}, t.last)
}

// recheck evaluates the newest copy again after a hold has ended.
func (t *Table) recheck() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update()
}

// rewrite calls RewriteLost with the rows that are lost or undone now.
func (t *Table) rewrite() {
	t.mu.Lock()
	last := t.last
	t.mu.Unlock()
	if len(last.Lost)+len(last.Reappeared) > 0 {
		t.RewriteLost(last)
	}
}
