package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/admin"
	"topazmoor/internal/caller"
	"topazmoor/internal/catalog"
	"topazmoor/internal/rollout"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/store"
	"topazmoor/internal/strictjson"
)

const (
	rolloutPool = "pilot-confirmation"
	// trialBound is the share of the calls in the tests' orders.
	trialBound = 0.2
)

// inRollout runs f over ready nodes whose pool rolloutPool has three targets of version v1 and three of
// v2, while callers send 50 calls a second to all live nodes.
func inRollout(t *testing.T, nodes int, f func(c *qt.C, cl *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		specs := standin.Harbour()
		for i := range specs {
			if specs[i].Pool.Name == rolloutPool {
				specs[i].Targets, specs[i].Slots = 6, 8
				specs[i].Versions = []string{"v1", "v1", "v1", "v2", "v2", "v2"}
			}
		}
		cl, err := newClusterWith(nodes, specs, func(*settings.Settings) {})
		c.Assert(err, qt.IsNil)
		defer cl.close()
		c.Assert(cl.apply(), qt.IsNil)
		c.Assert(cl.waitReady(1, time.Minute), qt.IsTrue)
		// The pool has no order yet: the first calls go to all its targets.
		stop := make(chan struct{})
		var wg sync.WaitGroup
		wg.Go(func() { cl.callSteadily(stop, &wg) })
		defer wg.Wait()
		defer close(stop)
		f(c, cl)
	})
}

// callSteadily sends a call each 20 ms to the live nodes in turn, until stop is closed.
func (c *cluster) callSteadily(stop <-chan struct{}, wg *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		live := slices.DeleteFunc(c.all(), func(n *testNode) bool { return n.dead.Load() })
		node := live[i%len(live)]
		wg.Go(func() {
			// Nodes die in some tests, so that calls fail.
			_, _ = c.caller.Run(tctx, caller.Request{
				Addr: node.Addr(callerServer), Token: "pilots-token", Pipeline: "berth-confirmation", Input: fmt.Sprint("ship ", i),
			})
		})
	}
}

// order makes a call of the administration API about the roll-out, and returns the status code and body.
func (c *cluster) order(i int, method string, in any) (int, string) {
	w := c.adminCall(i, method, admin.PathRollouts+rolloutPool, in)
	return w.Code, w.Body.String()
}

// startV2 orders version v2 within 30 s, and waits until all nodes know it.
func (c *cluster) startV2(qc *qt.C) {
	code, body := c.order(0, http.MethodPut, admin.RolloutRequest{To: "v2", Within: strictjson.Duration(30 * time.Second), Share: trialBound, Slack: 20})
	qc.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	qc.Assert(c.waitReady(2, time.Minute), qt.IsTrue)
}

// rolloutAt returns the status of the roll-out at node i.
func (c *cluster) rolloutAt(qc *qt.C, i int) (st admin.RolloutStatus) {
	code, body := c.order(i, http.MethodGet, nil)
	qc.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
	qc.Assert(json.Unmarshal([]byte(body), &st), qt.IsNil)
	return st
}

// ran returns the calls started so far at the targets of v1 and of v2.
func (c *cluster) ran() (v1, v2 int) {
	for i := range 6 {
		n := c.world.Targets[fmt.Sprintf("%s-%d", rolloutPool, i+1)].TotalRuns()
		if i < 3 {
			v1 += n
		} else {
			v2 += n
		}
	}
	return v1, v2
}

// breakV2 lets each call at v2 run and end without an answer.
func (c *cluster) breakV2() {
	for i := 4; i <= 6; i++ {
		c.world.Targets[fmt.Sprintf("%s-%d", rolloutPool, i)].SetFaults(standin.TargetFaults{ResetAfter: 1 << 20})
	}
}

// assertNoMore checks that v2 gets nothing more.
func (c *cluster) assertNoMore(qc *qt.C) {
	_, before := c.ran()
	time.Sleep(5 * time.Second)
	_, after := c.ran()
	qc.Assert(after, qt.Equals, before)
}

func TestRolloutOfAGoodVersionIsCompleted(t *testing.T) {
	inRollout(t, 3, func(c *qt.C, cl *cluster) {
		cl.startV2(c)
		v1, v2 := cl.ran()
		time.Sleep(15 * time.Second)
		a1, a2 := cl.ran()
		c.Assert(a2 > v2, qt.IsTrue)
		c.Assert(float64(a2-v2) <= trialBound*float64(a1+a2-v1-v2)+20, qt.IsTrue, qt.Commentf("%d of %d", a2-v2, a1+a2-v1-v2))
		time.Sleep(16 * time.Second)
		for i := range cl.all() {
			st := cl.rolloutAt(c, i)
			c.Assert(st.State, qt.Equals, admin.RolloutCompleted, qt.Commentf("%+v", st))
		}
		before, _ := cl.ran()
		time.Sleep(2 * time.Second)
		after, _ := cl.ran()
		c.Assert(after, qt.Equals, before)
		code, body := cl.order(0, http.MethodDelete, nil)
		c.Assert(code, qt.Equals, http.StatusBadRequest)
		c.Assert(body, qt.Contains, "is completed")
	})
}

// TestRolloutOfABadVersionIsRolledBackWithoutTheStore: the store is away when the version proves to be
// bad; the version gets nothing more at once, and the record is written when the store is back.
func TestRolloutOfABadVersionIsRolledBackWithoutTheStore(t *testing.T) {
	inRollout(t, 3, func(c *qt.C, cl *cluster) {
		cl.startV2(c)
		time.Sleep(2 * time.Second)
		c.Assert(cl.rolloutAt(c, 0).State, qt.Equals, admin.RolloutRunning)
		cl.world.Store.SetFaults(store.Faults{Down: true})
		cl.breakV2()
		time.Sleep(8 * time.Second)
		cl.assertNoMore(c)
		cl.world.Store.SetFaults(store.Faults{})
		time.Sleep(3 * time.Second)
		st := cl.rolloutAt(c, 1)
		c.Assert(st.State, qt.Equals, admin.RolloutRolledBack, qt.Commentf("%+v", st))
		cl.assertNoMore(c)
	})
}

// TestRolloutOutlivesItsOwner: the node that decides is killed during the trial; another one decides in
// time.
func TestRolloutOutlivesItsOwner(t *testing.T) {
	for _, bad := range []bool{false, true} {
		inRollout(t, 4, func(c *qt.C, cl *cluster) {
			cl.startV2(c)
			time.Sleep(5 * time.Second)
			owner := slices.IndexFunc(cl.all(), func(n *testNode) bool { return len(n.rollouts.shares()) > 0 })
			c.Assert(owner >= 0, qt.IsTrue)
			cl.kill(owner)
			time.Sleep(3 * time.Second)
			another := slices.IndexFunc(cl.all(), func(n *testNode) bool { return !n.dead.Load() && len(n.rollouts.shares()) > 0 })
			c.Assert(another >= 0, qt.IsTrue)
			want := admin.RolloutCompleted
			if bad {
				cl.breakV2()
				want = admin.RolloutRolledBack
			}
			time.Sleep(23 * time.Second)
			st := cl.rolloutAt(c, (owner+1)%4)
			c.Assert(st.State, qt.Equals, want, qt.Commentf("%+v", st))
			if bad {
				cl.assertNoMore(c)
			}
		})
	}
}

// TestRolloutOfNodesThatLoseEachOther: the links between two halves of the nodes are lost during the trial;
// the order is decided in time, alike in both.
func TestRolloutOfNodesThatLoseEachOther(t *testing.T) {
	for _, bad := range []bool{false, true} {
		inRollout(t, 4, func(c *qt.C, cl *cluster) {
			cl.startV2(c)
			time.Sleep(5 * time.Second)
			half := map[string]bool{cl.node(0).ip: true, cl.node(1).ip: true}
			other := map[string]bool{cl.node(2).ip: true, cl.node(3).ip: true}
			cl.partition(func(from, to string) bool { return half[from] && other[to] || other[from] && half[to] })
			want := admin.RolloutCompleted
			if bad {
				cl.breakV2()
				want = admin.RolloutRolledBack
			}
			time.Sleep(26 * time.Second)
			for i := range cl.all() {
				st := cl.rolloutAt(c, i)
				c.Assert(st.State, qt.Equals, want, qt.Commentf("%+v", st))
			}
			if bad {
				cl.assertNoMore(c)
			}
			cl.partition()
		})
	}
}

// TestRolloutThatIsStoppedGetsNothingMore: also at a node that starts after the stop.
func TestRolloutThatIsStoppedGetsNothingMore(t *testing.T) {
	inRollout(t, 3, func(c *qt.C, cl *cluster) {
		cl.startV2(c)
		code, body := cl.order(1, http.MethodPut, admin.RolloutRequest{To: "v3", Within: strictjson.Duration(time.Minute), Share: 0.1})
		c.Assert(code, qt.Equals, http.StatusBadRequest)
		c.Assert(body, qt.Contains, "stop it first")
		time.Sleep(5 * time.Second)
		code, body = cl.order(1, http.MethodDelete, nil)
		c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		time.Sleep(2 * time.Second)
		c.Assert(cl.rolloutAt(c, 2).State, qt.Equals, admin.RolloutRolledBack)
		c.Assert(cl.rolloutAt(c, 2).Reason, qt.Not(qt.Equals), "")
		cl.assertNoMore(c)
		later, err := newRollouts(cl.node(2).Node)
		c.Assert(err, qt.IsNil)
		c.Assert(later.apply(tctx), qt.IsTrue)
		c.Assert(later.gate.Barred(rolloutPool), qt.DeepEquals, []string{"v2"})
		c.Assert(cl.restart(2), qt.IsNil)
		c.Assert(cl.waitReady(3, time.Minute), qt.IsTrue)
		cl.assertNoMore(c)
	})
}

// TestStoppedRolloutIsBarredBeforeItsRecordIsRead: a store that answers late does not delay the stop.
func TestStoppedRolloutIsBarredBeforeItsRecordIsRead(t *testing.T) {
	inRollout(t, 1, func(c *qt.C, cl *cluster) {
		cl.startV2(c)
		code, body := cl.order(0, http.MethodDelete, nil)
		c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		late, err := newRollouts(cl.node(0).Node)
		c.Assert(err, qt.IsNil)
		cl.world.Store.SetFaults(store.Faults{Delay: 10 * time.Second})
		var applied sync.WaitGroup
		applied.Go(func() { late.apply(tctx) })
		time.Sleep(100 * time.Millisecond)
		c.Assert(late.gate.Barred(rolloutPool), qt.DeepEquals, []string{"v2"})
		cl.world.Store.SetFaults(store.Faults{})
		applied.Wait()
		c.Assert(late.gate.Barred(rolloutPool), qt.DeepEquals, []string{"v2"})
	})
}

// TestOwnerDecidesAgainAfterARestartOfTheService: a supervisor restarts the service after a panic, which
// closed the owners.
func TestOwnerDecidesAgainAfterARestartOfTheService(t *testing.T) {
	inRollout(t, 1, func(c *qt.C, cl *cluster) {
		cl.startV2(c)
		time.Sleep(time.Second)
		r := cl.node(0).rollouts
		r.close()
		order := orderOf(cl.node(0).board.Catalog.Get().Rollouts()[rolloutPool])
		_, err := r.Report(tctx, rollout.Report{Node: "x", Order: order, Hold: time.Second})
		c.Assert(err, qt.IsNotNil)
		ctx, cancel := context.WithCancel(tctx)
		var restarted sync.WaitGroup
		restarted.Go(func() { _ = r.Serve(ctx) })
		defer restarted.Wait()
		defer cancel()
		synctest.Wait()
		_, err = r.Report(tctx, rollout.Report{Node: "x", Order: order, Hold: time.Second})
		c.Assert(err, qt.IsNil)
	})
}

// TestRolloutWaitsForItsOwnerAfterASuspension: after a suspension of the hosts no node acts on a share from
// before; the store is away, so that no owner can begin anew.
func TestRolloutWaitsForItsOwnerAfterASuspension(t *testing.T) {
	inRollout(t, 2, func(c *qt.C, cl *cluster) {
		cl.startV2(c)
		time.Sleep(3 * time.Second)
		cl.world.Store.SetFaults(store.Faults{Down: true})
		time.Sleep(time.Second)
		_, share := cl.node(0).rollouts.gate.Trial(rolloutPool)
		c.Assert(share > 0, qt.IsTrue)
		cl.bootLead.Add(int64(time.Minute))
		time.Sleep(2 * suspendCheck)
		cl.assertNoMore(c)
		cl.world.Store.SetFaults(store.Faults{})
		time.Sleep(25 * time.Second)
		c.Assert(cl.rolloutAt(c, 0).State, qt.Equals, admin.RolloutCompleted)
	})
}

// TestRolloutRecordStands: the first final record stands, also before a stop that comes later; a stopped
// order is not completed; a record of an earlier order is refused.
func TestRolloutRecordStands(t *testing.T) {
	inRollout(t, 1, func(c *qt.C, cl *cluster) {
		n := cl.node(0)
		save := func(revision int64, state rollout.State) (rollout.State, error) {
			r, err := rolloutRecords{n.Node}.Save(tctx, rollout.Record{
				Service: rolloutPool, To: "v2", Revision: store.Version{Number: revision}, State: state,
			})
			return r.State, err
		}
		order := func(o catalog.Rollout) {
			o.Pool, o.To, o.Within, o.Share = rolloutPool, "v2", strictjson.Duration(time.Hour), trialBound
			value, err := json.Marshal(o)
			c.Assert(err, qt.IsNil)
			c.Assert(cl.submit([]catalog.Item{{Kind: catalog.RolloutItem, Name: rolloutPool, Value: value}}), qt.IsNil)
		}
		_, err := save(2, rollout.Running)
		c.Assert(err, qt.Equals, rollout.ErrSuperseded)
		order(catalog.Rollout{Revision: 2})
		for _, state := range []rollout.State{rollout.Completed, rollout.RolledBack, rollout.Running} {
			kept, err := save(2, state)
			c.Assert(err, qt.IsNil)
			c.Assert(kept, qt.Equals, rollout.Completed)
		}
		order(catalog.Rollout{Revision: 2, Stopped: true})
		late, err := newRollouts(n.Node)
		c.Assert(err, qt.IsNil)
		c.Assert(late.apply(tctx), qt.IsTrue)
		c.Assert(late.gate.Barred(rolloutPool), qt.HasLen, 0)
		order(catalog.Rollout{Revision: 4, Stopped: true})
		_, err = save(2, rollout.Running)
		c.Assert(err, qt.Equals, rollout.ErrSuperseded)
		kept, err := save(4, rollout.Completed)
		c.Assert(err, qt.IsNil)
		c.Assert(kept, qt.Equals, rollout.RolledBack)
	})
}

// TestRolloutGroupsHostsByVersion: a node's part of a large pool has targets of each version, only while the
// pool has a roll-out.
func TestRolloutGroupsHostsByVersion(t *testing.T) {
	inRollout(t, 1, func(c *qt.C, cl *cluster) {
		groups := func() int {
			n, seen := cl.node(0), make(map[string]bool)
			apart := n.hostGroups(n.board.Catalog.Get())
			for _, h := range n.board.Hosts.Get().Hosts {
				if h.Pool == rolloutPool {
					seen[apart(h)] = true
				}
			}
			return len(seen)
		}
		c.Assert(groups(), qt.Equals, 1)
		cl.startV2(c)
		c.Assert(groups(), qt.Equals, 2)
	})
}

func TestRolloutDryRunChangesNothing(t *testing.T) {
	inRollout(t, 2, func(c *qt.C, cl *cluster) {
		time.Sleep(25 * time.Second)
		req := admin.RolloutRequest{To: "v2", Within: strictjson.Duration(30 * time.Second), Share: trialBound, DryRun: true}
		code, body := cl.order(0, http.MethodPut, req)
		c.Assert(code, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		var res admin.RolloutResult
		c.Assert(json.Unmarshal([]byte(body), &res), qt.IsNil)
		c.Assert(res.Accepted, qt.IsFalse)
		c.Assert(res.Forecast.Targets, qt.DeepEquals, []admin.VersionCount{{DataCentre: "dc-1", New: 1, Old: 2}, {DataCentre: "dc-2", New: 2, Old: 1}})
		c.Assert(res.Forecast.PerSecond > 40 && res.Forecast.PerSecond < 60, qt.IsTrue, qt.Commentf("%v", res.Forecast.PerSecond))
		c.Assert(res.Forecast.Warnings, qt.HasLen, 0)
		req.To, req.Share = "v9", 0.001
		_, body = cl.order(0, http.MethodPut, req)
		c.Assert(json.Unmarshal([]byte(body), &res), qt.IsNil)
		c.Assert(res.Forecast.Warnings, qt.HasLen, 2)
		c.Assert(cl.node(0).board.Catalog.Get().Revision, qt.Equals, int64(1))
		req.Within, req.Share = strictjson.Duration(time.Second), 2
		code, body = cl.order(0, http.MethodPut, req)
		c.Assert(code, qt.Equals, http.StatusBadRequest)
		c.Assert(body, qt.Contains, "within: is under 5s")
		c.Assert(body, qt.Contains, "share: is 2")
	})
}
