package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"topazmoor/internal/control"
	"topazmoor/internal/fleet"
	"topazmoor/internal/httpanswer"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
)

// demandSample is the maximum number of other nodes queried for their demand in
// one round. The sum is extrapolated to all live nodes.
const demandSample = 16

// balanceShard returns the control shard that orders engines to load models.
func (n *Node) balanceShard() *control.Shard {
	c := &fleet.Controller{
		Tables: n.env.Store, Engines: n.engines, Demand: n.demand, Limits: fleet.DefaultLimits, Log: n.log,
		Node: n.s.Node.Name, NewID: n.env.NewID,
		Client: &http.Client{Transport: httpanswer.NewTransport(httpanswer.Options{Dial: n.links.DialContext, NoKeepAlive: true})},
	}
	s := &control.Shard{
		Name: "balance", Node: n.s.Node.Name, Task: c, Preferred: n.peers.isPreferredNode,
		Tables: n.env.Store, NewID: n.env.NewID, Log: n.log,
	}
	c.Epoch = s.Epoch
	return s
}

// engines returns the engines that may receive orders: those on live, undrained
// hosts of generate pools with balancing enabled.
func (n *Node) engines() []fleet.Engine {
	pools := make(map[string]settings.Pool)
	for _, p := range n.s.Pools {
		if p.Kind == settings.Generate && p.Balance {
			pools[p.Name] = p
		}
	}
	var out []fleet.Engine
	for _, h := range servingHosts(n.board.Hosts.Get().Hosts, n.board.Catalog.Get()) {
		p, ok := pools[h.Pool]
		if !ok {
			continue
		}
		out = append(out, fleet.Engine{
			ID: h.ID, Addr: h.Addr, Pool: h.Pool, Models: h.Models, Slots: h.Slots, HonoursFencing: p.HonoursFencing,
		})
	}
	return out
}

// demand estimates the demand of all live nodes, in calls per pool and model, from
// this node's demand and that of a random sample of the others.
func (n *Node) demand(ctx context.Context) (fleet.Demand, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	live := n.peers.live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	all := [][]scheduler.ModelDemand{n.sched.ModelDemand()}
	for _, m := range live[:min(len(live), demandSample)] {
		if d, err := n.peers.client.Demand(ctx, m.Addr); err == nil {
			all = append(all, d)
		}
	}
	scale := float64(len(live)+1) / float64(len(all))
	sum := make(fleet.Demand)
	for _, list := range all {
		for _, d := range list {
			sum[fleet.ModelKey{Pool: d.Pool, Model: d.Model}] += scale * float64(d.Calls)
		}
	}
	return sum, nil
}
