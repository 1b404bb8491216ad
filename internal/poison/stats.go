package poison

import "sync/atomic"

// stats are the counters of a Guard.
type stats struct {
	ends, probes, refused atomic.Int64
}

// Counts are the totals of a Guard since its start.
type Counts struct {
	// Ends counts ends of targets under requests of this node, Probes the sent probes, Refused the
	// requests that were refused because of their records.
	Ends, Probes, Refused int64
	// Dropped counts queued changes that were dropped because the queue was full while the store
	// was unavailable.
	Dropped int64
	// Quarantined is the current number of quarantined requests, QuarantinedParts that of parts of prompts.
	Quarantined, QuarantinedParts int
	// Reports is the number of reports on ended targets that are evaluated for parts of prompts.
	Reports int
}

// Counts returns the totals so far.
func (g *Guard) Counts() Counts {
	g.mu.Lock()
	parts := 0
	for d := range g.stored {
		if _, ok := d.Part(); ok {
			parts++
		}
	}
	quarantined, reports := len(g.stored)-parts, len(g.parts.stored)+len(g.parts.pending)
	g.mu.Unlock()
	g.queue.mu.Lock()
	dropped := g.queue.dropped
	g.queue.mu.Unlock()
	return Counts{
		Ends: g.stats.ends.Load(), Probes: g.stats.probes.Load(), Refused: g.stats.refused.Load(),
		Dropped: dropped, Quarantined: quarantined, QuarantinedParts: parts, Reports: reports,
	}
}
