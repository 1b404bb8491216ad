package poison

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// End is an end of a target under a request.
type End struct {
	Digest Digest
	// Process names the start of the target's process, Probe the probe that the run was; ""
	// for none.
	Process, Probe string
}

const (
	// mostTold is the most nodes that hear of ends which the store does not take: all of a
	// small fleet, and enough of a large one that some of them reach the store.
	mostTold = 12
	// tellTimeout bounds one of these calls: a connection and its handshake take 3 round trips.
	tellTimeout = 500 * time.Millisecond
)

// tell tells other nodes of ends that the store did not take: they may reach it, and where
// nobody does, they know of them all the same.
func (g *Guard) tell(ctx context.Context, ends []End) {
	if len(ends) == 0 || g.cfg.Tell == nil {
		return
	}
	others := append([]string(nil), g.cfg.Others()...)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range others[:min(len(others), mostTold)] {
		wg.Go(func() {
			if err := g.cfg.Tell(ctx, addr, ends); err != nil {
				g.cfg.Log.Info("node not told of ends under requests", "addr", addr, "ends", len(ends), "err", err)
			}
		})
	}
	wg.Wait()
}

// Hear takes in ends that another node could not write.
func (g *Guard) Hear(ends []End) {
	for _, e := range ends {
		if e.Digest == (Digest{}) {
			continue
		}
		g.mu.Lock()
		g.learn(e.Digest, e.Process, e.Probe)
		g.mu.Unlock()
		g.queue.push(op{kind: opEnd, digest: e.Digest, process: e.Process, probe: e.Probe, told: true})
	}
	g.cfg.Log.Info("heard of ends under requests that another node could not write", "ends", len(ends))
}
