package node

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"topazmoor/internal/admin"
	"topazmoor/internal/catalog"
	"topazmoor/internal/region"
	"topazmoor/internal/store"
)

// Ready reports whether the load balancer should route callers to this node. If
// not, it also returns the reason.
func (n *Node) Ready() (bool, string) {
	select {
	case <-n.stopping:
		return false, "stopping"
	default:
	}
	if n.board.Catalog.Get().Revision == 0 {
		return false, "no configuration yet: neither the table service nor a peer gave one"
	}
	if len(n.board.Hosts.Get().Hosts) == 0 {
		return false, "no target hosts yet: the host list was not read"
	}
	if n.isolated() {
		return false, "cut off: neither the platform nor any of the known nodes answers"
	}
	return true, ""
}

// isolationTimeout is the time since the last read from the platform after which a
// node without live peers counts as isolated.
const isolationTimeout = 30 * time.Second

// isolated reports whether the node is isolated: it knows other nodes, none of them
// is live, and the last read from the platform is older than isolationTimeout. A
// node that knows no others stays ready through an outage of the platform.
func (n *Node) isolated() bool {
	known := n.board.Members.Get()
	return len(known) > 0 && len(n.peers.live()) == 0 && time.Since(n.follower.LastRead()) > isolationTimeout
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := n.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status returns the result of the status call of the administration API.
func (n *Node) Status() admin.Status {
	ready, reason := n.Ready()
	cfg := n.board.Catalog.Get()
	st := admin.Status{
		Node: n.s.Node.Name, Ready: ready, Reason: reason, Revision: cfg.Revision,
		Accounts: cfg.Accounts(), InFlight: n.front.InFlight(), Hosts: len(n.board.Hosts.Get().Hosts),
		Drained: []string{},
		Nodes:   []admin.NodeStatus{{Name: n.s.Node.Name, DataCentre: n.s.Node.DataCentre, State: "self", Revision: cfg.Revision}},
	}
	for _, m := range n.board.Members.Get() {
		st.Nodes = append(st.Nodes, admin.NodeStatus{Name: m.Name, DataCentre: m.DataCentre, State: m.Health.String(), Revision: m.Revision})
	}
	st.Regions = regionStatus(n.s.RegionMap(), n.board.Hosts.Get().Hosts, cfg)
	for host := range cfg.Drains() {
		st.Drained = append(st.Drained, host)
	}
	for name := range cfg.DataCentreDrains() {
		st.Drained = append(st.Drained, "data centre "+name)
	}
	return st
}

// servingByRegion returns the number of target hosts that get new work, for each region that the node
// knows.
func (n *Node) servingByRegion() map[string]float64 {
	regions := n.s.RegionMap()
	out := make(map[string]float64)
	for _, name := range regions.Names() {
		out[name] = 0
	}
	for _, h := range servingHosts(n.board.Hosts.Get().Hosts, n.board.Catalog.Get()) {
		if name, ok := regions[h.DataCentre]; ok {
			out[name]++
		}
	}
	return out
}

// regionStatus describes the regions of the data centres, in the order of their names.
func regionStatus(regions region.Map, hosts []store.Host, cfg *catalog.Compiled) []admin.RegionStatus {
	use := cfg.RegionUse()
	var out []admin.RegionStatus
	for _, name := range regions.Names() {
		st := admin.RegionStatus{Name: name, Accounts: use[name]}
		for _, dc := range slices.Sorted(maps.Keys(regions)) {
			if regions[dc] == name {
				st.DataCentres = append(st.DataCentres, dc)
			}
		}
		inRegion := slices.DeleteFunc(slices.Clone(hosts), func(h store.Host) bool { return regions[h.DataCentre] != name })
		st.Hosts = len(inRegion)
		st.Serving = len(servingHosts(inRegion, cfg))
		out = append(out, st)
	}
	return out
}
