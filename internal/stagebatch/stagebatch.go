// Package stagebatch combines pieces of requests into batches and calls stage targets with them.
// A call has a fixed cost besides the cost of its items, so pieces of many requests, from all
// nodes, share one call. For each pool one node, the former, forms the batches for all nodes:
// the first live node of the strongest capacity class, in the order of rendezvous hashing. Nodes
// may disagree for a while on which node that is. Batches are smaller then, and a piece may be
// produced twice, which is harmless. In a fleet of several regions each region has its own former and
// its own pool of targets, and a region that would complete an order too late leaves it to another
// one. See docs/design/012-pass-through.md and 024-region-as-a-level.md.
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

const (
	// MaxPieces bounds the results of one order, PieceBytes is what each takes at the node that has the order, in bytes.
	MaxPieces  = 4096
	PieceBytes = 256
	// maxQueued bounds the pieces that wait in one pool: nobody waits for as long as so many take.
	maxQueued = 32 * MaxPieces
)

// Order requests the results of one stage of one request.
type Order struct {
	Service string
	// Request is the request's ID. Stage is the index of the stage in its route.
	Request string
	Stage   int
	// Pieces is the number of results of the stage. They are numbered from 0.
	Pieces int
	// Key is the input of stages that read no results of other stages. Inputs are the handles of
	// the results that the other stages read.
	Key    string
	Inputs []string
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// Due is when the results must be complete for the request to meet its objective. After
	// Deadline the results are useless.
	Due, Deadline time.Time
	// ResultBytes is the approximate size of one result, InputBytes that of all Inputs together, in
	// bytes. Each piece reads all inputs.
	ResultBytes, InputBytes int64
	// DataCentre is the preferred data centre for producing the results; "" means no preference.
	DataCentre string
	// Regions are the regions in which the results may be produced.
	Regions region.Set
	// SpillTo are the other regions that may run the order if its home region would complete it too
	// late, with the lowest wait first. Spilled means that the home region sent the order to another
	// one. There it is queued behind the region's own orders that can meet their objective, and can
	// only be sent back: SpillTo then names the home region.
	SpillTo []string
	Spilled bool
	// Digest identifies the request across all attempts of its caller. Probe is the quarantine
	// probe under which a quarantined request runs, or "". An order with a probe does not share
	// its calls with other orders.
	Digest poison.Digest
	Probe  string
	// InputsRead, if set, is called at most once, after the targets have read the inputs of all
	// pieces. The inputs may then be released although the order is still in progress.
	InputsRead func()
}

// claimedProbe returns the quarantine probe under which the order runs.
func (o *Order) claimedProbe() poison.Probe {
	if o.Probe == "" {
		return poison.Probe{}
	}
	return poison.Probe{Name: o.Probe, Of: []poison.Digest{o.Digest}}
}

// Result is the outcome of a completed Order.
type Result struct {
	// Handles identify the results, in the order of the pieces.
	Handles []string
	// Former is the address of the node that formed the batches and tracks the results; "" for
	// this node.
	Former string
}

// Errors of orders. After each of them the request itself has not run.
var (
	// ErrLate: the results would be complete only after the deadline.
	ErrLate = errors.New("stagebatch: the stage cannot be done in time")
	// ErrInputGone: a result that the stage reads no longer exists and must be produced again.
	ErrInputGone = errors.New("stagebatch: an input is gone")
	// ErrFailed: calls with a piece of the stage failed too often.
	ErrFailed = errors.New("stagebatch: the stage failed")
	// ErrCrashed: targets ended while they ran the stage, and the former must not retry it.
	ErrCrashed = errors.New("stagebatch: targets ended under the stage")
	// ErrNoTarget: the pool has no target that the order may use.
	ErrNoTarget = errors.New("stagebatch: the pool has no target")
)

// SpillError is the error of an order that was not accepted because another region completes it
// sooner.
type SpillError struct {
	// Region is that other region.
	Region string
}

// Error implements error.
func (e *SpillError) Error() string { return "stagebatch: to be run in region " + e.Region }

// Item is one piece as sent in a call.
type Item struct {
	Request      string
	Stage, Piece int
	Key          string
	Inputs       []string
	// Remaining is the time until the result becomes useless.
	Remaining time.Duration
}

// Reason says why an item has no result, or that it has one.
type Reason uint8

const (
	Produced Reason = iota
	Late
	InputGone
	NoSpace
	ItemFailed
)

// ItemResult is the outcome of one item.
type ItemResult struct {
	Handle string
	Reason Reason
}

// Reply is the response to a call.
type Reply struct {
	// Results has one entry per item, in the order of the items.
	Results []ItemResult
	// OtherCalls is the number of calls of other formers that the target had in progress when this
	// call ended.
	OtherCalls int
	// Notice is the readiness that the target reports.
	Notice readiness.Notice
	// Limit is the call rate that the target advertises.
	Limit sharedrate.AdvertisedLimit
}

// CallError is the error of a call without results. NotRun means that the target rejected the
// call or was never reached, Moved that another process has the address now, and Withheld that
// the call was not sent because it was no longer allowed once the connection was ready.
type CallError struct {
	NotRun, Unreachable, Moved, Withheld bool
	// Notice and Limit are what the target reported with a rejection or a failure.
	Notice readiness.Notice
	Limit  sharedrate.AdvertisedLimit
	Cause  error
}

// Error implements error.
func (e *CallError) Error() string { return "stagebatch: call failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Guard tracks the requests during which targets ended. The production implementation is
// *poison.Guard.
type Guard interface {
	// Suspect reports whether a target ended while it ran the request. Quarantined reports
	// whether the request may run only under a probe.
	Suspect(r poison.Request) bool
	Quarantined(d poison.Digest) bool
	// Ended records that a call broke off at a target. The channel reports whether the target's
	// process ended.
	Ended(r poison.Run) <-chan bool
}

// Worker calls stage targets. The production implementation is in platform/.
type Worker interface {
	// Run makes one call. It calls may just before it sends the first byte and sends nothing if
	// may returns false. Its errors are of type *CallError.
	Run(ctx context.Context, t targets.Target, items []Item, may func() bool) (Reply, error)
	// Free releases results at the target that holds them.
	Free(ctx context.Context, addr string, handles []string) error
	// Space returns an upper bound, in bytes, of the target's free space for results. The
	// targets' figures are approximate.
	Space(ctx context.Context, addr string) (int64, error)
	// HolderAddr returns the address (IP:port) of the target that holds a result.
	HolderAddr(handle string) string
}
