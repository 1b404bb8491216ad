package targetlink

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/verdict"
)

// Dial opens a connection; net.Dialer.DialContext in production.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

const (
	// fallbackDelay is how long a connect over one path may stay without an answer until the next path
	// is tried as well. A round trip to another region takes some 25 ms.
	fallbackDelay = 150 * time.Millisecond
	// checkDelay is the same for DialAny, whose caller needs an answer sooner.
	checkDelay = 50 * time.Millisecond
	// throughNodeTimeout bounds a connect through one other node.
	throughNodeTimeout = 250 * time.Millisecond
	// nodesWhileLost is how many other nodes a connect tries while the own path is lost: some of them may
	// have lost theirs too.
	nodesWhileLost = 4
	// nodesWhileWorking is the same while the own path works, but a target is not reached over it: the first
	// one may not reach it either, for the same reason.
	nodesWhileWorking = 2
)

var errManyTunnels = eris.New("targetlink: as many connections through other nodes as there may be")

var errNoOtherWay = eris.New("targetlink: no other node to connect through")

// Others gives a Dialer access to the other nodes and to the list of targets.
type Others struct {
	// Nodes returns the other nodes.
	Nodes func() []Node
	// Connect has the node at an address connect to a target.
	Connect func(ctx context.Context, node, target string) (net.Conn, error)
	// DataCentre is the data centre of this node; DataCentreOf returns that of the target at an address,
	// "" for an address at which none is listed.
	DataCentre   string
	DataCentreOf func(addr string) string
	// MayCarry reports whether the connections to the target at an address may go through a node in a data
	// centre; nil for always. Connections through a node that no longer may are not reused.
	MayCarry func(dataCentre, addr string) bool
	// Addresses returns the addresses of the listed targets.
	Addresses func() []string
	// PathChanged is called when the own path is lost or back; see Change. It must not block.
	PathChanged func(Change)
}

// mayCarry reports whether connections to the target at an address may go through a node.
func (o Others) mayCarry(n Node, addr string) bool {
	return o.MayCarry == nil || o.MayCarry(n.DataCentre, addr)
}

// Dialer connects to targets: over this node's own path, and through other nodes while that path is lost
// or gives no answer. It is safe for concurrent use.
type Dialer struct {
	dial     Dial
	log      *slog.Logger
	others   Others
	monitor  Monitor
	nodes    nodeChoice
	indirect indirectTargets
	direct   directConns
	// verifying is set while verify connects to targets.
	verifying atomic.Bool
	counts    [outcomes]atomic.Int64
	tunnels   tunnels
	// through and throughFailed count the connects through other nodes, forOthers those on behalf of
	// other nodes, refused those that this node did not try for them.
	through, throughFailed, forOthers, refused atomic.Int64
}

// New returns a Dialer that connects with dial.
func New(dial Dial, log *slog.Logger) *Dialer {
	return &Dialer{dial: dial, log: log, direct: directConns{epoch: time.Now()}}
}

// Use sets the other nodes. It must be called before the first connect.
func (d *Dialer) Use(o Others) { d.others = o }

// BoundTunnels bounds the number of connections through other nodes and on their behalf. It must be called before the
// first connect.
func (d *Dialer) BoundTunnels(most int64) { d.tunnels.most = min(max(most, 1), maxTunnels) }

// DialContext connects to the target at addr: over the own path first, unless that path is lost or
// recently failed at this target where another node's did not.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	direct := d.wayDirect(network, addr)
	switch {
	case d.Lost():
		return race(ctx, fallbackDelay, append(d.waysThrough(addr, nodesWhileLost), direct))
	case d.indirect.active(addr, time.Now()):
		return race(ctx, fallbackDelay, []way{d.wayThroughOthers(addr), direct})
	}
	return race(ctx, fallbackDelay, []way{direct, d.wayThroughOthers(addr)})
}

// DialAny connects to the target at addr over whichever path works. It fails only if the target was
// reached neither over the own path nor through another node.
func (d *Dialer) DialAny(ctx context.Context, network, addr string) (net.Conn, error) {
	ways := append([]way{d.wayDirect(network, addr)}, d.waysThrough(addr, nodesWhileLost)...)
	return race(ctx, checkDelay, ways)
}

// DialFor connects to a target on behalf of another node. Its errors are of type *verdict.Error: NoTarget
// if the target was not reached, NotReady if another node should be asked.
func (d *Dialer) DialFor(ctx context.Context, addr string) (net.Conn, error) {
	switch {
	case d.others.DataCentreOf == nil, d.others.DataCentreOf(addr) == "":
		return nil, d.refuse("no target is listed at the address")
	case d.Lost():
		return nil, d.refuse("this node's own path to targets is lost")
	case !d.tunnels.acquire():
		return nil, d.refuse("this node has as many connections for other nodes as it may")
	}
	d.forOthers.Add(1)
	conn, err := d.dialDirect(ctx, "tcp", addr)
	if err != nil {
		d.tunnels.release()
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.NoTarget, "the target was not reached")
	}
	return d.tunnels.track(conn), nil
}

// refuse counts and returns the refusal of a connection for another node.
func (d *Dialer) refuse(reason string) error {
	d.refused.Add(1)
	d.log.Info("no connection for another node", "reason", reason)
	return verdict.New(verdict.NotRun, verdict.NotReady, "%s", reason)
}

func (d *Dialer) wayDirect(network, addr string) way {
	return way{direct: true, dial: func(ctx context.Context) (net.Conn, error) { return d.dialDirect(ctx, network, addr) }}
}

// wayThroughOthers returns the way through the nodes that are the first choices when the way is tried: the second one
// where the first one did not reach the target.
func (d *Dialer) wayThroughOthers(addr string) way {
	return way{dial: func(ctx context.Context) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, throughNodeTimeout)
		defer cancel()
		err := error(errNoOtherWay)
		for _, w := range d.waysThrough(addr, nodesWhileWorking) {
			var conn net.Conn
			if conn, err = w.dial(ctx); err == nil {
				return conn, nil
			}
			if ctx.Err() != nil {
				break
			}
		}
		return nil, err
	}}
}

// waysThrough returns the ways to a target through at most n other nodes.
func (d *Dialer) waysThrough(addr string, n int) []way {
	if d.others.Nodes == nil {
		return nil
	}
	var ways []way
	for _, node := range d.nodes.choose(d.others, addr, n, time.Now()) {
		ways = append(ways, way{dial: func(ctx context.Context) (net.Conn, error) { return d.dialThrough(ctx, node, addr) }})
	}
	return ways
}

// dialDirect connects over the own path and records the outcome.
func (d *Dialer) dialDirect(ctx context.Context, network, addr string) (net.Conn, error) {
	start := time.Now()
	conn, err := d.dial(ctx, network, addr)
	d.record(addr, outcomeOf(ctx, err, time.Since(start)))
	if err != nil {
		return nil, err
	}
	return d.direct.add(conn, addr), nil
}

// dialThrough connects through another node.
func (d *Dialer) dialThrough(ctx context.Context, n Node, addr string) (net.Conn, error) {
	if !d.tunnels.acquire() {
		d.throughFailed.Add(1)
		return nil, errManyTunnels
	}
	ctx, cancel := context.WithTimeout(ctx, throughNodeTimeout)
	defer cancel()
	conn, err := d.others.Connect(ctx, n.Addr, addr)
	if err != nil {
		d.tunnels.release()
	}
	if err == nil {
		d.through.Add(1)
		d.indirect.opened(addr, time.Now())
		return &relayedConn{d.tunnels.track(conn), func() bool { return d.others.mayCarry(n, addr) }}, nil
	}
	if !errors.Is(ctx.Err(), context.Canceled) {
		d.throughFailed.Add(1)
		if !targetFailed(err) {
			d.nodes.failed(n, time.Now())
		}
		d.log.Info("target not reached through another node", "peer", n.Name, "addr", addr, "err", err)
	}
	return nil, err
}

// targetFailed reports whether a node was asked and did not reach the target, which may have ended. Other
// errors are those of the node.
func targetFailed(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code == verdict.NoTarget
}

// record records the outcome of a connect over the own path. One that would make the path count as lost is checked first.
func (d *Dialer) record(addr string, o Outcome) {
	d.counts[o].Add(1)
	if o == Silent && d.direct.receivedWithin(silenceBeforeCheck) {
		// Other targets answer, so the silence is this target's.
		return
	}
	if (o == Refused || o == Silent) && d.monitor.suspects(addr, time.Now()) && d.verify(addr, o) {
		return
	}
	d.judge(addr, o)
}

// judge has the monitor judge by the outcome of a connect.
func (d *Dialer) judge(addr string, o Outcome) {
	c, changed := d.monitor.Record(addr, o, time.Now())
	if !changed {
		return
	}
	if c.Lost {
		d.log.Warn("own path to targets lost", "refused", c.Refused, "silent", c.Silent)
	} else {
		d.indirect.clear()
		d.log.Info("own path to targets is back", "lost_ms", c.Lasted.Milliseconds())
	}
	if d.others.PathChanged != nil {
		d.others.PathChanged(c)
	}
}

// outcomeOf classifies the result of a dial that took some time.
func outcomeOf(ctx context.Context, err error, took time.Duration) Outcome {
	var op *net.OpError
	switch {
	case err == nil:
		return Connected
	case ctx.Err() != nil && took < fallbackDelay:
		return Canceled
	case ctx.Err() != nil, errors.As(err, &op) && op.Timeout():
		return Silent
	}
	return Refused
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

// Tunnels returns how many connections were opened through other nodes, how many were not, how many this node
// was asked to open for other nodes and tried to, and how many it refused.
func (d *Dialer) Tunnels() map[string]float64 {
	return map[string]float64{
		"opened": float64(d.through.Load()), "failed": float64(d.throughFailed.Load()),
		"for_others": float64(d.forOthers.Load()), "refused": float64(d.refused.Load()),
	}
}

// OpenTunnels returns how many connections are open through other nodes and on their behalf.
func (d *Dialer) OpenTunnels() float64 { return float64(d.tunnels.open.Load()) }
