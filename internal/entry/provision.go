package entry

import (
	"net/http"
	"runtime/debug"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/flow"
	"topazmoor/internal/intake"
	"topazmoor/internal/metrics"
	"topazmoor/internal/overload"
	"topazmoor/internal/passthrough"
	"topazmoor/internal/relay"
	"topazmoor/internal/restore"
	"topazmoor/internal/sockets"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/suspend"
	"topazmoor/internal/targets"
	"topazmoor/internal/watch"
)

// Provision builds a node and opens its listeners.
func Provision(set Settings, env Env) (*Node, error) {
	n := &Node{set: set, env: env, log: env.Log, started: time.Now(), stopping: make(chan struct{}), metrics: metrics.NewEntry()}
	if set.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryBytes)))
	}
	n.provisionIntake()
	n.provisionTargets()
	n.provisionTraffic()
	n.provisionLimits()
	n.provisionRollouts()
	n.provisionStreams()
	n.provisionTables()
	n.versionTracker = &versionTracker{n: n}
	n.former = stagebatch.NewFormer(env.Worker, n.targets, n.batchSpec, n.log)
	n.former.Name, n.former.Off = set.Node, set.Off
	n.former.Regions, n.former.Crossing = set.Regions, set.crossing()
	n.former.Spills = n.metrics
	var err error
	if n.peers, err = n.provisionPeers(); err != nil {
		return nil, err
	}
	n.streams.Remote = n.peers.client
	if n.detector, err = suspend.New(env.BootAhead, n.hostResumed); err != nil {
		return nil, err
	}
	n.targets.Trusted = n.trusted
	n.provisionLinks()
	n.provisionGuard()
	n.provisionRelay()
	n.provisionGate()
	n.router = stagebatch.NewRouter(stagebatch.Node{Name: set.Node, DataCentre: set.DataCentre, Capacity: set.Capacity}, n.former, n.peers.client, n.state.Members.Get, n.log)
	n.router.Exchange = n.peers.client
	n.passThrough = passthrough.New(passthrough.Config{
		Routes: n.state.Routes.Get, Current: n.current, StoreUnreachable: n.storeUnreachable, SuspendedTime: n.detector.SuspendedTime, Trusted: n.trusted, Crowded: n.callerGate.Crowded, Targets: n.targets, Stages: n.router,
		Guard: n.guard, Streams: n.streams, Sender: env.Conns, Wire: env.Wire, Off: set.Off,
		Repeats:   flow.NewRepeatBudgets(set.Repeats.Ratio, set.Repeats.Fixed, set.Repeats.Window, n.router.Live, n.acquireRepeatPermit),
		BodyBytes: defaultBodyBytes, Budget: n.budget, ReadTimeout: defaultReadTimeout, Observer: n.metrics, Log: n.log,
	})
	n.provisionGauges()
	if err := n.provisionServers(); err != nil {
		n.close()
		return nil, err
	}
	return n, nil
}

// provisionTargets creates the empty list of targets.
func (n *Node) provisionTargets() {
	n.targets = targets.New(n.set.DataCentre)
	n.targets.Off = n.set.Off
	n.targets.Regions, n.targets.Crossing = n.set.Regions, n.set.crossing()
	n.targets.WarmupRate = n.warmupRate
	n.targets.RegionSets = n.regionSets
	n.targets.Nodes = n.nodes
	n.metrics.GaugeVec("topazmoor_entry_rejection_bound_targets", "Targets whose processes end when they reject too many calls, by service.", "service", n.targets.RejectionBoundTargets)
}

// provisionIntake creates what bounds the memory that callers make the node hold.
func (n *Node) provisionIntake() {
	n.budget = intake.NewBudget(n.set.MemoryBytes / budgetDivisor)
	n.callerConns, n.readyConns = intake.NewConns(n.budget), intake.NewConns(n.budget)
	n.metrics.Gauge("topazmoor_entry_intake_bytes", "Bytes of bodies, heads and answers that the node holds for its callers.", func() float64 { return float64(n.budget.Counts().Used) })
	n.metrics.Gauge("topazmoor_entry_intake_limit_bytes", "Bound of topazmoor_entry_intake_bytes; 0 for none.", func() float64 { return float64(n.budget.Counts().Limit) })
	n.metrics.Counter("topazmoor_entry_intake_refused_total", "Bodies and heads for which there was no room.", func() float64 { return float64(n.budget.Counts().Refused) })
	n.metrics.Counter("topazmoor_entry_intake_ended_total", "Bodies and heads in progress that gave way to others.", func() float64 { return float64(n.budget.Counts().Ended) })
	n.metrics.Counter("topazmoor_entry_stalled_connections_closed_total", "Connections that were closed because their caller sent or read nothing.", func() float64 { return float64(n.callerConns.Closed() + n.readyConns.Closed()) })
}

// provisionTables creates the copies of the operator's table and of the list of targets.
func (n *Node) provisionTables() {
	env := n.env
	n.configTable = &watch.Table{Name: env.ConfigTable, From: env.Store, Wait: watch.ShortWait, Pause: n.pause(0, configPause, configPause), Apply: (&restore.Table{Name: env.ConfigTable, Apply: n.applyOperatorTable, Log: n.log}).Update, Log: n.log}
	n.targetTable = &watch.Table{Name: env.TargetTable, From: env.Store, Wait: watch.ShortWait, Pause: n.pause(targetPausePerNode, targetPause, maxTargetPause), Apply: n.applyTargets, OnAvailability: n.storeContactChanged, Log: n.log}
	n.configTable.Primary = n.targetTable
}

// pause returns a function for how long changes of a table are collected, by the number of
// nodes that read it from the store. With enough nodes in the data centre to relay the table,
// only a few read it, and the pause is short.
func (n *Node) pause(perNode, least, most time.Duration) func() time.Duration {
	return func() time.Duration {
		if len(n.state.LocalNodes.Get()) >= relay.MinNodes {
			return least
		}
		nodes := n.nodes()
		return min(max(time.Duration(nodes)*perNode, least), most)
	}
}

// provisionGauges adds the metrics of the node's state.
func (n *Node) provisionGauges() {
	n.metrics.GaugeVec("topazmoor_entry_store_age_seconds", "Time since the store last answered, by table.", "table", func() map[string]float64 {
		ages := make(map[string]float64)
		for _, t := range []*watch.Table{n.configTable, n.targetTable, n.peers.members} {
			ages[t.Name] = time.Since(t.LastAnswer()).Seconds()
		}
		return ages
	})
	n.metrics.Gauge("topazmoor_entry_unreadable_targets", "Entries of the list of targets that name no target to use.", func() float64 { return float64(n.unreadable.count()) })
	n.metrics.GaugeVec("topazmoor_entry_stage_queue", "Pieces that wait at this node, by service.", "service", n.former.Queued)
	n.metrics.Gauge("topazmoor_entry_config_version", "Version of the configuration in force.", func() float64 {
		if cfg := n.state.Routes.Get(); cfg != nil {
			return float64(cfg.Version)
		}
		return 0
	})
	n.metrics.Gauge("topazmoor_entry_config_behind_seconds", "Time since another node reported a newer row of the operator's table than this node has; 0 if it has the newest.", func() float64 { return n.versionTracker.behind().Seconds() })
	n.metrics.Gauge("topazmoor_entry_store_followers", "Nodes that follow the store through this one.", func() float64 { return float64(n.relayServer.Followers()) })
	n.metrics.Gauge("topazmoor_entry_nodes", "Nodes that answer, this one included.", func() float64 { return float64(n.router.Live()) })
	n.metrics.Gauge("topazmoor_entry_requests_in_flight", "Requests being worked on.", func() float64 { return float64(n.InFlight()) })
	if n.env.DroppedLogLines != nil {
		n.metrics.Gauge("topazmoor_entry_log_lines_dropped", "Log lines that did not fit the buffer.", func() float64 { return float64(n.env.DroppedLogLines()) })
	}
}

// provisionGate creates what decides on new connections from callers.
func (n *Node) provisionGate() {
	n.overload = &overload.Detector{OnChange: func(shedding bool, delay time.Duration) {
		n.log.Warn("new connections closed unread changed: the node does not keep up, or does again", "closing", shedding, "delay_ms", delay.Milliseconds())
	}}
	n.callerGate = &overload.Gate{
		Share: n.overload.Share, Most: overload.MostConnections(n.set.Descriptors, n.set.MemoryBytes/connsDivisor, intake.ConnBytes),
		MakeRoom: n.callerConns.MakeRoom,
	}
	n.metrics.Gauge("topazmoor_entry_processor_delay_seconds", "Least time that work waited for the processor in the last half second.", func() float64 { return n.overload.Delay().Seconds() })
	n.metrics.Gauge("topazmoor_entry_caller_connections", "Open connections of callers.", func() float64 {
		open, _ := n.callerGate.Counts()
		return float64(open)
	})
	n.metrics.Counter("topazmoor_entry_caller_connections_closed_unread_total", "New connections of callers that were closed unread, as the node does not keep up or has no room.", func() float64 {
		_, closed := n.callerGate.Counts()
		return float64(closed)
	})
}

// provisionServers opens the listeners for callers and for the balancer.
func (n *Node) provisionServers() error {
	ln, err := n.env.Listen(n.set.ListenCallers)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := sockets.BoundBacklog(ln, intake.KernelBuffer, callerBacklog); err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	n.callerServer = newCallerServer(ln, n.passThrough, n.callerGate, n.callerConns, n.log)
	if n.readyLn, err = n.env.Listen(n.set.ListenReady); err != nil {
		return eris.Wrap(err, "listen for the balancer")
	}
	if err := sockets.BoundBacklog(n.readyLn, intake.KernelBuffer, maxReadyConnections); err != nil {
		return eris.Wrap(err, "listen for the balancer")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("GET /metrics", n.metrics.Handler())
	n.ready = &http.Server{
		Handler: mux, MaxHeaderBytes: readyHeaderBytes,
		ReadTimeout: defaultReadTimeout, WriteTimeout: readyWriteTimeout, IdleTimeout: defaultIdleTimeout,
	}
	n.readyConns.Attach(n.ready)
	return nil
}
