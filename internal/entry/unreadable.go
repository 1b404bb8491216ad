package entry

import (
	"log/slog"
	"sync"

	"topazmoor/internal/store"
)

// unreadable holds the keys of target rows that are ignored because they describe no usable
// target.
type unreadable struct {
	mu   sync.Mutex
	keys map[string]bool
}

// add records and logs a changed row that is ignored.
func (u *unreadable) add(r store.Row, err error, log *slog.Logger) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.keys == nil {
		u.keys = make(map[string]bool)
	}
	u.keys[r.Key] = true
	log.Error("entry of a target left out", "target", r.Key, "row_version", r.Version, "err", err)
}

// remove records that a row is no longer ignored.
func (u *unreadable) remove(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.keys, key)
}

// count returns the number of rows that are ignored now.
func (u *unreadable) count() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.keys)
}
