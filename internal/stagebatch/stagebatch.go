// Package stagebatch makes the calls of stage pools. A call costs a target the
// same time whatever it holds, so pieces of many requests, from all nodes, meet
// in one batch: for each pool one node (the first live one in the order of
// rendezvous hashing) forms the batches for all. Which node that is may be
// seen differently for a while; that costs smaller batches and nothing else,
// because a piece may be produced twice. Source: docs/design/012-pass-through.md.
package stagebatch

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/poison"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/targets"
)

// Order asks for the pieces of one stage of one request.
type Order struct {
	Service string
	// Request is the request's ID, Stage the stage's number in its route.
	Request string
	Stage   int
	// Pieces is how many results the stage has, numbered from 0.
	Pieces int
	// Key is handed to stages that read no results, Inputs are the results that
	// the others read.
	Key    string
	Inputs []string
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Due is when the results should be there for the request to meet its
	// objective, Deadline when they are of no use any more.
	Due, Deadline time.Time
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
	// DataCentre is where the results should be made if a target there is free;
	// "" for anywhere.
	DataCentre string
	// Regions are those in which the results may be made.
	Regions region.Set
	// Digest names the request among all attempts of its caller, Probe the probe under which it
	// is made where it is in quarantine: alone in its calls.
	Digest poison.Digest
	Probe  string
	// InputsRead, when set, is called at most once, when the targets have read
	// the inputs: they may be given up although the order is still in work.
	InputsRead func()
}

// Result is what an Order gave.
type Result struct {
	// Handles name the results, in the order of the pieces.
	Handles []string
	// Former is the node that formed the batches and keeps the accounts of the
	// results; "" for this node.
	Former string
}

// Errors of orders. In each case the request itself has not run.
var (
	// ErrLate: the results would come too late.
	ErrLate = errors.New("stagebatch: the stage cannot be done in time")
	// ErrInputGone: a result that the stage reads is no longer there; it must
	// be produced again.
	ErrInputGone = errors.New("stagebatch: an input is gone")
	// ErrFailed: the targets failed the stage repeatedly.
	ErrFailed = errors.New("stagebatch: the stage failed")
	// ErrCrashed: targets ended under the stage, and it is not for the former to go on.
	ErrCrashed = errors.New("stagebatch: targets ended under the stage")
	// ErrNoTarget: the pool has no target.
	ErrNoTarget = errors.New("stagebatch: the pool has no target")
)

// Item is one piece as a call carries it.
type Item struct {
	Request      string
	Stage, Piece int
	Key          string
	Inputs       []string
	// Remaining is how long the result is of use.
	Remaining time.Duration
}

// Reason is why an item has no result.
type Reason uint8

// The reasons.
const (
	Produced Reason = iota
	Late
	InputGone
	NoRoom
	ItemFailed
)

// ItemResult is the outcome of one item.
type ItemResult struct {
	Handle string
	Reason Reason
}

// Reply is the answer of a call.
type Reply struct {
	// Results has one entry an item, in their order.
	Results []ItemResult
	// Others is how many calls of other formers the target had when this one ended.
	Others int
	// Notice is what the target says of whether it takes work.
	Notice readiness.Notice
	// Limit is what the target says of the rate of calls that it takes.
	Limit sharedrate.Word
}

// CallError is a call without results. NotRun says that the target rejected it
// or was never reached, Moved that another process has the address, Withheld that it was not to
// be sent any more when its turn came.
type CallError struct {
	NotRun, Unreachable, Moved, Withheld bool
	// Notice and Limit are what the target said with a rejection or a failure.
	Notice readiness.Notice
	Limit  sharedrate.Word
	Cause  error
}

// Error implements error.
func (e *CallError) Error() string { return "stagebatch: call failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Guard learns under which requests targets ended; *poison.Guard in production.
type Guard interface {
	// Suspect reports whether a target ended under a request, Quarantined whether it may run
	// under a probe only.
	Suspect(d poison.Digest) bool
	Quarantined(d poison.Digest) bool
	// Ended tells that a call broke off at a target. The channel tells
	// whether the target's process ended.
	Ended(r poison.Run) <-chan bool
}

// Worker makes calls at stage targets; platform/ has the real one.
type Worker interface {
	// Run makes one call. may is asked just before its first byte is sent; where it reports
	// false nothing is. It fails with *CallError.
	Run(ctx context.Context, t targets.Target, items []Item, may func() bool) (Reply, error)
	// Free gives up results at their maker.
	Free(ctx context.Context, addr string, handles []string) error
	// Room returns how many bytes of results a target can still take at the most; targets
	// tell it roughly.
	Room(ctx context.Context, addr string) (int64, error)
	// Maker returns the address (IP:port) of the target that holds a result.
	Maker(handle string) string
}
