// Package node assembles one process of the system from its settings. It builds
// the components, runs them under a supervisor and shuts them down gracefully.
package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"topazmoor/internal/admin"
	"topazmoor/internal/batch"
	"topazmoor/internal/blackboard"
	"topazmoor/internal/catalog"
	"topazmoor/internal/config"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/intake"
	"topazmoor/internal/ledger"
	"topazmoor/internal/membership"
	"topazmoor/internal/metrics"
	"topazmoor/internal/region"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/supervise"
	"topazmoor/internal/suspend"
	"topazmoor/internal/targetlink"
	"topazmoor/internal/watch"
)

// Env holds the external dependencies of a node. Tests replace them.
type Env struct {
	// Dial opens connections to targets and peers.
	Dial dispatch.Dial
	// Listen opens a TCP listener.
	Listen func(addr string) (net.Listener, error)
	// ListenPacket opens a datagram socket.
	ListenPacket func(addr string) (membership.PacketConn, error)
	// Store is the client of the platform's table service.
	Store store.Store
	// PeerKey is the secret that all nodes share to authenticate each other.
	PeerKey []byte
	// BootLead returns the lead of the host's boot clock over its monotonic clock; nil reads the
	// kernel's clocks.
	BootLead suspend.Read
	// NewID returns an ID that is unique across all nodes and restarts.
	NewID func() string
	// Seed seeds random choices that need not be unpredictable.
	Seed uint64
	Log  *slog.Logger
}

// Board is the node's blackboard: the shared state that its components publish
// and watch.
type Board struct {
	// Catalog is the configuration in force.
	Catalog blackboard.Cell[*catalog.Compiled]
	// Hosts is the host list in use.
	Hosts blackboard.Cell[HostView]
	// Members are the other nodes.
	Members blackboard.Cell[[]membership.Member]
}

// HostView is the host list.
type HostView struct {
	// Hosts are sorted by ID.
	Hosts []store.Host
}

// Node is one process of the system.
type Node struct {
	s     settings.Settings
	env   Env
	log   *slog.Logger
	board Board

	metrics *metrics.Set
	// budget bounds what callers make the node hold.
	budget *intake.Budget
	sched  *scheduler.Scheduler
	// links connects to targets.
	links    *targetlink.Dialer
	calls    *dispatch.Client
	follower *config.Follower
	// hosts watches the host table.
	hosts   *watch.Table
	ledger  *ledger.Router
	table   *ledger.TableRegistry
	front   *frontdoor.Server
	batches *batch.Runner
	admin   *admin.Server
	peers   *peers
	// rollouts moves the calls of pools to other versions.
	rollouts *rollouts
	servers  []*server
	started  time.Time

	stopOnce sync.Once
	stopping chan struct{}
}

// Provision builds a node and opens its listeners. The node serves requests only
// after Serve is called. If the servers cannot be built, Provision closes what it has
// opened.
func Provision(s settings.Settings, env Env) (*Node, error) {
	n := &Node{
		s: s, env: env, stopping: make(chan struct{}), metrics: metrics.New(), started: time.Now(),
		log: env.Log.With("node", s.Node.Name),
	}
	var err error
	if n.rollouts, err = newRollouts(n); err != nil {
		return nil, err
	}
	n.provisionIntake()
	n.sched = scheduler.New(n.schedulerConfig())
	n.links = targetlink.New(targetlink.Dial(env.Dial), n.log)
	n.calls = dispatch.New(n.links.DialContext, s.Limits.AnswerBytes, n.provisionAnswers())
	if err := n.provisionPeers(); err != nil {
		return nil, err
	}
	n.provisionLinks()
	n.hosts = &watch.Table{Name: store.HostTable, From: env.Store, Wait: watch.LongWait, Apply: n.applyHosts, Log: n.log}
	store := config.NewStore(env.Store)
	n.follower = config.NewFollower(store, &n.board.Catalog, s.Pools, n.peers, s.Platform.ConfigPoll.Std(), n.log)
	n.provisionLedger()
	n.provisionFront()
	n.provisionBatches()
	n.provisionAdmin(store)
	n.provisionGauges()
	if err := n.provisionServers(); err != nil {
		n.cleanup()
		return nil, err
	}
	return n, nil
}

func (n *Node) schedulerConfig() scheduler.Config {
	cfg := scheduler.DefaultConfig(n.s.Node.DataCentre, n.env.Seed)
	cfg.Rollouts = n.rollouts.gate
	cfg.Regions = n.s.RegionMap()
	cfg.Crossing = region.Crossing{RoundTrip: n.s.Regions.RoundTrip.Std()}
	return cfg
}

// Addr returns the listen address of the named server ("caller", "admin",
// "peer" or "observe"), or "" for an unknown name.
func (n *Node) Addr(name string) string {
	if name == peerServer {
		return n.peers.server.Addr()
	}
	for _, s := range n.servers {
		if s.name == name {
			return s.listener.Addr().String()
		}
	}
	return ""
}

// Serve runs the node until ctx ends or a graceful stop is complete.
func (n *Node) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.table.Close()
	sup := suture.New(n.s.Node.Name, suture.Spec{EventHook: func(e suture.Event) { n.log.Warn("supervisor", "event", e.String()) }})
	sup.Add(supervise.Named("configuration", n.follower))
	sup.Add(supervise.Named("peers", n.peers))
	sup.Add(supervise.Named("peer server", n.peers.server))
	sup.Add(supervise.Named("membership", n.peers.runner))
	sup.Add(supervise.Named("host list", n.hosts))
	sup.Add(supervise.Named("targets", &hostPublisher{n: n}))
	sup.Add(supervise.Named("load reports", &loadPoller{n: n}))
	sup.Add(supervise.Named("links to targets", n.links))
	sup.Add(supervise.Named("batches", n.batches))
	sup.Add(supervise.Named("roll-outs", n.rollouts))
	sup.Add(supervise.Named("roll-out reports", n.rollouts.gate))
	sup.Add(supervise.Named("stops", &scheduledStop{n: n}))
	sup.Add(supervise.Named("administration", n.admin))
	for _, s := range n.servers {
		sup.Add(supervise.Named(s.name, s))
	}
	for _, s := range n.controlShards() {
		sup.Add(supervise.Named("control shard", s))
	}
	done := sup.ServeBackground(ctx)
	n.log.Info("node serves", "caller", n.Addr(callerServer), "admin", n.Addr(adminServer), "observe", n.Addr(observeServer))
	select {
	case <-ctx.Done():
	case <-n.stopping:
		n.drain(ctx)
	}
	cancel()
	err := <-done
	n.cleanup()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return eris.Wrap(err, "supervisor")
}
