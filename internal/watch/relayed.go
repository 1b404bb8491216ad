package watch

import (
	"context"
	"errors"
	"time"
)

// ErrGap: an update begins after the version of the copy.
var ErrGap = errors.New("watch: changes are missing between the copy and the news")

// ErrCopiesDiffer: the other copy has other rows, or is of another era.
var ErrCopiesDiffer = errors.New("watch: the copies differ")

// StopPolling stops the table's calls to the store; another node supplies the updates (ApplyUpdate,
// Confirm). Only a PollNow still makes one call to the store.
func (t *Table) StopPolling() { t.setRelayed(true) }

// ResumePolling makes the table call the store again, beginning at once.
func (t *Table) ResumePolling() {
	if t.setRelayed(false) {
		t.PollNow()
	}
}

// setRelayed sets whether another node supplies the updates, and reports whether that changed.
func (t *Table) setRelayed(relayed bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.relayed == relayed {
		return false
	}
	t.relayed = relayed
	if t.sourceChanged != nil {
		close(t.sourceChanged)
		t.sourceChanged = nil
	}
	return true
}

func (t *Table) isRelayed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.relayed
}

// awaitDirect waits until the table may call the store. It reports false if ctx has ended.
func (t *Table) awaitDirect(ctx context.Context) bool {
	for ctx.Err() == nil {
		t.mu.Lock()
		if !t.relayed {
			t.mu.Unlock()
			return true
		}
		if t.sourceChanged == nil {
			t.sourceChanged = make(chan struct{})
		}
		sourceChanged := t.sourceChanged
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-sourceChanged:
		case <-t.woken():
			return true
		}
	}
	return false
}

// ApplyUpdate applies an update from the copy of another node, and drops one older than the copy. It fails
// with ErrGap.
func (t *Table) ApplyUpdate(n News) error {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	version := t.copy.Position().Version
	var changed []string
	switch {
	case n.Version.Before(version):
		return nil
	case n.Whole:
		t.recordEra(n.Version)
		changed = t.copy.replace(n.Rows, n.Version)
	case version.Before(n.Since) || t.copy.Rows() == nil:
		return ErrGap
	default:
		changed = t.copy.merge(n.Rows, n.Deleted, n.Version)
	}
	t.gap = false
	t.lastRead = time.Now()
	t.apply(changed)
	return nil
}

// RecordAnswer records that the store answered another node at the given time.
func (t *Table) RecordAnswer(at time.Time) { t.recordAnswer(at) }

// Compare compares the copy with the position of another node's copy, after all its updates were
// applied, and advances the copy's version to it. It fails with ErrCopiesDiffer if that copy has other
// rows or is of another era.
func (t *Table) Compare(theirs Position) error {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	mine := t.copy.Position()
	if theirs.Version.Before(mine.Version) {
		return nil
	}
	if theirs.Sum != mine.Sum || !theirs.Version.SameEra(mine.Version) {
		return ErrCopiesDiffer
	}
	t.copy.advance(theirs.Version)
	t.lastRead = time.Now()
	return nil
}
