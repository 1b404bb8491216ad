package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/batch"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/standin"
	"topazmoor/internal/store"
)

// submitBatch submits a batch of n items with distinct inputs to node i.
func (c *cluster) submitBatch(i int, token, pipeline, name string, n int) (batch.Status, error) {
	req := batch.SubmitRequest{Pipeline: pipeline}
	for k := range n {
		req.Inputs = append(req.Inputs, fmt.Sprintf("%s item %d", name, k))
	}
	ctx, cancel := timeoutCtx(20 * time.Second)
	defer cancel()
	return c.caller.SubmitBatch(ctx, c.addr(i), token, name, req)
}

// results waits until a batch is done and returns its results.
func (c *cluster) results(i int, token, id string, limit time.Duration) ([]batch.Result, error) {
	ctx, cancel := timeoutCtx(limit)
	defer cancel()
	for {
		st, err := c.caller.BatchStatus(ctx, c.addr(i), token, id)
		if err == nil && st.Done {
			return c.caller.BatchResults(ctx, c.addr(i), token, id)
		}
		if ctx.Err() != nil {
			return nil, fmt.Errorf("batch %s: %d of %d items after %v (%v)", id, st.Finished, st.Items, limit, err)
		}
		time.Sleep(time.Second)
	}
}

func TestBatchIsCarriedOnAfterItsOwnerDies(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		st, err := cl.submitBatch(0, "pilots-token", "berth-confirmation", "b1", 100)
		c.Assert(err, qt.IsNil)
		again, err := cl.submitBatch(1, "pilots-token", "berth-confirmation", "b1", 100)
		c.Assert(err, qt.IsNil)
		c.Assert(again.ID, qt.Equals, st.ID)
		_, err = cl.submitBatch(1, "pilots-token", "berth-confirmation", "b1", 99)
		c.Assert(err, qt.ErrorMatches, "key_reused .*")
		owner := -1
		for owner < 0 {
			for i, n := range cl.nodes {
				if n.batches.Running() > 0 {
					owner = i
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(60 * time.Millisecond)
		cl.kill(owner)
		other := (owner + 1) % 3
		res, err := cl.results(other, "pilots-token", st.ID, 3*time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(checkOnceOnly("b1", 100, res, cl.world), qt.HasLen, 0)
		_, err = cl.caller.BatchStatus(tctx, cl.addr(other), "dispatch-desk-token", st.ID)
		c.Assert(err, qt.ErrorMatches, "not_found .*")
	})
}

// checkOnceOnly returns the violations in the results of a batch of
// non-idempotent items: each item has one result and ran at most once.
func checkOnceOnly(name string, n int, res []batch.Result, world *standin.World) []string {
	var out []string
	if len(res) != n {
		return []string{fmt.Sprintf("%s: %d results for %d items", name, len(res), n)}
	}
	for i, r := range res {
		input := mustJSON(fmt.Sprintf("%s item %d", name, i))
		starts := len(world.StartTimes(input))
		var problem frontdoor.Problem
		var reply frontdoor.Reply
		switch {
		case r.Index != i:
			out = append(out, fmt.Sprintf("%s: result %d has index %d", name, i, r.Index))
		case starts > 1:
			out = append(out, fmt.Sprintf("%s: item %d ran %d times", name, i, starts))
		case r.Status == http.StatusOK:
			if json.Unmarshal(r.Body, &reply) != nil || !strings.Contains(string(reply.Output), input) {
				out = append(out, fmt.Sprintf("%s: item %d has another request's answer %s", name, i, r.Body))
			}
		case json.Unmarshal(r.Body, &problem) != nil:
			out = append(out, fmt.Sprintf("%s: item %d has no verdict: %s", name, i, r.Body))
		case problem.Verdict == "not_run" && starts > 0:
			out = append(out, fmt.Sprintf("%s: item %d is reported as not_run but ran", name, i))
		}
	}
	return out
}

// batchStep is one fault injected while batches run.
type batchStep struct {
	at   time.Duration
	kind string
	node int
	span time.Duration
	n    int
}

// TestOracleBatches submits batches while nodes restart and pause and the platform
// and targets fail. Every item of every acknowledged batch must then have exactly
// one result.
func TestOracleBatches(t *testing.T) {
	kinds := []string{"restart", "restart", "freeze", "platform-down", "lose-replies", "drop-commits", "late-commits", "target-reset-after", "target-hang"}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 8).Draw(rt, "steps")
		steps := make([]batchStep, n)
		for i := range steps {
			steps[i] = batchStep{
				at:   time.Duration(rapid.IntRange(0, 6000).Draw(rt, "at")) * time.Millisecond,
				kind: rapid.SampledFrom(kinds).Draw(rt, "kind"), node: rapid.IntRange(0, oracleNodes-1).Draw(rt, "node"),
				span: time.Duration(rapid.IntRange(100, 25_000).Draw(rt, "span")) * time.Millisecond,
				n:    rapid.IntRange(1, 3).Draw(rt, "n"),
			}
		}
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = executeBatches(steps) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

func executeBatches(steps []batchStep) []string {
	cl, err := readyCluster(oracleNodes)
	if err != nil {
		return []string{err.Error()}
	}
	defer cl.close()
	r := &run{cluster: cl, start: time.Now(), tickets: make(map[int]string)}
	for i, s := range steps {
		time.AfterFunc(s.at, func() {
			r.apply(step{kind: s.kind, node: s.node, span: s.span, count: s.n, target: i % 2})
		})
	}
	acked := make(map[string]string)
	for i := range 2 {
		time.Sleep(time.Second)
		name := fmt.Sprint("batch", i)
		st, err := cl.submitBatch(i, "pilots-token", "berth-confirmation", name, 70)
		if err == nil {
			acked[name] = st.ID
		}
	}
	time.Sleep(40 * time.Second)
	cl.world.Store.SetFaults(store.Faults{})
	if !cl.waitReady(1, time.Minute) {
		return []string{"the nodes did not become ready again"}
	}
	var out []string
	for name, id := range acked {
		res, err := cl.results(0, "pilots-token", id, 5*time.Minute)
		if err != nil {
			out = append(out, err.Error())
			continue
		}
		out = append(out, checkOnceOnly(name, 70, res, cl.world)...)
	}
	return out
}
