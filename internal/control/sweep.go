package control

import (
	"context"
	"time"

	"topazmoor/internal/store"
)

// Sweep is a Task that deletes old rows of a table, one page per Step. After the
// last page it starts again.
type Sweep struct {
	Tables store.Tables
	Table  string
	// Prefixes limits the sweep to keys that start with one of them.
	Prefixes []string
	// Expired reports whether a row is to be deleted.
	Expired func(r store.Row, now time.Time) bool

	// prefix is the index in Prefixes of the next page; the page starts after the
	// key last.
	prefix int
	last   string
}

// sweepPage is the maximum number of rows that one step reads; it bounds the
// writes of the step's commit.
const sweepPage = 256

// Step implements Task. Each deletion is conditional on the row's version: if
// one row of the page changed after it was read, no row of the page is deleted.
// The next pass checks the page again.
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
		if !s.Expired(r, now) {
			continue
		}
		conds = append(conds, store.Condition{Table: s.Table, Key: r.Key, Version: r.Version})
		writes = append(writes, store.Write{Table: s.Table, Key: r.Key, Delete: true})
	}
	return conds, writes, nil
}
