package control_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/control"
	"topazmoor/internal/standin"
	_ "topazmoor/internal/standin/fixedseed"
	"topazmoor/internal/store"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// counter is a task whose every step adds one row under the next unused number:
// it reads the rows and writes the next, without a condition of its own, so that
// only the shard's fencing prevents two owners from writing the same number.
type counter struct {
	tables store.Tables
	node   string
}

func (c *counter) Step(ctx context.Context) ([]store.Condition, []store.Write, error) {
	rows, err := c.tables.Scan(ctx, "count", "", "", 10_000)
	if err != nil {
		return nil, nil, err
	}
	// TestOracleShardFence may freeze the owner between this read and the commit.
	w := store.Write{Table: "count", Key: fmt.Sprintf("%06d", len(rows)), Value: []byte(c.node)}
	return nil, []store.Write{w}, nil
}

// countingTables counts the writes of each counter row, to detect rows written twice.
type countingTables struct {
	*standin.StoreProxy
	mu     *sync.Mutex
	writes map[string]int
}

func (t countingTables) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	v, err := t.StoreProxy.Commit(ctx, tx)
	if err == nil {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, w := range tx.Writes {
			if w.Table == "count" {
				t.writes[w.Key]++
			}
		}
	}
	return v, err
}

// TestOracleShardFence freezes and disconnects nodes at random; no effect of a
// replaced owner may be committed.
func TestOracleShardFence(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(0, 6).Draw(rt, "faults")
		type fault struct {
			at, span time.Duration
			node     int
			freeze   bool
		}
		faults := make([]fault, n)
		for i := range faults {
			faults[i] = fault{
				at:   time.Duration(rapid.IntRange(0, 120).Draw(rt, "at")) * time.Second,
				span: time.Duration(rapid.IntRange(1, 90).Draw(rt, "span")) * time.Second,
				node: rapid.IntRange(0, 2).Draw(rt, "node"), freeze: rapid.Bool().Draw(rt, "freeze"),
			}
		}
		var twice, steps int
		synctest.Test(t, func(*testing.T) {
			memory := store.NewMemory()
			writes := make(map[string]int)
			var mu sync.Mutex
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			var gates []*standin.StoreProxy
			for i := range 3 {
				g := standin.NewStoreProxy(memory)
				gates = append(gates, g)
				tables := countingTables{StoreProxy: g, mu: &mu, writes: writes}
				name := fmt.Sprint("n", i)
				id := 0
				s := &control.Shard{
					Name: "s", Node: name, Task: &counter{tables: tables, node: name}, Tables: tables, Log: discardLog,
					Preferred: func(string) bool { return true }, NewID: func() string { id++; return fmt.Sprint(name, "-", id) },
				}
				wg.Go(func() { _ = s.Serve(ctx) })
			}
			for _, f := range faults {
				time.AfterFunc(f.at, func() {
					if f.freeze {
						gates[f.node].Freeze()
						time.AfterFunc(f.span, gates[f.node].Unfreeze)
						return
					}
					gates[f.node].SetDisconnected(true)
					time.AfterFunc(f.span, func() { gates[f.node].SetDisconnected(false) })
				})
			}
			time.Sleep(5 * time.Minute)
			cancel()
			wg.Wait()
			for _, n := range writes {
				steps++
				if n > 1 {
					twice++
				}
			}
		})
		if twice > 0 {
			rt.Fatalf("%d numbers were written by two owners", twice)
		}
		if steps < 10 {
			rt.Fatalf("only %d steps in five minutes: nobody owns the shard", steps)
		}
	})
}

func TestSweepDeletesOnlyOldRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := store.NewMemory()
		for i := range 600 {
			age := "new"
			if i%2 == 0 {
				age = "old"
			}
			_, err := memory.Commit(t.Context(), store.Tx{Writes: []store.Write{{Table: "t", Key: fmt.Sprintf("a%04d", i), Value: []byte(age)}}})
			c.Assert(err, qt.IsNil)
		}
		sweep := &control.Sweep{Tables: memory, Table: "t", Prefixes: []string{"a"}, Expired: func(r store.Row, _ time.Time) bool { return string(r.Value) == "old" }}
		id := 0
		s := &control.Shard{Name: "s", Node: "n", Task: sweep, Tables: memory, Log: discardLog, Preferred: func(string) bool { return true }, NewID: func() string { id++; return fmt.Sprint(id) }}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- s.Serve(ctx) }()
		time.Sleep(time.Minute)
		cancel()
		<-done
		rows, err := memory.Scan(t.Context(), "t", "", "", 1000)
		c.Assert(err, qt.IsNil)
		c.Assert(rows, qt.HasLen, 300)
		events, err := control.Events(t.Context(), memory, time.Time{}, 10)
		c.Assert(err, qt.IsNil)
		c.Assert(events, qt.HasLen, 1)
		c.Assert(events[0].Kind, qt.Equals, control.TakeOver)
	})
}
