package entry

import (
	"time"

	"topazmoor/internal/watch"
)

// maxDistrust is the longest that a node sends nothing after a suspension of its host. If the
// store does not answer within that time, the node continues with the data that it has, like
// any node without a connection to the store.
const maxDistrust = 2 * time.Second

// hostResumed is called after the host was suspended for gap. The node's data is older by gap
// than its timestamps show, so nothing is sent until the store has confirmed it.
func (n *Node) hostResumed(gap time.Duration) {
	now := time.Now()
	n.untrustedSince.Store(&now)
	n.log.Warn("host was suspended, asking the store for changes", "ms", gap.Milliseconds(), "in_flight", n.passThrough.InFlight())
	n.passThrough.HostResumed(gap)
	n.targets.ListInterrupted()
	n.streams.History.HostResumed()
	n.streams.Checkpoints.HostResumed()
	n.guard.HostResumed()
	for _, t := range n.followedTables() {
		t.Invalidate()
	}
	n.follower.Renew()
	n.limiter.DropPermits()
	n.gate.Expire()
	n.owner.Expire()
	// The other ends of these connections may be gone.
	n.env.Conns.Reset()
}

// followedTables returns the watches of the tables that this node follows.
func (n *Node) followedTables() []*watch.Table {
	return []*watch.Table{n.targetTable, n.configTable, n.quarantineTable, n.peers.members}
}

// trusted checks for a suspension of the host and reports whether the node's data may be used:
// after a suspension the store must have confirmed the tables of the targets and of the
// operator.
func (n *Node) trusted() bool {
	n.detector.Check()
	since := n.untrustedSince.Load()
	if since == nil {
		return true
	}
	confirmed := n.targetTable.Confirmed() && n.configTable.Confirmed()
	if !confirmed && time.Since(*since) < maxDistrust {
		return false
	}
	if n.untrustedSince.CompareAndSwap(since, nil) {
		n.log.Info("sending requests again after a suspension of the host", "heard", confirmed, "ms", time.Since(*since).Milliseconds())
	}
	return true
}
