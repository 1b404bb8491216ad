package entry

import (
	"topazmoor/internal/httpconn"
	"topazmoor/internal/ownership"
	"topazmoor/internal/traffic"
)

// provisionTraffic counts what this node exchanges with other nodes and with targets.
func (n *Node) provisionTraffic() {
	n.traffic = &traffic.Meter{Directory: traffic.Directory{Self: n.place(n.set.DataCentre)}}
	n.env.Conns.SetMeter(n.targetMeter)
	n.metrics.Traffic(n.traffic.Totals, n.targetTraffic.Totals)
}

// place returns a data centre together with its region.
func (n *Node) place(dataCentre string) ownership.Place {
	return ownership.Place{DataCentre: dataCentre, Region: n.set.Regions[dataCentre]}
}

// targetMeter returns the counter of a new connection to a target. A target that has left the list
// counts for the service "".
func (n *Node) targetMeter(addr string) httpconn.Meter {
	service, dataCentre := n.targets.Locate(addr)
	return n.targetTraffic.Link(service, traffic.ScopeOf(n.traffic.Self, n.place(dataCentre)))
}

// logTraffic logs the totals of the traffic with nodes of other regions, at the end of the process.
func (n *Node) logTraffic() {
	for _, t := range n.traffic.Totals() {
		if t.Scope == traffic.OtherRegion {
			n.log.Info("traffic with nodes of other regions", "call", t.Call.String(), "direction", t.Direction.String(), "bytes", t.Bytes, "messages", t.Messages)
		}
	}
}
