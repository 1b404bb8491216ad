package node

import (
	"slices"

	"topazmoor/internal/store"
	"topazmoor/internal/targetlink"
)

// provisionLinks lets this node connect to targets through other nodes while its own path is lost.
func (n *Node) provisionLinks() {
	n.links.Use(targetlink.Others{
		Nodes: n.linkNodes, Connect: n.peers.client.Connect,
		DataCentre: n.s.Node.DataCentre, DataCentreOf: n.dataCentreOf, Addresses: n.targetAddresses, MayCarry: n.mayCarry,
		PathChanged: func(targetlink.Change) { n.calls.Close() },
	})
}

// mayCarry reports whether a node in a data centre may carry what is sent to the target at an address. The
// connection serves all requests that the target may serve, also later ones.
func (n *Node) mayCarry(dataCentre, addr string) bool {
	return n.s.RegionMap().MayPass(n.board.Catalog.Get().RegionSets(), n.dataCentreOf(addr), dataCentre)
}

// linkNodes returns the other nodes.
func (n *Node) linkNodes() []targetlink.Node {
	members := n.board.Members.Get()
	out := make([]targetlink.Node, len(members))
	for i, m := range members {
		out[i] = targetlink.Node{Name: m.Name, Addr: m.Addr, DataCentre: m.DataCentre}
	}
	return out
}

// dataCentreOf returns the data centre of the host at an address; "" if none is listed there.
func (n *Node) dataCentreOf(addr string) string {
	hosts := n.board.Hosts.Get().Hosts
	i := slices.IndexFunc(hosts, func(h store.Host) bool { return h.Addr == addr })
	if i < 0 {
		return ""
	}
	return hosts[i].DataCentre
}

// targetAddresses returns the addresses of the listed hosts.
func (n *Node) targetAddresses() []string {
	hosts := n.board.Hosts.Get().Hosts
	out := make([]string, len(hosts))
	for i, h := range hosts {
		out[i] = h.Addr
	}
	return out
}
