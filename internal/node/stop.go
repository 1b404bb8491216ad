package node

import (
	"context"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"

	"topazmoor/internal/frontdoor"
)

// RequestStop starts the graceful shutdown. Further calls have no effect.
func (n *Node) RequestStop() {
	n.stopOnce.Do(func() { close(n.stopping) })
}

// scheduledStop requests the stop of this node at the time that the configuration
// schedules. It implements suture.Service.
type scheduledStop struct{ n *Node }

// Serve implements suture.Service.
func (s *scheduledStop) Serve(ctx context.Context) error {
	for {
		changed := s.n.board.Catalog.Changed()
		var due <-chan time.Time
		st, ok := s.n.board.Catalog.Get().Stop(s.n.s.Node.Name)
		// A stop scheduled before this process started applied to its
		// predecessor.
		if ok && st.At.After(s.n.started) {
			due = time.After(time.Until(st.At))
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-due:
			s.n.log.Info("scheduled stop", "at", st.At)
			s.n.RequestStop()
			return suture.ErrDoNotRestart
		}
	}
}

// drain performs the graceful shutdown. The node already reports that it is not
// ready. drain waits until the balancer has had time to notice, then until the
// requests in flight have ended, at most Stop.Drain. It cancels the remaining
// requests.
func (n *Node) drain(ctx context.Context) {
	n.log.Info("stopping: not ready, waiting for the balancer", "lag", n.s.Stop.BalancerLag.Std())
	select {
	case <-ctx.Done():
	case <-time.After(n.s.Stop.BalancerLag.Std()):
	}
	ctx, cancel := context.WithTimeout(ctx, n.s.Stop.Drain.Std())
	defer cancel()
	err := errors.Join(n.caller().http.Shutdown(ctx), n.front.Wait(ctx))
	if err != nil {
		n.log.Error("stop.drain exceeded: cancelling requests in flight", "in_flight", n.front.InFlight())
		n.cancelRequests()
		return
	}
	n.peers.deregister(ctx)
	n.log.Info("stopped: no request was interrupted")
}

// cancelWait is how long cancelled requests may take to send their refusals.
const cancelWait = time.Second

// cancelRequests cancels the requests in flight. Their callers receive a refusal
// that states whether the request may have run. Claimed requests are not cancelled: they run
// until the process ends, and their callers get no answer.
func (n *Node) cancelRequests() {
	n.caller().cancel(frontdoor.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), cancelWait)
	defer cancel()
	if err := n.front.Wait(ctx); err != nil {
		n.log.Error("requests in flight after cancellation get no answer", "in_flight", n.front.InFlight())
	}
}

// caller returns the server for callers.
func (n *Node) caller() *server {
	for _, s := range n.servers {
		if s.name == callerServer {
			return s
		}
	}
	panic("node: no caller server")
}

// cleanup closes all servers and connections at once.
func (n *Node) cleanup() {
	for _, s := range n.servers {
		s.close()
	}
	n.peers.close()
	n.calls.Close()
}
