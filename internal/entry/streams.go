package entry

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/resume"
	"topazmoor/internal/store"
)

// provisionStreams creates the records of the versions at which streams began.
func (n *Node) provisionStreams() {
	n.streams = resume.NewRegistry()
	n.streams.Self = resume.Node{Name: n.set.Node, DataCentre: n.set.DataCentre}
	n.streams.Regions = n.set.Regions
	n.streams.Versions = func(service string) (versions []string, followed time.Duration) {
		versions, followed = n.targets.SoftwareVersions(service)
		if n.targetTable.Lost() {
			return versions, 0
		}
		return versions, followed
	}
	n.streams.Confirm = n.confirmVersion
	n.streams.Log = n.log
	n.streams.History = n.provisionVersionHistory()
	n.streams.Checkpoints = resume.NewCheckpoints()
	n.streams.Checkpoints.Store, n.streams.Checkpoints.Streams, n.streams.Checkpoints.Log = n.env.Store, n.streams, n.log
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

// confirmVersion implements resume.Confirm: it reads from the store what the list of targets lacks.
func (n *Node) confirmVersion(ctx context.Context, service, version string) error {
	have := n.targetTable.Copy().Position().Version
	changes, err := n.env.Store.Changes(ctx, n.env.TargetTable, have, 0)
	if err != nil {
		return eris.Wrap(err, "read changes of the list of targets")
	}
	if changes.Late || !changes.Version.SameEra(have) {
		return eris.Wrap(store.ErrUnavailable, "the store's answer does not continue the list of targets")
	}
	for _, change := range changes.Changes {
		if change.Deleted {
			continue
		}
		target, err := n.env.Sources.Target(change.Row)
		if err != nil {
			// No node can use a row that is not readable; each logs it when its list gets it.
			continue
		}
		if target.Service == service && target.Version != version {
			return resume.ErrOtherVersion
		}
	}
	return nil
}
