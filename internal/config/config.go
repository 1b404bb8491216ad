// Package config keeps the configuration in the table service: one head
// revision, one row for each template, account and drain order, and one row
// for each change, which is also its audit record. A change is one transaction
// against the revision that it was made on; accepted means committed. Source:
// docs/design/006-configuration.md.
package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/store"
)

const (
	metaTable   = "meta"
	headKey     = "config-head"
	objectTable = "config"
	changeTable = "change"
	// scanPage is the number of rows of one read.
	scanPage = 500
	// settlePause is the pause between tries to settle a lost reply.
	settlePause = 200 * time.Millisecond
)

// head is the value of the head row.
type head struct {
	Revision int64 `json:"revision"`
}

// ConflictError: the configuration changed since the base of a submission.
type ConflictError struct {
	// Base is the revision the submission was made on, Head the current one.
	Base, Head int64
	// Since lists the changes in between.
	Since []catalog.Change
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change was made on revision %d, the configuration is at %d", e.Base, e.Head)
}

// Store reads and writes the configuration.
type Store struct {
	tables store.Tables
}

// NewStore returns a Store over a table service.
func NewStore(t store.Tables) *Store { return &Store{tables: t} }

// Head returns the current revision, 0 when nothing was submitted yet.
func (s *Store) Head(ctx context.Context) (int64, error) {
	rev, _, err := s.head(ctx)
	return rev, err
}

func (s *Store) head(ctx context.Context) (revision int64, at store.Version, err error) {
	row, err := s.tables.Get(ctx, metaTable, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return 0, store.Version{}, nil
	}
	if err != nil {
		return 0, store.Version{}, err
	}
	var h head
	if err := json.Unmarshal(row.Value, &h); err != nil {
		return 0, store.Version{}, eris.Wrap(err, "decode head")
	}
	return h.Revision, row.Version, nil
}

func changeKey(revision int64) string { return fmt.Sprintf("%020d", revision) }

// Changes returns up to limit changes after a revision, in order.
func (s *Store) Changes(ctx context.Context, after int64, limit int) ([]catalog.Change, error) {
	rows, err := s.tables.Scan(ctx, changeTable, "", changeKey(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]catalog.Change, 0, len(rows))
	for _, row := range rows {
		var c catalog.Change
		if err := json.Unmarshal(row.Value, &c); err != nil {
			return nil, eris.Wrapf(err, "decode change %s", row.Key)
		}
		changes = append(changes, c)
	}
	return changes, nil
}

// Load returns all objects at one revision. Objects that change while they are
// read make it start again.
func (s *Store) Load(ctx context.Context) (int64, []catalog.Item, error) {
	for {
		before, err := s.Head(ctx)
		if err != nil {
			return 0, nil, err
		}
		items, err := s.objects(ctx)
		if err != nil {
			return 0, nil, err
		}
		after, err := s.Head(ctx)
		if err != nil {
			return 0, nil, err
		}
		if before == after {
			return after, items, nil
		}
	}
}

func (s *Store) objects(ctx context.Context) ([]catalog.Item, error) {
	var items []catalog.Item
	last := ""
	for {
		rows, err := s.tables.Scan(ctx, objectTable, "", last, scanPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var it catalog.Item
			if err := json.Unmarshal(row.Value, &it); err != nil {
				return nil, eris.Wrapf(err, "decode object %s", row.Key)
			}
			items = append(items, it)
			last = row.Key
		}
		if len(rows) < scanPage {
			return items, nil
		}
	}
}

// Submit commits a change that was validated on revision base. It returns the
// accepted change, or *ConflictError, store.ErrUnavailable (not accepted),
// or store.ErrUnknown when ctx ended before the outcome was known; the
// change's ID then tells later whether it was accepted.
func (s *Store) Submit(ctx context.Context, base int64, c catalog.Change) (catalog.Change, error) {
	c.Revision = base + 1
	for {
		current, version, err := s.head(ctx)
		if err != nil {
			return catalog.Change{}, err
		}
		if current != base {
			return s.outcome(ctx, base, current, c)
		}
		tx, err := transaction(c, version)
		if err != nil {
			return catalog.Change{}, err
		}
		applied, err := store.CommitSettled(ctx, s.tables, tx, settlePause)
		if err == nil && applied {
			return c, nil
		}
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return catalog.Change{}, err
		}
		if ctx.Err() != nil {
			return catalog.Change{}, store.ErrUnknown
		}
	}
}

// outcome is the result when the head moved past base: our own change, whose
// reply was lost, or somebody else's.
func (s *Store) outcome(ctx context.Context, base, current int64, c catalog.Change) (catalog.Change, error) {
	since, err := s.Changes(ctx, base, scanPage)
	if err != nil {
		return catalog.Change{}, err
	}
	for _, other := range since {
		if other.ID == c.ID {
			return other, nil
		}
	}
	return catalog.Change{}, &ConflictError{Base: base, Head: current, Since: since}
}

// transaction writes the change row first: its value is unique by the ID.
func transaction(c catalog.Change, headVersion store.Version) (store.Tx, error) {
	record, err := json.Marshal(c)
	if err != nil {
		return store.Tx{}, eris.Wrap(err, "encode change")
	}
	newHead, err := json.Marshal(head{Revision: c.Revision})
	if err != nil {
		return store.Tx{}, eris.Wrap(err, "encode head")
	}
	tx := store.Tx{
		Conditions: []store.Condition{{Table: metaTable, Key: headKey, Version: headVersion}},
		Writes: []store.Write{
			{Table: changeTable, Key: changeKey(c.Revision), Value: record},
			{Table: metaTable, Key: headKey, Value: newHead},
		},
	}
	for _, it := range c.Items {
		w := store.Write{Table: objectTable, Key: it.Key(), Delete: it.Value == nil}
		if it.Value != nil {
			w.Value, err = json.Marshal(it)
			if err != nil {
				return store.Tx{}, eris.Wrap(err, "encode object")
			}
		}
		tx.Writes = append(tx.Writes, w)
	}
	return tx, nil
}
