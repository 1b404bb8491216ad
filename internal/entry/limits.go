package entry

import (
	"context"
	"time"

	"topazmoor/internal/sharedrate"
	"topazmoor/internal/targets"
)

// provisionLimits builds the limiter, which keeps the nodes together within the limits that
// targets advertise.
func (n *Node) provisionLimits() {
	n.limiter = sharedrate.New(sharedrate.Config{
		Self: sharedrate.Node{Name: n.set.Node, Addr: n.set.ListenPeers}, Log: n.log,
		AskPermits: func(ctx context.Context, addr string, a sharedrate.PermitRequest) (sharedrate.Grant, error) {
			return n.peers.client.AskPermits(ctx, addr, a)
		},
	})
	n.targets.Permits = n.limiter
	n.targets.LimitChanged = n.limitChanged
	n.metrics.GaugeVec("topazmoor_entry_limited_targets", "Targets that name a limit, by service.", "service", n.targets.LimitedTargets)
	n.metrics.Counter("topazmoor_entry_permits_taken_total", "Permits that requests of this node got for targets that name a limit.", func() float64 { return n.limiter.Counts().Taken })
	n.metrics.Counter("topazmoor_entry_permits_denied_total", "Requests of this node that got no permit.", func() float64 { return n.limiter.Counts().Denied })
	n.metrics.Counter("topazmoor_entry_permits_granted_total", "Permits that this node granted to all nodes.", func() float64 { return n.limiter.Counts().Granted })
	n.metrics.Counter("topazmoor_entry_permit_asks_total", "Asks for permits that this node answered.", func() float64 { return n.limiter.Counts().RequestsAnswered })
}

// repeatPermitTimeout is how long a repeat waits for its permit; the caller waits for that
// time too.
const repeatPermitTimeout = 50 * time.Millisecond

// acquireRepeatPermit acquires a permit for a repeat, of a rate that all nodes share.
func (n *Node) acquireRepeatPermit(ctx context.Context, service string, perSecond float64) bool {
	now := time.Now()
	rate := sharedrate.Rate{Key: "repeats at " + service, PerSecond: perSecond, ConfirmedAt: now}
	_, err := n.limiter.Acquire(ctx, rate, now, now.Add(repeatPermitTimeout))
	if err != nil {
		n.log.Info("no permit for a repeat", "service", service, "per_second", perSecond, "err", err)
	}
	return err == nil
}

// limitChanged logs that a target set, changed or removed its advertised limit.
func (n *Node) limitChanged(c targets.LimitChange) {
	attrs := []any{"process", c.Process, "addr", c.Addr, "service", c.Service, "lasted_ms", c.LimitedFor.Milliseconds(), "told", c.ByOtherNode}
	if c.PerSecond < 0 {
		n.log.Info("target no longer advertises a limit", attrs...)
		return
	}
	n.log.Info("target advertises a limit", append(attrs, "per_second", c.PerSecond)...)
}
