package config

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/blackboard"
	"topazmoor/internal/catalog"
	_ "topazmoor/internal/standin/fixedseed"
	"topazmoor/internal/store"
)

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

func drainItem(host string) []catalog.Item {
	return []catalog.Item{{Kind: catalog.DrainItem, Name: host, Value: []byte(`{"host":"` + host + `"}`)}}
}

// submission is the input of one Submit for the linearizability checker.
type submission struct{ base int64 }

// submitResult is the output of one Submit; head is the accepted revision, or the head revision that
// it conflicted with.
type submitResult struct {
	unknown, accepted bool
	head              int64
}

// headModel is a compare-and-set register whose value rises by one. A submission
// whose outcome is unknown may or may not have been accepted.
var headModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{int64(0)} },
	Step: func(state, input, output any) []any {
		head, in, out := state.(int64), input.(submission), output.(submitResult)
		switch {
		case out.unknown && head == in.base:
			return []any{head, head + 1}
		case out.unknown:
			return []any{head}
		case out.accepted && head == in.base && out.head == head+1:
			return []any{head + 1}
		case !out.accepted && head == out.head && head != in.base:
			return []any{head}
		}
		return nil
	},
}

// TestOracleConfigHeadIsLinearizable runs concurrent submissions of several operators against a
// store that loses replies, drops commits and applies some late. The history must be linearizable,
// and the number of audit records must equal the head revision.
func TestOracleConfigHeadIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(rt, "operators")
		bases := make([]int64, n)
		delays := make([]time.Duration, n)
		for i := range bases {
			bases[i] = rapid.Int64Range(0, 2).Draw(rt, "base")
			delays[i] = time.Duration(rapid.IntRange(0, 300).Draw(rt, "delay")) * time.Millisecond
		}
		faults := store.Faults{
			LoseReplies: rapid.IntRange(0, 3).Draw(rt, "lose"), DropCommits: rapid.IntRange(0, 2).Draw(rt, "drop"),
			LateCommits: rapid.IntRange(0, 2).Draw(rt, "late"), LateBy: 250 * time.Millisecond,
			Delay: time.Duration(rapid.IntRange(0, 50).Draw(rt, "slow")) * time.Millisecond,
		}
		var history []porcupine.Operation
		var stored int
		var head int64
		synctest.Test(t, func(*testing.T) { history, stored, head = race(bases, delays, faults) })
		if !porcupine.CheckOperations(headModel.ToModel(), history) {
			rt.Fatalf("not linearizable: %+v", history)
		}
		if int64(stored) != head {
			rt.Fatalf("%d audit records for head %d", stored, head)
		}
	})
}

// race runs one submission per base after its delay, and returns the operations, the number of stored
// changes and the head revision.
func race(bases []int64, delays []time.Duration, faults store.Faults) (ops []porcupine.Operation, stored int, head int64) {
	tables := store.NewMemory()
	tables.SetFaults(faults)
	s := NewStore(tables)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, base := range bases {
		wg.Go(func() {
			time.Sleep(delays[i])
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			start := time.Now().UnixNano()
			c, err := s.Submit(ctx, base, catalog.Change{ID: fmt.Sprint(i), Items: drainItem(fmt.Sprint(i))})
			out := submitResult{accepted: err == nil, head: c.Revision}
			end := time.Now().UnixNano()
			var conflict *ConflictError
			switch {
			case errors.As(err, &conflict):
				out.head = conflict.Head
			case err != nil:
				out.unknown = true
				end += int64(time.Hour)
			}
			mu.Lock()
			defer mu.Unlock()
			ops = append(ops, porcupine.Operation{ClientId: i, Input: submission{base}, Output: out, Call: start, Return: end})
		})
	}
	wg.Wait()
	time.Sleep(time.Minute)
	tables.SetFaults(store.Faults{})
	changes, err := s.Changes(context.Background(), 0, 100)
	if err != nil {
		panic(err)
	}
	head, err = s.Head(context.Background())
	if err != nil {
		panic(err)
	}
	return ops, len(changes), head
}

func newFollower(s *Store) (*Follower, *blackboard.Cell[*catalog.Compiled]) {
	cell := &blackboard.Cell[*catalog.Compiled]{}
	return NewFollower(s, cell, nil, NoPeers{}, time.Second, quiet), cell
}

func TestConfigNeverReverts(t *testing.T) {
	c := qt.New(t)
	f, cell := newFollower(NewStore(store.NewMemory()))
	c.Assert(f.ApplySnapshot(5, drainItem("a")), qt.IsTrue)
	c.Assert(f.ApplySnapshot(4, drainItem("b")), qt.IsFalse)
	c.Assert(f.Offer(catalog.Change{Revision: 5, Items: drainItem("b")}), qt.IsFalse)
	c.Assert(cell.Get().Drained("a"), qt.IsTrue)
	c.Assert(cell.Get().Drained("b"), qt.IsFalse)
	c.Assert(f.Offer(catalog.Change{Revision: 6, Items: drainItem("b")}), qt.IsTrue)
	c.Assert(cell.Get().Drained("b"), qt.IsTrue)
}

// TestConfigChangeAheadIsFetched offers a change that leaves a gap of revisions: it must not be
// applied before the missing change is fetched.
func TestConfigChangeAheadIsFetched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := NewStore(store.NewMemory())
		f, cell := newFollower(s)
		for i := range int64(3) {
			_, err := s.Submit(t.Context(), i, catalog.Change{ID: fmt.Sprint(i), Items: drainItem(fmt.Sprint(i))})
			c.Assert(err, qt.IsNil)
		}
		f.ApplySnapshot(1, drainItem("0"))
		f.Offer(catalog.Change{Revision: 3, Items: drainItem("2")})
		c.Assert(cell.Get().Revision, qt.Equals, int64(1))
		f.poll(t.Context())
		c.Assert(cell.Get().Revision, qt.Equals, int64(3))
		c.Assert(cell.Get().Drained("1"), qt.IsTrue)
		c.Assert(f.Since(1), qt.HasLen, 2)
		c.Assert(f.Since(0), qt.IsNil)
	})
}
