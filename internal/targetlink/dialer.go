package targetlink

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"
)

// Dial opens a connection; net.Dialer.DialContext in production.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Dialer connects to targets.
type Dialer struct {
	dial    Dial
	log     *slog.Logger
	monitor Monitor
	counts  [outcomes]atomic.Int64
}

// New returns a Dialer that connects with dial.
func New(dial Dial, log *slog.Logger) *Dialer { return &Dialer{dial: dial, log: log} }

// DialContext connects to the target at addr.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	return d.dialDirect(ctx, network, addr)
}

// dialDirect connects over the node's own path and records the outcome.
func (d *Dialer) dialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := d.dial(ctx, network, addr)
	o := outcomeOf(ctx, err)
	d.counts[o].Add(1)
	if c, changed := d.monitor.Record(addr, o, time.Now()); changed {
		d.logChange(c)
	}
	return conn, err
}

// outcomeOf classifies the result of a dial.
func outcomeOf(ctx context.Context, err error) Outcome {
	var op *net.OpError
	switch {
	case err == nil:
		return Connected
	case errors.Is(err, context.DeadlineExceeded), errors.As(err, &op) && op.Timeout():
		return Silent
	case ctx.Err() != nil:
		return Canceled
	}
	return Refused
}

func (d *Dialer) logChange(c Change) {
	if c.Lost {
		d.log.Warn("own path to targets lost", "refused", c.Refused, "silent", c.Silent)
		return
	}
	d.log.Info("own path to targets is back", "lost_ms", c.Lasted.Milliseconds())
}

// Lost reports whether the node's own path to targets counts as lost.
func (d *Dialer) Lost() bool { return d.monitor.Lost() }

// Connects returns how many connects over the node's own path ended with each outcome.
func (d *Dialer) Connects() map[string]float64 {
	out := make(map[string]float64, outcomes)
	for o := range outcomes {
		out[o.String()] = float64(d.counts[o].Load())
	}
	return out
}
