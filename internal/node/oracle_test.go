package node

// The oracle tests run real nodes in virtual time under random failures, and
// compare the result that each caller received with what the targets ran.
//
// Deliberate defects, and the number of scripts until TestOracleOutcomes caught
// each (seed 1):
//
//	claim row created without its condition (fencing removed)       6
//	pipeline run before the claim (claim after dispatch)            1
//	non-idempotent call retried after a reset                       6
//	lost commit reply taken for success (guess on a lost reply)    11
//	every failed call reported as not run                           6
//	identity of answers not checked                                 6
//	refusal of a keyed request reported as not_run                  6
//	claim of a dead holder taken over by a repeat                  75
//	ticket of an earlier incarnation granted                       38
//	ticket granted when its issuer did not answer                  15
//	key released after any refusal                                  6
//
// Defects that the scripts do not catch, and why: a lost commit reply taken for
// failure (sound, it only leaves a claim without an owner); a connection not
// sealed (needs a race that the scripts do not make; TestSealForbidsLaterWrites
// covers it).
// TestOracleBatches caught items that may not be repeated run without a claim
// at its first script.

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"topazmoor/internal/caller"
	"topazmoor/internal/standin"
	_ "topazmoor/internal/standin/fixedseed"
	"topazmoor/internal/store"
)

const (
	oracleNodes = 3
	// oracleSpan is the period in which the steps of a script start.
	oracleSpan = 15 * time.Second
	// oracleRecovery is the wait after the last step, in which all requests end.
	oracleRecovery = 30 * time.Second
)

// step is one event of a script.
type step struct {
	at   time.Duration
	kind string
	node int
	// key is the request key's number; 0 for none. A ticket is fetched from
	// node ticketFrom instead when byTicket is set.
	key      int
	byTicket bool
	span     time.Duration
	count    int
	target   int
}

var stepKinds = []string{
	"confirm", "confirm", "confirm", "confirm", "ask", "ask-stream",
	"kill", "restart", "freeze", "cut-platform", "cut-nodes",
	"platform-down", "platform-slow", "lose-replies", "drop-commits", "late-commits",
	"target-reset-before", "target-reset-after", "target-cut", "target-wrong", "target-hang", "target-refuse",
}

// serviceTargets are the targets whose calls are not idempotent.
var serviceTargets = []string{"pilot-confirmation-1", "pilot-confirmation-2"}

func drawScript(t *rapid.T) []step {
	n := rapid.IntRange(5, 40).Draw(t, "steps")
	steps := make([]step, n)
	for i := range steps {
		steps[i] = step{
			at:       time.Duration(rapid.IntRange(0, int(oracleSpan/time.Millisecond)).Draw(t, "at")) * time.Millisecond,
			kind:     rapid.SampledFrom(stepKinds).Draw(t, "kind"),
			node:     rapid.IntRange(0, oracleNodes-1).Draw(t, "node"),
			key:      rapid.IntRange(0, 3).Draw(t, "key"),
			byTicket: rapid.Bool().Draw(t, "ticket"),
			span:     time.Duration(rapid.IntRange(50, 8000).Draw(t, "span")) * time.Millisecond,
			count:    rapid.IntRange(1, 3).Draw(t, "count"),
			target:   rapid.IntRange(0, 1).Draw(t, "target"),
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	return steps
}

// observed is one request and the result that its caller received.
type observed struct {
	step   step
	input  string
	key    string
	result *caller.Result
	err    error
	at     time.Time
}

// run is one execution of a script.
type run struct {
	*cluster
	start time.Time

	mu       sync.Mutex
	observed []observed
	tickets  map[int]string
	calls    sync.WaitGroup
}

// TestOracleOutcomes injects faults of nodes, targets and the store while callers
// send requests, and checks every result against the runs at the targets.
//
// Seeds that showed a fault: 53343, a release of an abandoned claim outlived its node
// (ledger.TestClosedBookStopsReleasingAnAbandonedClaim).
func TestOracleOutcomes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		script := drawScript(rt)
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = execute(script) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

func execute(script []step) []string {
	cl, err := readyCluster(oracleNodes)
	if err != nil {
		return []string{err.Error()}
	}
	defer cl.close()
	r := &run{cluster: cl, start: time.Now(), tickets: make(map[int]string)}
	for _, s := range script {
		time.Sleep(time.Until(r.start.Add(s.at)))
		r.apply(s)
	}
	time.Sleep(oracleRecovery)
	r.calls.Wait()
	return r.check()
}

func (r *run) apply(s step) {
	switch s.kind {
	case "confirm":
		r.confirm(s)
	case "ask", "ask-stream":
		r.ask(s)
	case "kill":
		r.kill(s.node)
	case "restart":
		if err := r.restart(s.node); err != nil {
			panic(err)
		}
	case "freeze":
		r.freeze(s)
	case "cut-platform":
		r.node(s.node).gate.SetDisconnected(true)
		n := r.node(s.node)
		time.AfterFunc(s.span, func() { n.gate.SetDisconnected(n.dead.Load()) })
	case "cut-nodes":
		ip := r.node(s.node).ip
		r.partition(func(from, to string) bool {
			return (from == ip || to == ip) && strings.HasPrefix(from, "10.1.") && strings.HasPrefix(to, "10.1.")
		})
		time.AfterFunc(s.span, func() { r.partition() })
	default:
		r.fault(s)
	}
}

func (r *run) freeze(s step) {
	n := r.node(s.node)
	if n.dead.Load() {
		return
	}
	n.gate.Freeze()
	r.net.Freeze(n.ip)
	time.AfterFunc(s.span, func() {
		n.gate.Unfreeze()
		r.net.Unfreeze(n.ip)
	})
}

func (r *run) fault(s step) {
	target := r.world.Targets[serviceTargets[s.target]]
	switch s.kind {
	case "platform-down":
		r.platformFault(s.span, store.Faults{Down: true})
	case "platform-slow":
		r.platformFault(s.span, store.Faults{Delay: s.span / 8})
	case "lose-replies":
		r.platformFault(s.span, store.Faults{LoseReplies: s.count})
	case "drop-commits":
		r.platformFault(s.span, store.Faults{DropCommits: s.count})
	case "late-commits":
		r.platformFault(s.span, store.Faults{LateCommits: s.count, LateBy: s.span / 4})
	case "target-reset-before":
		target.SetFaults(standin.TargetFaults{ResetBefore: s.count})
	case "target-reset-after":
		target.SetFaults(standin.TargetFaults{ResetAfter: s.count})
	case "target-cut":
		target.SetFaults(standin.TargetFaults{CutAnswers: s.count})
	case "target-wrong":
		target.SetFaults(standin.TargetFaults{WrongIdentity: s.count})
	case "target-hang":
		target.SetFaults(standin.TargetFaults{Hang: s.count})
	case "target-refuse":
		target.SetFaults(standin.TargetFaults{Refuse: true})
		time.AfterFunc(s.span, func() { target.SetFaults(standin.TargetFaults{}) })
	}
}

func (r *run) platformFault(span time.Duration, f store.Faults) {
	r.world.Store.SetFaults(f)
	time.AfterFunc(span, func() { r.world.Store.SetFaults(store.Faults{}) })
}

// confirm sends a non-idempotent request. Requests with the same key
// number share their key and their input.
func (r *run) confirm(s step) {
	n := r.node(s.node)
	if n.dead.Load() {
		return
	}
	r.calls.Go(func() {
		input, key := r.inputAndKey(s, n)
		ctx, cancel := timeoutCtx(20 * time.Second)
		defer cancel()
		res, err := r.caller.Run(ctx, caller.Request{
			Addr: n.Addr(callerServer), Token: "pilots-token", Pipeline: "berth-confirmation", Input: input, Key: key,
		})
		r.record(observed{step: s, input: input, key: key, result: res, err: err, at: time.Now()})
	})
}

// inputAndKey returns the input and key of a request. A request without a key gets a
// unique input.
func (r *run) inputAndKey(s step, n *testNode) (input, key string) {
	if s.key == 0 {
		return "own " + r.newID(), ""
	}
	if !s.byTicket {
		return fmt.Sprintf("keyed %d", s.key), fmt.Sprintf("key-%d", s.key)
	}
	r.mu.Lock()
	ticket := r.tickets[s.key]
	r.mu.Unlock()
	if ticket == "" {
		ctx, cancel := timeoutCtx(5 * time.Second)
		defer cancel()
		got, err := r.caller.Ticket(ctx, n.Addr(callerServer), "pilots-token")
		if err != nil {
			return "own " + r.newID(), ""
		}
		r.mu.Lock()
		if r.tickets[s.key] == "" {
			r.tickets[s.key] = got
		}
		ticket = r.tickets[s.key]
		r.mu.Unlock()
	}
	return fmt.Sprintf("ticket %d", s.key), ticket
}

// ask sends an idempotent request with a unique input.
func (r *run) ask(s step) {
	n := r.node(s.node)
	if n.dead.Load() {
		return
	}
	r.calls.Go(func() {
		input := "question " + r.newID()
		ctx, cancel := context.WithTimeout(tctx, 20*time.Second)
		defer cancel()
		res, err := r.caller.Run(ctx, caller.Request{
			Addr: n.Addr(callerServer), Token: "dispatch-desk-token", Pipeline: "radio-desk",
			Input: input, Stream: s.kind == "ask-stream",
		})
		r.record(observed{step: s, input: input, result: res, err: err, at: time.Now()})
	})
}

func (r *run) record(t observed) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.observed = append(r.observed, t)
}

// check returns the violations found by comparing the results of the callers with
// the runs at the targets.
func (r *run) check() []string {
	var out []string
	bad := func(t observed, format string, args ...any) {
		out = append(out, fmt.Sprintf("%s at node %d, input %q key %q result %+v: ", t.step.kind, t.step.node, t.input, t.key, t.result)+fmt.Sprintf(format, args...))
	}
	answers := make(map[string]string)
	for _, t := range r.observed {
		if strings.HasPrefix(t.step.kind, "ask") {
			r.checkAnswer(t, bad)
			continue
		}
		starts := r.world.StartTimes(mustJSON(t.input))
		if len(starts) > 1 {
			bad(t, "ran %d times", len(starts))
		}
		if t.result == nil {
			continue
		}
		r.checkRefusal(t, starts, bad)
		if t.result.Reply == nil {
			continue
		}
		if want := fmt.Sprintf(`{"confirmed":%s}`, mustJSON(t.input)); string(t.result.Reply.Output) != want {
			bad(t, "got another request's answer or a partial one %s", t.result.Reply.Output)
		}
		if len(starts) == 0 {
			bad(t, "answered but never ran")
		}
		id := t.result.Reply.RequestID
		if prev := answers[t.input]; prev != "" && prev != id {
			bad(t, "two attempts answered: %s and %s", prev, id)
		}
		answers[t.input] = id
	}
	return out
}

func (r *run) checkRefusal(t observed, starts []time.Time, bad func(observed, string, ...any)) {
	p := t.result.Problem
	if p == nil {
		return
	}
	if p.AttemptVerdict == "not_run" && r.world.Runs(p.RequestID) > 0 {
		bad(t, "attempt_verdict is not_run but the attempt ran")
	}
	if p.Verdict != "not_run" {
		return
	}
	for _, s := range starts {
		// Another attempt with the key may run after this one was refused.
		if !s.After(t.at) {
			bad(t, "verdict is not_run but it had run")
		}
	}
}

// checkAnswer checks the result of an idempotent request: an answer must be the
// complete answer to this request, and stream tokens must come in order. Broken
// connections are accepted.
func (r *run) checkAnswer(t observed, bad func(observed, string, ...any)) {
	if t.result == nil {
		return
	}
	if t.result.Reply != nil && !strings.Contains(string(t.result.Reply.Output), mustJSON(wantText(t.input))) {
		bad(t, "got another request's answer or a partial one %s", t.result.Reply.Output)
	}
	for i, tok := range t.result.Tokens {
		if tok.Index != i {
			bad(t, "token %d came as number %d", tok.Index, i)
		}
	}
}

func mustJSON(s string) string {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(b)
}
