package watch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "topazmoor/internal/standin/fixedseed"
	"topazmoor/internal/store"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// follow starts a Table that follows a store, and returns a function for its last view.
func follow(ctx context.Context, from store.Watchable) (last func() View, table *Table) {
	var mu sync.Mutex
	var view View
	table = &Table{Name: "t", From: from, Wait: ShortWait, Log: quiet, Apply: func(v View) {
		mu.Lock()
		defer mu.Unlock()
		if v.Version.Before(view.Version) {
			panic(fmt.Sprintf("version fell from %s to %s", view.Version, v.Version))
		}
		view = v
	}}
	go func() { _ = table.Serve(ctx) }()
	return func() View {
		mu.Lock()
		defer mu.Unlock()
		return view
	}, table
}

func put(t testing.TB, m *store.Memory, key, value string) {
	t.Helper()
	_, err := m.Commit(context.Background(), store.Tx{Writes: []store.Write{{Table: "t", Key: key, Value: []byte(value), Delete: value == ""}}})
	qt.Assert(t, err, qt.IsNil)
}

func TestChangesArriveAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		put(t, m, "a", "1")
		last, _ := follow(t.Context(), m)
		synctest.Wait()
		c.Assert(string(last().Rows["a"].Value), qt.Equals, "1")
		put(t, m, "a", "2")
		put(t, m, "b", "1")
		synctest.Wait()
		c.Assert(string(last().Rows["a"].Value), qt.Equals, "2")
		put(t, m, "a", "")
		synctest.Wait()
		_, there := last().Rows["a"]
		c.Assert(there, qt.IsFalse)
	})
}

// staleReads is a store whose reads of the whole table return an old snapshot for a while.
type staleReads struct {
	store.Watchable
	old   store.Snapshot
	until time.Time
}

func (s *staleReads) Snapshot(ctx context.Context, table string, minVersion store.Version) (store.Snapshot, error) {
	if time.Now().Before(s.until) {
		return s.old, nil
	}
	return s.Watchable.Snapshot(ctx, table, minVersion)
}

func TestOldReadNeitherRevertsNorHidesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		put(t, m, "a", "1")
		old, err := m.Snapshot(t.Context(), "t", store.Version{})
		c.Assert(err, qt.IsNil)
		s := &staleReads{Watchable: m}
		last, _ := follow(t.Context(), s)
		synctest.Wait()
		put(t, m, "a", "2")
		synctest.Wait()
		s.old, s.until = old, time.Now().Add(40*time.Second)
		// This spans several reads of the whole table.
		for i := range 30 {
			time.Sleep(time.Second)
			put(t, m, "b", fmt.Sprint(i))
			synctest.Wait()
			c.Assert(string(last().Rows["a"].Value), qt.Equals, "2")
			c.Assert(string(last().Rows["b"].Value), qt.Equals, fmt.Sprint(i))
		}
	})
}

func TestOutageIsNoticedAndEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		put(t, m, "a", "1")
		last, table := follow(t.Context(), m)
		synctest.Wait()
		c.Assert(table.Connected(), qt.IsTrue)
		m.SetFaults(store.Faults{Down: true})
		time.Sleep(3 * ShortWait)
		c.Assert(table.Connected(), qt.IsFalse)
		m.SetFaults(store.Faults{})
		back := time.Now()
		time.Sleep(2 * maxRetry)
		c.Assert(table.Connected(), qt.IsTrue)
		put(t, m, "a", "2")
		synctest.Wait()
		c.Assert(string(last().Rows["a"].Value), qt.Equals, "2")
		c.Assert(last().RestoredAt.Before(back), qt.IsFalse)
	})
}

// TestOracleViewFollowsTheTable changes a table at random while the store goes
// down and drops its history; once the store is healthy the view must equal the table.
//
// It fails within its 100 scripts without the read of the whole table after
// dropped history (gap), or if merge ignores deletions.
func TestOracleViewFollowsTheTable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ what, key string }
		var steps []step
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			steps = append(steps, step{
				what: rapid.SampledFrom([]string{"put", "put", "put", "delete", "compact", "down", "up", "wait"}).Draw(rt, "what"),
				key:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
			})
		}
		synctest.Test(t, func(t *testing.T) {
			m := store.NewMemory()
			last, _ := follow(t.Context(), m)
			for i, s := range steps {
				switch s.what {
				case "put":
					m.SetFaults(store.Faults{})
					put(t, m, s.key, fmt.Sprint(i))
				case "delete":
					m.SetFaults(store.Faults{})
					put(t, m, s.key, "")
				case "compact":
					m.Compact()
				case "down":
					m.SetFaults(store.Faults{Down: true})
				case "up":
					m.SetFaults(store.Faults{})
				case "wait":
					time.Sleep(500 * time.Millisecond)
				}
			}
			m.SetFaults(store.Faults{})
			// The time of a call that waits for changes, a retry and a read.
			time.Sleep(ShortWait + 2*maxRetry)
			want, err := m.Snapshot(t.Context(), "t", store.Version{})
			if err != nil {
				t.Fatal(err)
			}
			got := last().Rows
			if len(got) != len(want.Rows) {
				t.Fatalf("%d rows, want %d", len(got), len(want.Rows))
			}
			for _, r := range want.Rows {
				if string(got[r.Key].Value) != string(r.Value) {
					t.Fatalf("row %s is %q, want %q", r.Key, got[r.Key].Value, r.Value)
				}
			}
		})
	})
}

// hangingStore is a store whose calls for changes hang until a given time.
type hangingStore struct {
	store.Watchable
	until time.Time
}

func (s *hangingStore) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if time.Now().Before(s.until) {
		<-ctx.Done()
		return store.Changes{}, store.ErrUnavailable
	}
	return s.Watchable.Changes(ctx, table, after, wait)
}

func TestWakeUpEndsACallThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		s := &hangingStore{Watchable: m, until: time.Now().Add(10 * time.Second)}
		last, table := follow(t.Context(), s)
		time.Sleep(11 * time.Second)
		put(t, m, "a", "1")
		synctest.Wait()
		c.Assert(last().Rows, qt.HasLen, 0)
		table.PollNow()
		synctest.Wait()
		c.Assert(last().Rows, qt.HasLen, 1)
		c.Assert(last().RestoredAt.IsZero(), qt.IsTrue)
	})
}

func TestOldReadIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		old, err := m.Snapshot(t.Context(), "t", store.Version{})
		c.Assert(err, qt.IsNil)
		put(t, m, "a", "1")
		s := &staleReads{Watchable: m}
		last, _ := follow(t.Context(), s)
		synctest.Wait()
		s.old, s.until = old, time.Now().Add(5*time.Second)
		put(t, m, "b", "1")
		m.Compact()
		time.Sleep(8 * time.Second)
		c.Assert(last().Rows, qt.HasLen, 2)
		c.Assert(last().RestoredAt.IsZero(), qt.IsTrue)
	})
}

// failingStore is a store that fails each call after a round trip while away is set.
type failingStore struct {
	store.Watchable
	away  atomic.Bool
	calls atomic.Int64
}

var errAway = errors.New("the store is away")

// roundTrip waits for the duration of a failed call. It ends with its context, as the store client's
// calls do: the clock of a synctest bubble stops once its test has returned.
func roundTrip(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(time.Millisecond):
	}
}

func (r *failingStore) Snapshot(ctx context.Context, table string, minVersion store.Version) (store.Snapshot, error) {
	if r.calls.Add(1); r.away.Load() {
		roundTrip(ctx)
		return store.Snapshot{}, errAway
	}
	return r.Watchable.Snapshot(ctx, table, minVersion)
}

func (r *failingStore) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if r.calls.Add(1); r.away.Load() {
		roundTrip(ctx)
		return store.Changes{}, errAway
	}
	return r.Watchable.Changes(ctx, table, after, wait)
}

// A wake-up that is not reset while a read of the whole table is due makes the table call the store
// without a pause, 200 times a second, as long as the store is unavailable.
func TestWakeUpsDoNotKeepATableFromPausing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		put(t, m, "a", "1")
		s := &failingStore{Watchable: m}
		_, table := follow(t.Context(), s)
		// A whole read is due at the next step.
		time.Sleep(rereadEvery + time.Second)
		synctest.Wait()
		s.calls.Store(0)
		s.away.Store(true)
		table.PollNow()
		time.Sleep(8 * time.Second)
		c.Assert(s.calls.Load() < 30, qt.IsTrue, qt.Commentf("%d calls in 8 s", s.calls.Load()))
	})
}

// Each wake-up causes at most one call.
func TestWakeUpEndsAPauseOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &failingStore{Watchable: store.NewMemory()}
		s.away.Store(true)
		_, table := follow(t.Context(), s)
		time.Sleep(5 * time.Second)
		for range 5 {
			synctest.Wait()
			before := s.calls.Load()
			table.PollNow()
			table.PollNow()
			time.Sleep(5 * time.Millisecond)
			c.Assert(s.calls.Load()-before <= 2, qt.IsTrue, qt.Commentf("%d calls", s.calls.Load()-before))
		}
	})
}

// Another node supplies a table's updates, a wake-up starts a call to the store, and Renew comes while the
// answer is under way: the answer must be applied, as no other call would follow.
func TestRenewalDoesNotLoseAWakeUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		put(t, m, "a", "1")
		m.SetFaults(store.Faults{Delay: 5 * time.Millisecond})
		last, table := follow(t.Context(), m)
		table.StopPolling()
		time.Sleep(time.Second)
		put(t, m, "a", "2")
		table.PollNow()
		time.Sleep(2 * time.Millisecond)
		table.Renew()
		time.Sleep(50 * time.Millisecond)
		c.Assert(string(last().Rows["a"].Value), qt.Equals, "2")
	})
}

// A call ended by Renew does not count as an outage, and the next call follows without a pause.
func TestRenewalIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		m := store.NewMemory()
		put(t, m, "a", "1")
		last, table := follow(t.Context(), m)
		synctest.Wait()
		before := m.Counts().Reads
		table.Renew()
		synctest.Wait()
		c.Assert(m.Counts().Reads, qt.Equals, before+1)
		c.Assert(table.Lost(), qt.IsFalse)
		put(t, m, "a", "2")
		synctest.Wait()
		c.Assert(string(last().Rows["a"].Value), qt.Equals, "2")
	})
}
