// Package node assembles one process of the system from its settings: it
// provisions every part, runs them under a supervisor, and stops gracefully.
package node

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"topazmoor/internal/admin"
	"topazmoor/internal/batch"
	"topazmoor/internal/blackboard"
	"topazmoor/internal/catalog"
	"topazmoor/internal/config"
	"topazmoor/internal/control"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/ledger"
	"topazmoor/internal/membership"
	"topazmoor/internal/metrics"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/supervise"
	"topazmoor/internal/watch"
)

// Env is the outside world of a node; tests replace it.
type Env struct {
	// Dial opens connections to targets and peers.
	Dial dispatch.Dial
	// Listen opens a TCP listener.
	Listen func(addr string) (net.Listener, error)
	// ListenPacket opens a datagram socket.
	ListenPacket func(addr string) (membership.PacketConn, error)
	// Store is the platform.
	Store store.Store
	// PeerKey is the secret that all nodes share.
	PeerKey []byte
	// NewID returns IDs unique over all nodes and restarts.
	NewID func() string
	// Seed seeds random choices that need not be secret.
	Seed uint64
	Log  *slog.Logger
}

// Board is the node's blackboard.
type Board struct {
	Catalog blackboard.Cell[*catalog.Compiled]
	Hosts   blackboard.Cell[HostView]
	// Members are the other nodes.
	Members blackboard.Cell[[]membership.Member]
}

// HostView is the host list, sorted by ID.
type HostView struct {
	Hosts []store.Host
}

// Node is one process of the system.
type Node struct {
	s     settings.Settings
	env   Env
	log   *slog.Logger
	board Board

	metrics  *metrics.Set
	sched    *scheduler.Scheduler
	calls    *dispatch.Client
	follower *config.Follower
	// hosts follows the host list.
	hosts   *watch.Table
	ledger  *ledger.Router
	table   *ledger.TableBook
	front   *frontdoor.Server
	batches *batch.Runner
	admin   *admin.Server
	peers   *peers
	servers []*server
	started time.Time

	stopOnce sync.Once
	stopping chan struct{}
}

// Provision builds a node and opens its listeners. Nothing is served yet. On
// an error everything is closed again.
func Provision(s settings.Settings, env Env) (*Node, error) {
	n := &Node{
		s: s, env: env, stopping: make(chan struct{}), metrics: metrics.New(), started: time.Now(),
		log: env.Log.With("node", s.Node.Name),
	}
	n.sched = scheduler.New(scheduler.DefaultConfig(s.Node.DataCentre, env.Seed))
	n.calls = dispatch.New(env.Dial, s.Limits.AnswerBytes)
	if err := n.provisionPeers(); err != nil {
		return nil, err
	}
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

func (n *Node) provisionLedger() {
	incarnation := n.env.NewID()
	tickets := ledger.NewTickets(n.env.PeerKey, n.s.Node.Name, n.peers.server.Addr(), incarnation, n.s.Ledger.TicketLife.Std(), n.env.NewID)
	n.table = ledger.NewTableBook(n.env.Store, n.s.Ledger.CommitInterval.Std(), n.log)
	n.ledger = ledger.NewRouter(n.s.Node.Name, tickets, ledger.NewTicketBook(tickets), n.table, n.peers)
}

func (n *Node) provisionFront() {
	runner := pipeline.NewRunner(n.sched, n.calls, n.s.Pools, n.metrics, n.log)
	n.front = frontdoor.New(frontdoor.Config{
		Node: n.s.Node.Name, Catalog: n.board.Catalog.Get, Runner: runner,
		Ledger: n.ledger, IssueTicket: n.ledger.Issue, NewID: n.env.NewID,
		Share:     func() float64 { return 1 / float64(n.peers.nodes()) },
		BodyBytes: n.s.Limits.BodyBytes, Requests: n.s.Limits.Requests, ReadTimeout: n.s.Limits.ReadTimeout.Std(),
		Observer: n.metrics, Log: n.log,
	})
}

func (n *Node) provisionBatches() {
	store := batch.NewStore(n.env.Store, n.env.NewID)
	batch.Routes(n.front, store)
	execute := func(ctx context.Context, it batch.Item) (int, []byte) {
		return n.front.RunItem(ctx, frontdoor.Item(it))
	}
	n.batches = batch.NewRunner(store, n.s.Node.Name, execute, n.peers.firstChoice, n.log)
}

func (n *Node) provisionAdmin(store *config.Store) {
	n.admin = admin.New(admin.Config{
		Node: n.s.Node.Name, Operators: n.s.Operators, Catalog: n.board.Catalog.Get,
		Store: store, Offer: n.follower.Offer, Status: n.Status, Refresh: n.peers.refresh,
		Stop:     func(string) { n.RequestStop() },
		StopTime: n.s.Stop.BalancerLag.Std() + n.s.Stop.Drain.Std(),
		NewID:    n.env.NewID, Log: n.log, Offers: n.offers,
		Events: func(ctx context.Context, after time.Time, limit int) ([]control.Event, error) {
			return control.Events(ctx, n.env.Store, after, limit)
		},
		RecordEvent: func(ctx context.Context, e control.Event) error {
			return control.Record(ctx, n.env.Store, n.env.NewID(), e)
		},
	})
}

// offers says why no target of a pool serves a model with an adapter, or "".
func (n *Node) offers(pool, model, adapter string) string {
	any := false
	for _, h := range n.board.Hosts.Get().Hosts {
		if h.Pool != pool {
			continue
		}
		any = true
		if holds(h.Models, model) && holds(h.Adapters, adapter) {
			return ""
		}
	}
	if !any {
		return ""
	}
	return fmt.Sprintf("no target of pool %s offers model %q with adapter %q", pool, model, adapter)
}

// holds reports whether a target with these models, or adapters, serves one; an
// empty list serves all.
func holds(loaded []string, want string) bool {
	return want == "" || len(loaded) == 0 || slices.Contains(loaded, want)
}

func (n *Node) provisionGauges() {
	for _, g := range []struct {
		name, help string
		read       func() float64
	}{
		{"topazmoor_requests_in_flight", "Requests being worked on.", func() float64 { return float64(n.front.InFlight()) }},
		{"topazmoor_config_revision", "Configuration revision in force.", func() float64 { return float64(n.board.Catalog.Get().Revision) }},
		{"topazmoor_wrong_answers_total", "Answers dropped because they belonged to another attempt.", func() float64 { return float64(n.calls.WrongAnswers()) }},
		{"topazmoor_ledger_commits_total", "Grouped commits of claims and outcomes.", func() float64 { return float64(n.table.Stats().Commits) }},
		{"topazmoor_ledger_dropped_total", "Claims and outcomes refused because the queue was full.", func() float64 { return float64(n.table.Stats().Dropped) }},
		{"topazmoor_nodes_live", "Nodes that answer, this one included.", func() float64 { return float64(n.peers.nodes()) }},
		{"topazmoor_membership_bytes_total", "Bytes of membership datagrams sent and received.", n.peers.membershipBytes},
		{"topazmoor_batches_running", "Batches that this node runs.", func() float64 { return float64(n.batches.Running()) }},
		{"topazmoor_host_list_age_seconds", "Age of the host list in use.", func() float64 { return time.Since(n.hosts.Heard()).Seconds() }},
	} {
		n.metrics.Gauge(g.name, g.help, g.read)
	}
}

func (n *Node) provisionServers() error {
	observe := http.NewServeMux()
	observe.Handle("GET /metrics", n.metrics.Handler())
	observe.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	observe.HandleFunc("GET /readyz", n.serveReady)
	for _, l := range []struct {
		name    string
		listen  settings.Listener
		handler http.Handler
		conns   int
	}{
		{callerServer, n.s.Listen.Caller, n.front, n.s.Limits.Connections},
		{adminServer, n.s.Listen.Admin, n.admin, sideConnections},
		{observeServer, n.s.Listen.Observe, observe, sideConnections},
	} {
		srv, err := newServer(l.name, l.listen, l.handler, l.conns, n.s.Limits.ReadTimeout.Std(), n.env.Listen)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, srv)
	}
	return nil
}

// Addr returns the address that a server listens on: "caller", "admin",
// "peer" or "observe".
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
	sup := suture.New(n.s.Node.Name, suture.Spec{EventHook: func(e suture.Event) { n.log.Warn("supervisor", "event", e.String()) }})
	sup.Add(supervise.Named("configuration", n.follower))
	sup.Add(supervise.Named("peers", n.peers))
	sup.Add(supervise.Named("peer server", n.peers.server))
	sup.Add(supervise.Named("membership", n.peers.runner))
	sup.Add(supervise.Named("host list", n.hosts))
	sup.Add(supervise.Named("targets", &hostPublisher{n: n}))
	sup.Add(supervise.Named("load reports", &loadPoller{n: n}))
	sup.Add(supervise.Named("batches", n.batches))
	sup.Add(supervise.Named("stops", &stopper{n: n}))
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

// Ready reports whether the balancer should send callers here, and why not.
func (n *Node) Ready() (bool, string) {
	select {
	case <-n.stopping:
		return false, "stopping"
	default:
	}
	if n.board.Catalog.Get().Revision == 0 {
		return false, "no configuration yet: neither the table service nor a peer gave one"
	}
	if len(n.board.Hosts.Get().Hosts) == 0 {
		return false, "no target hosts yet: the host list was not read"
	}
	if n.cutOff() {
		return false, "cut off: neither the platform nor any of the known nodes answers"
	}
	return true, ""
}

// cutOffAfter is how long the platform may be silent before a node without
// peers is taken as cut off.
const cutOffAfter = 30 * time.Second

// cutOff reports whether the node hears nobody while it knows that there are
// others. A node that is alone by design goes on through an outage.
func (n *Node) cutOff() bool {
	known := n.board.Members.Get()
	return len(known) > 0 && len(n.peers.live()) == 0 && time.Since(n.follower.LastRead()) > cutOffAfter
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	ready, reason := n.Ready()
	if !ready {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// Status implements the status call of the administration API.
func (n *Node) Status() admin.Status {
	ready, reason := n.Ready()
	cfg := n.board.Catalog.Get()
	st := admin.Status{
		Node: n.s.Node.Name, Ready: ready, Reason: reason, Revision: cfg.Revision,
		Accounts: cfg.Accounts(), InFlight: n.front.InFlight(), Hosts: len(n.board.Hosts.Get().Hosts),
		Drained: []string{},
		Nodes:   []admin.NodeStatus{{Name: n.s.Node.Name, DataCentre: n.s.Node.DataCentre, State: "self", Revision: cfg.Revision}},
	}
	for _, m := range n.board.Members.Get() {
		st.Nodes = append(st.Nodes, admin.NodeStatus{Name: m.Name, DataCentre: m.DataCentre, State: m.Health.String(), Revision: m.Revision})
	}
	for host := range cfg.Drains() {
		st.Drained = append(st.Drained, host)
	}
	return st
}
