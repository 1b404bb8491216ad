package entry

import (
	"context"
	"time"

	"topazmoor/internal/passthrough"
)

const (
	// balancerLag is how long the balancer still sends callers after the node reports that it is
	// not ready: it checks once a second and acts on the second failure.
	balancerLag = 2500 * time.Millisecond
	// endMargin is the time left between the end of the process and the signal that would kill it.
	endMargin = 400 * time.Millisecond
	// defaultGrace is used if the settings set no grace.
	defaultGrace = 8 * time.Second
	// abortTime is the time that aborted requests have to send their callers a response.
	abortTime = 150 * time.Millisecond
)

// RequestStop starts the graceful shutdown.
func (n *Node) RequestStop() { n.stopOnce.Do(func() { close(n.stopping) }) }

// stop is the graceful shutdown. The node reports that it is not ready, other nodes take over
// its batches, the balancer stops sending callers, and connections close as they become idle.
// The process ends when the last request is answered, or shortly before it would be killed.
func (n *Node) stop(ctx context.Context) {
	grace := n.set.StopGrace
	if grace <= 0 {
		grace = defaultGrace
	}
	began := time.Now()
	ends := began.Add(grace - endMargin)
	n.stopped.Store(true)
	n.passThrough.Stop(passthrough.PlannedStop{Left: began.Add(balancerLag), Ends: ends})
	n.router.Stop()
	n.relayServer.Stop()
	n.log.Info("stopping", "in_flight", n.passThrough.InFlight(), "grace_ms", grace.Milliseconds())
	go n.peers.leave(ctx)
	select {
	case <-ctx.Done():
		return
	case <-time.After(balancerLag):
	}
	ctx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	if err := n.callerServer.shutdown(ctx); err != nil {
		n.log.Warn("requests aborted: the process is about to end", "in_flight", n.passThrough.InFlight())
		n.passThrough.Abort()
		time.Sleep(abortTime)
		return
	}
	n.log.Info("stopped: no request was interrupted")
}
