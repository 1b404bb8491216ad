// Package store defines the interfaces and types of the external services that keep
// the state of the system: the transactional table service, the object store and the
// host list. It also has an in-memory implementation with injected faults, for tests
// and for the stand-in platform.
//
// A call has one of three outcomes: it took effect, it did not (ErrUnavailable), or
// the outcome is unknown because the reply was lost (ErrUnknown). After ErrUnknown a
// caller must read back what it wrote; see docs/design/002-platform.md.
package store

import (
	"context"
	"errors"
	"time"
)

// ErrUnavailable: the service did not accept the call; nothing was applied.
var ErrUnavailable = errors.New("store: service unavailable")

// ErrUnknown: the reply was lost; the call may or may not have been applied.
var ErrUnknown = errors.New("store: reply lost, outcome unknown")

// ErrCompacted: the requested changes are no longer kept; read the whole table.
var ErrCompacted = errors.New("store: history compacted")

// ErrStale: the read returned the table at a version older than one that the caller already has.
var ErrStale = errors.New("store: read is older than the known version")

// ErrNotFound: the row or object does not exist.
var ErrNotFound = errors.New("store: not found")

// NotFoundError is ErrNotFound with the era in which the row does not exist.
type NotFoundError struct{ Era int64 }

// Error implements error.
func (e *NotFoundError) Error() string { return ErrNotFound.Error() }

// Is makes errors.Is match ErrNotFound.
func (e *NotFoundError) Is(target error) bool { return target == ErrNotFound }

// Row is one row of a table.
type Row struct {
	Table string `json:"table"`
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Version has the commit number of the row's last write and the era in which the row
	// was read; it is never zero for a row that exists.
	Version Version `json:"version"`
}

// Condition requires that a row has exactly this version; the zero Version requires that
// the row does not exist. A non-zero version matches only in its own era.
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
	// ErrUnavailable or ErrUnknown. A condition with a version of an earlier era does not
	// hold. If the service began another era during the call, the error is ErrUnknown, as a
	// commit number may have been reused.
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
	// Version is the newest version that the rows include.
	Version Version
	// Late is set if a part of this answers an earlier call: it does not show that the store answers
	// now.
	Late bool
}

// Change is one changed row; the last change of a row replaces all earlier ones.
type Change struct {
	Row
	// Deleted rows have no value.
	Deleted bool
}

// Changes are the changes of a table up to a version.
type Changes struct {
	Changes []Change
	// Version is the version to pass as after to the next call.
	Version Version
	// Late is set if this answers an earlier call: it does not show that the store answers now.
	Late bool
}

// Watchable is a table service whose changes can be followed.
type Watchable interface {
	// Snapshot returns a whole table, which may be some seconds old. It fails with
	// ErrStale as soon as it detects that the table is older than least.
	Snapshot(ctx context.Context, table string, least Version) (Snapshot, error)
	// Changes returns what changed in a table after a version, in order. It
	// waits up to wait for a first change and then returns none. It fails with
	// ErrCompacted or ErrUnavailable; ErrCompacted also if the service has not reached that
	// number. The service gets only the number of after: if the returned Version is of another
	// era than after, the changes do not continue from after.
	Changes(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}

// Objects is the object store.
type Objects interface {
	// Put creates or replaces an object. It is idempotent.
	Put(ctx context.Context, key string, value []byte) error
	// GetObject returns an object, or ErrNotFound.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// HostState is the state of a target host in the host list.
type HostState string

// The states of a host.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
)

// Host is one target host of the host list.
type Host struct {
	// ID is unique and is never reused for another host.
	ID string `json:"id"`
	// Addr is the address as IP:port.
	Addr string `json:"addr"`
	// Pool is the stage pool, engine pool or service that it serves.
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	// Version is the version of the host's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Models and Adapters are those currently loaded; empty for a service without models.
	Models   []string `json:"models,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Slots is the number of calls that the host processes concurrently.
	Slots int       `json:"slots"`
	State HostState `json:"state"`
	// Born is when the host's process started, in Unix milliseconds; 0 if unknown.
	Born int64 `json:"born,omitempty"`
	// WarmupMS is the remaining warm-up time of the host, in milliseconds.
	WarmupMS float64 `json:"warmup_ms,omitempty"`
}

// HostTable is the table of the host list. It has one row per target host, with the host's ID
// as key and a Host as JSON. It lags behind the real state; the system does not write to it.
const HostTable = "hosts"

// Store has all services of the platform that keep state.
type Store interface {
	Tables
	Watchable
	Objects
}

// Applied determines the outcome of a commit whose reply may be lost. It reads back one
// row that the transaction wrote: if its value is want, the transaction was applied.
// Because a transaction is atomic one row is enough, provided that want is
// unique to this transaction.
//
// It returns ErrUnknown if the row cannot be read.
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
// by tx.Writes[0], with the given pause between reads, until a read succeeds or ctx
// ends. The value of that row must be unique to this transaction.
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
