package entry

import (
	"context"
	"time"
)

const (
	// balancerLag is how long the balancer goes on sending callers after
	// readiness fell: it asks once a second and acts on the second miss.
	balancerLag = 2500 * time.Millisecond
	// endMargin is left between the end of the process and the signal that
	// would kill it.
	endMargin = 400 * time.Millisecond
	// defaultGrace stands for settings that do not name a grace.
	defaultGrace = 8 * time.Second
	// closeTime is how long requests that are cut have to tell their callers.
	closeTime = 150 * time.Millisecond
)

// RequestStop starts the graceful shutdown.
func (n *Node) RequestStop() { n.stopOnce.Do(func() { close(n.stopping) }) }

// stop is the graceful shutdown: readiness falls, other nodes take over this
// node's batches, the balancer notices, connections close as they fall idle,
// and the process ends when the last request is answered or shortly before it
// would be killed.
func (n *Node) stop(ctx context.Context) {
	grace := n.set.StopGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	ends := time.Now().Add(grace - endMargin)
	n.stopped.Store(true)
	n.front.Stop(ends)
	n.router.Stop()
	n.teller.Stop()
	n.log.Info("stopping", "in_flight", n.front.InFlight(), "grace_ms", grace.Milliseconds())
	go n.peers.leave(ctx)
	select {
	case <-ctx.Done():
		return
	case <-time.After(balancerLag):
	}
	ctx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	if err := n.callers.shutdown(ctx); err != nil {
		n.log.Warn("requests are cut: the process is about to end", "in_flight", n.front.InFlight())
		n.front.Cut()
		time.Sleep(closeTime)
		return
	}
	n.log.Info("stopped: no request was interrupted")
}
