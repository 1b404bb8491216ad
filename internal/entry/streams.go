package entry

import (
	"topazmoor/internal/resume"
)

// provisionStreams creates the records of the versions at which streams began.
func (n *Node) provisionStreams() {
	n.streams = resume.NewRegistry()
	n.streams.Self = resume.Node{Name: n.set.Node, DataCentre: n.set.DataCentre}
	n.streams.Regions = n.set.Regions
	n.streams.FollowsList = func() bool { return !n.targetTable.Lost() }
	n.streams.Versions = func(service string) (versions []string, complete bool) {
		versions, complete = n.targets.SoftwareVersions(service)
		return versions, complete && n.streams.FollowsList()
	}
	n.streams.Log = n.log
	n.streams.History = n.provisionVersionHistory()
	n.streams.Nodes = func() []resume.Node {
		var out []resume.Node
		for _, m := range n.state.Members.Get() {
			out = append(out, resume.Node{Name: m.Name, Addr: m.Addr, DataCentre: m.DataCentre})
		}
		return out
	}
	n.metrics.Gauge("topazmoor_entry_stream_records", "Records of the versions at which streams began.", func() float64 { return float64(n.streams.Records()) })
}

// provisionVersionHistory creates the rows of the versions that services have had lately.
func (n *Node) provisionVersionHistory() *resume.History {
	h := resume.NewHistory()
	h.Store, h.Log = n.env.Store, n.log
	h.Versions, h.Services, h.Writes = n.streams.Versions, n.targets.Services, n.streams.WritesHistory
	return h
}
