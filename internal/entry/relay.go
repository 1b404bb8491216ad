package entry

import (
	"topazmoor/internal/mechanism"
	"topazmoor/internal/relay"
	"topazmoor/internal/watch"
)

// provisionRelay lets this node follow the store through a node of its data centre, and
// others through this one. The tables are held until that is decided.
func (n *Node) provisionRelay() {
	// A node that is not entered yet is not among them: it cannot be followed, so it need not ask the
	// store by itself.
	near := n.board.Near.Get
	if n.set.Off.Has(mechanism.Relays) {
		near = func() []relay.Node { return nil }
	}
	n.teller = relay.NewTeller(n.servers, n.config, n.peers.members, n.quarantine)
	shared := func() bool { return n.teller.Followers() > 0 }
	n.servers.Shared, n.servers.SharedWait = shared, watch.SharedWait
	n.config.Shared, n.config.SharedWait = shared, watch.SharedLongWait
	n.follower = &relay.Follower{
		Self: n.set.Node, DataCentre: n.set.DataCentre, Nodes: near, Known: n.peers.known, Answered: n.peers.answered,
		Remote: n.peers.client, Tables: n.teller.Tables(), Teller: n.teller, Log: n.log,
	}
	for _, table := range n.teller.Tables() {
		table.Hold()
	}
}
