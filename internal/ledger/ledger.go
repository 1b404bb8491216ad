// Package ledger keeps claims of idempotency keys, so that a request that may
// not be repeated runs at most once, and the recorded outcome, so that a
// repeat gets the same response.
//
// A claim belongs to one attempt and is never inherited by another: if its
// holder dies, the outcome of the key is unknown permanently. Three
// implementations of Registry store claims: TableRegistry in the platform's
// table service, TicketRegistry in the memory of the process that issued a
// ticket, and a remote one that calls another node.
// Source: docs/design/003-at-most-once.md.
package ledger

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"
)

// Key names a request within its client account.
type Key struct {
	Account string `json:"account"`
	Key     string `json:"key"`
}

// rowKey is the key of the table row. Hashing bounds its length and spreads
// rows evenly.
func (k Key) rowKey() string {
	sum := sha256.Sum256([]byte(k.Account + "\x00" + k.Key))
	return hex.EncodeToString(sum[:])
}

// Claim is a request by one attempt for the exclusive right to run a key.
type Claim struct {
	Key
	// Fingerprint hashes the pipeline and the body; a key that is used again
	// for another request is refused.
	Fingerprint string `json:"fingerprint"`
	// Attempt is the request ID of the attempt, unique over all nodes.
	Attempt string `json:"attempt"`
	// Until is the deadline of the attempt; it has ended by then.
	Until time.Time `json:"until"`
}

// Outcome is the response to a claimed request, as sent to its caller.
type Outcome struct {
	// Status is the HTTP status and Body the JSON body of the response.
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Record is the stored state of a key.
type Record struct {
	Claim
	// Outcome is nil while the attempt runs, and stays nil if its holder dies.
	Outcome *Outcome `json:"outcome,omitempty"`
	// Released is true if the attempt released the key because nothing ran. The
	// row is not deleted: an earlier claim is committed on the condition that
	// no row exists. If the store applied that commit after a deletion, the
	// condition would hold again and the key would belong to an attempt that
	// has ended.
	Released bool `json:"released,omitempty"`
}

// heldBy reports whether an attempt holds the key and has not finished.
func (r Record) heldBy(attempt string) bool {
	return r.Attempt == attempt && r.Outcome == nil && !r.Released
}

// Grant is the result of a Claim.
type Grant struct {
	// Granted is true if this attempt holds the key.
	Granted bool
	// Existing is the record of the attempt that holds the key; it is set if
	// Granted is false.
	Existing Record
}

// Registry is a registry of claims.
type Registry interface {
	// Claim grants the key to one attempt until Finish releases it or its
	// record is deleted after the time for repeats has passed. A repeated
	// call of the same attempt is granted again until it has an outcome. After
	// an error this attempt must not run; another attempt may hold the key.
	Claim(ctx context.Context, c Claim) (Grant, error)
	// Finish records the outcome of a granted attempt; a nil outcome releases
	// the key and is allowed only if the attempt proved that nothing ran.
	Finish(ctx context.Context, c Claim, out *Outcome) error
	// Lookup returns the record of a key; found is false if there is none.
	Lookup(ctx context.Context, k Key) (rec Record, found bool, err error)
}
