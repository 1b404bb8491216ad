package poison

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/attribution"
)

// Ends are observations that a node could not write to the store: ends under requests, and reports of what
// else ran at the processes that ended.
type Ends struct {
	Requests []End
	Reports  []attribution.Report
}

// size returns the number of observations.
func (e Ends) size() int { return len(e.Requests) + len(e.Reports) }

// End is an end of a target under a request.
type End struct {
	Digest Digest
	// Process identifies one start of the target's process. Probe names the probe under which it
	// ended; empty if none.
	Process, Probe string
}

const (
	// maxShareNodes bounds the nodes to which unwritten ends are sent: all nodes of a small
	// installation, and enough of a large one that some of them reach the store.
	maxShareNodes = 12
	// shareTimeout bounds sending ends to all of these nodes, which happens concurrently. A
	// connection with its handshake takes 3 round trips.
	shareTimeout = 500 * time.Millisecond
)

// shareEnds sends ends that could not be written to the store to other nodes. They may reach the
// store, and if none does, they still take the ends into account.
func (g *Guard) shareEnds(ctx context.Context, ends Ends) {
	if ends.size() == 0 || g.cfg.SendEndsTo == nil {
		return
	}
	others := append([]string(nil), g.cfg.OtherAddrs()...)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, addr := range others[:min(len(others), maxShareNodes)] {
		wg.Go(func() {
			if err := g.cfg.SendEndsTo(ctx, addr, ends); err != nil {
				g.cfg.Log.Info("sending of ends under requests to another node failed", "addr", addr, "ends", ends.size(), "err", err)
			}
		})
	}
	wg.Wait()
}

// ReceiveEnds records ends that another node could not write to the store, and queues them to be
// written.
func (g *Guard) ReceiveEnds(ends Ends) {
	for _, r := range ends.Reports {
		g.receiveReport(r)
	}
	for _, e := range ends.Requests {
		if e.Digest == (Digest{}) {
			continue
		}
		g.mu.Lock()
		g.addLocalEnd(e.Digest, e.Process, e.Probe)
		g.mu.Unlock()
		g.queue.push(op{kind: opEnd, digest: e.Digest, process: e.Process, probe: e.Probe, shared: true})
	}
	g.cfg.Log.Info("received ends under requests that another node could not write", "ends", ends.size())
}
