package entry

import (
	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/restore"
	"topazmoor/internal/routes"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// applyOperatorTable applies the rows of the table that the operator writes: the drains of data
// centres, the roll-out orders and the configuration. The view holds the rows in force, as
// restore.Table determines them after the store lost rows or was restored from a backup.
func (n *Node) applyOperatorTable(v watch.View, r restore.Result) {
	n.versionTracker.observe(v.Rows)
	n.applyDrains(v)
	n.gate.SetOrders(n.env.Sources.Rollouts(v.Rows))
	if r.Restored {
		n.gate.StoreRestored()
	}
	n.applyConfig(v)
}

// applyDrains starts and ends drains of data centres.
func (n *Node) applyDrains(v watch.View) {
	began, ended := n.targets.Drain(n.env.Sources.Drained(v.Rows))
	for _, dc := range began {
		n.log.Info("data centre drained", "drained", dc, "row_version", v.Version)
	}
	for _, dc := range ended {
		n.log.Info("data centre drain ended", "drained", dc, "row_version", v.Version)
	}
}

// applyConfig puts a newer configuration in force.
func (n *Node) applyConfig(v watch.View) {
	cfg, err := n.env.Sources.Config(v.Rows)
	if err != nil {
		n.log.Error("configuration not applied: it cannot be decoded", "row_version", v.Version, "err", err)
		return
	}
	n.relayServer.Wake()
	old, sum := n.state.Routes.Get(), contentHash(v.Rows)
	if cfg == nil || old != nil && !n.supersedes(cfg, old, v.Version, sum) {
		return
	}
	n.configStoreVersion, n.configHash = v.Version, sum
	n.state.Routes.Store(cfg)
	n.callerServer.setLimits(cfg.Limits)
	before := int64(0)
	if old != nil {
		before = old.Version
	}
	n.log.Info("configuration in force", "config", cfg.Version, "before", before, "row_version", v.Version)
}

// supersedes reports whether a configuration replaces the one in force. Within an era of the
// store only a newer version does; in a later era any other contents do, as version numbers
// are reused there. Rows that the store merely lost are retained by package restore.
func (n *Node) supersedes(cfg, old *routes.Config, at store.Version, sum uint64) bool {
	if cfg.Version > old.Version {
		return true
	}
	return !at.SameEra(n.configStoreVersion) && sum != n.configHash
}

// contentHash returns a hash of the keys and values of a table that does not depend on their
// order.
func contentHash(rows map[string]store.Row) uint64 {
	var sum uint64
	for key, r := range rows {
		sum += xxhash.Sum64(append(append([]byte(key), 0), r.Value...))
	}
	return sum
}
