package entry

import (
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
)

// hearsayPause is how long a node waits for a change by the operator that another one has
// before it asks the store again: the store tells all nodes within some milliseconds,
// and changes are gathered for configPause.
const hearsayPause = 2 * configPause

// versions takes in what the other nodes say of the operator's table: its configuration
// and the drains of data centres. A call that waits for changes may go silent without an
// end; it would be noticed only when its waiting time is over. It implements peer.Versions.
type versions struct {
	n *Node
	// mine is the newest version of a row that this process ever saw there.
	mine atomic.Int64
	// waiting says that a look at the newest version heard of is on its way.
	waiting atomic.Bool
	newest  atomic.Int64
	// asked is the newest version that the store was asked for again: once is enough,
	// as that takes a new call.
	asked atomic.Int64
}

// Mine implements peer.Versions.
func (v *versions) Mine() int64 { return v.mine.Load() }

// saw takes in the operator's table. Only Apply of its watch calls it, one at a time.
func (v *versions) saw(rows map[string]store.Row) {
	newest := v.mine.Load()
	for _, r := range rows {
		newest = max(newest, r.Version)
	}
	v.mine.Store(newest)
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
	v.n.log.Warn("another node has a newer row of the operator, asking the store again", "row_version", mine, "newer", newest)
	v.n.config.Poke()
}
