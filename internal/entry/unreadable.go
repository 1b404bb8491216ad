package entry

import (
	"log/slog"
	"sync"
	"topazmoor/internal/store"
)

// unreadable keeps which entries of targets were left out, so that each is logged once.
type unreadable struct {
	mu sync.Mutex
	// seen has the revisions of the entries by their keys.
	seen map[string]store.Version
}

// note takes in the entries that were left out of the list as it is now.
func (u *unreadable) note(bad []Unreadable, log *slog.Logger) {
	u.mu.Lock()
	defer u.mu.Unlock()
	next := make(map[string]store.Version, len(bad))
	for _, e := range bad {
		next[e.Key] = e.Revision
		if before, ok := u.seen[e.Key]; !ok || before != e.Revision {
			log.Error("entry of a target left out", "target", e.Key, "row_version", e.Revision, "err", e.Err)
		}
	}
	u.seen = next
}

// count returns how many entries are left out now.
func (u *unreadable) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}
