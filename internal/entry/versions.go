package entry

import (
	"sync/atomic"
	"time"
)

// hearsayPause is how long a node waits for a configuration that another one has
// before it asks the store again: the store tells all nodes within some milliseconds,
// and changes are gathered for configPause.
const hearsayPause = 2 * configPause

// versions takes in what the other nodes say of the configuration. A call that waits
// for changes may go silent without an end; it would be noticed only when its waiting
// time is over. It implements peer.Versions.
type versions struct {
	n *Node
	// waiting says that a look at the newest version heard of is on its way.
	waiting atomic.Bool
	newest  atomic.Int64
	// asked is the newest version that the store was asked for again: once is enough,
	// as that takes a new call.
	asked atomic.Int64
}

// Mine implements peer.Versions.
func (v *versions) Mine() int64 {
	if cfg := v.n.board.Routes.Get(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// Heard implements peer.Versions.
func (v *versions) Heard(version int64) {
	for {
		newest := v.newest.Load()
		if version <= newest || v.newest.CompareAndSwap(newest, version) {
			break
		}
	}
	if newest := v.newest.Load(); newest <= v.Mine() || newest == v.asked.Load() || !v.waiting.CompareAndSwap(false, true) {
		return
	}
	time.AfterFunc(hearsayPause, v.look)
}

// look asks the store again if this node still lacks what another one has.
func (v *versions) look() {
	v.waiting.Store(false)
	newest, mine := v.newest.Load(), v.Mine()
	if newest <= mine {
		return
	}
	v.asked.Store(newest)
	v.n.log.Warn("another node has a newer configuration, asking the store again", "config", mine, "newer", newest)
	v.n.config.Poke()
}
