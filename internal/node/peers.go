package node

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/membership"
	"topazmoor/internal/peer"
	"topazmoor/internal/scheduler"
)

// nodeTable is the store table in which each node registers its peer address at
// start.
const nodeTable = "node"

const (
	// nodeListPoll is the mean time between two reads of the node table. The
	// actual wait is uniformly random between 0.5 and 1.5 times this value.
	nodeListPoll = time.Minute
	// nodeListRetry is the wait after a failed registration or a failed read of
	// the node table.
	nodeListRetry = 2 * time.Second
	// nodeListLimit is the maximum number of rows in one read of the node table.
	nodeListLimit = 1000
	// revisionWait is how long refresh waits for the replies to its pings.
	revisionWait = 300 * time.Millisecond
	// listenTries is the maximum number of attempts to find a port that is free
	// for both TCP and UDP.
	listenTries = 20
	// forgetDeadAfter is how long a dead node stays in the membership list. It must
	// be longer than a network partition between regions lasts.
	forgetDeadAfter = 6 * time.Hour
)

// peers holds the node's connections to the other nodes and its membership
// runner. It implements config.Peers, ledger.Remote and suture.Service.
type peers struct {
	n      *Node
	client *peer.Client
	server *peer.Server
	runner *membership.Runner
}

func (n *Node) provisionPeers() error {
	p := &peers{n: n}
	secure, err := n.s.Listen.Peer.TLS.Config()
	if err != nil {
		return eris.Wrap(err, "listen.peer.tls")
	}
	ln, pc, err := listenBoth(n.env, n.s.Listen.Peer.Addr)
	if err != nil {
		return eris.Wrap(err, "listen.peer.addr")
	}
	if secure != nil {
		ln = tls.NewListener(ln, secure)
	}
	self := membership.Member{
		Name: n.s.Node.Name, Addr: ln.Addr().String(), DataCentre: n.s.Node.DataCentre,
		Incarnation: uint64(n.started.UnixNano()),
	}
	cfg := membership.Config{Interval: n.s.Peers.Interval.Std(), SuspectFor: n.s.Peers.SuspectAfter.Std(), ForgetAfter: forgetDeadAfter}
	st := membership.New(self, n.s.Peers.Seeds, cfg, rand.New(rand.NewPCG(n.env.Seed, self.Incarnation)))
	p.runner = membership.NewRunner(pc, n.env.PeerKey, st, &n.board.Members, p.onHigherRevision, n.log)
	dial, err := n.peerDial()
	if err != nil {
		return err
	}
	p.client = peer.NewClient(dial, n.env.PeerKey, self.Name, nil, nil)
	h := peer.Handler{
		Registries: localLedger{n},
		Changes:    func(after int64) []catalog.Change { return n.follower.Since(after) },
		Snapshot:   func() (int64, []catalog.Item) { c := n.board.Catalog.Get(); return c.Revision, c.Items() },
		Rollouts:   n.rollouts,
		Targets:    n.links,
		Demand:     func() []scheduler.ModelDemand { return n.sched.ModelDemand() },
	}
	p.server = peer.NewServer(ln, n.env.PeerKey, self.Name, h, n.log)
	n.peers = p
	return nil
}

// peerDial returns the dial function for calls to other nodes.
func (n *Node) peerDial() (peer.Dial, error) {
	secure, err := n.s.Listen.Peer.TLS.DialConfig()
	if err != nil {
		return nil, eris.Wrap(err, "listen.peer.tls")
	}
	if secure == nil {
		return peer.Dial(n.env.Dial), nil
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := n.env.Dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		cfg := secure.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(addr)
		tc := tls.Client(c, cfg)
		if err := tc.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, eris.Wrap(err, "peer TLS handshake")
		}
		return tc, nil
	}, nil
}

// listenBoth opens the same port for peer calls (TCP) and for membership
// datagrams (UDP).
func listenBoth(env Env, addr string) (net.Listener, membership.PacketConn, error) {
	var err error
	for range listenTries {
		var ln net.Listener
		ln, err = env.Listen(addr)
		if err != nil {
			return nil, nil, err
		}
		var pc membership.PacketConn
		pc, err = env.ListenPacket(ln.Addr().String())
		if err == nil {
			return ln, pc, nil
		}
		ln.Close()
	}
	return nil, nil, err
}

// Announce implements config.Peers.
func (p *peers) Announce(revision int64) { p.runner.SetRevision(revision) }

// Snapshot implements config.Peers. It fetches the configuration from the live
// member that reports the highest revision. It returns revision 0 if no live
// member has a higher revision than this node.
func (p *peers) Snapshot(ctx context.Context) (int64, []catalog.Item, error) {
	p.refresh(ctx)
	var best membership.Member
	for _, m := range p.live() {
		if m.Revision > best.Revision {
			best = m
		}
	}
	if best.Revision <= p.n.board.Catalog.Get().Revision {
		return 0, nil, nil
	}
	return p.client.Snapshot(ctx, best.Addr)
}

// onHigherRevision handles a peer's report of a higher configuration revision. It
// fetches the configuration from the peer in the background. If that fails, it
// makes the follower read the store.
func (p *peers) onHigherRevision(addr string, revision int64) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if err := p.fetch(ctx, addr, revision); err != nil {
			p.n.log.Debug("configuration not fetched from peer", "addr", addr, "revision", revision, "err", err)
			p.n.follower.PollNow()
		}
	}()
}

// fetch brings the configuration to the revision by the peer's changes, or by its
// snapshot if the changes do not suffice.
func (p *peers) fetch(ctx context.Context, addr string, revision int64) error {
	have := p.n.board.Catalog.Get().Revision
	if have >= revision {
		return nil
	}
	changes, err := p.client.Changes(ctx, addr, have)
	if err != nil {
		return err
	}
	for _, c := range changes {
		p.n.follower.Offer(c)
	}
	if p.n.board.Catalog.Get().Revision >= revision {
		return nil
	}
	rev, items, err := p.client.Snapshot(ctx, addr)
	if err != nil {
		return err
	}
	p.n.follower.ApplySnapshot(rev, items)
	return nil
}

// refresh pings all live nodes, whose replies carry their revisions, and waits
// revisionWait for the replies.
func (p *peers) refresh(ctx context.Context) {
	p.runner.PingAll()
	select {
	case <-ctx.Done():
	case <-time.After(revisionWait):
	}
}

// live returns the other members that are alive or suspect.
func (p *peers) live() []membership.Member {
	var out []membership.Member
	for _, m := range p.n.board.Members.Get() {
		if m.Health <= membership.Suspect {
			out = append(out, m)
		}
	}
	return out
}

// membershipBytes returns the number of bytes of membership datagrams sent and
// received since start.
func (p *peers) membershipBytes() float64 {
	t := p.runner.Traffic()
	return float64(t.InBytes + t.OutBytes)
}

// nodes returns the number of live nodes, including this one.
func (p *peers) nodes() int { return len(p.live()) + 1 }

// Serve implements suture.Service. It registers this node in the node table and
// periodically reads the addresses of the other nodes from it.
func (p *peers) Serve(ctx context.Context) error {
	registered := false
	for {
		wait := nodeListPoll/2 + rand.N(nodeListPoll)
		registered = registered || p.register(ctx)
		if !p.readSeeds(ctx) || !registered {
			wait = nodeListRetry
		}
		p.client.CloseIdle(time.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
	}
}

// close closes the peer server and all connections to peers.
func (p *peers) close() {
	p.server.Close()
	p.client.Close()
}
