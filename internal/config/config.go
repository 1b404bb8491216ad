// Package config stores the configuration in the table service: one row with the head
// revision, one row per template, client account and drain order, and one row per
// change, which is also its audit record. A change is one transaction conditional on
// the revision that it was based on; it is accepted once it is committed. Source:
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
	// scanPage is the maximum number of rows of one read.
	scanPage = 500
	// settlePause is the pause between reads that determine the outcome of a commit whose reply
	// was lost.
	settlePause = 200 * time.Millisecond
)

// head is the JSON value of the head row.
type head struct {
	Revision int64 `json:"revision"`
}

// ConflictError: the configuration has changed since the base revision of a submission.
type ConflictError struct {
	// Base is the revision that the submission was based on, Head the current one.
	Base, Head int64
	// Since lists the changes after Base, at most scanPage of them.
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

// Head returns the current revision; 0 if no change has been accepted yet.
func (s *Store) Head(ctx context.Context) (int64, error) {
	rev, _, err := s.head(ctx)
	return rev, err
}

// head returns the current revision and the version of the head row; both are zero if the row does
// not exist.
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

// changeKey returns the key of a change's row; the keys sort in the order of the revisions.
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

// Load returns all objects at one revision, and that revision. It starts again if the
// configuration changes while the objects are read.
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

// objects reads all objects, which may be of several revisions.
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

// ObjectAt returns an object, and a condition that holds while it is unchanged. It fails with
// store.ErrNotFound if there is no such object.
func (s *Store) ObjectAt(ctx context.Context, kind catalog.Kind, name string) (catalog.Item, store.Condition, error) {
	key := catalog.Item{Kind: kind, Name: name}.Key()
	row, err := s.tables.Get(ctx, objectTable, key)
	if err != nil {
		return catalog.Item{}, store.Condition{}, err
	}
	var it catalog.Item
	err = json.Unmarshal(row.Value, &it)
	return it, store.Condition{Table: objectTable, Key: key, Version: row.Version}, eris.Wrapf(err, "decode object %s", key)
}

// Submit commits a change that was validated on revision base. It returns the
// accepted change, or fails with *ConflictError, store.ErrUnavailable (not accepted),
// or store.ErrUnknown if ctx ends before the outcome is known. In that case a later
// search for the change's ID among the changes shows whether it was accepted.
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

// outcome determines the result of a submission after the head moved past base: the change itself
// was accepted and its reply was lost, or another change was accepted.
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

// transaction builds the transaction of a change. The change row is the first write, as
// store.CommitSettled reads that row back and needs a unique value: the ID makes it unique.
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
