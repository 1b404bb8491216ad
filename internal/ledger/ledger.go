// Package ledger keeps claims of idempotency keys, so that a request that may
// not be repeated runs at most once, and the recorded outcome, so that a
// repeat gets the same answer.
//
// A claim belongs to one attempt and is never inherited by another: if its
// holder dies, the outcome of the key is unknown for good. Three books keep
// claims: TableBook in the platform's table service, TicketBook in the memory
// of the process that issued a ticket, and a remote book at another node.
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

// Claim is the wish of one attempt to be the only one that runs a key.
type Claim struct {
	Key
	// Fingerprint hashes the pipeline and the body; a key that is used again
	// for another request is refused.
	Fingerprint string `json:"fingerprint"`
	// Attempt is the request ID of the attempt, unique over all nodes.
	Attempt string `json:"attempt"`
	// Until is when the attempt has ended for sure, its own deadline.
	Until time.Time `json:"until"`
}

// Outcome is how a claimed request ended, as told to its caller.
type Outcome struct {
	// Status is the HTTP status and Body the JSON body of the answer.
	Status int    `json:"status"`
	Body   []byte `json:"body"`
}

// Record is what a book holds for a key.
type Record struct {
	Claim
	// Outcome is nil while the attempt runs, and stays nil when its holder
	// died.
	Outcome *Outcome `json:"outcome,omitempty"`
	// Released says that the attempt gave the key back because nothing ran. The
	// row stays: were it deleted, a commit of an earlier claim that the store
	// applies late would find its condition, that there is no row, true again,
	// and hold the key for an attempt that ended.
	Released bool `json:"released,omitempty"`
}

// heldBy reports whether an attempt holds the key and has not finished.
func (r Record) heldBy(attempt string) bool {
	return r.Attempt == attempt && r.Outcome == nil && !r.Released
}

// Grant answers a Claim.
type Grant struct {
	// Granted says that this attempt holds the key.
	Granted bool
	// Existing is the record of the attempt that holds the key otherwise.
	Existing Record
}

// Book keeps claims.
type Book interface {
	// Claim grants the key to one attempt for ever. A repeat of the same
	// attempt is granted again. An error means that this attempt does not hold
	// the key; it says nothing about other attempts.
	Claim(ctx context.Context, c Claim) (Grant, error)
	// Finish records the outcome of a granted attempt; a nil outcome releases
	// the key and is allowed only if the attempt proved that nothing ran.
	Finish(ctx context.Context, c Claim, out *Outcome) error
	// Lookup returns the record of a key; found is false when the book has
	// none.
	Lookup(ctx context.Context, k Key) (rec Record, found bool, err error)
}
