package node

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
	"topazmoor/internal/store"
)

// A drain of a data centre takes effect at all nodes, is in their status and in the
// items of a peer snapshot, and can be lifted.
func TestDataCentreIsDrainedAndTakenBack(t *testing.T) {
	inCluster(t, 3, func(c *qt.C, cl *cluster) {
		hosts := []store.Host{
			{ID: "a", DataCentre: "hall", State: store.Live}, {ID: "b", DataCentre: "dock", State: store.Live},
		}
		item := catalog.Item{Kind: catalog.DataCentreDrainItem, Name: "dock", Value: []byte(`{"data_centre":"dock","reason":"power"}`)}
		c.Assert(cl.submit([]catalog.Item{item}), qt.IsNil)
		time.Sleep(3 * time.Second)
		for i := range cl.all() {
			n := cl.node(i)
			cfg := n.board.Catalog.Get()
			c.Assert(servingHosts(hosts, cfg), qt.DeepEquals, hosts[:1], qt.Commentf("node %d", i))
			c.Assert(n.Status().Drained, qt.DeepEquals, []string{"data centre dock"})
			c.Assert(slices.ContainsFunc(cfg.Items(), func(it catalog.Item) bool { return it.Key() == item.Key() }), qt.IsTrue)
			c.Assert(string(cfg.Object(item.Kind, item.Name)), qt.Equals, string(item.Value))
		}
		c.Assert(cl.submit([]catalog.Item{{Kind: item.Kind, Name: item.Name}}), qt.IsNil)
		time.Sleep(3 * time.Second)
		c.Assert(servingHosts(hosts, cl.node(0).board.Catalog.Get()), qt.HasLen, 2)
	})
}
