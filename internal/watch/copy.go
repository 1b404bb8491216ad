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

// maxEditions is how many of its latest changes a copy remembers, for whoever follows it.
// A follower that is further behind gets the copy whole.
const maxEditions = 256

// News brings a copy of a table from one version to another.
type News struct {
	// Since and Version bound the changes: they hold for any copy at or after Since.
	Since, Version store.Version
	// Whole says that Rows are the whole table, whatever the other copy holds.
	Whole bool
	Rows  []store.Row
	// Deleted are the keys of removed rows.
	Deleted []string
}

// Position is how far a copy is.
type Position struct {
	// Version is the newest one that the copy takes in; zero before the first read.
	Version store.Version
	// Sum is the same for copies with the same rows.
	Sum uint64
}

// Copy is a table as it was last seen, and its latest changes. It is safe for concurrent
// use. Its maps are replaced and never changed.
type Copy struct {
	mu       sync.Mutex
	rows     map[string]store.Row
	position Position
	// editions are the latest changes, oldest first. They are complete from version
	// base on.
	editions []edition
	base     store.Version
	// whole is the table as news, as somebody last asked for it, wholeAt where the copy was then
	// and wholeBuilt when that was.
	whole      *News
	wholeAt    Position
	wholeBuilt time.Time
}

// edition is the keys that became different at a version of the copy.
type edition struct {
	version store.Version
	keys    []string
}

// Rows returns the rows by key; nil before the first read.
func (c *Copy) Rows() map[string]store.Row {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rows
}

// Position returns how far the copy is.
func (c *Copy) Position() Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// replace sets the whole copy as of a version, and returns the keys of the rows that differ.
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
		// Nobody follows a copy from before it was read, nor from an earlier era.
		c.editions, c.base = nil, version
	}
	return changed
}

// merge takes changes in and builds the next copy beside the old one, which readers may
// still hold. It returns the keys of the rows that changed.
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

// advance notes that nothing changed up to a version.
func (c *Copy) advance(version store.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.position.Version = c.position.Version.Max(version)
}

// set puts the next rows in place; changed has each key once. The caller holds c.mu.
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
	c.editions = append(c.editions, edition{version: version, keys: changed})
	if over := len(c.editions) - maxEditions; over > 0 {
		c.base = c.editions[over-1].version
		c.editions = slices.Clone(c.editions[over:])
	}
}

// rowSum tells rows apart by key and version.
func rowSum(r store.Row) uint64 {
	buf := make([]byte, 0, 64)
	buf = append(buf, r.Key...)
	return xxhash.Sum64(binary.BigEndian.AppendUint64(buf, uint64(r.Version.Number)))
}

// Anew is the version of a copy that differs from this one, and is to be replaced.
var Anew = store.Version{Number: -2}

// wholeLife is for how long the whole table is told as it was. While all nodes and targets start, it changes many times a second, and each of the many nodes
// that ask would get another one.
const wholeLife = 2 * time.Second

// Tell is Since, but may return the whole table as it was a moment ago: the position is where it was
// then, and the next call goes on from there.
func (c *Copy) Tell(version store.Version) (*News, Position) {
	c.mu.Lock()
	if c.rows != nil && version != Anew && version.Before(c.base) {
		defer c.mu.Unlock()
		return c.wholeNews(wholeLife), c.wholeAt
	}
	c.mu.Unlock()
	return c.Since(version)
}

// Since returns what a copy at a version lacks, nil for nothing, and where this copy is. News
// must not be changed: all followers that need the whole table share it.
func (c *Copy) Since(version store.Version) (*News, Position) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.rows == nil || !version.Before(c.position.Version):
		return nil, c.position
	case version.Before(c.base):
		return c.wholeNews(0), c.wholeAt
	}
	news := &News{Since: version, Version: c.position.Version}
	seen := make(map[string]bool)
	for _, e := range c.editions {
		if version.Before(e.version) {
			c.addKeys(news, e.keys, seen)
		}
	}
	if len(seen) == 0 {
		return nil, c.position
	}
	return news, c.position
}

// addKeys adds the rows with these keys, as they are now, to news. The caller holds c.mu.
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

// wholeNews returns the table as news, as it was at most some time ago. The caller holds c.mu.
func (c *Copy) wholeNews(life time.Duration) *News {
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
