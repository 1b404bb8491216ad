// Package batch stores and runs durable batches: many inputs of one pipeline. A
// batch is acknowledged only after it is stored, and any node can continue it if
// its owner dies. Source: docs/design/009-batches.md.
//
// The inputs of a batch are one object and its state is one row. Results are
// written a chunk of items at a time: first an object, then the row that refers
// to it. The write of the row is conditional on the row's version and so fails
// if the writer no longer owns the batch; its object is then left unreferenced.
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
	// bounds the writes: one object and one write of the row per chunk.
	ChunkItems = 32
	// MaxItems is the maximum number of items in one batch.
	MaxItems = 100_000
	// retryPause is the pause between attempts to resolve a lost reply.
	retryPause = 200 * time.Millisecond
	// scanPage is the maximum number of rows per scan of the table.
	scanPage = 200
)

// Batch is the state of one batch, the value of its row.
type Batch struct {
	ID       string    `json:"id"`
	Account  string    `json:"account"`
	Pipeline string    `json:"pipeline"`
	Items    int       `json:"items"`
	Created  time.Time `json:"created"`
	// Fingerprint is a hash of the pipeline and the inputs. A request key that is
	// used again with another fingerprint is refused.
	Fingerprint string `json:"fingerprint"`
	// Owner is the node that runs the batch, and Epoch is incremented at each
	// takeover. A write of a former owner fails because the row's version
	// changed.
	Owner string `json:"owner,omitempty"`
	Epoch int64  `json:"epoch"`
	// Beat is a unique ID per write of the row. It shows that the owner is alive,
	// and makes each value of the row unique, so that reading the row back shows
	// whether a write whose reply was lost was applied.
	Beat string `json:"beat"`
	// Results are the keys of the objects with the results of the finished
	// chunks, in order.
	Results []string `json:"results,omitempty"`
}

// Done reports whether every item has a result.
func (b *Batch) Done() bool { return len(b.Results) == b.chunks() }

func (b *Batch) chunks() int { return (b.Items + ChunkItems - 1) / ChunkItems }

// Finished returns the number of items with a result.
func (b *Batch) Finished() int { return min(b.Items, len(b.Results)*ChunkItems) }

// Result is the result of one item.
type Result struct {
	Index int `json:"index"`
	// Status is the HTTP status that a caller would have received.
	Status int `json:"status"`
	// Body is the complete response, or the refusal with its verdict.
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

// idOf returns the ID of a batch. With a request key it is the same for every
// submission of that key, so that a repeat finds the batch instead of creating a
// second one.
func (s *Store) idOf(account, key string) string {
	if key == "" {
		return s.newID()
	}
	sum := sha256.Sum256([]byte(account + "\x00" + key))
	return hex.EncodeToString(sum[:16])
}

// Submit stores a batch. When it returns without an error the batch is durable.
// A repeat with the same key returns the stored batch.
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
		return checkRepeat(old.Batch, b)
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
		return checkRepeat(old.Batch, b)
	}
	return b, err
}

// ErrKeyReused is returned if the request key belongs to a batch with another
// pipeline or other inputs.
var ErrKeyReused = errors.New("batch: key used for other inputs")

// checkRepeat returns the stored batch old if b is a repeat of its submission.
func checkRepeat(old, b Batch) (Batch, error) {
	if old.Fingerprint != b.Fingerprint {
		return Batch{}, ErrKeyReused
	}
	return old, nil
}

// write creates or replaces the row if it still has the version; the zero version
// means that no row exists.
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
		applied, err := store.CommitSettled(ctx, s.store, tx, retryPause)
		if err == nil && applied {
			return nil
		}
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return s.resolveConflict(ctx, b, value, conflict)
		}
		if err != nil {
			return err
		}
	}
}

// resolveConflict returns nil if the conflict is with this same write, whose
// earlier attempt was applied late, and conflict if it is with another writer.
func (s *Store) resolveConflict(ctx context.Context, b Batch, value []byte, conflict error) error {
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

// unfinished returns the batches that are not done.
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

// release clears the owner of a batch, so that the next owner need not wait for
// the lease to expire.
func (s *Store) release(ctx context.Context, v version) error {
	v.Owner = ""
	_, err := s.beat(ctx, v)
	return err
}

// beat writes the row with a new heartbeat and returns it with its new version.
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

// finishChunk stores the results of the next chunk and adds them to the row.
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
