// Package targetlink connects to targets: over this node's own network path, and through another node while
// that path fails. Source: docs/design/029-who-serves-without-links.md.
package targetlink

import (
	"sync"
	"time"
)

// Outcome is how an attempt to connect to a target over this node's own path ended.
type Outcome uint8

// The outcomes of connects.
const (
	Connected Outcome = iota
	// Refused: the target's host, or the network, answered that there is no connection.
	Refused
	// Silent: nothing answered in time.
	Silent
	// Canceled: the caller gave up first. It is no evidence on the path.
	Canceled
	outcomes
)

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"connected", "refused", "silent", "canceled"}[o]
}

const (
	// lostAfter is the number of different targets that must fail in a row, within failureWindow, for
	// the path to count as lost: one rack or service may end at once, and its targets are then refused
	// too.
	lostAfter     = 3
	failureWindow = 5 * time.Second
)

// Monitor judges from the outcomes of connects whether the node's own path to targets works. A single
// target that fails is no evidence: its process may have ended, and several may have ended together. It is safe for
// concurrent use. The zero
// Monitor knows of no failure.
type Monitor struct {
	mu sync.Mutex
	// failed has, by address, the targets whose last connect failed since the last one that succeeded.
	failed map[string]failure
	lost   bool
	lostAt time.Time
}

type failure struct {
	at      time.Time
	outcome Outcome
}

// Change describes that the path was lost or is back.
type Change struct {
	Lost bool
	// Refused and Silent are the numbers of targets that failed in a row, by outcome.
	Refused, Silent int
	// Lasted is how long the path had been lost.
	Lasted time.Duration
}

// Record records the outcome of a connect to addr, and reports whether the judgement changed.
func (m *Monitor) Record(addr string, o Outcome, now time.Time) (c Change, changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch o {
	case Canceled:
		return Change{}, false
	case Connected:
		clear(m.failed)
		changed, m.lost = m.lost, false
		return Change{Lasted: now.Sub(m.lostAt)}, changed
	}
	if m.failed == nil {
		m.failed = make(map[string]failure)
	}
	m.failed[addr] = failure{at: now, outcome: o}
	c = m.count(now)
	if m.lost || c.Refused+c.Silent < lostAfter {
		return Change{}, false
	}
	m.lost, m.lostAt = true, now
	return c, true
}

// suspects reports whether one more failure, at addr, would make the path count as lost.
func (m *Monitor) suspects(addr string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.count(now)
	failed := c.Refused + c.Silent
	if _, known := m.failed[addr]; !known {
		failed++
	}
	return !m.lost && failed >= lostAfter
}

// hasFailed reports whether the last connect to addr failed.
func (m *Monitor) hasFailed(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, failed := m.failed[addr]
	return failed
}

// count drops the failures that are older than failureWindow and counts the others.
func (m *Monitor) count(now time.Time) Change {
	c := Change{Lost: true}
	for addr, f := range m.failed {
		switch {
		case now.Sub(f.at) > failureWindow:
			delete(m.failed, addr)
		case f.outcome == Silent:
			c.Silent++
		default:
			c.Refused++
		}
	}
	return c
}

// Lost reports whether the node's own path to targets counts as lost.
func (m *Monitor) Lost() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lost
}
