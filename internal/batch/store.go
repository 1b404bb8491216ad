// Package batch keeps and runs durable batches: many inputs of one pipeline
// that are acknowledged only when they are stored, and that any node can carry
// on after another died. Source: docs/design/009-batches.md.
//
// The inputs of a batch are one object and its state is one row. Results are
// written a chunk of items at a time: first an object, then, in the same
// transaction that proves that the writer still owns the batch, the row that
// refers to it. A writer that lost the batch leaves an object that nothing
// refers to.
package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
)

const (
	batchTable = "batch"
	// ChunkItems is the number of items whose results are stored together. It
	// bounds the writes: one object and one row a chunk.
	ChunkItems = 32
	// MaxItems bounds the items of one batch.
	MaxItems = 100_000
	// settlePause is the pause between tries to settle a lost reply.
	settlePause = 200 * time.Millisecond
	// scanPage is the number of rows of one read.
	scanPage = 200
)

// Batch is the state of one batch, the value of its row.
type Batch struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	Pipeline string    `json:"pipeline"`
	Items    int       `json:"items"`
	Created  time.Time `json:"created"`
	// Fingerprint hashes the inputs; a key that is used again for others is
	// refused.
	Fingerprint string `json:"fingerprint"`
	// Owner is the node that runs the batch and Epoch counts the owners; a
	// write of an old owner fails on the row's version.
	Owner string `json:"owner,omitempty"`
	Epoch int64  `json:"epoch"`
	// Beat makes each write of the row unique and shows that the owner lives.
	Beat string `json:"beat"`
	// Results names the objects of the finished chunks, in order.
	Results []string `json:"results,omitempty"`
}

// Done reports whether every item has its result.
func (b *Batch) Done() bool { return len(b.Results) == b.chunks() }

func (b *Batch) chunks() int { return (b.Items + ChunkItems - 1) / ChunkItems }

// Finished returns the number of items with a result.
func (b *Batch) Finished() int { return min(b.Items, len(b.Results)*ChunkItems) }

// Result is how one item ended.
type Result struct {
	Index int `json:"index"`
	// Status is the HTTP status that a caller would have got.
	Status int `json:"status"`
	// Body is the complete answer, or the refusal with its verdict.
	Body json.RawMessage `json:"body"`
}

// Store reads and writes batches.
type Store struct {
	store store.Store
	newID func() string
}

// NewStore returns a Store; newID must return unique IDs.
func NewStore(s store.Store, newID func() string) *Store { return &Store{store: s, newID: newID} }

// version is a batch with the version of its row.
type version struct {
	Batch
	row store.Version
}

func inputKey(id string) string { return "batch/" + id + "/input" }

// idOf names a batch. With a request key it is the same for every submission
// of that key, so that a repeat finds the batch instead of doubling it.
func (s *Store) idOf(account, key string) string {
	if key == "" {
		return s.newID()
	}
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Submit stores a batch. When it returns without an error the batch is durable.
// A repeat with the same key returns the batch that is stored already.
func (s *Store) Submit(ctx context.Context, account, pipeline, key string, inputs []json.RawMessage) (Batch, error) {
	body, err := json.Marshal(inputs)
	if err != nil {
		return Batch{}, eris.Wrap(err, "encode inputs")
	}
	sum := sha256.Sum256(append([]byte(pipeline+"\x00"), body...))
	b := Batch{
		ID: s.idOf(account, key), Account: account, Pipeline: pipeline, Items: len(inputs),
		Created: time.Now().UTC(), Fingerprint: hex.EncodeToString(sum[:]), Beat: s.newID(),
	}
	if old, err := s.get(ctx, b.ID); err == nil {
		return same(old.Batch, b)
	}
	if err := s.store.Put(ctx, inputKey(b.ID), body); err != nil {
		return Batch{}, err
	}
	err = s.write(ctx, b, store.Version{})
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		old, err := s.get(ctx, b.ID)
		if err != nil {
			return Batch{}, err
		}
		return same(old.Batch, b)
	}
	return b, err
}

// ErrKeyReused: the request key belongs to a batch with other inputs.
var ErrKeyReused = errors.New("batch: key used for other inputs")

func same(old, b Batch) (Batch, error) {
	if old.Fingerprint != b.Fingerprint {
		return Batch{}, ErrKeyReused
	}
	return old, nil
}

// write replaces the row if it still has the version.
func (s *Store) write(ctx context.Context, b Batch, row store.Version) error {
	value, err := json.Marshal(b)
	if err != nil {
		return eris.Wrap(err, "encode batch")
	}
	tx := store.Tx{
		Conditions: []store.Condition{{Table: batchTable, Key: b.ID, Version: row}},
		Writes:     []store.Write{{Table: batchTable, Key: b.ID, Value: value}},
	}
	for {
		applied, err := store.CommitSettled(ctx, s.store, tx, settlePause)
		if err == nil && applied {
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return s.ownOrConflict(ctx, b, value, conflict)
		}
		if err != nil {
			return err
		}
	}
}

// ownOrConflict tells a conflict with this same write, applied late, from one
// with another writer.
func (s *Store) ownOrConflict(ctx context.Context, b Batch, value []byte, conflict error) error {
	own, err := store.Applied(ctx, s.store, batchTable, b.ID, value)
	if err == nil && own {
		return nil
	}
	return conflict
}

// Get returns a batch of an account, or store.ErrNotFound.
func (s *Store) Get(ctx context.Context, account, id string) (Batch, error) {
	v, err := s.get(ctx, id)
	if err == nil && v.Account != account {
		return Batch{}, store.ErrNotFound
	}
	return v.Batch, err
}

func (s *Store) get(ctx context.Context, id string) (version, error) {
	row, err := s.store.Get(ctx, batchTable, id)
	if err != nil {
		return version{}, err
	}
	return decode(row)
}

func decode(row store.Row) (version, error) {
	v := version{row: row.Version}
	err := json.Unmarshal(row.Value, &v.Batch)
	return v, eris.Wrapf(err, "decode batch %s", row.Key)
}

// unfinished returns the batches that still have work.
func (s *Store) unfinished(ctx context.Context) ([]version, error) {
	var out []version
	last := ""
	for {
		rows, err := s.store.Scan(ctx, batchTable, "", last, scanPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			last = row.Key
			v, err := decode(row)
			if err != nil {
				return nil, err
			}
			if !v.Done() {
				out = append(out, v)
			}
		}
		if len(rows) < scanPage {
			return out, nil
		}
	}
}

// inputs returns the inputs of a batch.
func (s *Store) inputs(ctx context.Context, id string) ([]json.RawMessage, error) {
	body, err := s.store.GetObject(ctx, inputKey(id))
	if err != nil {
		return nil, err
	}
	var in []json.RawMessage
	return in, eris.Wrap(json.Unmarshal(body, &in), "decode inputs")
}

// Results returns the results of the finished chunks, in item order.
func (s *Store) Results(ctx context.Context, b Batch) ([]Result, error) {
	var out []Result
	for _, key := range b.Results {
		body, err := s.store.GetObject(ctx, key)
		if err != nil {
			return nil, err
		}
		var chunk []Result
		if err := json.Unmarshal(body, &chunk); err != nil {
			return nil, eris.Wrapf(err, "decode results %s", key)
		}
		out = append(out, chunk...)
	}
	return out, nil
}

// takeOver makes a node the owner of a batch.
func (s *Store) takeOver(ctx context.Context, v version, node string) (version, error) {
	v.Owner = node
	v.Epoch++
	return s.beat(ctx, v)
}

// release gives a batch up, so that another node need not wait for the lease.
func (s *Store) release(ctx context.Context, v version) error {
	v.Owner = ""
	_, err := s.beat(ctx, v)
	return err
}

// beat writes the row anew and returns it with its new version.
func (s *Store) beat(ctx context.Context, v version) (version, error) {
	v.Beat = s.newID()
	if err := s.write(ctx, v.Batch, v.row); err != nil {
		return version{}, err
	}
	next, err := s.get(ctx, v.ID)
	if err != nil {
		return version{}, err
	}
	if next.Beat != v.Beat {
		return version{}, &store.ConflictError{}
	}
	return next, nil
}

// finishChunk stores the results of the next chunk.
func (s *Store) finishChunk(ctx context.Context, v version, results []Result) (version, error) {
	body, err := json.Marshal(results)
	if err != nil {
		return version{}, eris.Wrap(err, "encode results")
	}
	key := fmt.Sprintf("batch/%s/results/%06d-%d-%s", v.ID, len(v.Results), v.Epoch, s.newID())
	if err := s.store.Put(ctx, key, body); err != nil {
		return version{}, err
	}
	v.Results = append(append([]string(nil), v.Results...), key)
	return s.beat(ctx, v)
}
