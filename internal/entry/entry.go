// Package entry assembles a node that serves pass-through requests. The node follows the
// configuration, the targets and the other nodes in the store, forms batches or orders them
// from other nodes, serves callers, and stops gracefully. It keeps no durable state: after a
// power failure it starts from the store alone.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	reflect "reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"topazmoor/internal/blackboard"
	"topazmoor/internal/intake"
	"topazmoor/internal/metrics"
	"topazmoor/internal/overload"
	"topazmoor/internal/passthrough"
	"topazmoor/internal/poison"
	"topazmoor/internal/region"
	"topazmoor/internal/relay"
	"topazmoor/internal/resume"
	"topazmoor/internal/rollout"
	"topazmoor/internal/routes"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/supervise"
	"topazmoor/internal/suspend"
	"topazmoor/internal/targets"
	"topazmoor/internal/traffic"
	"topazmoor/internal/watch"
)

// nodeState holds the data that the parts of the node share.
type nodeState struct {
	Routes  blackboard.Cell[*routes.Config]
	Members blackboard.Cell[[]stagebatch.Node]
	// LocalNodes are the nodes of this node's data centre, including this node once it has its row
	// in the member table.
	LocalNodes blackboard.Cell[[]relay.Node]
}

// Node is one entry node.
type Node struct {
	set         Settings
	env         Env
	log         *slog.Logger
	state       nodeState
	targets     *targets.Table
	configTable *watch.Table
	targetTable *watch.Table
	peers       *peers
	// versionTracker receives the newest versions that the other nodes report for the operator's
	// table.
	versionTracker  *versionTracker
	guard           *poison.Guard
	quarantineTable *watch.Table
	limiter         *sharedrate.Limiter
	gate            *rollout.Gate
	streams         *resume.Registry
	owner           *rollout.Owner
	// relayServer and follower relay the tables of the store between the nodes of a data centre.
	relayServer  *relay.Publisher
	follower     *relay.Follower
	former       *stagebatch.Former
	router       *stagebatch.Router
	passThrough  *passthrough.Server
	callerServer *callerServer
	// overload measures whether the node keeps up; callerGate decides on new connections of callers.
	overload   *overload.Detector
	callerGate *overload.Gate
	// budget bounds what callers make the node hold. callerConns are their connections, readyConns those of the balancer
	// and of those who read metrics.
	budget      *intake.Budget
	callerConns *intake.Conns
	readyConns  *intake.Conns
	ready       *http.Server
	readyLn     net.Listener
	metrics     *metrics.Entry
	// traffic counts what is exchanged with other nodes, targetTraffic the same with targets.
	traffic       *traffic.Meter
	targetTraffic traffic.TargetCounter
	// unreadable holds the target rows that are ignored.
	unreadable unreadable
	// configStoreVersion is the version of the store from which the configuration in force was
	// read; configHash is the hash of the rows that it was read from.
	configStoreVersion store.Version
	configHash         uint64
	// memberRows is the member table as last received.
	memberRows blackboard.Cell[map[string]store.Row]

	// detector detects suspensions of the host. untrustedSince is set from a suspension until the
	// store has confirmed the node's data, or maxDistrust is over.
	detector       *suspend.Detector
	untrustedSince atomic.Pointer[time.Time]

	started  time.Time
	stopOnce sync.Once
	stopping chan struct{}
	stopped  atomic.Bool
}

const (
	// defaultBodyBytes and defaultReadTimeout apply unless a configuration sets other values.
	defaultBodyBytes   = 4 << 20
	defaultReadTimeout = 5 * time.Second
	// targetPause is how long changes of targets are collected, as targets start together, and
	// configPause the same for configurations in quick succession. A drain must be known, and a
	// configuration in force, within 2 s. Each change costs a call of every node, so many nodes
	// collect changes for longer, up to maxTargetPause.
	targetPause    = 400 * time.Millisecond
	maxTargetPause = 800 * time.Millisecond
	configPause    = 250 * time.Millisecond
	// targetPausePerNode is the pause added for each node: 74 nodes collect for 740 ms.
	targetPausePerNode = 10 * time.Millisecond
	// memoryShare is the fraction of the memory limit that becomes the soft limit of the Go
	// runtime; the rest is for memory that the runtime does not count.
	memoryShare = 0.75
	// budgetDivisor is the part of the memory limit for what callers send and do not read, connsDivisor that for the
	// buffers of their connections in the kernel, and tunnelsDivisor that for connections to targets through other nodes.
	budgetDivisor  = 5
	connsDivisor   = 4
	tunnelsDivisor = 5
	// maxReadyConnections bounds the connections of the balancer and of those who read metrics.
	maxReadyConnections = 64
)

// batchSpec returns the batch settings of a stage pool; nil for none.
func (n *Node) batchSpec(service string) *routes.Batch {
	cfg := n.state.Routes.Get()
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}
	return cfg.Services[service].Batch
}

// warmupRate returns how many calls a second, from all nodes together, a cold target of a
// service can take; 0 for no limit.
func (n *Node) warmupRate(service string) float64 {
	cfg := n.state.Routes.Get()
	if cfg == nil || cfg.Services[service] == nil {
		return 0
	}
	return cfg.Services[service].WarmupRate
}

// regionSets returns the sets of regions to which requests that use a service are restricted.
func (n *Node) regionSets(service string) []region.Set {
	cfg := n.state.Routes.Get()
	if cfg == nil {
		return nil
	}
	return cfg.RegionSets(service)
}

// current reports whether the configuration can be assumed to be the newest one.
func (n *Node) current() bool {
	return n.configTable.Connected() && n.targetTable.Connected() && n.versionTracker.behind() == 0
}

// storeUnreachable reports whether the store does not answer, either for the tables or, at a
// start, for the secret that the nodes share.
func (n *Node) storeUnreachable() bool { return n.peers.noSecret.Load() || n.targetTable.Lost() }

// storeContactChanged makes the other table watches, and the nodes that follow this one, check
// whether the store answers.
func (n *Node) storeContactChanged() {
	n.targets.ListInterrupted()
	n.relayServer.Wake()
	if n.follower.PollsStore() {
		n.configTable.PollNow()
		n.peers.members.PollNow()
		n.quarantineTable.PollNow()
	}
}

// Serve runs the node until ctx ends or a graceful stop is complete.
func (n *Node) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sup := suture.New(n.set.Node, suture.Spec{EventHook: func(e suture.Event) { n.log.Warn("supervisor", "event", e.String()) }})
	for _, s := range []suture.Service{
		supervise.Named("configuration", n.configTable), supervise.Named("list of targets", n.targetTable),
		supervise.Named("peers", n.peers), supervise.Named("peer server", n.peers.server), supervise.Named("members", n.peers.members),
		supervise.Named("follower", n.follower), supervise.Named("publisher", n.relayServer),
		supervise.Named("callers", n.callerServer), supervise.Named("overload", n.overload), supervise.Named("connections of callers", n.callerConns), supervise.Named("quarantine", n.quarantineTable), supervise.Named("guard", n.guard),
		supervise.Named("suspensions", n.detector), supervise.Named("roll-outs", n.gate), supervise.Named("sweeper", &sweeper{n}),
		supervise.Named("links to targets", n.env.Links), supervise.Named("versions of streams", n.streams),
		supervise.Named("versions of services", n.streams.History), supervise.Named("checkpoints of streams", n.streams.Checkpoints),
	} {
		sup.Add(s)
	}
	go func() { _ = n.ready.Serve(n.readyConns.Listener(n.readyLn, maxReadyConnections)) }()
	done := sup.ServeBackground(ctx)
	n.log.Info("node serves", "callers", n.set.ListenCallers, "ready", n.set.ListenReady, "peers", n.set.ListenPeers, "data_centre", n.set.DataCentre)
	select {
	case <-ctx.Done():
	case <-n.stopping:
		n.stop(ctx)
	}
	cancel()
	n.owner.Close()
	err := <-done
	n.close()
	if err == nil || errors.Is(err, context.Canceled) {
		return nil
	}
	return eris.Wrap(err, "supervisor")
}

func (n *Node) close() {
	if n.callerServer != nil {
		n.callerServer.close()
	}
	if n.readyLn != nil {
		n.readyLn.Close()
	}
	n.peers.close()
	n.logTraffic()
	n.env.Conns.Close()
}

// Ready reports whether the balancer should send callers here, and why not.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopped.Load():
		return false, "stopping"
	case n.state.Routes.Get() == nil:
		return false, "no configuration yet"
	case !n.targets.ListReceived():
		return false, "no targets yet"
	case !n.trusted():
		return false, "the host stood still"
	}
	return true, ""
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := n.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Reload reads the settings again and logs whether they changed. The running process keeps its
// addresses and limits until its next start.
func (n *Node) Reload() {
	set, err := n.env.Reload()
	if err != nil {
		n.log.Error("settings not reloaded", "err", err)
		return
	}
	n.log.Info("settings reloaded", "changed", !reflect.DeepEqual(set, n.set))
}

// sweeper closes connections that have expired. It implements suture.Service.
type sweeper struct{ n *Node }

const sweepInterval = 3 * time.Second

// Serve implements suture.Service.
func (s *sweeper) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-tick.C:
			s.n.env.Conns.CloseExpired(now)
		}
	}
}

// InFlight returns the number of requests in progress.
func (n *Node) InFlight() int64 { return n.passThrough.InFlight() }

// OtherNodes returns the number of other nodes in the member table.
func (n *Node) OtherNodes() int { return len(n.state.Members.Get()) }

// nodes returns the number of nodes by the member table, including this one.
func (n *Node) nodes() int { return n.OtherNodes() + 1 }

// ConfigVersion returns the version of the configuration in force; 0 for none.
func (n *Node) ConfigVersion() int64 {
	if cfg := n.state.Routes.Get(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// StoreFollowers returns how many nodes follow the store through this one.
func (n *Node) StoreFollowers() int { return n.relayServer.Followers() }

// BatchNode returns the name of the node that forms the batches of a service, by this node's view
// of the members.
func (n *Node) BatchNode(service string) string { return n.router.FirstBatchNode(service) }

// CanCall reports whether this node may send requests to a target.
func (n *Node) CanCall(target string) bool { return n.targets.MayCall(target) }

// Name returns the node's name.
func (n *Node) Name() string { return n.set.Node }

// CallerAddr returns the address that takes callers.
func (n *Node) CallerAddr() string { return n.callerServer.ln.Addr().String() }
