// Package platform is the one way to the outside services that keep state for
// the system: the transactional table service, the object store and the host
// list. It holds the interfaces' types, an HTTP client, and an in-memory twin
// with faults that tests and the stand-in use.
//
// A call can end in three ways: it took effect, it did not (ErrUnavailable),
// or nobody can say (ErrUnknown, a lost reply). Callers must handle the third
// by reading back what they wrote; see docs/design/002-platform.md.
package store

import (
	"context"
	"errors"
	"time"
)

// ErrUnavailable: the service did not take the call; nothing was applied.
var ErrUnavailable = errors.New("store: service unavailable")

// ErrUnknown: the reply was lost; the call may or may not have been applied.
var ErrUnknown = errors.New("store: reply lost, outcome unknown")

// ErrCompacted: the changes asked for are no longer kept; read the whole table.
var ErrCompacted = errors.New("store: history compacted")

// ErrStale: the table was read as it was before a version that is known already.
var ErrStale = errors.New("store: the read is older than what is known")

// ErrNotFound: no such row or object.
var ErrNotFound = errors.New("store: not found")

// NotFoundError is ErrNotFound with the era in which there is no such row.
type NotFoundError struct{ Era int64 }

// Error implements error.
func (e *NotFoundError) Error() string { return ErrNotFound.Error() }

// Is makes it an ErrNotFound.
func (e *NotFoundError) Is(target error) bool { return target == ErrNotFound }

// Row is one row of a table.
type Row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version is that of the last write, in the era in which the row was read; it is never
	// zero for a row that exists.
	Version Version `json:"version"`
}

// Condition demands that a row has exactly this version; the zero Version demands that
// the row does not exist. It holds in the era of the version only.
type Condition struct {
	Table   string  `json:"table"`
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes one row.
type Write struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Tx is one transaction: if every condition holds, every write is applied,
// otherwise none.
type Tx struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// ConflictError reports the conditions of a transaction that did not hold.
type ConflictError struct {
	// Failed indexes Tx.Conditions.
	Failed []int `json:"failed"`
}

// Error implements error.
func (e *ConflictError) Error() string { return "store: conditions not met" }

// Tables is the transactional table service.
type Tables interface {
	// Commit applies tx and returns its version. It fails with *ConflictError,
	// ErrUnavailable or ErrUnknown. A condition of an earlier era does not hold; where the
	// service began another era meanwhile the error is ErrUnknown, as a number may have been
	// given out again.
	Commit(ctx context.Context, tx Tx) (Version, error)
	// Get returns one row, or *NotFoundError.
	Get(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows whose keys start with prefix and are
	// greater than after, in key order.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
}

// Snapshot is a whole table as of one version.
type Snapshot struct {
	Rows []Row
	// Version is the newest one that the rows take in.
	Version Version
}

// Change is one changed row; the last change of a row stands for all before.
type Change struct {
	Row
	// Deleted rows have no value.
	Deleted bool
}

// Changes are the changes of a table up to a version.
type Changes struct {
	Changes []Change
	// Version is where the next call goes on.
	Version Version
}

// Watchable is a table service whose tables can be followed.
type Watchable interface {
	// Snapshot returns a whole table. It may be some seconds old; it fails with ErrStale, as soon
	// as that is known, where it is older than least.
	Snapshot(ctx context.Context, table string, least Version) (Snapshot, error)
	// Changes returns what changed in a table after a version, in order. It
	// waits up to wait for a first change and then returns none. It fails with
	// ErrCompacted or ErrUnavailable; ErrCompacted also where the service does not have that
	// number. It knows the number only: changes of another era do not go on where after is.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}

// Objects is the object store.
type Objects interface {
	// Put replaces an object. A repeat of the same Put is harmless.
	Put(ctx context.Context, key string, value []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// HostState is what the host list says of a target host.
type HostState string

// The states of a host.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
)

// Host is one target host of the host list.
type Host struct {
	// ID is unique and never used again for another host.
	ID string `json:"id"`
	// Addr is IP:port.
	Addr string `json:"addr"`
	// Pool is the stage pool, engine pool or service that it serves.
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	// Version is that of its software; "" for unknown.
	Version string `json:"version,omitempty"`
	// Models and Adapters are loaded now; empty for plain services.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Slots is how many calls it works on at once.
	Slots int       `json:"slots"`
	State HostState `json:"state"`
	// Born is when its process started, in Unix milliseconds; 0 for unknown.
	Born int64 `json:"born,omitempty"`
	// WarmupMS is how long it is still cold, in milliseconds.
	WarmupMS float64 `json:"warmup_ms,omitempty"`
}

// HostTable is the table of the host list: a row a target host, by its ID, with a
// Host as JSON. It lags behind reality, and the system does not write to it.
const HostTable = "hosts"

// Store is everything that the platform keeps.
type Store interface {
	Tables
	Watchable
	Objects
}

// Applied settles a commit whose reply may be lost. It reads back one row that
// the transaction wrote: if the row holds want, the transaction was applied.
// Because a transaction is atomic one row is enough, provided that want is
// unique to this transaction.
//
// It returns ErrUnknown while the service cannot be read.
func Applied(ctx context.Context, t Tables, table, key string, want []byte) (bool, error) {
	row, err := t.Get(ctx, table, key)
	if errors.Is(err, ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, ErrUnknown
	}
	return string(row.Value) == string(want), nil
}

// CommitSettled commits tx and, after a lost reply, reads back the row written
// by tx.Writes[0] until it knows the outcome or ctx ends. The value of that
// row must be unique to this transaction.
//
// A transaction that was sent but not yet applied can still be applied after
// it was read back as absent. The result false therefore means "not applied
// so far"; a caller that must exclude a late commit needs a condition that the
// late commit would break.
func CommitSettled(ctx context.Context, t Tables, tx Tx, pause time.Duration) (bool, error) {
	_, err := t.Commit(ctx, tx)
	if err == nil {
		return true, nil
	}
	if !errors.Is(err, ErrUnknown) {
		return false, err
	}
	w := tx.Writes[0]
	for {
		ok, err := Applied(ctx, t, w.Table, w.Key, w.Value)
		if err == nil {
			return ok, nil
		}
		select {
		case <-ctx.Done():
			return false, ErrUnknown
		case <-time.After(pause):
		}
	}
}
