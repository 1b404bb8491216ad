package watch

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

const (
	// pollTime is how long a call for changes takes, readTime how long a read of the whole table takes.
	pollTime = 1200 * time.Millisecond
	readTime = 1800 * time.Millisecond
)

// compactedStore is a store that has dropped its history of changes, and whose whole table takes
// readTime to read.
type compactedStore struct {
	reads int
	// stale is how many reads after the first fail with ErrStale.
	stale int
}

func (f *compactedStore) Snapshot(_ context.Context, _ string, minVersion store.Version) (store.Snapshot, error) {
	f.reads++
	if f.reads == 1 {
		return store.Snapshot{Version: store.Version{Number: 5}}, nil
	}
	if f.reads <= f.stale+1 {
		return store.Snapshot{}, store.ErrStale
	}
	time.Sleep(readTime)
	return store.Snapshot{Version: store.Version{Number: 9}}, nil
}

func (f *compactedStore) Changes(ctx context.Context, _ string, after store.Version, _ time.Duration) (store.Changes, error) {
	select {
	case <-time.After(pollTime):
	case <-ctx.Done():
		return store.Changes{}, ctx.Err()
	}
	if f.reads == 1 {
		return store.Changes{}, store.ErrCompacted
	}
	return store.Changes{Version: after}, nil
}

// Followers leave a copy by the age of the store's last answer. That age must stay small while a long
// table is read again because the store dropped its history, as the store answers all the time.
func TestStoreWithoutHistoryCountsAsHeard(t *testing.T) {
	for _, stale := range []int{0, 8} {
		synctest.Test(t, func(t *testing.T) {
			table := &Table{
				Name: "t", From: &compactedStore{stale: stale}, Wait: pollTime, Apply: func(View) {},
				Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
			}
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error, 1)
			go func() { done <- table.Serve(ctx) }()
			oldest := time.Duration(0)
			for range 800 {
				time.Sleep(10 * time.Millisecond)
				oldest = max(oldest, time.Since(table.LastAnswer()))
			}
			qt.Check(t, oldest < readTime+maxRetry+100*time.Millisecond, qt.IsTrue, qt.Commentf("last answer %v ago, %d stale reads", oldest, stale))
			qt.Check(t, table.Lost(), qt.IsFalse)
			cancel()
			<-done
		})
	}
}

// While many nodes start, all get the same cached whole table first, and the changes since then next.
func TestWholeTableIsToldAsItWasAMomentAgo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		at := func(n int64) store.Version { return store.Version{Number: n} }
		row := func(key string, n int64) store.Row { return store.Row{Key: key, Version: at(n)} }
		var have Copy
		have.replace([]store.Row{row("a", 1), row("b", 2)}, at(2))
		first, position := have.CachedSince(at(-1))
		c.Assert(position, qt.Equals, have.Position())
		have.merge([]store.Row{row("a", 3)}, nil, at(3))
		again, position := have.CachedSince(at(-1))
		c.Assert(again, qt.Equals, first)
		c.Assert(position.Version, qt.Equals, at(2))
		rest, position := have.CachedSince(position.Version)
		c.Assert(rest.Rows, qt.DeepEquals, []store.Row{row("a", 3)})
		c.Assert(position, qt.Equals, have.Position())
		// A copy that differs needs the current table.
		_, position = have.CachedSince(ResetVersion)
		c.Assert(position, qt.Equals, have.Position())
		have.merge([]store.Row{row("a", 4)}, nil, at(4))
		time.Sleep(wholeMaxAge)
		_, position = have.CachedSince(at(-1))
		c.Assert(position, qt.Equals, have.Position())
	})
}
