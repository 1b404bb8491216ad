package watch

import (
	"context"
	"errors"
	"time"
)

// ErrGap: news do not go on where the copy ends.
var ErrGap = errors.New("watch: changes are missing between the copy and the news")

// ErrDiffers: the other copy has other rows at the same version.
var ErrDiffers = errors.New("watch: the copies differ")

// Hold makes the table wait for what another node tells (Take, Confirm) instead of asking
// the store; only a Poke still asks the store, once.
func (t *Table) Hold() { t.setRelayed(true) }

// Release makes the table ask the store by itself again, at once.
func (t *Table) Release() {
	if t.setRelayed(false) {
		t.Poke()
	}
}

// setRelayed reports whether that is a change.
func (t *Table) setRelayed(relayed bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.relayed == relayed {
		return false
	}
	t.relayed = relayed
	if t.turn != nil {
		close(t.turn)
		t.turn = nil
	}
	return true
}

func (t *Table) isRelayed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.relayed
}

// awaitTurn waits until the table may ask the store, and reports whether ctx still lasts.
func (t *Table) awaitTurn(ctx context.Context) bool {
	for ctx.Err() == nil {
		t.mu.Lock()
		if !t.relayed {
			t.mu.Unlock()
			return true
		}
		if t.turn == nil {
			t.turn = make(chan struct{})
		}
		turn := t.turn
		t.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-turn:
		case <-t.pokes():
			return true
		}
	}
	return false
}

// Take takes in what another node tells of its copy. It fails with ErrGap.
func (t *Table) Take(n News) error {
	t.taking.Lock()
	defer t.taking.Unlock()
	version := t.copy.Position().Version
	var changed []string
	switch {
	case n.Version.Before(version):
		return nil
	case n.Whole:
		t.noteEra(n.Version)
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

// Heard takes in that the store answered another node at a moment.
func (t *Table) Heard(at time.Time) { t.answered(at) }

// Compare takes in where the copy of another node is, after all that it told. It fails with
// ErrDiffers when that copy has other rows.
func (t *Table) Compare(theirs Position) error {
	t.taking.Lock()
	defer t.taking.Unlock()
	mine := t.copy.Position()
	if theirs.Version.Before(mine.Version) {
		return nil
	}
	if theirs.Sum != mine.Sum || !theirs.Version.SameEra(mine.Version) {
		return ErrDiffers
	}
	t.copy.advance(theirs.Version)
	t.lastRead = time.Now()
	return nil
}
