package node

import (
	"net/http"
	"time"

	"topazmoor/internal/admin"
)

// Ready reports whether the balancer should send callers here, and why not.
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
	if n.cutOff() {
		return false, "cut off: neither the platform nor any of the known nodes answers"
	}
	return true, ""
}

// cutOffAfter is how long the platform may be silent before a node without
// peers is taken as cut off.
const cutOffAfter = 30 * time.Second

// cutOff reports whether the node hears nobody while it knows that there are
// others. A node that is alone by design goes on through an outage.
func (n *Node) cutOff() bool {
	known := n.board.Members.Get()
	return len(known) > 0 && len(n.peers.live()) == 0 && time.Since(n.follower.LastRead()) > cutOffAfter
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := n.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status implements the status call of the administration API.
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
	for host := range cfg.Drains() {
		st.Drained = append(st.Drained, host)
	}
	for name := range cfg.DataCentreDrains() {
		st.Drained = append(st.Drained, "data centre "+name)
	}
	return st
}
