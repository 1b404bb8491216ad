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

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

// linOp is one call of a book for the linearizability checker.
type linOp struct {
	attempt string
	// finish is false for a claim; release says that the outcome is nil.
	finish, release bool
}

// linResult is what a call returned; unknown means an error.
type linResult struct {
	unknown bool
	granted bool
	holder  string
}

// linState is the state of one key: who holds it, and whether it has an
// outcome.
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

// linStep is one event of a script over several books and one key.
type linStep struct {
	at     time.Duration
	book   int
	finish bool
	keep   bool
	faults store.Faults
	fault  bool
}

// TestOracleTableBookIsLinearizable runs attempts at one key at several books
// over one store with lost, dropped and late commits.
func TestOracleTableBookIsLinearizable(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 8).Draw(rt, "steps")
		steps := make([]linStep, n)
		for i := range steps {
			steps[i] = linStep{
				at:   time.Duration(rapid.IntRange(0, 400).Draw(rt, "at")) * time.Millisecond,
				book: rapid.IntRange(0, 2).Draw(rt, "book"), finish: rapid.Bool().Draw(rt, "finish"),
				keep: rapid.Bool().Draw(rt, "keep"), fault: rapid.Bool().Draw(rt, "fault"),
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
	twin := store.NewMemory()
	books := make([]*TableBook, 3)
	for i := range books {
		books[i] = NewTableBook(twin, 5*time.Millisecond, quiet)
	}
	h := &history{}
	var wg sync.WaitGroup
	for i, s := range steps {
		wg.Go(func() {
			time.Sleep(s.at)
			if s.fault {
				twin.SetFaults(s.faults)
				time.AfterFunc(200*time.Millisecond, func() { twin.SetFaults(store.Faults{}) })
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

func (h *history) attempt(b *TableBook, client int, s linStep) {
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
		// A commit of this claim that was taken for lost may still arrive late.
		// The attempt does not run, so that this costs a repeat its answer but
		// never runs anything twice.
		h.add(client, linOp{attempt: c.Attempt}, linResult{unknown: true}, start)
	}
	if err != nil {
		// The book releases a claim whose caller left; that may happen any time
		// later.
		h.add(client, linOp{attempt: c.Attempt, finish: true, release: true}, linResult{unknown: true}, time.Now())
		return
	}
	if !g.Granted || !s.finish {
		return
	}
	outcome := &Outcome{Status: 200}
	if !s.keep {
		outcome = nil
	}
	start = time.Now()
	err = b.Finish(ctx, c, outcome)
	h.add(client, linOp{attempt: c.Attempt, finish: true, release: !s.keep}, linResult{unknown: err != nil}, start)
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

func testTickets(incarnation string) *Tickets {
	n := 0
	return NewTickets([]byte("secret"), "node", "10.0.0.1:1", incarnation, time.Minute, func() string { n++; return fmt.Sprint(n) })
}

func TestTicketIsGrantedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		tickets := testTickets("1")
		b := NewTicketBook(tickets)
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
		// The lost answer of a grant is asked for again.
		g, err = b.Claim(t.Context(), first)
		c.Assert(err, qt.IsNil)
		c.Assert(g.Granted, qt.IsTrue)
		// Long after its record was dropped the ticket is still not granted.
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
	restarted := NewTicketBook(testTickets("2"))
	_, err := restarted.Claim(t.Context(), Claim{Key: Key{"a", ticket}, Attempt: "1"})
	c.Assert(verdict.Of(err), qt.Equals, verdict.MayHaveRun)
	_, err = NewTicketBook(old).Claim(t.Context(), Claim{Key: Key{"b", ticket}, Attempt: "1"})
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

// A commit of a claim whose reply was lost, applied after the key was released,
// found that there was no row and held the key for an attempt that had ended.
// Found by TestOracleTableBookIsLinearizable with seed 26937.
func TestLateCommitDoesNotHoldAReleasedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		twin := store.NewMemory()
		b := NewTableBook(twin, 5*time.Millisecond, quiet)
		claim := func(attempt string) Claim {
			return Claim{Key: Key{"a", "k"}, Attempt: attempt, Until: time.Now().Add(10 * time.Second)}
		}
		twin.SetFaults(store.Faults{LateCommits: 1, LateBy: time.Second})
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
		// The book's own goroutine ends.
		time.Sleep(time.Second)
	})
}

// A claim whose caller left while the service was away was released again and again,
// also after its node had ended. Found by TestOracleOutcomes of package node with seed
// 53343: the goroutine that stays fails the bubble.
func TestClosedBookStopsReleasingAnAbandonedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		twin := store.NewMemory()
		b := NewTableBook(twin, 5*time.Millisecond, quiet)
		twin.SetFaults(store.Faults{Delay: time.Second})
		ctx, leave := context.WithTimeout(t.Context(), 500*time.Millisecond)
		defer leave()
		_, err := b.Claim(ctx, Claim{Key: Key{"a", "k"}, Attempt: "first", Until: time.Now().Add(10 * time.Second)})
		c.Assert(err, qt.IsNotNil)
		// The commit in progress still creates the row; its release finds the service away.
		twin.SetFaults(store.Faults{Down: true})
		time.Sleep(2 * finishTimeout)
		b.Close()
	})
}
