package node

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/caller"
	"topazmoor/internal/catalog"
	"topazmoor/internal/control"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/intake"
	"topazmoor/internal/naive"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// inCluster runs f in virtual time over ready nodes with the example
// configuration.
func inCluster(t *testing.T, nodes int, f func(c *qt.C, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl, err := readyCluster(nodes)
		c.Assert(err, qt.IsNil)
		defer cl.close()
		f(c, cl)
	})
}

func (c *cluster) confirm(i int, input, key string) (*caller.Result, error) {
	return c.caller.Run(tctx, caller.Request{
		Addr: c.addr(i), Token: "pilots-token", Pipeline: "berth-confirmation", Input: input, Key: key,
	})
}

func (c *cluster) ask(i int, input string, stream bool) (*caller.Result, error) {
	return c.caller.Run(tctx, caller.Request{
		Addr: c.addr(i), Token: "dispatch-desk-token", Pipeline: "radio-desk", Input: input, Stream: stream,
	})
}

// wantText is what the stand-in engines generate for a radio-desk request.
func wantText(input string) string {
	var docs []string
	for _, i := range []string{"0", "1", "2"} {
		docs = append(docs, "document "+i+" for "+input)
	}
	prompt := strings.Join(append(docs, input), "\n")
	var b strings.Builder
	for i := range 64 {
		b.WriteString(standin.TokenText(prompt, i))
	}
	return b.String()
}

func TestEveryNodeAnswersCompletely(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		for i := range cl.nodes {
			res, err := cl.ask(i, "which tug", i == 1)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Problem, qt.IsNil)
			c.Assert(string(res.Reply.Output), qt.Contains, wantText("which tug")[:200])
			c.Assert(res.Reply.Stages, qt.HasLen, 4)
			c.Assert(res.Reply.DeadlineMet, qt.IsTrue)
		}
	})
}

// TestBrokenStreamIsResumed cuts streams in the middle: the caller gets each
// token once and the whole text.
func TestBrokenStreamIsResumed(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		for id, target := range cl.world.Targets {
			if strings.HasPrefix(id, "engines") {
				target.SetFaults(standin.TargetFaults{CutStreams: 1})
			}
		}
		res, err := cl.ask(0, "resume me", true)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem, qt.IsNil)
		var text strings.Builder
		for i, tok := range res.Tokens {
			c.Assert(tok.Index, qt.Equals, i)
			text.WriteString(tok.Text)
		}
		c.Assert(text.String(), qt.Equals, wantText("resume me"))
		c.Assert(res.Reply.Stages[3].Attempts > 1, qt.IsTrue)
	})
}

// TestCallerThatLeavesFreesItsWork checks that the engine stops soon after the
// caller left.
func TestCallerThatLeavesFreesItsWork(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		ctx, cancel := timeoutCtx(60 * time.Millisecond)
		defer cancel()
		_, err := cl.caller.Run(ctx, caller.Request{
			Addr: cl.addr(0), Token: "dispatch-desk-token", Pipeline: "radio-desk", Input: "x", Stream: true,
		})
		c.Assert(err, qt.IsNotNil)
		time.Sleep(20 * time.Millisecond)
		for _, n := range cl.nodes[0].sched.Demand() {
			c.Assert(n, qt.Equals, 0)
		}
		c.Assert(cl.nodes[0].front.InFlight(), qt.Equals, int64(0))
	})
}

func TestKeyRunsOnceOverNodes(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		results := make(chan *caller.Result, 3)
		for i := range 3 {
			go func() {
				res, _ := cl.confirm(i, "ship", "k1")
				results <- res
			}()
		}
		var ids []string
		for range 3 {
			res := <-results
			c.Assert(res, qt.IsNotNil)
			c.Assert(res.Problem, qt.IsNil)
			ids = append(ids, res.Reply.RequestID)
		}
		c.Assert(ids[0], qt.Equals, ids[1])
		c.Assert(ids[0], qt.Equals, ids[2])
		c.Assert(cl.world.StartTimes(`"ship"`), qt.HasLen, 1)
	})
}

func TestKeyOfAnotherRequestIsRefused(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		_, err := cl.confirm(0, "ship", "k1")
		c.Assert(err, qt.IsNil)
		res, err := cl.confirm(0, "other ship", "k1")
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem.Code, qt.Equals, verdict.KeyReused)
		c.Assert(cl.world.StartTimes(`"other ship"`), qt.HasLen, 0)
	})
}

// TestTicketIsRedeemedAtANodeThatKnowsNoOther redeems a ticket at another node
// than its issuer while that node knows no other member.
func TestTicketIsRedeemedAtANodeThatKnowsNoOther(t *testing.T) {
	inCluster(t, 2, func(c *qt.C, cl *cluster) {
		ticket, err := cl.caller.Ticket(tctx, cl.addr(0), "pilots-token")
		c.Assert(err, qt.IsNil)
		cl.node(1).board.Members.Store(nil)
		res, err := cl.confirm(1, "by ticket", ticket)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem, qt.IsNil)
	})
}

// TestOutageWhatTheCallerIsTold checks the replies to callers during an outage of
// the platform against docs/design/003.
func TestOutageWhatTheCallerIsTold(t *testing.T) {
	inCluster(t, 2, func(c *qt.C, cl *cluster) {
		ticket, err := cl.caller.Ticket(tctx, cl.addr(0), "pilots-token")
		c.Assert(err, qt.IsNil)
		cl.world.Store.SetFaults(store.Faults{Down: true})

		byKey, err := cl.confirm(0, "by key", "k1")
		c.Assert(err, qt.IsNil)
		c.Assert(byKey.Problem.Code, qt.Equals, verdict.StoreUnavailable)
		c.Assert(byKey.Problem.Verdict, qt.Equals, "may_have_run")
		c.Assert(byKey.Problem.AttemptVerdict, qt.Equals, "not_run")
		c.Assert(byKey.Problem.RetryAfterMS > 0, qt.IsTrue)

		byTicket, err := cl.confirm(1, "by ticket", ticket)
		c.Assert(err, qt.IsNil)
		c.Assert(byTicket.Problem, qt.IsNil)

		keyless, err := cl.confirm(1, "keyless", "")
		c.Assert(err, qt.IsNil)
		c.Assert(keyless.Problem, qt.IsNil)

		cl.kill(0)
		again, err := cl.confirm(1, "by ticket", ticket)
		c.Assert(err, qt.IsNil)
		c.Assert(again.Problem.Code, qt.Equals, verdict.KeyOutcomeUnknown)
		c.Assert(again.Problem.Verdict, qt.Equals, "may_have_run")
		c.Assert(cl.world.StartTimes(`"by ticket"`), qt.HasLen, 1)
	})
}

func TestOutageNewNodeStartsFromPeers(t *testing.T) {
	inCluster(t, 2, func(c *qt.C, cl *cluster) {
		cl.adjust = seedWith(cl.nodes[0].Addr(peerServer))
		cl.world.Store.SetFaults(store.Faults{Down: true})
		c.Assert(cl.start(), qt.IsNil)
		time.Sleep(20 * time.Second)
		c.Assert(cl.nodes[2].board.Catalog.Get().Revision, qt.Equals, int64(1))
	})
}

// TestOutageCutOffNodeIsNotReady cuts one node off from the platform, and then from
// all other nodes as well. It is not ready only in the second case.
func TestOutageCutOffNodeIsNotReady(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		time.Sleep(20 * time.Second)
		n := cl.node(0)
		n.gate.SetDisconnected(true)
		time.Sleep(2 * time.Minute)
		ready, _ := n.Ready()
		c.Assert(ready, qt.IsTrue, qt.Commentf("its peers answer"))
		cl.partition(func(from, to string) bool { return from == n.ip || to == n.ip })
		time.Sleep(2 * time.Minute)
		ready, reason := n.Ready()
		c.Assert(ready, qt.IsFalse)
		c.Assert(reason, qt.Contains, "cut off")
		other, _ := cl.node(1).Ready()
		c.Assert(other, qt.IsTrue)
		n.gate.SetDisconnected(false)
		cl.partition()
		time.Sleep(2 * time.Minute)
		ready, _ = n.Ready()
		c.Assert(ready, qt.IsTrue)
	})
}

// TestSlowSenderIsCutOff sends an incomplete body: the node must answer after the
// read timeout.
func TestSlowSenderIsCutOff(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		conn, err := cl.net.DialFrom(callerIP)(tctx, "tcp", cl.addr(0))
		c.Assert(err, qt.IsNil)
		defer conn.Close()
		start := time.Now()
		_, err = io.WriteString(conn, "POST /v1/pipelines/radio-desk HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer dispatch-desk-token\r\nContent-Length: 100\r\n\r\n{")
		c.Assert(err, qt.IsNil)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusBadRequest)
		c.Assert(time.Since(start), qt.Equals, 5*time.Second)
	})
}

// TestSlowTargetIsHedgedAndTheLoserCancelled makes one encoder hang: the stage
// is answered by the other, and the call to the first is cancelled.
func TestSlowTargetIsHedgedAndTheLoserCancelled(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		for range 20 {
			_, err := cl.ask(0, "warm up", false)
			c.Assert(err, qt.IsNil)
		}
		// The encoder of the node's own data centre is the one that is chosen.
		local := cl.world.Targets["encoders-2"]
		local.SetFaults(standin.TargetFaults{Hang: 1})
		hedged := 0
		for range 4 {
			start := time.Now()
			res, err := cl.ask(0, "hedge me", false)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Problem, qt.IsNil)
			c.Assert(time.Since(start) < time.Second, qt.IsTrue)
			if res.Reply.Stages[0].Attempts == 2 {
				hedged++
				c.Assert(res.Reply.Stages[0].WastedMS > 0, qt.IsTrue)
			}
		}
		c.Assert(hedged, qt.Equals, 1)
		time.Sleep(time.Second)
		c.Assert(local.Busy(), qt.Equals, 0)
	})
}

// TestNoRetryPastTheDeadline makes every call of a pool fail: the refusal comes
// before the deadline and within the retry limits.
func TestNoRetryPastTheDeadline(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		for id, target := range cl.world.Targets {
			if strings.HasPrefix(id, "encoders") {
				target.SetFaults(standin.TargetFaults{ResetBefore: 1000})
			}
		}
		start := time.Now()
		res, err := cl.ask(0, "x", false)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem.Code, qt.Equals, verdict.TargetFailed)
		c.Assert(time.Since(start) < 9*time.Second, qt.IsTrue)
		c.Assert(res.Problem.Stages[0].Attempts <= 3, qt.IsTrue)
	})
}

// TestOracleDifferentialAgainstNaive runs the same calls through the nodes and
// through the naive runner on one process: on a healthy system the answers are
// the same.
func TestOracleDifferentialAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inputs := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,12}( [a-z]{1,12}){0,4}`), 1, 5).Draw(rt, "inputs")
		var diff []string
		synctest.Test(t, func(*testing.T) { diff = differences(inputs) })
		if len(diff) > 0 {
			rt.Fatalf("%s", strings.Join(diff, "\n"))
		}
	})
}

func differences(inputs []string) []string {
	cl, err := readyCluster(2)
	if err != nil {
		return []string{err.Error()}
	}
	defer cl.close()
	hosts, err := cl.world.Store.ListHosts(tctx)
	if err != nil {
		return []string{err.Error()}
	}
	calls := dispatch.New(cl.net.DialFrom("10.8.8.8"), 1<<20, intake.NewBudget(0))
	defer calls.Close()
	base := naive.New(calls, hosts)
	plan := cl.node(0).board.Catalog.Get().Account("pilots").Plan("berth-confirmation")
	var out []string
	for i, in := range inputs {
		res, err := cl.confirm(i%2, in, fmt.Sprint("key", i))
		if err != nil || res.Reply == nil {
			out = append(out, fmt.Sprintf("%q: no answer: %v %+v", in, err, res))
			continue
		}
		body := []byte(`{"input":` + mustJSON(in) + `}`)
		want, err := base.Run(tctx, &pipeline.Request{ID: fmt.Sprint("naive", i), Plan: plan, Deadline: time.Now().Add(time.Minute), Input: body})
		if err != nil || string(res.Reply.Output) != string(want.Output) {
			out = append(out, fmt.Sprintf("%q: %s, naive %s (%v)", in, res.Reply.Output, want.Output, err))
		}
	}
	return out
}

// TestStopInterruptsNothing stops a node while a request runs on it.
func TestStopInterruptsNothing(t *testing.T) {
	inCluster(t, 2, func(c *qt.C, cl *cluster) {
		// The request takes longer than stop.balancer_lag.
		for id, target := range cl.world.Targets {
			if strings.HasPrefix(id, "engines") {
				target.SetFaults(standin.TargetFaults{SlowFactor: 50})
			}
		}
		done := make(chan *caller.Result, 1)
		go func() {
			res, _ := cl.ask(0, "long", true)
			done <- res
		}()
		time.Sleep(50 * time.Millisecond)
		cl.nodes[0].RequestStop()
		ready, reason := cl.nodes[0].Ready()
		c.Assert(ready, qt.IsFalse)
		c.Assert(reason, qt.Equals, "stopping")
		// The balancer has not noticed yet: new requests are still answered.
		late, err := cl.confirm(0, "late", "")
		c.Assert(err, qt.IsNil)
		c.Assert(late.Problem, qt.IsNil)
		res := <-done
		c.Assert(res, qt.IsNotNil)
		c.Assert(res.Reply, qt.IsNotNil, qt.Commentf("%d tokens, %+v", len(res.Tokens), res.Problem))
		c.Assert(<-cl.nodes[0].done, qt.IsNil)
		cl.nodes[0].done <- nil
		_, err = cl.ask(0, "too late", false)
		c.Assert(err, qt.IsNotNil)
	})
}

// TestStopTellsWhomItCuts stops a node whose request outlasts stop.drain.
func TestStopTellsWhomItCuts(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		for id, target := range cl.world.Targets {
			if strings.HasPrefix(id, "engines") {
				target.SetFaults(standin.TargetFaults{SlowFactor: 1000})
			}
		}
		cl.adjust = func(s *settings.Settings) { s.Stop.Drain = settings.Duration(time.Second) }
		c.Assert(cl.restart(0), qt.IsNil)
		c.Assert(cl.waitReady(1, time.Minute), qt.IsTrue)
		done := make(chan *caller.Result, 1)
		go func() {
			res, _ := cl.ask(0, "long", false)
			done <- res
		}()
		time.Sleep(100 * time.Millisecond)
		cl.node(0).RequestStop()
		res := <-done
		c.Assert(res, qt.IsNotNil)
		c.Assert(res.Problem.Code, qt.Equals, verdict.Stopping)
		c.Assert(res.Problem.Verdict, qt.Equals, "may_have_run")
		c.Assert(<-cl.node(0).done, qt.IsNil)
		cl.node(0).done <- nil
	})
}

// TestStopAtAScheduledTime schedules a stop of one node. The process that replaces
// it must ignore the same entry.
func TestStopAtAScheduledTime(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		at := time.Now().Add(time.Minute)
		value := fmt.Sprintf(`{"node":"entry-2","at":%q}`, at.Format(time.RFC3339Nano))
		c.Assert(cl.submit([]catalog.Item{{Kind: catalog.StopItem, Name: "entry-2", Value: []byte(value)}}), qt.IsNil)
		time.Sleep(59 * time.Second)
		ready, _ := cl.node(1).Ready()
		c.Assert(ready, qt.IsTrue)
		time.Sleep(2 * time.Second)
		ready, reason := cl.node(1).Ready()
		c.Assert(ready, qt.IsFalse)
		c.Assert(reason, qt.Equals, "stopping")
		c.Assert(<-cl.node(1).done, qt.IsNil)
		cl.node(1).done <- nil
		// The next process of the same name ignores the old entry.
		c.Assert(cl.restart(1), qt.IsNil)
		c.Assert(cl.waitReady(2, time.Minute), qt.IsTrue)
		time.Sleep(time.Minute)
		ready, _ = cl.node(1).Ready()
		c.Assert(ready, qt.IsTrue)
	})
}

// TestControlShardsAreTakenAndRecorded checks that each control shard gets an owner
// and an event for it, and that other nodes take over after an owner's crash.
func TestControlShardsAreTakenAndRecorded(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		time.Sleep(3 * time.Minute)
		shards := make(map[string]bool)
		for _, e := range events(c, cl) {
			c.Assert(e.Kind, qt.Equals, control.TakeOver)
			shards[e.Object] = true
		}
		c.Assert(shards, qt.HasLen, 10)
		cl.kill(0)
		before := len(events(c, cl))
		time.Sleep(5 * time.Minute)
		c.Assert(len(events(c, cl)) > before, qt.IsTrue)
	})
}

func events(c *qt.C, cl *cluster) []control.Event {
	out, err := control.Events(tctx, cl.world.Store, time.Time{}, 1000)
	c.Assert(err, qt.IsNil)
	return out
}
