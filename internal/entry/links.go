package entry

import (
	"net"

	"topazmoor/internal/peer"
	"topazmoor/internal/targetlink"
)

// provisionLinks lets this node connect to targets through other nodes while its own path is lost.
func (n *Node) provisionLinks() {
	if n.set.MemoryBytes > 0 {
		n.env.Links.BoundTunnels(n.set.MemoryBytes / tunnelsDivisor / peer.TunnelBytes)
	}
	n.env.Links.Use(targetlink.Others{
		Nodes: n.linkNodes, Connect: n.peers.client.Connect,
		DataCentre: n.set.DataCentre, DataCentreOf: n.targets.DataCentreOf, Addresses: n.targets.Addresses, MayCarry: n.mayCarry,
		PathChanged: n.pathChanged,
	})
	n.metrics.GaugeVec("topazmoor_entry_target_connects", "Connects to targets over this node's own path since its start, by outcome.", "outcome", n.env.Links.Connects)
	n.metrics.GaugeVec("topazmoor_entry_target_tunnels", "Connections to targets through other nodes since this node's start: opened, failed, tried for others, and refused to others.", "kind", n.env.Links.Tunnels)
	n.metrics.Gauge("topazmoor_entry_target_tunnels_open", "Connections to targets that are open through other nodes and on their behalf.", n.env.Links.OpenTunnels)
	n.metrics.Counter("topazmoor_entry_stray_answers_total", "Answers of targets that were skipped because they belong to other requests.", func() float64 { return float64(n.env.Conns.Strays()) })
	n.metrics.Gauge("topazmoor_entry_target_path_lost", "1 while this node's own path to targets counts as lost, else 0.", func() float64 {
		if n.env.Links.Lost() {
			return 1
		}
		return 0
	})
}

// mayCarry reports whether a node in a data centre may carry what is sent to the target at an address. The
// connection serves all requests that the target may serve, also later ones.
func (n *Node) mayCarry(dataCentre, addr string) bool {
	service, at := n.targets.Locate(addr)
	return n.set.Regions.MayPass(n.regionSets(service), at, dataCentre)
}

// linkNodes returns the other nodes.
func (n *Node) linkNodes() []targetlink.Node {
	members := n.state.Members.Get()
	out := make([]targetlink.Node, len(members))
	for i, m := range members {
		out[i] = targetlink.Node{Name: m.Name, Addr: m.Addr, DataCentre: m.DataCentre}
	}
	return out
}

// pathChanged drops the idle connections of the other path: those over a path that fell silent would
// hang, and those through other nodes cost these nodes work.
func (n *Node) pathChanged(c targetlink.Change) {
	switch {
	case !c.Lost:
		n.env.Conns.CloseIdleIf(targetlink.IsRelayed)
	case c.Silent > 0:
		n.env.Conns.CloseIdleIf(func(conn net.Conn) bool { return !targetlink.IsRelayed(conn) })
	}
}
