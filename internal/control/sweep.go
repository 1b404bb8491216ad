package control

import (
	"context"
	"time"

	"topazmoor/internal/store"
)

// Sweep is a Task that deletes old rows of a table, page after page, then
// starts again.
type Sweep struct {
	Tables store.Tables
	Table  string
	// Prefixes limit the sweep to keys that start with one of them.
	Prefixes []string
	// Old reports whether a row is to be deleted.
	Old func(r store.Row, now time.Time) bool

	prefix int
	last   string
}

// sweepPage is the number of rows of one step; it bounds the writes of its
// commit.
const sweepPage = 256

// Step implements Task. Each row is deleted on its version: a row that changed
// after it was read stays, and with it this page; the next pass decides anew.
func (s *Sweep) Step(ctx context.Context) ([]store.Condition, []store.Write, error) {
	rows, err := s.Tables.Scan(ctx, s.Table, s.Prefixes[s.prefix], s.last, sweepPage)
	if err != nil {
		return nil, nil, err
	}
	s.last = ""
	if len(rows) == sweepPage {
		s.last = rows[len(rows)-1].Key
	} else {
		s.prefix = (s.prefix + 1) % len(s.Prefixes)
	}
	var conds []store.Condition
	var writes []store.Write
	now := time.Now()
	for _, r := range rows {
		if !s.Old(r, now) {
			continue
		}
		conds = append(conds, store.Condition{Table: s.Table, Key: r.Key, Version: r.Version})
		writes = append(writes, store.Write{Table: s.Table, Key: r.Key, Delete: true})
	}
	return conds, writes, nil
}
