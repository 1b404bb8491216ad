// Package restore keeps rows in force that a store has lost because it was restored from an older
// copy of itself, until their writers write them again. A row that is written after the store came
// back takes effect at once. A row that the store lost, or has with an earlier value, stays in force
// as this process knows it, for a limited time.
package restore

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

const (
	// lostHold is how long a row stays in force that the store lost, or has with an earlier value.
	// The writer of the row notices that the store came back and writes again within seconds. After
	// lostHold the store's row takes effect, so that nodes which never saw the lost row and nodes
	// which did agree.
	lostHold = 30 * time.Second
	// newHold is how long a row that this process never saw is held back if another one is in
	// force: it may be outdated and unseen because it was replaced between two reads, and the
	// newest row may be written at any moment. Together with the 0.25 s in which changes are
	// gathered it takes 1.25 s of the 2 s in which a change must be in force.
	newHold = time.Second
	// maxHistory bounds the earlier values that are remembered per row. maxRemoved bounds the
	// remembered rows that the store no longer has. One value takes about 100 bytes.
	maxHistory = 32
	maxRemoved = 4096
)

// valueID identifies one value of a row. The version number alone does not, as a restored store
// assigns numbers a second time.
type valueID struct {
	number int64
	sum    uint64
}

func idOf(r store.Row) valueID { return valueID{number: r.Version.Number, sum: xxhash.Sum64(r.Value)} }

// hold delays a row of the store, or the absence of a row, that does not take effect yet.
type hold struct {
	// was is the version of the row when the store came back; found reports whether the store had
	// the row.
	was   store.Version
	found bool
	until time.Time
}

// Reconciler determines the rows of a table that are in force. The zero value is ready to use; it
// must not be used concurrently.
type Reconciler struct {
	version store.Version
	rows    map[string]store.Row
	history map[string][]valueID
	holds   map[string]hold
}

// Result is the outcome of one Update.
type Result struct {
	// Rows are the rows in force.
	Rows map[string]store.Row
	// Restored reports that the store was restored from a copy since the previous update.
	Restored bool
	// RecheckAt is when the copy must be evaluated again, as a hold ends; zero if there is none.
	RecheckAt time.Time
	// Lost are the keys of rows in force that the store does not have, or has with another value
	// that is held back. Reappeared are the keys of rows that were removed and that the store has
	// again.
	Lost, Reappeared []string
}

// Update evaluates a copy of the table and returns the rows in force.
func (k *Reconciler) Update(v watch.View, now time.Time) Result {
	out := Result{Rows: make(map[string]store.Row, len(v.Rows))}
	if k.rows != nil && !v.Version.SameEra(k.version) {
		out.Restored = true
		k.startEra(v, now)
	}
	k.version = v.Version
	k.endHolds(v, now)
	for key, r := range v.Rows {
		if _, held := k.holds[key]; !held {
			out.Rows[key] = r
			continue
		}
		if current, ok := k.rows[key]; ok {
			out.Rows[key] = current
			out.Lost = append(out.Lost, key)
			continue
		}
		out.Reappeared = append(out.Reappeared, key)
	}
	for key, current := range k.rows {
		_, stored := v.Rows[key]
		if _, held := k.holds[key]; held && !stored {
			out.Rows[key] = current
			out.Lost = append(out.Lost, key)
		}
	}
	k.remember(v.Rows, out.Rows)
	out.RecheckAt = k.nextExpiry()
	return out
}

// startEra sets the holds from the first copy of an era.
func (k *Reconciler) startEra(v watch.View, now time.Time) {
	k.holds = make(map[string]hold)
	for key, r := range v.Rows {
		current, known := k.rows[key]
		switch {
		case known && string(current.Value) == string(r.Value):
		case k.inHistory(key, r):
			k.holds[key] = hold{was: r.Version, found: true, until: now.Add(lostHold)}
		case known:
			k.holds[key] = hold{was: r.Version, found: true, until: now.Add(newHold)}
		}
	}
	for key := range k.rows {
		if _, ok := v.Rows[key]; !ok {
			k.holds[key] = hold{until: now.Add(lostHold)}
		}
	}
}

// endHolds ends the holds that have expired, and those of rows that changed after the store came
// back.
func (k *Reconciler) endHolds(v watch.View, now time.Time) {
	for key, h := range k.holds {
		r, found := v.Rows[key]
		if h.found != found || h.was != r.Version || !now.Before(h.until) {
			delete(k.holds, key)
		}
	}
}

// remember stores the rows in force, and adds the rows of the store to the history.
func (k *Reconciler) remember(stored, inForce map[string]store.Row) {
	if k.history == nil {
		k.history = make(map[string][]valueID)
	}
	for key, r := range stored {
		if !k.inHistory(key, r) {
			k.history[key] = append(k.history[key], idOf(r))
		}
		if over := len(k.history[key]) - maxHistory; over > 0 {
			k.history[key] = append([]valueID(nil), k.history[key][over:]...)
		}
	}
	k.rows = inForce
	if len(k.history) <= len(stored)+maxRemoved {
		return
	}
	for key := range k.history {
		if _, ok := stored[key]; !ok {
			delete(k.history, key)
		}
	}
}

// inHistory reports whether the store has had this value of the row at an earlier time.
func (k *Reconciler) inHistory(key string, r store.Row) bool {
	m := idOf(r)
	for _, p := range k.history[key] {
		if p == m {
			return true
		}
	}
	return false
}

// nextExpiry returns when the first hold ends; zero if there is none.
func (k *Reconciler) nextExpiry() time.Time {
	var first time.Time
	for _, h := range k.holds {
		if first.IsZero() || h.until.Before(first) {
			first = h.until
		}
	}
	return first
}
