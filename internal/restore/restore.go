// Package restore keeps in force what a store that came back from an older copy of itself has
// lost, until who wrote it has written it again. Of each row it tells apart what was written
// since the store's return, which holds at once; what the store has as it was once before, which
// was overtaken long ago; and what only this process still knows.
package restore

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

const (
	// lostHold is for how long a row holds that the store lost, or has as it was before. Its
	// writer knows of the store's return and writes again within seconds; after this time the
	// store is believed, so that nodes which never saw the row and those that did agree.
	lostHold = 30 * time.Second
	// newHold is for how long a row that was never seen before waits where another one is in
	// force: it may have been overtaken between two reads, and the newest one come at any
	// moment. With the time in which changes are gathered (0.25 s) it leaves half of the 2 s in
	// which a change must be in force.
	newHold = time.Second
	// maxPast bounds the values of a row that are remembered, maxGone the rows that are
	// remembered although the store has them no more: some 100 bytes each.
	maxPast = 32
	maxGone = 4096
)

// mark names one value of a row. The number alone is given out again.
type mark struct {
	number int64
	sum    uint64
}

func markOf(r store.Row) mark { return mark{number: r.Version.Number, sum: xxhash.Sum64(r.Value)} }

// hold is a row of the store that does not hold yet.
type hold struct {
	// was is what the store had at its return; found says whether it had any.
	was   store.Version
	found bool
	until time.Time
}

// Keeper keeps the rows of a table in force. The zero value is ready to use; it must not be used
// concurrently.
type Keeper struct {
	at    store.Version
	rows  map[string]store.Row
	past  map[string][]mark
	holds map[string]hold
}

// Result is what a Keeper makes of a copy of the table.
type Result struct {
	// Rows are in force.
	Rows map[string]store.Row
	// Returned says that the store has come back from a copy since the last call.
	Returned bool
	// Again is when the copy must be looked at again, as holds end; zero for never.
	Again time.Time
	// Lost are the keys of rows that the store does not have, or has as they were before;
	// Undone those of rows that were removed and are there again.
	Lost, Undone []string
}

// Take takes in a copy of the table.
func (k *Keeper) Take(v watch.View, now time.Time) Result {
	out := Result{Rows: make(map[string]store.Row, len(v.Rows))}
	if k.rows != nil && !v.Version.SameEra(k.at) {
		out.Returned = true
		k.begin(v, now)
	}
	k.at = v.Version
	k.endHolds(v, now)
	for key, r := range v.Rows {
		if _, held := k.holds[key]; !held {
			out.Rows[key] = r
			continue
		}
		if mine, ok := k.rows[key]; ok {
			out.Rows[key] = mine
			out.Lost = append(out.Lost, key)
			continue
		}
		out.Undone = append(out.Undone, key)
	}
	for key, mine := range k.rows {
		_, stored := v.Rows[key]
		if _, held := k.holds[key]; held && !stored {
			out.Rows[key] = mine
			out.Lost = append(out.Lost, key)
		}
	}
	k.remember(v.Rows, out.Rows)
	out.Again = k.next()
	return out
}

// begin looks through the first copy of an era.
func (k *Keeper) begin(v watch.View, now time.Time) {
	k.holds = make(map[string]hold)
	for key, r := range v.Rows {
		mine, known := k.rows[key]
		switch {
		case known && string(mine.Value) == string(r.Value):
		case k.isPast(key, r):
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

// endHolds ends those whose time is over, or whose row has changed since the store's return.
func (k *Keeper) endHolds(v watch.View, now time.Time) {
	for key, h := range k.holds {
		r, found := v.Rows[key]
		if h.found != found || h.was != r.Version || !now.Before(h.until) {
			delete(k.holds, key)
		}
	}
}

// remember takes the rows that are in force, and notes those that the store has.
func (k *Keeper) remember(stored, inForce map[string]store.Row) {
	if k.past == nil {
		k.past = make(map[string][]mark)
	}
	for key, r := range stored {
		if !k.isPast(key, r) {
			k.past[key] = append(k.past[key], markOf(r))
		}
		if over := len(k.past[key]) - maxPast; over > 0 {
			k.past[key] = append([]mark(nil), k.past[key][over:]...)
		}
	}
	k.rows = inForce
	if len(k.past) <= len(stored)+maxGone {
		return
	}
	for key := range k.past {
		if _, ok := stored[key]; !ok {
			delete(k.past, key)
		}
	}
}

// isPast reports whether the store had the row as it is before.
func (k *Keeper) isPast(key string, r store.Row) bool {
	m := markOf(r)
	for _, p := range k.past[key] {
		if p == m {
			return true
		}
	}
	return false
}

// next returns when the first hold ends.
func (k *Keeper) next() time.Time {
	var first time.Time
	for _, h := range k.holds {
		if first.IsZero() || h.until.Before(first) {
			first = h.until
		}
	}
	return first
}
