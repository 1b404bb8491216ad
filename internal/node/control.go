package node

import (
	"fmt"
	"slices"
	"time"

	"github.com/thejerf/suture/v4"

	"topazmoor/internal/control"
	"topazmoor/internal/ledger"
	"topazmoor/internal/membership"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
)

// controlShards returns the control shards: background tasks, each of which runs
// on one node at a time.
func (n *Node) controlShards() []suture.Service {
	var out []suture.Service
	add := func(name string, task control.Task) {
		out = append(out, &control.Shard{
			Name: name, Node: n.s.Node.Name, Task: task, Preferred: n.peers.isPreferredNode,
			Tables: n.env.Store, NewID: n.env.NewID, Log: n.log,
		})
	}
	for i := range ledger.SweepShards {
		add(fmt.Sprint("claims-", i), ledger.Sweep(n.env.Store, i, n.s.Ledger.RepeatWindow.Std()))
	}
	add("events", control.SweepEvents(n.env.Store))
	add("nodes", n.sweepNodes())
	if n.balancingEnabled() {
		out = append(out, n.balanceShard())
	}
	return out
}

// balancingEnabled reports whether the settings enable balancing for any pool.
func (n *Node) balancingEnabled() bool {
	return slices.ContainsFunc(n.s.Pools, func(p settings.Pool) bool { return p.Balance })
}

// sweepNodes returns the task that deletes the rows of stopped and dead nodes from
// the node table, so that starting nodes do not try their addresses. A node that
// restarted under the same name has rewritten its row, which then has another
// version.
func (n *Node) sweepNodes() control.Task {
	gone := func(r store.Row, _ time.Time) bool {
		for _, m := range n.board.Members.Get() {
			if m.Name == r.Key {
				return m.Health > membership.Suspect
			}
		}
		return false
	}
	return &control.Sweep{Tables: n.env.Store, Table: nodeTable, Prefixes: []string{""}, Expired: gone}
}
