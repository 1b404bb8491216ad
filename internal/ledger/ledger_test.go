package ledger

import (
	"context"
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

	_ "topazmoor/internal/standin/fixedseed"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// linOp is one call of a TableRegistry, as input of the linearizability checker.
type linOp struct {
	attempt string
	// finish is false for a Claim call; release is true for a Finish call with a
	// nil outcome.
	finish, release bool
}

// linResult is what a call returned; unknown means that the call returned an error, so that it is not
// known whether it took effect.
type linResult struct {
	unknown bool
	granted bool
	holder  string
}

// linState is the state of one key: the attempt that holds it, and whether it
// has an outcome.
type linState struct {
	holder   string
	finished bool
}

// claimModel is the sequential specification of a key. A call that failed may
// or may not have taken effect.
var claimModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{linState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(linState), input.(linOp), output.(linResult)
		after, want := applyOp(s, in)
		if out.unknown {
			return []any{s, after}
		}
		if out != want {
			return nil
		}
		return []any{after}
	},
}

func applyOp(s linState, in linOp) (linState, linResult) {
	if !in.finish {
		if s.holder == "" {
			return linState{holder: in.attempt}, linResult{granted: true}
		}
		return s, linResult{granted: s.holder == in.attempt && !s.finished, holder: s.holder}
	}
	if s.holder != in.attempt || s.finished {
		return s, linResult{}
	}
	if in.release {
		return linState{}, linResult{}
	}
	return linState{holder: s.holder, finished: true}, linResult{}
}

// linStep is one attempt at the key: when it starts, which TableRegistry it uses,
// and the faults of the store that start with it.
type linStep struct {
	at          time.Duration
	book        int
	finish      bool
	withOutcome bool
	faults      store.Faults
	fault       bool
}

// TestOracleTableBookIsLinearizable runs attempts at one key on several
// TableRegistries over one store with lost replies and dropped and late commits.
func TestOracleTableBookIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(rt, "steps")
		steps := make([]linStep, n)
		for i := range steps {
			steps[i] = linStep{
				at:   time.Duration(rapid.IntRange(0, 400).Draw(rt, "at")) * time.Millisecond,
				book: rapid.IntRange(0, 2).Draw(rt, "book"), finish: rapid.Bool().Draw(rt, "finish"),
				withOutcome: rapid.Bool().Draw(rt, "keep"), fault: rapid.Bool().Draw(rt, "fault"),
				faults: store.Faults{
					Down:        rapid.Bool().Draw(rt, "down"),
					LoseReplies: rapid.IntRange(0, 2).Draw(rt, "lose"),
					DropCommits: rapid.IntRange(0, 2).Draw(rt, "drop"),
					LateCommits: rapid.IntRange(0, 2).Draw(rt, "late"),
					LateBy:      time.Duration(rapid.IntRange(1, 500).Draw(rt, "lateBy")) * time.Millisecond,
				},
			}
		}
		var history []porcupine.Operation
		synctest.Test(t, func(*testing.T) { history = runBooks(steps) })
		if !porcupine.CheckOperations(claimModel.ToModel(), history) {
			rt.Fatalf("not linearizable: %+v", history)
		}
	})
}

func runBooks(steps []linStep) []porcupine.Operation {
	tables := store.NewMemory()
	books := make([]*TableRegistry, 3)
	for i := range books {
		books[i] = NewTableRegistry(tables, 5*time.Millisecond, discardLog)
	}
	h := &history{}
	var wg sync.WaitGroup
	for i, s := range steps {
		wg.Go(func() {
			time.Sleep(s.at)
			if s.fault {
				tables.SetFaults(s.faults)
				time.AfterFunc(200*time.Millisecond, func() { tables.SetFaults(store.Faults{}) })
			}
			h.attempt(books[s.book], i, s)
		})
	}
	wg.Wait()
	time.Sleep(time.Hour)
	return h.ops
}

type history struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (h *history) attempt(b *TableRegistry, client int, s linStep) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c := Claim{Key: Key{"a", "k"}, Attempt: fmt.Sprint("attempt", client), Until: time.Now().Add(2 * time.Second)}
	start := time.Now()
	g, err := b.Claim(ctx, c)
	out := linResult{unknown: err != nil, granted: g.Granted}
	if err == nil && !g.Granted {
		out.holder = g.Existing.Attempt
	}
	h.add(client, linOp{attempt: c.Attempt}, out, start)
	if err == nil && !g.Granted {
		// A commit of this claim that was considered lost may still be applied
		// late. The attempt does not run, so a repeat may get no result, but
		// nothing runs twice.
		h.add(client, linOp{attempt: c.Attempt}, linResult{unknown: true}, start)
	}
	if err != nil {
		// The TableRegistry releases a claim whose caller stopped waiting, at any
		// later time.
		h.add(client, linOp{attempt: c.Attempt, finish: true, release: true}, linResult{unknown: true}, time.Now())
		return
	}
	if !g.Granted || !s.finish {
		return
	}
	outcome := &Outcome{Status: 200}
	if !s.withOutcome {
		outcome = nil
	}
	start = time.Now()
	err = b.Finish(ctx, c, outcome)
	h.add(client, linOp{attempt: c.Attempt, finish: true, release: !s.withOutcome}, linResult{unknown: err != nil}, start)
}

// add records a call. One with an unknown outcome may take effect at any later
// time.
func (h *history) add(client int, in linOp, out linResult, start time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := time.Now().UnixNano()
	if out.unknown {
		end = time.Now().Add(24 * time.Hour).UnixNano()
	}
	h.ops = append(h.ops, porcupine.Operation{ClientId: client + 100*len(h.ops), Input: in, Output: out, Call: start.UnixNano(), Return: end})
}

func testTickets(incarnation string) *TicketIssuer {
	n := 0
	return NewTicketIssuer([]byte("secret"), "node", "10.0.0.1:1", incarnation, time.Minute, func() string { n++; return fmt.Sprint(n) })
}

func TestTicketIsGrantedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tickets := testTickets("1")
		b := NewTicketRegistry(tickets)
		key := Key{"a", tickets.Issue("a", time.Now())}
		first := Claim{Key: key, Attempt: "1", Until: time.Now().Add(time.Second)}
		second := first
		second.Attempt = "2"
		g, err := b.Claim(t.Context(), first)
		c.Assert(err, qt.IsNil)
		c.Assert(g.Granted, qt.IsTrue)
		g, err = b.Claim(t.Context(), second)
		c.Assert(err, qt.IsNil)
		c.Assert(g.Granted, qt.IsFalse)
		c.Assert(g.Existing.Attempt, qt.Equals, "1")
		// The same attempt claims again, as after a lost response.
		g, err = b.Claim(t.Context(), first)
		c.Assert(err, qt.IsNil)
		c.Assert(g.Granted, qt.IsTrue)
		// The ticket is still not granted after its record was removed.
		time.Sleep(time.Hour)
		b.removeExpired(time.Now())
		c.Assert(b.records, qt.HasLen, 0)
		_, err = b.Claim(t.Context(), second)
		c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	})
}

func TestTicketOfAnotherProcessOrAccountIsNotGranted(t *testing.T) {
	c := qt.New(t)
	old := testTickets("1")
	ticket := old.Issue("a", time.Now())
	restarted := NewTicketRegistry(testTickets("2"))
	_, err := restarted.Claim(t.Context(), Claim{Key: Key{"a", ticket}, Attempt: "1"})
	c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	_, err = NewTicketRegistry(old).Claim(t.Context(), Claim{Key: Key{"b", ticket}, Attempt: "1"})
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.InvalidRequest)
}

func FuzzParseTicket(f *testing.F) {
	tickets := testTickets("1")
	f.Add(tickets.Issue("a", time.Unix(1, 0)))
	f.Add("tk1.....")
	f.Fuzz(func(t *testing.T, key string) {
		tk, err := tickets.Parse("a", key)
		if err == nil && tk.Node != "node" {
			t.Fatalf("accepted a forged ticket %q", key)
		}
	})
}

// TestLateCommitDoesNotHoldAReleasedKey guards against a claim commit that the
// store applies after the key was released: if the release deleted the row, the
// condition that no row exists would hold and the key would belong to an attempt
// that has ended. TestOracleTableBookIsLinearizable found it with seed 26937.
func TestLateCommitDoesNotHoldAReleasedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tables := store.NewMemory()
		b := NewTableRegistry(tables, 5*time.Millisecond, discardLog)
		claim := func(attempt string) Claim {
			return Claim{Key: Key{"a", "k"}, Attempt: attempt, Until: time.Now().Add(10 * time.Second)}
		}
		tables.SetFaults(store.Faults{LateCommits: 1, LateBy: time.Second})
		first := claim("first")
		g, err := b.Claim(t.Context(), first)
		c.Assert(err, qt.IsNil)
		c.Assert(g.Granted, qt.IsTrue)
		c.Assert(b.Finish(t.Context(), first, nil), qt.IsNil)
		time.Sleep(2 * time.Second)
		_, found, err := b.Lookup(t.Context(), first.Key)
		c.Assert(err, qt.IsNil)
		c.Assert(found, qt.IsFalse)
		g, err = b.Claim(t.Context(), claim("second"))
		c.Assert(err, qt.IsNil)
		c.Assert(g.Granted, qt.IsTrue)
		// Wait for the committing goroutine to end.
		time.Sleep(time.Second)
	})
}

// TestClosedBookStopsReleasingAnAbandonedClaim guards against a release of an
// abandoned claim that is retried for as long as the service is unavailable, also
// after its node has ended and called Close. The goroutine left behind makes
// synctest.Test fail. TestOracleOutcomes of package node found it with seed 53343.
func TestClosedBookStopsReleasingAnAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tables := store.NewMemory()
		b := NewTableRegistry(tables, 5*time.Millisecond, discardLog)
		tables.SetFaults(store.Faults{Delay: time.Second})
		ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer cancel()
		_, err := b.Claim(ctx, Claim{Key: Key{"a", "k"}, Attempt: "first", Until: time.Now().Add(10 * time.Second)})
		c.Assert(err, qt.IsNotNil)
		// The commit in progress still creates the row; its release fails because the service is down.
		tables.SetFaults(store.Faults{Down: true})
		time.Sleep(2 * finishTimeout)
		b.Close()
	})
}
