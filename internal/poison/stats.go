package poison

import "sync/atomic"

// stats counts what a Guard did.
type stats struct {
	ends, probes, refused atomic.Int64
}

// Counts are the counts of a Guard since its start.
type Counts struct {
	// Ends are ends of targets under requests of this node, Probes sends of requests in
	// quarantine, Refused those that were not sent.
	Ends, Probes, Refused int64
	// Dropped are ends that could not be written, as the store was away for too long.
	Dropped int64
	// Quarantined is how many requests are in quarantine now.
	Quarantined int
}

// Counts returns the counts so far.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	quarantined := len(g.fleet)
	g.mu.Unlock()
	g.queue.mu.Lock()
	dropped := g.queue.dropped
	g.queue.mu.Unlock()
	return Counts{
		Ends: g.stats.ends.Load(), Probes: g.stats.probes.Load(), Refused: g.stats.refused.Load(),
		Dropped: dropped, Quarantined: quarantined,
	}
}
