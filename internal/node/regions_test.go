package node

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/admin"
	"topazmoor/internal/caller"
	"topazmoor/internal/region"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/verdict"
)

// inTwoRegions runs f over ready nodes of which dc-1 is in north and dc-2 in south. Each pool has
// targets in both; the engines 1 and 3 are in north.
func inTwoRegions(t *testing.T, nodes int, f func(c *qt.C, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		cl, err := newClusterWith(nodes, standin.Harbour(), func(s *settings.Settings) {
			s.Regions.DataCentres = region.Map{"dc-1": "north", "dc-2": "south"}
		})
		c.Assert(err, qt.IsNil)
		defer cl.close()
		c.Assert(cl.apply(), qt.IsNil)
		c.Assert(cl.waitReady(1, time.Minute), qt.IsTrue)
		f(c, cl)
	})
}

// bindDesk binds the account dispatch-desk to regions, a JSON list, and waits until all nodes know it.
func (c *cluster) bindDesk(qc *qt.C, regions string, revision int64) {
	src := `{"accounts": [{"name": "dispatch-desk", "regions": ` + regions + `,
		"tokens_sha256": ["5bfc2704f4cd0c2437dccb12ba34cc117105a204fd242edd9ebabc12eef7898c"],
		"pipelines": [{"name": "radio-desk", "template": "answer", "parameters": {"model": "atlas-7b"}}]}]}`
	w := c.adminCall(0, http.MethodPost, admin.PathConfig, admin.ApplyRequest{Manifest: src})
	qc.Assert(applyResult(qc, w).Revision, qt.Equals, revision)
	qc.Assert(c.waitReady(revision, time.Minute), qt.IsTrue)
}

// runs returns the calls started so far at the targets of a region, by the last digit of their IDs:
// odd ones are in north.
func (c *cluster) runs(region string) (n int) {
	for id, target := range c.world.Targets {
		odd := strings.ContainsAny(id[len(id)-1:], "13579")
		if odd == (region == "north") {
			n += target.TotalRuns()
		}
	}
	return n
}

// TestRegionKeepsRetriesHedgesAndStreams: while a target of the region fails, hangs or cuts its
// streams, the request is served by another one of the region and never outside.
func TestRegionKeepsRetriesHedgesAndStreams(t *testing.T) {
	inTwoRegions(t, 2, func(c *qt.C, cl *cluster) {
		cl.bindDesk(c, `["north"]`, 2)
		for i := range 2 {
			cl.world.Targets["engines-1"].SetFaults(standin.TargetFaults{CutStreams: 1})
			res, err := cl.ask(i, "resume me", true)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Problem, qt.IsNil)
			c.Assert(res.Tokens, qt.HasLen, 64)
		}
		cl.world.Targets["encoders-1"].SetFaults(standin.TargetFaults{ResetAfter: 1})
		res, err := cl.ask(1, "retry me", false)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem, qt.IsNil)
		c.Assert(res.Reply.Stages[0].Attempts, qt.Equals, 2)
		for range 20 {
			_, err := cl.ask(0, "warm up", false)
			c.Assert(err, qt.IsNil)
		}
		cl.world.Targets["rerankers-1"].SetFaults(standin.TargetFaults{Hang: 1})
		res, err = cl.ask(0, "hedge me", false)
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem, qt.IsNil)
		c.Assert(res.Reply.Stages[2].Attempts, qt.Equals, 2)
		c.Assert(cl.runs("south"), qt.Equals, 0)
	})
}

// TestRegionChangesUnderARequest: a stream that breaks after the account was moved is resumed in the new
// region.
func TestRegionChangesUnderARequest(t *testing.T) {
	inTwoRegions(t, 2, func(c *qt.C, cl *cluster) {
		cl.bindDesk(c, `["north"]`, 2)
		for _, id := range []string{"engines-1", "engines-3"} {
			cl.world.Targets[id].SetFaults(standin.TargetFaults{CutStreams: 1, SlowFactor: 40})
		}
		done := make(chan *caller.Result, 1)
		go func() {
			res, _ := cl.ask(0, "move me", true)
			done <- res
		}()
		time.Sleep(time.Second)
		cl.bindDesk(c, `["south"]`, 3)
		c.Assert(cl.runs("south"), qt.Equals, 0)
		res := <-done
		c.Assert(res, qt.IsNotNil)
		c.Assert(res.Problem, qt.IsNil)
		c.Assert(res.Tokens, qt.HasLen, 64)
		c.Assert(cl.runs("south"), qt.Equals, 1)
	})
}

// TestRegionThatIsLostRefusesAtOnce: once the engines of a region are drained, its requests are refused
// before their first stage runs, and the items of a batch too; other accounts go on.
func TestRegionThatIsLostRefusesAtOnce(t *testing.T) {
	inTwoRegions(t, 2, func(c *qt.C, cl *cluster) {
		cl.bindDesk(c, `["north"]`, 2)
		for i, engine := range []string{"engines-1", "engines-3"} {
			w := cl.adminCall(0, http.MethodPut, admin.PathDrains+engine, nil)
			c.Assert(applyResult(c, w).Revision, qt.Equals, int64(3+i))
		}
		c.Assert(cl.waitReady(4, time.Minute), qt.IsTrue)
		time.Sleep(time.Second)
		for i := range 2 {
			start := time.Now()
			res, err := cl.ask(i, "where", false)
			c.Assert(err, qt.IsNil)
			c.Assert(time.Since(start) < 100*time.Millisecond, qt.IsTrue)
			c.Assert(res.Problem.Code, qt.Equals, verdict.NoTarget)
			c.Assert(res.Problem.Verdict, qt.Equals, "not_run")
			c.Assert(res.Problem.RetryAfterMS > 0, qt.IsTrue)
		}
		st, err := cl.submitBatch(0, "dispatch-desk-token", "radio-desk", "b", 2)
		c.Assert(err, qt.IsNil)
		results, err := cl.results(0, "dispatch-desk-token", st.ID, 10*time.Minute)
		c.Assert(err, qt.IsNil)
		c.Assert(results[0].Status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(cl.runs("north")+cl.runs("south"), qt.Equals, 0)
		res, err := cl.confirm(0, "ship", "")
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem, qt.IsNil)
		c.Assert(cl.node(0).servingByRegion(), qt.DeepEquals, map[string]float64{"north": 5, "south": 6})
		c.Assert(cl.node(0).Status().Regions, qt.DeepEquals, []admin.RegionStatus{
			{Name: "north", DataCentres: []string{"dc-1"}, Hosts: 7, Serving: 5, Accounts: 1},
			{Name: "south", DataCentres: []string{"dc-2"}, Hosts: 6, Serving: 6},
		})
	})
}

// TestRegionWithoutItsTargetsIsRefusedByApply: a region that the settings don't know, and one without
// a target that has the model, are refused.
func TestRegionWithoutItsTargetsIsRefusedByApply(t *testing.T) {
	inTwoRegions(t, 1, func(c *qt.C, cl *cluster) {
		apply := func(regions, model string) string {
			src := strings.Replace(manifest(model), `"name": "new",`, `"name": "new", "regions": `+regions+`,`, 1)
			return cl.adminCall(0, http.MethodPost, admin.PathConfig, admin.ApplyRequest{Manifest: src}).Body.String()
		}
		c.Assert(apply(`["west"]`, "atlas-7b"), qt.Contains, "line 1: account/new.regions: names west")
		c.Assert(apply(`[]`, "atlas-7b"), qt.Contains, "line 1: account/new.regions: is an empty list")
		c.Assert(apply(`["south"]`, "other-7b"), qt.Contains, "no target of pool engines in the regions south offers model")
		c.Assert(apply(`["south"]`, "atlas-7b"), qt.Contains, `"accepted":true`)
	})
}
