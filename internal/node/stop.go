package node

import (
	"context"
	"errors"
	"time"

	"github.com/thejerf/suture/v4"

	"topazmoor/internal/frontdoor"
)

// RequestStop starts the graceful shutdown.
func (n *Node) RequestStop() {
	n.stopOnce.Do(func() { close(n.stopping) })
}

// stopper obeys the scheduled stop of this node. It implements suture.Service.
type stopper struct{ n *Node }

// Serve implements suture.Service.
func (s *stopper) Serve(ctx context.Context) error {
	for {
		changed := s.n.board.Catalog.Changed()
		var due <-chan time.Time
		st, ok := s.n.board.Catalog.Get().Stop(s.n.s.Node.Name)
		// An order from before this process was obeyed by the one before it.
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

// drain is the graceful shutdown: readiness has fallen already; wait for the
// balancer to notice, then for the requests in flight.
func (n *Node) drain(ctx context.Context) {
	n.log.Info("stopping: readiness is down, waiting for the balancer", "lag", n.s.Stop.BalancerLag.Std())
	select {
	case <-ctx.Done():
	case <-time.After(n.s.Stop.BalancerLag.Std()):
	}
	ctx, cancel := context.WithTimeout(ctx, n.s.Stop.Drain.Std())
	defer cancel()
	err := errors.Join(n.caller().http.Shutdown(ctx), n.front.Wait(ctx))
	if err != nil {
		n.log.Error("stop.drain was too short: requests are cut", "in_flight", n.front.InFlight())
		n.cut()
		return
	}
	n.peers.leave(ctx)
	n.log.Info("stopped: no request was interrupted")
}

// cutTime is how long requests that are cut have to tell their callers so.
const cutTime = time.Second

// cut ends the requests in flight; their callers are told whether they may have
// run. Claimed requests run on until the process ends, and their callers get no
// answer.
func (n *Node) cut() {
	n.caller().cancel(frontdoor.ErrStopping)
	ctx, cancel := context.WithTimeout(context.Background(), cutTime)
	defer cancel()
	if err := n.front.Wait(ctx); err != nil {
		n.log.Error("callers got no answer", "in_flight", n.front.InFlight())
	}
}

func (n *Node) caller() *server {
	for _, s := range n.servers {
		if s.name == callerServer {
			return s
		}
	}
	panic("node: no caller server")
}

func (n *Node) cleanup() {
	for _, s := range n.servers {
		s.close()
	}
	n.peers.close()
	n.calls.Close()
}
