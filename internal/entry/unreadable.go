package entry

import (
	"log/slog"
	"sync"

	"topazmoor/internal/store"
)

// unreadable keeps which entries of targets were left out.
type unreadable struct {
	mu sync.Mutex
	// seen has the keys of the entries.
	seen map[string]bool
}

// note logs an entry that is left out, which has changed.
func (u *unreadable) note(r store.Row, err error, log *slog.Logger) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.seen == nil {
		u.seen = make(map[string]bool)
	}
	u.seen[r.Key] = true
	log.Error("entry of a target left out", "target", r.Key, "row_version", r.Version, "err", err)
}

// drop notes that an entry is not left out any more.
func (u *unreadable) drop(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.seen, key)
}

// count returns how many entries are left out now.
func (u *unreadable) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}
