package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	qt "github.com/frankban/quicktest"

	"topazmoor/internal/admin"
	"topazmoor/internal/catalog"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// adminCall makes one call of the administration API of node i.
func (c *cluster) adminCall(i int, method, path string, in any) *httptest.ResponseRecorder {
	body, err := json.Marshal(in)
	if err != nil {
		panic(err)
	}
	r := httptest.NewRequest(method, path, strings.NewReader(string(body)))
	r.Header.Set("Authorization", "Bearer op")
	w := httptest.NewRecorder()
	c.node(i).admin.ServeHTTP(w, r)
	return w
}

func manifest(model string) string {
	return `{"accounts": [{"name": "new", "tokens_sha256": [], "pipelines": [
		{"name": "p", "template": "answer", "parameters": {"model": "` + model + `"}}]}]}`
}

func applyResult(c *qt.C, w *httptest.ResponseRecorder) admin.ApplyResult {
	c.Assert(w.Code, qt.Equals, http.StatusOK, qt.Commentf("%s", w.Body))
	var res admin.ApplyResult
	c.Assert(json.Unmarshal(w.Body.Bytes(), &res), qt.IsNil)
	return res
}

// TestConfigOfRacingOperators submits two changes made on the same revision at
// two nodes: one is accepted, the other gets a conflict that lists the changes
// since its base revision.
func TestConfigOfRacingOperators(t *testing.T) {
	inCluster(t, 2, func(c *qt.C, cl *cluster) {
		first := cl.adminCall(0, http.MethodPost, admin.PathConfig, admin.ApplyRequest{Base: 1, Manifest: manifest("atlas-7b")})
		c.Assert(applyResult(c, first).Revision, qt.Equals, int64(2))
		second := cl.adminCall(1, http.MethodPost, admin.PathConfig, admin.ApplyRequest{Base: 1, Manifest: `{"delete_accounts": ["pilots"]}`})
		c.Assert(second.Code, qt.Equals, http.StatusConflict)
		var conflict admin.Conflict
		c.Assert(json.Unmarshal(second.Body.Bytes(), &conflict), qt.IsNil)
		c.Assert(conflict.Code, qt.Equals, verdict.RevisionConflict)
		c.Assert(conflict.Since, qt.HasLen, 1)
		c.Assert(conflict.Since[0].By, qt.Equals, "op")
	})
}

func TestConfigIsCheckedAgainstWhatTargetsOffer(t *testing.T) {
	inCluster(t, 1, func(c *qt.C, cl *cluster) {
		req := admin.ApplyRequest{Manifest: manifest("unknown-70b")}
		w := cl.adminCall(0, http.MethodPost, admin.PathConfig, req)
		c.Assert(w.Code, qt.Equals, http.StatusBadRequest)
		c.Assert(w.Body.String(), qt.Contains, "no target of pool engines offers model")
		req.Force = true
		c.Assert(applyResult(c, cl.adminCall(0, http.MethodPost, admin.PathConfig, req)).Accepted, qt.IsTrue)
	})
}

func TestConfigReturnsToAnEarlierContentAsANewRevision(t *testing.T) {
	inCluster(t, 2, func(c *qt.C, cl *cluster) {
		before := cl.node(0).board.Catalog.Get().Object(catalog.AccountItem, "pilots")
		change := admin.ApplyRequest{Manifest: `{"delete_accounts": ["pilots"]}`}
		c.Assert(applyResult(c, cl.adminCall(0, http.MethodPost, admin.PathConfig, change)).Revision, qt.Equals, int64(2))
		change.Manifest = manifest("atlas-7b")
		c.Assert(applyResult(c, cl.adminCall(0, http.MethodPost, admin.PathConfig, change)).Revision, qt.Equals, int64(3))
		back := applyResult(c, cl.adminCall(0, http.MethodPost, admin.PathRevert, admin.RevertRequest{To: 1}))
		c.Assert(back.Revision, qt.Equals, int64(4))
		c.Assert(cl.waitReady(4, time.Minute), qt.IsTrue)
		for i := range cl.all() {
			cfg := cl.node(i).board.Catalog.Get()
			c.Assert(string(cfg.Object(catalog.AccountItem, "pilots")), qt.Equals, string(before))
			c.Assert(cfg.Account("new"), qt.IsNil)
		}
	})
}

// TestConfigReachesNodesWithoutThePlatform cuts all nodes but one off from the
// platform: they receive the change from their peers.
func TestConfigReachesNodesWithoutThePlatform(t *testing.T) {
	inCluster(t, 4, func(c *qt.C, cl *cluster) {
		time.Sleep(20 * time.Second)
		for _, n := range cl.all()[1:] {
			n.gate.SetDisconnected(true)
		}
		c.Assert(cl.submit([]catalog.Item{{Kind: catalog.DrainItem, Name: "h", Value: []byte(`{"host":"h"}`)}}), qt.IsNil)
		time.Sleep(3 * time.Second)
		for i := range cl.all() {
			c.Assert(cl.node(i).board.Catalog.Get().Drained("h"), qt.IsTrue, qt.Commentf("node %d", i))
		}
	})
}

// TestOutageOfAnHour takes the platform down for an hour: nodes keep serving, and
// the recovery causes no burst of reads.
func TestOutageOfAnHour(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		time.Sleep(time.Minute)
		before := cl.world.Store.Counts()
		time.Sleep(time.Minute)
		usual := cl.world.Store.Counts().Reads - before.Reads
		cl.world.Store.SetFaults(store.Faults{Down: true})
		for i := range 12 {
			time.Sleep(5 * time.Minute)
			res, err := cl.ask(i%3, "still there", false)
			c.Assert(err, qt.IsNil)
			c.Assert(res.Problem, qt.IsNil)
			ready, reason := cl.node(i % 3).Ready()
			c.Assert(ready, qt.IsTrue, qt.Commentf("%s", reason))
		}
		down := cl.world.Store.Counts()
		cl.world.Store.SetFaults(store.Faults{})
		time.Sleep(time.Minute)
		after := cl.world.Store.Counts().Reads - down.Reads
		c.Assert(after < 2*usual, qt.IsTrue, qt.Commentf("%d reads in the minute after, %d usually", after, usual))
		res, err := cl.confirm(0, "after", "key-after")
		c.Assert(err, qt.IsNil)
		c.Assert(res.Problem, qt.IsNil)
	})
}

// TestConfigReachesANodeBackFromAPause changes the configuration while a node is
// paused.
func TestConfigReachesANodeBackFromAPause(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		n := cl.node(2)
		n.gate.Freeze()
		cl.net.Freeze(n.ip)
		c.Assert(cl.submit([]catalog.Item{{Kind: catalog.DrainItem, Name: "h", Value: []byte(`{"host":"h"}`)}}), qt.IsNil)
		time.Sleep(2 * time.Minute)
		c.Assert(n.board.Catalog.Get().Drained("h"), qt.IsFalse)
		n.gate.Unfreeze()
		cl.net.Unfreeze(n.ip)
		time.Sleep(10 * time.Second)
		c.Assert(n.board.Catalog.Get().Drained("h"), qt.IsTrue)
	})
}

// TestMembershipSpreadsControlWork checks that names are spread evenly over
// nodes, and that removing a node moves only the names that it had.
func TestMembershipSpreadsControlWork(t *testing.T) {
	c := qt.New(t)
	nodes := []string{"n1", "n2", "n3", "n4", "n5", "n6", "n7", "n8"}
	const names = 4000
	count := make(map[string]int)
	for i := range names {
		key := xxhash.Sum64String(fmt.Sprint("shard-", i))
		before := rendezvous(nodes, key)
		count[before]++
		if after := rendezvous(nodes[1:], key); before != nodes[0] {
			c.Assert(after, qt.Equals, before)
		}
	}
	for _, n := range nodes {
		share := float64(count[n]) * float64(len(nodes)) / names
		c.Assert(share > 0.85 && share < 1.15, qt.IsTrue, qt.Commentf("%s has %.2f of its share", n, share))
	}
}
