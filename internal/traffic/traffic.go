// Package traffic counts the bytes and messages that a node exchanges with other nodes and with
// targets, by how far away the other end is. Counting bytes takes no lock after the handshake of a connection.
package traffic

import (
	"sync/atomic"

	"topazmoor/internal/ownership"
)

// Scope is how far away the other end of a connection is.
type Scope uint8

// The scopes, from the nearest to the farthest.
const (
	// Unknown: the place of the other end is not known, or not yet.
	Unknown Scope = iota
	SameDataCentre
	SameRegion
	OtherRegion
	scopes
)

// String returns the label of the scope in metrics.
func (s Scope) String() string {
	return [...]string{"unknown", "data_centre", "region", "other_region"}[s]
}

// ScopeOf returns the scope between two places. Without regions, two known data centres count as
// being in the same region.
func ScopeOf(a, b ownership.Place) Scope {
	switch {
	case a.DataCentre == "" || b.DataCentre == "":
		return Unknown
	case a.DataCentre == b.DataCentre:
		return SameDataCentre
	case a.Region != b.Region:
		return OtherRegion
	}
	return SameRegion
}

// Direction is the direction of a message, as this node sees it.
type Direction uint8

// The directions.
const (
	Sent Direction = iota
	Received
	directions
)

// String returns the label of the direction in metrics.
func (d Direction) String() string { return [...]string{"sent", "received"}[d] }

// Call is a kind of call between nodes.
type Call uint8

// The kinds of calls.
const (
	// Other is any call without a kind of its own.
	Other Call = iota
	// Orders are orders for stage results, with their progress messages and results.
	Orders
	// Frees release stage results.
	Frees
	// Updates are updates of the store's tables for followers.
	Updates
	// Permits are requests for permits of a rate.
	Permits
	// Rollouts are reports on roll-outs.
	Rollouts
	// Ends report ends of target processes.
	Ends
	// Tunnels are connections to targets that a node opens on behalf of another one.
	Tunnels
	// Overhead is what connections carry beside the messages of calls: handshakes, keep-alives
	// and the headers of frames.
	Overhead
	calls
)

// String returns the label of the call in metrics.
func (c Call) String() string {
	return [...]string{"other", "orders", "frees", "updates", "permits", "rollouts", "ends", "tunnels", "overhead"}[c]
}

// amount is a number of bytes and messages.
type amount struct{ bytes, messages atomic.Int64 }

// Counter counts the traffic of one node with other nodes. The zero Counter is empty. All methods
// may be called concurrently; a nil Counter counts nothing.
type Counter struct {
	messages [calls][scopes][directions]amount
	// wire counts all bytes of connections, including those of the messages.
	wire [scopes][directions]atomic.Int64
}

// addMessage counts one message and its bytes.
func (c *Counter) addMessage(call Call, s Scope, d Direction, bytes int) {
	a := &c.messages[call][s][d]
	a.bytes.Add(int64(bytes))
	a.messages.Add(1)
}

// Total is the traffic of one call, scope and direction since the start.
type Total struct {
	Call            Call
	Scope           Scope
	Direction       Direction
	Bytes, Messages int64
}

// Totals returns all totals that are not zero. The Messages of Overhead are 0.
func (c *Counter) Totals() []Total {
	if c == nil {
		return nil
	}
	var out []Total
	for s := range scopes {
		for d := range directions {
			out = c.appendTotals(out, s, d)
		}
	}
	return out
}

// appendTotals appends the totals of one scope and direction. It reads the counts of messages before
// those of connections: the bytes of a message are counted on its connection first, so the overhead
// is never too small.
func (c *Counter) appendTotals(out []Total, s Scope, d Direction) []Total {
	var sum int64
	for call := range Overhead {
		a := &c.messages[call][s][d]
		bytes := a.bytes.Load()
		sum += bytes
		if bytes > 0 {
			out = append(out, Total{Call: call, Scope: s, Direction: d, Bytes: bytes, Messages: a.messages.Load()})
		}
	}
	if rest := c.wire[s][d].Load() - sum; rest > 0 {
		out = append(out, Total{Call: Overhead, Scope: s, Direction: d, Bytes: rest})
	}
	return out
}
