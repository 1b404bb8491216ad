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

// auditTable holds the actions of operators on quarantines, keyed by time and digest.
const auditTable = "quarantine-audit"

// Listed is a request, or a part of prompts, under which a target ended, as it is shown to operators.
type Listed struct {
	// Name is the digest of a request, or the name of a part.
	Name string `json:"name"`
	Record
	// Quarantined reports that only probes of the request are sent.
	Quarantined bool `json:"quarantined"`
}

// List returns the requests under which targets ended, those with the most ended processes first
// and therefore the quarantined ones before the others.
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
			d, err := ParseDigest(row.Key)
			if err != nil {
				return nil, err
			}
			out = append(out, Listed{Name: d.Name(), Record: r, Quarantined: r.Quarantined()})
		}
		if len(page) < sweepPage {
			break
		}
	}
	slices.SortStableFunc(out, func(a, b Listed) int { return cmp.Compare(len(b.Ended), len(a.Ended)) })
	return out, nil
}

// Lifted is the audit record of a quarantine that an operator lifted.
type Lifted struct {
	Name   string    `json:"name"`
	By     string    `json:"by"`
	Note   string    `json:"note"`
	At     time.Time `json:"at"`
	Record Record    `json:"record"`
}

// ErrNotListed is the error for a request without a record in the store.
var ErrNotListed = errors.New("poison: no target ended under the request")

// Lift removes the record of a request, so that it is admitted again, and writes an audit record
// with the operator and the reason. Nodes apply it when they read the change from the store. It
// fails with ErrNotListed, or with a *store.ConflictError if the record changed concurrently.
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
	lifted := Lifted{Name: d.Name(), By: by, Note: note, At: at.UTC(), Record: r}
	value, err := json.Marshal(lifted)
	if err != nil {
		return Lifted{}, eris.Wrap(err, "encode audit record")
	}
	tx := liftTx(d, row.Version, by)
	tx.Writes = append(tx.Writes, store.Write{Table: auditTable, Key: lifted.At.Format(time.RFC3339Nano) + "/" + d.String(), Value: value})
	_, err = tables.Commit(ctx, tx)
	return lifted, err
}

// liftTx returns the transaction that removes a record at a version. Lifting the quarantine of a part refutes the
// evidence on it, as an answer does.
func liftTx(d Digest, version store.Version, by string) store.Tx {
	if _, ok := d.Part(); !ok {
		return recordTx(d, version, change{remove: true})
	}
	tx := partAnsweredTx(d, by)
	tx.Conditions = []store.Condition{{Table: crashTable, Key: d.String(), Version: version}}
	return tx
}
