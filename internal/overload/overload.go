// Package overload decides when a node takes no more connections from callers. A balancer may hand most new
// connections of many nodes to one of them. A caller whose connection is closed before anything was read from
// it tries again at another node, whereas a request that was read late is served late. So a node that cannot keep up
// closes some of its new connections unread.
package overload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// sampleInterval is the time between two measurements of the delay, window the time over which their
	// minimum is taken: after a pause of the process, or in a short burst, some are high, but only a
	// queue that does not empty keeps all of them high.
	sampleInterval = 50 * time.Millisecond
	window         = 500 * time.Millisecond
	// maxDelay is the delay from which the node does not keep up.
	maxDelay = 100 * time.Millisecond
	// shedStep and recoverStep are by how much the share of closed connections rises in a window in which the
	// node does not keep up, and falls in any other; maxShed bounds it, as a balancer takes a node that
	// accepts nothing for a failed one.
	shedStep    = 0.3
	recoverStep = 0.1
	maxShed     = 0.8
	// reservedDescriptors are kept for files, the store, other nodes and idle connections to targets, at most half
	// of all. A request takes two: its caller's connection and one to a target.
	reservedDescriptors   = 500
	descriptorsPerRequest = 2
)

// Detector measures how long goroutines wait for the processor, and derives the share of new connections to close. It
// is safe for concurrent use. It implements suture.Service.
type Detector struct {
	// OnChange, if set, is called when the node begins or ceases to close connections.
	OnChange func(shedding bool, delay time.Duration)

	// shed is the share of connections to close, in thousandths; delay is that of the last window.
	shed, delay atomic.Int64
}

// Serve implements suture.Service.
func (d *Detector) Serve(ctx context.Context) error {
	var w minimum
	ticker := time.NewTimer(sampleInterval)
	defer ticker.Stop()
	for {
		due := time.Now().Add(sampleInterval)
		ticker.Reset(sampleInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		if delay, full := w.add(time.Since(due)); full {
			d.update(delay)
		}
	}
}

// update adjusts the share of closed connections to the least delay in a window.
func (d *Detector) update(delay time.Duration) {
	before := d.Share()
	share := max(before-recoverStep, 0)
	if delay > maxDelay {
		share = min(before+shedStep, maxShed)
	}
	d.delay.Store(int64(delay))
	d.shed.Store(int64(thousandths(share)))
	if (share > 0) != (before > 0) && d.OnChange != nil {
		d.OnChange(share > 0, delay)
	}
}

func thousandths(share float64) int { return int(share*1000 + 0.5) }

// Share returns the share of new connections to close unread, from 0 to 1.
func (d *Detector) Share() float64 { return float64(d.shed.Load()) / 1000 }

// Delay returns the least time that a goroutine waited for the processor in the last window.
func (d *Detector) Delay() time.Duration { return time.Duration(d.delay.Load()) }

// minimum is the least of the delays in a window.
type minimum struct {
	n     int
	least time.Duration
}

// add adds a delay; at the end of a window it returns the least one.
func (m *minimum) add(delay time.Duration) (least time.Duration, full bool) {
	if m.n == 0 || delay < m.least {
		m.least = delay
	}
	m.n++
	if m.n < int(window/sampleInterval) {
		return 0, false
	}
	least = m.least
	*m = minimum{}
	return least, true
}

// Gate decides on each new connection. It is safe for concurrent use.
type Gate struct {
	// Share returns the share of connections to close, from 0 to 1.
	Share func() float64
	// Most bounds the open connections; 0 for no bound. If it is reached, MakeRoom closes one whose caller has stalled,
	// and reports whether there was any; nil for never.
	Most     int
	MakeRoom func() bool

	mu   sync.Mutex
	open int
	// owed accumulates Share, in thousandths: a connection is closed each time it reaches 1.
	owed   int
	closed int64
}

// Enter reports whether a new connection is taken. If it is, Leave must be called at its end.
func (g *Gate) Enter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.owed += thousandths(g.Share())
	shed := g.owed >= 1000
	if shed {
		g.owed -= 1000
	}
	if shed || g.full() {
		g.closed++
		return false
	}
	g.open++
	return true
}

// full reports whether there is no room for one more connection. The lock must be held.
func (g *Gate) full() bool {
	if g.Most == 0 || g.open < g.Most {
		return false
	}
	// The end of the connection that was closed is recorded soon.
	return g.MakeRoom == nil || !g.MakeRoom()
}

// Leave records the end of a connection.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open--
}

// Crowded reports whether connections should end with their next answer, so that new ones find room.
func (g *Gate) Crowded() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Most > 0 && g.open > g.Most/2
}

// Counts returns the number of open connections, and that of those that were closed unread since the start.
func (g *Gate) Counts() (open int, closed int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.closed
}

// MostConnections returns the bound of a Gate for a process with a number of descriptors, and memory for connections of
// which each holds connBytes, in bytes; 0 for no bound.
func MostConnections(descriptors int, memory, connBytes int64) int {
	reserved := min(reservedDescriptors, descriptors/2)
	most := (descriptors - reserved) / descriptorsPerRequest
	if memory == 0 {
		return most
	}
	if most == 0 {
		return int(memory / connBytes)
	}
	return min(most, int(memory/connBytes))
}
