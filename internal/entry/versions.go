package entry

import (
	"sync"
	"time"

	"topazmoor/internal/store"
)

// recheckDelay is how long a node waits for a change of the operator's table that another node
// has, before it asks the store again. The store notifies all nodes within some milliseconds,
// and changes are collected for configPause.
const recheckDelay = 2 * configPause

// versionTracker compares this node's version of the operator's table, which holds the
// configuration and the drains of data centres, with those that other nodes report. A long
// poll at the store may hang without an error; on its own that would be noticed only when the
// poll times out. It implements peer.Versions.
type versionTracker struct {
	n *Node

	mu sync.Mutex
	// own is the newest row version that this process has received.
	own store.Version
	// recheckPending reports that a recheck is scheduled; newest is the newest version that
	// another node reported.
	recheckPending bool
	newest         store.Version
	// behindSince is when this node's copy was first found to be older than newest; zero while it is not.
	behindSince time.Time
	// requested is the newest version for which the store was asked again. One request is enough,
	// as it opens a new call.
	requested store.Version
}

// Current implements peer.Versions.
func (v *versionTracker) Current() store.Version {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.own
}

// observe records the row versions of the operator's table.
func (v *versionTracker) observe(rows map[string]store.Row) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, r := range rows {
		v.own = v.own.Max(r.Version)
	}
}

// behind returns for how long this node's copy has been older than a version that another node
// reported; 0 if it is not.
func (v *versionTracker) behind() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	// A row may have been removed meanwhile, so the version of the copy counts.
	if !v.n.configTable.Copy().Position().Version.Before(v.newest) {
		v.behindSince = time.Time{}
		return 0
	}
	if v.behindSince.IsZero() {
		v.behindSince = time.Now()
	}
	return time.Since(v.behindSince)
}

// Observe implements peer.Versions.
func (v *versionTracker) Observe(version store.Version) {
	v.n.configTable.Report(version)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.newest = v.newest.Max(version)
	if !v.own.Before(v.newest) || v.newest == v.requested || v.recheckPending {
		return
	}
	v.recheckPending = true
	time.AfterFunc(recheckDelay, v.recheck)
}

// recheck asks the store again if this node still lacks a version that another node has.
func (v *versionTracker) recheck() {
	v.mu.Lock()
	v.recheckPending = false
	newest, own := v.newest, v.own
	if !own.Before(newest) {
		v.mu.Unlock()
		return
	}
	v.requested = newest
	v.mu.Unlock()
	v.n.log.Warn("another node reports a newer operator row, asking the store again", "row_version", own, "newer", newest)
	v.n.configTable.PollNow()
}
