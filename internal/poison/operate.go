package poison

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
)

// auditTable holds what operators did about quarantines, by time and digest.
const auditTable = "quarantine-audit"

// Listed is a request under which a target ended, as operators see it.
type Listed struct {
	Digest string `json:"digest"`
	Record
	// Quarantined says that it is let through by probes only.
	Quarantined bool `json:"quarantined"`
}

// List returns the requests under which targets ended, those in quarantine first.
func List(ctx context.Context, tables store.Tables) ([]Listed, error) {
	var out []Listed
	for after := ""; ; {
		page, err := tables.Scan(ctx, crashTable, "", after, sweepPage)
		if err != nil {
			return nil, eris.Wrap(err, "list requests under which targets ended")
		}
		for _, row := range page {
			after = row.Key
			r, err := decodeRecord(row.Value)
			if err != nil {
				return nil, eris.Wrapf(err, "request %s", row.Key)
			}
			out = append(out, Listed{Digest: row.Key, Record: r, Quarantined: r.Quarantined()})
		}
		if len(page) < sweepPage {
			break
		}
	}
	slices.SortStableFunc(out, func(a, b Listed) int { return cmp.Compare(len(b.Ended), len(a.Ended)) })
	return out, nil
}

// Lifted is what is kept of a quarantine that an operator lifted.
type Lifted struct {
	Digest string    `json:"digest"`
	By     string    `json:"by"`
	Note   string    `json:"note"`
	At     time.Time `json:"at"`
	Record Record    `json:"record"`
}

// ErrNotListed: no target ended under the request, as far as the store knows.
var ErrNotListed = errors.New("poison: no target ended under the request")

// Lift lets a request through again, and notes who did so and why. Nodes act on it as soon as
// the store tells them. It fails with ErrNotListed, or with a *store.ConflictError where its
// record changed meanwhile.
func Lift(ctx context.Context, tables store.Tables, d Digest, by, note string, at time.Time) (Lifted, error) {
	row, err := tables.Get(ctx, crashTable, d.String())
	if errors.Is(err, store.ErrNotFound) {
		return Lifted{}, ErrNotListed
	}
	if err != nil {
		return Lifted{}, err
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		return Lifted{}, err
	}
	lifted := Lifted{Digest: d.String(), By: by, Note: note, At: at.UTC(), Record: r}
	value, err := json.Marshal(lifted)
	if err != nil {
		return Lifted{}, eris.Wrap(err, "encode audit record")
	}
	tx := rows(d, row.Version, change{remove: true})
	tx.Writes = append(tx.Writes, store.Write{Table: auditTable, Key: lifted.At.Format(time.RFC3339Nano) + "/" + lifted.Digest, Value: value})
	_, err = tables.Commit(ctx, tx)
	return lifted, err
}
