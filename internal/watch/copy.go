package watch

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/store"
)

// maxChangeSets is how many of its latest change sets a copy keeps for its followers. A follower
// that is further behind gets the whole table.
const maxChangeSets = 256

// News is an update that brings a copy of a table from one version to another.
type News struct {
	// The update contains the changes after version Since, up to Version. It applies to any copy
	// whose version is at or after Since.
	Since, Version store.Version
	// Whole is set if Rows are the whole table, which replaces any copy.
	Whole bool
	Rows  []store.Row
	// Deleted are the keys of removed rows.
	Deleted []string
}

// Position is the version and the checksum of a copy.
type Position struct {
	// Version is the newest version that the copy includes; zero before the first read.
	Version store.Version
	// Sum is a checksum over the keys and versions of the rows, independent of their order.
	Sum uint64
}

// Copy is the last known state of a table and its latest changes. It is safe for concurrent
// use. Its map of rows is replaced and never modified.
type Copy struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	position Position
	// changeSets are the latest changes, oldest first. They are complete after version base.
	changeSets []changeSet
	base       store.Version
	// whole is the cached update with the whole table, wholeAt the position of the copy at its
	// build, and wholeBuilt the time when it was last found current.
	whole      *News
	wholeAt    Position
	wholeBuilt time.Time
}

// changeSet is the set of keys whose rows changed when the copy moved to a version.
type changeSet struct {
	version store.Version
	keys    []string
}

// Rows returns the rows by key; nil before the first read.
func (c *Copy) Rows() map[string]store.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows
}

// Position returns the position of the copy.
func (c *Copy) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// replace sets all rows of the copy as of a version, and returns the keys of the rows that differ.
func (c *Copy) replace(list []store.Row, version store.Version) (changed []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]store.Row, len(list))
	for _, r := range list {
		next[r.Key] = r
	}
	first := c.rows == nil || !version.SameEra(c.position.Version)
	for k, r := range next {
		if old, ok := c.rows[k]; !ok || old.Version != r.Version {
			changed = append(changed, k)
		}
	}
	for k := range c.rows {
		if _, ok := next[k]; !ok {
			changed = append(changed, k)
		}
	}
	c.set(next, changed, version)
	if first {
		// Changes cannot be served from before the first read, nor from an earlier era.
		c.changeSets, c.base = nil, version
	}
	return changed
}

// merge applies changes to a new map of rows, as readers may still use the old one. It returns the
// keys of the rows that changed.
func (c *Copy) merge(rows []store.Row, deleted []string, version store.Version) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := make(map[string]store.Row, len(c.rows)+len(rows))
	maps.Copy(next, c.rows)
	changed := make(map[string]bool, len(rows)+len(deleted))
	for _, r := range rows {
		next[r.Key] = r
		changed[r.Key] = true
	}
	for _, k := range deleted {
		delete(next, k)
		changed[k] = true
	}
	keys := slices.Collect(maps.Keys(changed))
	c.set(next, keys, version)
	return keys
}

// advance records that nothing changed up to a version.
func (c *Copy) advance(version store.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position.Version = c.position.Version.Max(version)
}

// set replaces the rows and updates the checksum and the change sets; changed has each changed key
// once. The caller holds c.mu.
func (c *Copy) set(next map[string]store.Row, changed []string, version store.Version) {
	for _, k := range changed {
		if old, ok := c.rows[k]; ok {
			c.position.Sum -= rowSum(old)
		}
		if r, ok := next[k]; ok {
			c.position.Sum += rowSum(r)
		}
	}
	c.rows = next
	c.position.Version = version
	if len(changed) == 0 {
		return
	}
	c.changeSets = append(c.changeSets, changeSet{version: version, keys: changed})
	if over := len(c.changeSets) - maxChangeSets; over > 0 {
		c.base = c.changeSets[over-1].version
		c.changeSets = slices.Clone(c.changeSets[over:])
	}
}

// rowSum is a hash of a row's key and version number.
func rowSum(r store.Row) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, r.Key...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(buf, uint64(r.Version.Number)))
}

// ResetVersion is the version that a follower sends for a table to have its copy replaced by the current
// whole table, after one of its copies proved to differ from the copy of the node that it follows
// (ErrCopiesDiffer).
var ResetVersion = store.Version{Number: -2}

// wholeMaxAge is for how long CachedSince reuses an update with the whole table. While all nodes and targets
// start, the table changes many times a second, and one would be built for each of the many nodes
// that ask.
const wholeMaxAge = 2 * time.Second

// CachedSince is like Since, but may return a cached update with the whole table, at most wholeMaxAge old. The
// position is that of the update, and the next call continues from there.
func (c *Copy) CachedSince(version store.Version) (*News, Position) {
	c.mu.Lock()
	if c.rows != nil && version != ResetVersion && version.Before(c.base) {
		defer c.mu.Unlock()
		return c.wholeUpdate(wholeMaxAge), c.wholeAt
	}
	c.mu.Unlock()
	return c.Since(version)
}

// Since returns the update for a copy at a version, nil if it lacks nothing, and the position that
// it leads to. The update must not be modified: all followers that need the whole table share it.
func (c *Copy) Since(version store.Version) (*News, Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.rows == nil || !version.Before(c.position.Version):
		return nil, c.position
	case version.Before(c.base):
		return c.wholeUpdate(0), c.wholeAt
	}
	news := &News{Since: version, Version: c.position.Version}
	seen := make(map[string]bool)
	for _, e := range c.changeSets {
		if version.Before(e.version) {
			c.addKeys(news, e.keys, seen)
		}
	}
	if len(seen) == 0 {
		return nil, c.position
	}
	return news, c.position
}

// addKeys adds the current rows with these keys to news, except the keys in seen. The caller holds
// c.mu.
func (c *Copy) addKeys(news *News, keys []string, seen map[string]bool) {
	for _, k := range keys {
		if seen[k] {
			continue
		}
		seen[k] = true
		if r, ok := c.rows[k]; ok {
			news.Rows = append(news.Rows, r)
			continue
		}
		news.Deleted = append(news.Deleted, k)
	}
}

// wholeUpdate returns an update that contains the whole table. It reuses the last such update if the
// table has not changed since, or if that update was built less than life ago and the copy still holds
// all changes since. The caller holds c.mu.
func (c *Copy) wholeUpdate(life time.Duration) *News {
	now := time.Now()
	old := c.whole == nil || c.wholeAt.Version.Before(c.base) || now.Sub(c.wholeBuilt) >= life
	if old && (c.whole == nil || c.wholeAt != c.position) {
		c.whole = &News{Version: c.position.Version, Whole: true, Rows: slices.Collect(maps.Values(c.rows))}
		c.wholeAt = c.position
	}
	if old {
		c.wholeBuilt = now
	}
	return c.whole
}
