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

// controlShards returns the background work of which one node at a time is the
// worker.
func (n *Node) controlShards() []suture.Service {
	var out []suture.Service
	add := func(name string, task control.Task) {
		out = append(out, &control.Shard{
			Name: name, Node: n.s.Node.Name, Task: task, Mine: n.peers.firstChoice,
			Tables: n.env.Store, NewID: n.env.NewID, Log: n.log,
		})
	}
	for i := range ledger.SweepShards {
		add(fmt.Sprint("claims-", i), ledger.Sweep(n.env.Store, i, n.s.Ledger.RepeatWindow.Std()))
	}
	add("events", control.SweepEvents(n.env.Store))
	add("nodes", n.sweepNodes())
	if n.balances() {
		out = append(out, n.balanceShard())
	}
	return out
}

// balances reports whether the settings let engines of any pool be balanced.
func (n *Node) balances() bool {
	return slices.ContainsFunc(n.s.Pools, func(p settings.Pool) bool { return p.Balance })
}

// sweepNodes deletes the rows of nodes that stopped or died: new nodes would
// try their addresses for nothing. The row of a node that came back under its
// name has another version.
func (n *Node) sweepNodes() control.Task {
	gone := func(r store.Row, _ time.Time) bool {
		for _, m := range n.board.Members.Get() {
			if m.Name == r.Key {
				return m.Health > membership.Suspect
			}
		}
		return false
	}
	return &control.Sweep{Tables: n.env.Store, Table: nodeTable, Prefixes: []string{""}, Old: gone}
}
