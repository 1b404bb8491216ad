package entry

import (
	"sync"
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

	mu sync.Mutex
	// mine is the newest version of a row that this process ever saw there.
	mine store.Version
	// waiting says that a look at the newest version heard of is on its way.
	waiting bool
	newest  store.Version
	// asked is the newest version that the store was asked for again: once is enough,
	// as that takes a new call.
	asked store.Version
}

// Mine implements peer.Versions.
func (v *versions) Mine() store.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.mine
}

// saw takes in the operator's table.
func (v *versions) saw(rows map[string]store.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range rows {
		v.mine = v.mine.Max(r.Version)
	}
}

// Heard implements peer.Versions.
func (v *versions) Heard(version store.Version) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newest = v.newest.Max(version)
	if !v.mine.Before(v.newest) || v.newest == v.asked || v.waiting {
		return
	}
	v.waiting = true
	time.AfterFunc(hearsayPause, v.look)
}

// look asks the store again if this node still lacks what another one has.
func (v *versions) look() {
	v.mu.Lock()
	v.waiting = false
	newest, mine := v.newest, v.mine
	if !mine.Before(newest) {
		v.mu.Unlock()
		return
	}
	v.asked = newest
	v.mu.Unlock()
	v.n.log.Warn("another node has a newer row of the operator, asking the store again", "row_version", mine, "newer", newest)
	v.n.config.Poke()
}
