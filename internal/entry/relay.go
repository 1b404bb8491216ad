package entry

import (
	"topazmoor/internal/mechanism"
	"topazmoor/internal/relay"
	"topazmoor/internal/watch"
)

// provisionRelay lets this node follow the store through another node of its data centre, and
// other nodes through this one. Until that is decided, the table watches wait for updates from
// another node instead of asking the store.
func (n *Node) provisionRelay() {
	// A node without a row in the member table is not in this list: no node can follow it, so it
	// need not read from the store by itself.
	local := n.state.LocalNodes.Get
	if n.set.Off.Has(mechanism.Relays) {
		local = func() []relay.Node { return nil }
	}
	n.relayServer = relay.NewPublisher(n.targetTable, n.configTable, n.peers.members, n.quarantineTable)
	shared := func() bool { return n.relayServer.Followers() > 0 }
	n.targetTable.HasFollowers, n.targetTable.SharedWait = shared, watch.SharedWait
	n.configTable.HasFollowers, n.configTable.SharedWait = shared, watch.SharedLongWait
	n.follower = &relay.Follower{
		Self: n.set.Node, DataCentre: n.set.DataCentre, Nodes: local, NodesKnown: n.peers.known, StoreAnswered: n.peers.answered,
		Remote: n.peers.client, Tables: n.relayServer.Tables(), Publisher: n.relayServer, Log: n.log,
	}
	for _, table := range n.relayServer.Tables() {
		table.StopPolling()
	}
}
