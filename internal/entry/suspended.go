package entry

import (
	"time"

	"topazmoor/internal/watch"
)

// distrustTime is the longest that a node sends nothing after its host stood still. Without
// the store it then goes on by what it knew, like any node that the store does not answer.
const distrustTime = 2 * time.Second

// woke is told that the host was suspended for a time. Everything that this node believes is
// older by that than it looks: until the store was heard again nothing is sent on it.
func (n *Node) woke(gap time.Duration) {
	now := time.Now()
	n.distrusted.Store(&now)
	n.log.Warn("the host stood still, asking the store what has changed", "ms", gap.Milliseconds(), "in_flight", n.front.InFlight())
	n.front.Woke(gap)
	for _, t := range n.followed() {
		t.Distrust()
	}
	n.follower.Renew()
	n.limiter.Clear()
	n.gate.Lapse()
	n.owner.Lapse()
	// Their other ends may be gone.
	n.env.Conns.Close()
}

// followed are the tables that this node follows.
func (n *Node) followed() []*watch.Table {
	return []*watch.Table{n.servers, n.config, n.quarantine, n.peers.members}
}

// trusted looks whether the host stood still, and reports whether what this node knows may be
// acted on: the store has answered since, for the targets and for the operator's table.
func (n *Node) trusted() bool {
	n.detector.Check()
	since := n.distrusted.Load()
	if since == nil {
		return true
	}
	heard := n.servers.Trusted() && n.config.Trusted()
	if !heard && time.Since(*since) < distrustTime {
		return false
	}
	if n.distrusted.CompareAndSwap(since, nil) {
		n.log.Info("what the node knows is in use again", "heard", heard, "ms", time.Since(*since).Milliseconds())
	}
	return true
}
