package entry

import (
	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/restore"
	"topazmoor/internal/routes"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// applyOperator takes in what is in force of what the operator wrote.
func (n *Node) applyOperator(v watch.View, _ restore.Result) {
	n.versions.saw(v.Rows)
	n.applyDrains(v)
	n.gate.SetOrders(n.env.Sources.Rollouts(v.Rows))
	n.applyConfig(v)
}

// applyDrains puts the drains of data centres in force.
func (n *Node) applyDrains(v watch.View) {
	began, ended := n.targets.Drain(n.env.Sources.Drained(v.Rows))
	for _, dc := range began {
		n.log.Info("data centre drained", "drained", dc, "row_version", v.Version)
	}
	for _, dc := range ended {
		n.log.Info("data centre taken back", "drained", dc, "row_version", v.Version)
	}
}

// applyConfig puts a newer configuration in force.
func (n *Node) applyConfig(v watch.View) {
	cfg, err := n.env.Sources.Config(v.Rows)
	if err != nil {
		n.log.Error("configuration not taken: it cannot be read", "row_version", v.Version, "err", err)
		return
	}
	n.teller.Wake()
	old, sum := n.board.Routes.Get(), sumOf(v.Rows)
	if cfg == nil || old != nil && !n.replaces(cfg, old, v.Version, sum) {
		return
	}
	n.configAt, n.configSum = v.Version, sum
	n.board.Routes.Store(cfg)
	n.callers.setLimits(cfg.Limits)
	before := int64(0)
	if old != nil {
		before = old.Version
	}
	n.log.Info("configuration in force", "config", cfg.Version, "before", before, "row_version", v.Version)
}

// replaces reports whether a configuration takes the place of the one in force: within an era of
// the store a newer one, in a later era any other one, as versions are given out again there.
// What the store merely lost is kept from here by package restore.
func (n *Node) replaces(cfg, old *routes.Config, at store.Version, sum uint64) bool {
	if cfg.Version > old.Version {
		return true
	}
	return !at.SameEra(n.configAt) && sum != n.configSum
}

// sumOf tells tables apart by their contents.
func sumOf(rows map[string]store.Row) uint64 {
	var sum uint64
	for key, r := range rows {
		sum += xxhash.Sum64(append(append([]byte(key), 0), r.Value...))
	}
	return sum
}
