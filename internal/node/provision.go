package node

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"topazmoor/internal/admin"
	"topazmoor/internal/batch"
	"topazmoor/internal/config"
	"topazmoor/internal/control"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/intake"
	"topazmoor/internal/ledger"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/region"
	"topazmoor/internal/settings"
)

// budgetDivisor is the part of the memory for what callers send, answersDivisor that for answers of targets that are being read.
const (
	budgetDivisor  = 5
	answersDivisor = 8
)

// provisionIntake creates what bounds the memory that callers make the node hold.
func (n *Node) provisionIntake() {
	n.budget = intake.NewBudget(n.s.Limits.MemoryBytes / budgetDivisor)
	n.metrics.Gauge("topazmoor_intake_bytes", "Bytes of bodies and heads that the node holds for its callers.", func() float64 { return float64(n.budget.Counts().Used) })
	n.metrics.Gauge("topazmoor_intake_refused_total", "Bodies and heads for which there was no room.", func() float64 { return float64(n.budget.Counts().Refused) })
	n.metrics.Gauge("topazmoor_intake_ended_total", "Bodies and heads in progress that gave way to others.", func() float64 { return float64(n.budget.Counts().Ended) })
}

// provisionAnswers creates what bounds the answers of targets that are being read.
func (n *Node) provisionAnswers() *intake.Budget {
	answers := intake.NewBudget(n.s.Limits.MemoryBytes / answersDivisor)
	n.metrics.Gauge("topazmoor_answers_bytes", "Bytes of large answers of targets that the node is reading.", func() float64 { return float64(answers.Counts().Used) })
	n.metrics.Gauge("topazmoor_answers_ended_total", "Large answers of targets that gave way to others, or found no room.", func() float64 {
		return float64(answers.Counts().Ended + answers.Counts().Refused)
	})
	return answers
}

func (n *Node) provisionLedger() {
	incarnation := n.env.NewID()
	tickets := ledger.NewTicketIssuer(n.env.PeerKey, n.s.Node.Name, n.peers.server.Addr(), incarnation, n.s.Ledger.TicketLife.Std(), n.env.NewID)
	n.table = ledger.NewTableRegistry(n.env.Store, n.s.Ledger.CommitInterval.Std(), n.log)
	n.ledger = ledger.NewRouter(n.s.Node.Name, tickets, ledger.NewTicketRegistry(tickets), n.table, n.peers)
}

func (n *Node) provisionFront() {
	runner := pipeline.NewRunner(n.sched, n.calls, n.s.Pools, n.metrics, n.log)
	n.front = frontdoor.New(frontdoor.Config{
		Node: n.s.Node.Name, Catalog: n.board.Catalog.Get, Runner: runner,
		Ledger: n.ledger, IssueTicket: n.ledger.Issue, NewID: n.env.NewID,
		Share:  func() float64 { return 1 / float64(n.peers.nodes()) },
		Budget: n.budget, BodyBytes: n.s.Limits.BodyBytes, Requests: n.s.Limits.Requests, ReadTimeout: n.s.Limits.ReadTimeout.Std(),
		Observer: n.metrics, Log: n.log,
	})
}

func (n *Node) provisionBatches() {
	store := batch.NewStore(n.env.Store, n.env.NewID)
	batch.Routes(n.front, store)
	execute := func(ctx context.Context, it batch.Item) (int, []byte) {
		return n.front.RunItem(ctx, frontdoor.Item(it))
	}
	n.batches = batch.NewRunner(store, n.s.Node.Name, execute, n.peers.isPreferredNode, n.log)
}

func (n *Node) provisionAdmin(store *config.Store) {
	n.admin = admin.New(admin.Config{
		Node: n.s.Node.Name, Operators: n.s.Operators, Catalog: n.board.Catalog.Get,
		Store: store, Offer: n.follower.Offer, Status: n.Status, Refresh: n.peers.refresh,
		Stop:     func(string) { n.RequestStop() },
		StopTime: n.s.Stop.BalancerLag.Std() + n.s.Stop.Drain.Std(),
		NewID:    n.env.NewID, Log: n.log, Offers: n.whyNotOffered, Regions: n.s.Regions.DataCentres,
		Rollouts: n.rollouts,
		Events: func(ctx context.Context, after time.Time, limit int) ([]control.Event, error) {
			return control.Events(ctx, n.env.Store, after, limit)
		},
		RecordEvent: func(ctx context.Context, e control.Event) error {
			return control.Record(ctx, n.env.Store, n.env.NewID(), e)
		},
	})
}

// whyNotOffered returns "" if a target of the pool in an allowed region offers the model with
// the adapter, and otherwise the reason why none does. A pool without hosts gives "".
func (n *Node) whyNotOffered(pool, model, adapter string, allowed region.Set) string {
	hasHosts := false
	regions := n.s.RegionMap()
	for _, h := range n.board.Hosts.Get().Hosts {
		if h.Pool != pool {
			continue
		}
		hasHosts = true
		if regions.Allows(allowed, h.DataCentre) && includes(h.Models, model) && includes(h.Adapters, adapter) {
			return ""
		}
	}
	if !hasHosts {
		return ""
	}
	where := ""
	if !allowed.All() {
		where = " in the regions " + allowed.String()
	}
	return fmt.Sprintf("no target of pool %s%s offers model %q with adapter %q", pool, where, model, adapter)
}

// includes reports whether the list of a target's models, or adapters, includes
// want. An empty list includes every name, and an empty want is in every list.
func includes(listed []string, want string) bool {
	return want == "" || len(listed) == 0 || slices.Contains(listed, want)
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
		{"topazmoor_host_list_age_seconds", "Age of the host list in use.", func() float64 { return time.Since(n.hosts.LastAnswer()).Seconds() }},
	} {
		n.metrics.Gauge(g.name, g.help, g.read)
	}
	n.metrics.GaugeVec("topazmoor_rollout_share", "Share of the calls that go to the version of a roll-out, where this node decides on it, by pool.", "pool", n.rollouts.shares)
	n.metrics.GaugeVec("topazmoor_region_targets", "Target hosts that get new work, by region.", "region", n.servingByRegion)
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
		{adminServer, n.s.Listen.Admin, n.admin, maxAuxConnections},
		{observeServer, n.s.Listen.Observe, observe, maxAuxConnections},
	} {
		srv, err := newServer(l.name, l.listen, l.handler, intake.NewConns(n.budget), l.conns, n.s.Limits.ReadTimeout.Std(), n.env.Listen)
		if err != nil {
			return err
		}
		n.servers = append(n.servers, srv)
	}
	return nil
}
