// Package entry assembles a node that serves pass-through requests: it follows
// the configuration, the targets and the other nodes in the store, forms or
// orders batches, answers callers, and stops gracefully. It keeps nothing that
// must last: after a loss of power it starts from the store alone.
package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"topazmoor/internal/blackboard"
	"topazmoor/internal/flow"
	"topazmoor/internal/httpconn"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/metrics"
	"topazmoor/internal/passthrough"
	"topazmoor/internal/poison"
	"topazmoor/internal/region"
	"topazmoor/internal/relay"
	"topazmoor/internal/restore"
	"topazmoor/internal/rollout"
	"topazmoor/internal/routes"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/supervise"
	"topazmoor/internal/suspend"
	"topazmoor/internal/targets"
	"topazmoor/internal/watch"
)

// Settings is what an entry node is told at its start.
type Settings struct {
	Node, DataCentre, Region string
	// Regions gives the region of each data centre.
	Regions region.Map
	// ListenCallers takes callers, ListenReady answers the balancer, and
	// ListenPeers takes calls of other nodes; all are IP:port.
	ListenCallers, ListenReady, ListenPeers string
	// MemoryBytes is the process's limit; 0 for none.
	MemoryBytes int64
	// Means is what the process has for the batches that it forms for all nodes.
	Means stagebatch.Means
	// StopGrace is how long a process has between the signal to stop and its
	// end.
	StopGrace time.Duration
	Repeats   RepeatBudget
	// Rollouts bounds what versions get that are not known to be good.
	Rollouts rollout.Bounds
	// Off are the mechanisms that an experiment switches off.
	Off mechanism.Set
}

// RepeatBudget bounds requests that are sent again, over all nodes.
type RepeatBudget struct {
	// Ratio is the share of the requests for a service, Fixed a number beside
	// it, in each Window.
	Ratio, Fixed float64
	Window       time.Duration
}

// Sources says where the store holds what a node follows, and how to read it.
type Sources struct {
	ConfigTable string
	// Config returns nil when there is no configuration yet.
	Config func(rows map[string]store.Row) (*routes.Config, error)
	// Drained reads from the same table which data centres get no work.
	Drained func(rows map[string]store.Row) map[string]bool
	// Rollouts reads from the same table which roll-outs of versions are asked for;
	// RolloutState is the row that tells the operator of one.
	Rollouts     func(rows map[string]store.Row) []rollout.Order
	RolloutState func(r rollout.Record) (store.Write, error)
	TargetTable  string
	// Target reads one entry. It fails for one that names no target to use.
	Target func(r store.Row) (targets.Target, error)
}

// Env is the outside world of a node; tests replace it.
type Env struct {
	Dial   httpconn.Dial
	Listen func(addr string) (net.Listener, error)
	Store  store.Store
	Conns  *httpconn.Pool
	Wire   passthrough.Wire
	Worker stagebatch.Worker
	Sources
	// BootAhead tells how far the kernel's boot clock is ahead of the steady one; nil for the
	// kernel's clocks.
	BootAhead suspend.Read
	// Reload reads the settings again.
	Reload func() (Settings, error)
	// Dropped counts the log lines that were dropped; nil when none are.
	Dropped func() int64
	Log     *slog.Logger
}

// Board is the node's blackboard.
type Board struct {
	Routes  blackboard.Cell[*routes.Config]
	Members blackboard.Cell[[]stagebatch.Node]
	// Near are the nodes of this node's data centre, itself included once it is entered.
	Near blackboard.Cell[[]relay.Node]
}

// Node is one entry node.
type Node struct {
	set     Settings
	env     Env
	log     *slog.Logger
	board   Board
	targets *targets.Table
	config  *watch.Table
	servers *watch.Table
	peers   *peers
	// versions hears of newer configurations from the other nodes.
	versions *versions
	// teller and follower share what nodes of a data centre hear of the store.
	guard      *poison.Guard
	quarantine *watch.Table
	limiter    *sharedrate.Limiter
	gate       *rollout.Gate
	owner      *rollout.Owner
	teller     *relay.Teller
	follower   *relay.Follower
	former     *stagebatch.Former
	router     *stagebatch.Router
	front      *passthrough.Server
	callers    *callers
	ready      *http.Server
	readyLn    net.Listener
	metrics    *metrics.Entry
	// unreadable are the entries of targets that were left out.
	unreadable unreadable
	// configAt is where the store was when the configuration in force came, configSum names the
	// rows that it was read with.
	configAt  store.Version
	configSum uint64
	// memberRows is the member table as the store last had it.
	memberRows blackboard.Cell[map[string]store.Row]

	// detector notices that the host stood still; distrusted is set from then until what this
	// node knows was heard of again, or the time of it is over.
	detector   *suspend.Detector
	distrusted atomic.Pointer[time.Time]

	started  time.Time
	stopOnce sync.Once
	stopping chan struct{}
	stopped  atomic.Bool
}

const (
	// defaultBodyBytes and defaultReadTimeout hold until a configuration says
	// otherwise.
	defaultBodyBytes   = 4 << 20
	defaultReadTimeout = 5 * time.Second
	// targetPause gathers the entries of targets that start together, configPause
	// configurations in quick succession. A drain must be known, and a
	// configuration in force, within 2 s. Each change costs a call of every node, so
	// that many nodes gather for longer, up to maxTargetPause.
	targetPause    = 400 * time.Millisecond
	maxTargetPause = 800 * time.Millisecond
	configPause    = 250 * time.Millisecond
	// targetPausePerNode is what each node adds: 74 nodes gather for 740 ms.
	targetPausePerNode = 10 * time.Millisecond
	// memoryShare of the limit is the soft limit of the Go runtime; the rest is
	// for what it does not see.
	memoryShare = 0.75
)

// Provision builds a node and opens its listeners.
func Provision(set Settings, env Env) (*Node, error) {
	n := &Node{set: set, env: env, log: env.Log, started: time.Now(), stopping: make(chan struct{}), metrics: metrics.NewEntry()}
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	}
	n.targets = targets.New(set.DataCentre)
	n.targets.Off = set.Off
	n.targets.Regions = set.Regions
	n.targets.WarmupRate = n.warmupRate
	n.provisionLimits()
	n.provisionRollouts()
	n.config = &watch.Table{Name: env.ConfigTable, From: env.Store, Wait: watch.ShortWait, Pause: n.pause(0, configPause, configPause), Apply: (&restore.Table{Name: env.ConfigTable, Apply: n.applyOperator, Log: n.log}).Take, Log: n.log}
	n.servers = &watch.Table{Name: env.TargetTable, From: env.Store, Wait: watch.ShortWait, Pause: n.pause(targetPausePerNode, targetPause, maxTargetPause), Apply: n.applyTargets, Contact: n.storeContact, Log: n.log}
	n.config.Lead = n.servers
	n.versions = &versions{n: n}
	n.former = stagebatch.NewFormer(env.Worker, n.targets, n.batchSpec, n.log)
	n.former.Name, n.former.Off = set.Node, set.Off
	n.former.Regions = set.Regions
	var err error
	if n.peers, err = n.provisionPeers(); err != nil {
		return nil, err
	}
	if n.detector, err = suspend.New(env.BootAhead, n.woke); err != nil {
		return nil, err
	}
	n.targets.Trusted = n.trusted
	n.provisionGuard()
	n.provisionRelay()
	n.router = stagebatch.NewRouter(stagebatch.Node{Name: set.Node, DataCentre: set.DataCentre, Means: set.Means}, n.former, n.peers.client, n.board.Members.Get, n.log)
	n.front = passthrough.New(passthrough.Config{
		Routes: n.board.Routes.Get, Current: n.current, StoreAway: n.storeAway, Slept: n.detector.Slept, Trusted: n.trusted, Targets: n.targets, Stages: n.router,
		Guard: n.guard, Sender: env.Conns, Wire: env.Wire, Off: set.Off,
		Repeats:   flow.NewRepeatBudgets(set.Repeats.Ratio, set.Repeats.Fixed, set.Repeats.Window, n.router.Live, n.askRepeat),
		BodyBytes: defaultBodyBytes, ReadTimeout: defaultReadTimeout, Observer: n.metrics, Log: n.log,
	})
	n.provisionGauges()
	if err := n.provisionServers(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// pause returns how long changes of a table are gathered, by the number of nodes that
// ask for them. Where few ask for all it is short.
func (n *Node) pause(perNode, least, most time.Duration) func() time.Duration {
	return func() time.Duration {
		if len(n.board.Near.Get()) >= relay.Fewest {
			return least
		}
		nodes := n.nodes()
		return min(max(time.Duration(nodes)*perNode, least), most)
	}
}

func (n *Node) provisionGauges() {
	n.metrics.GaugeVec("topazmoor_entry_store_age_seconds", "Time since the store last answered, by table.", "table", func() map[string]float64 {
		ages := make(map[string]float64)
		for _, t := range []*watch.Table{n.config, n.servers, n.peers.members} {
			ages[t.Name] = time.Since(t.LastHeard()).Seconds()
		}
		return ages
	})
	n.metrics.Gauge("topazmoor_entry_unreadable_targets", "Entries of the list of targets that name no target to use.", func() float64 { return float64(n.unreadable.count()) })
	n.metrics.GaugeVec("topazmoor_entry_stage_queue", "Pieces that wait at this node, by service.", "service", n.former.Queued)
	n.metrics.Gauge("topazmoor_entry_config_version", "Version of the configuration in force.", func() float64 {
		if cfg := n.board.Routes.Get(); cfg != nil {
			return float64(cfg.Version)
		}
		return 0
	})
	n.metrics.Gauge("topazmoor_entry_store_followers", "Nodes that follow the store through this one.", func() float64 { return float64(n.teller.Followers()) })
	n.metrics.Gauge("topazmoor_entry_nodes", "Nodes that answer, this one included.", func() float64 { return float64(n.router.Live()) })
	n.metrics.Gauge("topazmoor_entry_requests_in_flight", "Requests being worked on.", func() float64 { return float64(n.InFlight()) })
	if n.env.Dropped != nil {
		n.metrics.Gauge("topazmoor_entry_log_lines_dropped", "Log lines that did not fit the buffer.", func() float64 { return float64(n.env.Dropped()) })
	}
}

func (n *Node) provisionServers() error {
	ln, err := n.env.Listen(n.set.ListenCallers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.callers = newCallers(ln, n.front, n.log)
	if n.readyLn, err = n.env.Listen(n.set.ListenReady); err != nil {
		return eris.Wrap(err, "listen for the balancer")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("GET /metrics", n.metrics.Handler())
	n.ready = &http.Server{Handler: mux, ReadHeaderTimeout: defaultReadTimeout}
	return nil
}

// batchSpec describes the targets of a stage pool.
func (n *Node) batchSpec(service string) *routes.Batch {
	cfg := n.board.Routes.Get()
	if cfg == nil || cfg.Services[service] == nil {
		return nil
	}
	return cfg.Services[service].Batch
}

// warmupRate is how many calls a second a cold target of a service bears.
func (n *Node) warmupRate(service string) float64 {
	cfg := n.board.Routes.Get()
	if cfg == nil || cfg.Services[service] == nil {
		return 0
	}
	return cfg.Services[service].WarmupRate
}

// current reports whether the configuration can be trusted to be the newest one.
func (n *Node) current() bool { return n.config.Connected() && n.servers.Connected() }

// storeAway reports whether the store does not answer: neither for the tables nor, at a
// start, for the secret of all nodes.
func (n *Node) storeAway() bool { return n.peers.refused.Load() || n.servers.Lost() }

// storeContact makes the other watches, and the nodes that follow this one, find out
// whether the store answers.
func (n *Node) storeContact() {
	n.teller.Wake()
	if n.follower.Alone() {
		n.config.Poke()
		n.peers.members.Poke()
		n.quarantine.Poke()
	}
}

// applyTargets takes in a list of targets.
func (n *Node) applyTargets(v watch.View) {
	n.teller.Wake()
	changes, gone := n.targets.Change(n.readTargets(v), v.Regained)
	for _, addr := range gone {
		n.env.Conns.Forget(addr)
	}
	for _, c := range changes {
		n.log.Info("target "+c.What, "target", c.ID, "addr", c.Addr, "service", c.Service, "row_version", v.Version)
	}
}

// readTargets reads the entries of targets that changed.
func (n *Node) readTargets(v watch.View) targets.News {
	var news targets.News
	for _, key := range v.Changed {
		row, listed := v.Rows[key]
		if !listed {
			n.unreadable.drop(key)
			news.Gone = append(news.Gone, key)
			continue
		}
		t, err := n.env.Sources.Target(row)
		if err != nil {
			n.unreadable.note(row, err, n.log)
			news.Gone = append(news.Gone, key)
			continue
		}
		n.unreadable.drop(key)
		news.Listed = append(news.Listed, t)
	}
	return news
}

// Serve runs the node until ctx ends or a graceful stop is complete.
func (n *Node) Serve(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sup := suture.New(n.set.Node, suture.Spec{EventHook: func(e suture.Event) { n.log.Warn("supervisor", "event", e.String()) }})
	for _, s := range []suture.Service{
		supervise.Named("configuration", n.config), supervise.Named("list of targets", n.servers),
		supervise.Named("peers", n.peers), supervise.Named("peer server", n.peers.server), supervise.Named("members", n.peers.members),
		supervise.Named("follower", n.follower), supervise.Named("teller", n.teller),
		supervise.Named("callers", n.callers), supervise.Named("quarantine", n.quarantine), supervise.Named("guard", n.guard),
		supervise.Named("suspensions", n.detector), supervise.Named("roll-outs", n.gate), supervise.Named("sweeper", &sweeper{n}),
	} {
		sup.Add(s)
	}
	go func() { _ = n.ready.Serve(n.readyLn) }()
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
	if n.callers != nil {
		n.callers.close()
	}
	if n.readyLn != nil {
		n.readyLn.Close()
	}
	n.peers.close()
	n.env.Conns.Close()
}

// Ready reports whether the balancer should send callers here, and why not.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.stopped.Load():
		return false, "stopping"
	case n.board.Routes.Get() == nil:
		return false, "no configuration yet"
	case !n.targets.Seen():
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

// Reload reads the settings again and logs that it did. What they say of this
// process's addresses and limits holds from its next start.
func (n *Node) Reload() {
	set, err := n.env.Reload()
	if err != nil {
		n.log.Error("settings not reloaded", "err", err)
		return
	}
	n.log.Info("settings reloaded", "changed", !reflect.DeepEqual(set, n.set))
}

// sweeper closes connections whose time is over. It implements suture.Service.
type sweeper struct{ n *Node }

// sweepInterval is the pause between two sweeps.
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
			s.n.env.Conns.Sweep(now)
		}
	}
}

// InFlight returns the number of requests that are being worked on.
func (n *Node) InFlight() int64 { return n.front.InFlight() }

// Others returns how many other nodes this one knows.
func (n *Node) Others() int { return len(n.board.Members.Get()) }

// nodes returns how many nodes there are, as far as this one knows.
func (n *Node) nodes() int { return n.Others() + 1 }

// ConfigVersion returns the version of the configuration in force; 0 for none.
func (n *Node) ConfigVersion() int64 {
	if cfg := n.board.Routes.Get(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// StoreFollowers returns how many nodes follow the store through this one.
func (n *Node) StoreFollowers() int { return n.teller.Followers() }

// Former returns the node that forms the batches of a service, as this node sees it.
func (n *Node) Former(service string) string { return n.router.First(service) }

// Knows reports whether this node would send work to a target.
func (n *Node) Knows(target string) bool { return n.targets.MayCall(target) }

// Name returns the node's name.
func (n *Node) Name() string { return n.set.Node }

// CallerAddr returns the address that takes callers.
func (n *Node) CallerAddr() string { return n.callers.ln.Addr().String() }
