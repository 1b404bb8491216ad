package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/ledger"
	"topazmoor/internal/naive"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// Deployment is one of the users' deployments in figures.
type Deployment struct {
	Name    string
	Nodes   int
	Engines int
	// Services are plain services and their number of targets.
	Services int
	// OneWay is the latency between data centres.
	OneWay time.Duration
	// BatchShare is the share of requests in the batch class.
	BatchShare float64
}

// Harbour and Utility are the deployments of the users' brief.
var (
	Harbour = Deployment{Name: "harbour", Nodes: 8, Engines: 12, Services: 5, OneWay: 500 * time.Microsecond, BatchShare: 0.2}
	Utility = Deployment{Name: "utility", Nodes: 8, Engines: 18, Services: 4, OneWay: time.Millisecond, BatchShare: 0.5}
)

const (
	engineSlots = 8
	tokenTime   = 15 * time.Millisecond
	prefillTime = 250 * time.Millisecond
	maxTokens   = 64
	// The rerankers are sized so that five times slower they are the bottleneck.
	rerankTargets = 4
	rerankSlots   = 5
	rerankTime    = 60 * time.Millisecond
	// span is the time over which requests arrive.
	span = 40 * time.Second
	// prefixes is the number of distinct prompt prefixes.
	prefixes = 40
)

// Pools returns the pools of a deployment. The stage pools are sized so that
// the engines are the bottleneck of a healthy system.
func (d Deployment) Pools() []PoolModel {
	pool := func(name string, kind settings.PoolKind) settings.Pool {
		return settings.Pool{Name: name, Kind: kind, RefusalStatuses: []int{429}}
	}
	return []PoolModel{
		{Pool: pool("encoders", settings.Encode), Targets: 4, Slots: 4, Service: 20 * time.Millisecond},
		{Pool: pool("retrievers", settings.Retrieve), Targets: 4, Slots: 4, Service: 40 * time.Millisecond},
		{Pool: pool("rerankers", settings.Rerank), Targets: rerankTargets, Slots: rerankSlots, Service: rerankTime},
		{Pool: pool("engines", settings.Generate), Targets: d.Engines, Slots: engineSlots, Service: tokenTime, Prefill: prefillTime},
		{Pool: pool("service", settings.Service), Targets: d.Services, Slots: 4, Service: 30 * time.Millisecond},
	}
}

// engineRate is how many generations a second the engines can serve when no
// prefix is cached.
func (d Deployment) engineRate() float64 {
	one := prefillTime + maxTokens*tokenTime
	return float64(d.Engines*engineSlots) / one.Seconds()
}

// Scenario is what happens during a run.
type Scenario struct {
	Name string
	// Load is the rate of generations relative to what the engines can serve.
	Load float64
	// BurstFactor multiplies the rate from 10 s to 20 s.
	BurstFactor float64
	// SlowPool serves SlowFactor times slower from 10 s on.
	SlowPool   string
	SlowFactor float64
	// DeadPool loses a quarter of its targets at 10 s.
	DeadPool string
	// StoreDown breaks the platform from 10 s on.
	StoreDown bool
	// ReportLag delays load reports; LostReports is the share that is lost.
	ReportLag   time.Duration
	LostReports float64
	// EntryNodes is the number of nodes that get requests; 0 for all.
	EntryNodes int
	// BatchShare replaces the deployment's share of batch requests.
	BatchShare float64
}

// Scenarios are those of docs/MEASUREMENTS.md.
var Scenarios = []Scenario{
	{Name: "steady", Load: 0.95},
	{Name: "burst", Load: 0.7, BurstFactor: 3},
	{Name: "slowstage", Load: 0.8, SlowPool: "rerankers", SlowFactor: 5},
	{Name: "deadtargets", Load: 0.8, DeadPool: "engines"},
	{Name: "storedown", Load: 0.8, StoreDown: true},
	{Name: "lagged", Load: 0.95, ReportLag: 5 * time.Second, LostReports: 0.33},
	{Name: "mixed", Load: 0.7, BurstFactor: 2, DeadPool: "engines", ReportLag: 5 * time.Second},
	{Name: "batchheavy", Load: 1.2, BatchShare: 0.7},
	{Name: "skewed", Load: 0.8, EntryNodes: 3},
}

// Policy runs the requests of one node.
type Policy interface {
	// Run admits and runs a request.
	Run(ctx context.Context, req *pipeline.Request) (*pipeline.Answer, error)
}

// Result is what a run gave.
type Result struct {
	// Attainment and Urgent are the percentages of requests, and of urgent
	// ones, answered completely within their deadline; Bound is a percentage
	// that no policy can pass.
	Attainment, Urgent, Bound float64
	// Wasted is the percentage of target time that served no answer in time.
	Wasted float64
	// CostMS is the target time in ms per answered request, by stage.
	CostMS map[string]float64
	// Failed counts the requests that were not met, by class and reason.
	Failed map[string]int
}

// traffic makes requests.
type traffic struct {
	rng   *rand.Rand
	batch float64
	plans map[catalog.Class]*catalog.Plan
	once  *catalog.Plan
}

func newTraffic(d Deployment, sc Scenario, seed uint64) *traffic {
	t := &traffic{rng: rand.New(rand.NewPCG(seed, 3)), batch: d.BatchShare, plans: make(map[catalog.Class]*catalog.Plan)}
	if sc.BatchShare > 0 {
		t.batch = sc.BatchShare
	}
	deadlines := [catalog.Classes]time.Duration{4 * time.Second, 9 * time.Second, 20 * time.Second}
	for c, deadline := range deadlines {
		class := catalog.Class(c)
		t.plans[class] = answerPlan(class, deadline)
	}
	t.once = &catalog.Plan{
		Template: "confirm", Class: catalog.Urgent, Deadline: 2 * time.Second,
		Stages: []catalog.PlanStage{{Stage: catalog.Stage{Name: "service", Pool: "service", Attempts: 3}, Kind: settings.Service}},
	}
	return t
}

func answerPlan(class catalog.Class, deadline time.Duration) *catalog.Plan {
	stage := func(name, pool string, kind settings.PoolKind) catalog.PlanStage {
		return catalog.PlanStage{Stage: catalog.Stage{Name: name, Pool: pool, Attempts: 3, MaxTokens: maxTokens}, Kind: kind}
	}
	return &catalog.Plan{
		Template: "answer", Class: class, Deadline: deadline, Idempotent: true,
		Stages: []catalog.PlanStage{
			stage("encode", "encoders", settings.Encode), stage("retrieve", "retrievers", settings.Retrieve),
			stage("rerank", "rerankers", settings.Rerank), stage("generate", "engines", settings.Generate),
		},
	}
}

// onceShare is the share of requests that go to a plain service and may not be
// repeated.
const onceShare = 0.15

// accounts are five; two of them are large.
var accounts = []string{"large-1", "large-1", "large-1", "large-2", "large-2", "large-2", "large-2", "small-1", "small-2", "small-3"}

func (t *traffic) next(i int) *pipeline.Request {
	plan := t.once
	if t.rng.Float64() >= onceShare {
		plan = t.plans[t.class()]
	}
	// A few prefixes are used much more than the others.
	prefix := int(float64(prefixes) * t.rng.Float64() * t.rng.Float64())
	input, err := json.Marshal(fmt.Sprintf("prefix number %04d and request %d", prefix, i))
	if err != nil {
		panic(err)
	}
	now := time.Now()
	return &pipeline.Request{
		ID: fmt.Sprintf("r%d", i), Account: accounts[t.rng.IntN(len(accounts))], Pipeline: plan.Template, Plan: plan,
		Class: plan.Class, Deadline: now.Add(plan.Deadline), Input: input,
	}
}

func (t *traffic) class() catalog.Class {
	x := t.rng.Float64()
	switch {
	case x < t.batch:
		return catalog.Batch
	case x < t.batch+0.3*(1-t.batch):
		return catalog.Urgent
	}
	return catalog.Standard
}

// outcome is one finished request.
type outcome struct {
	req *pipeline.Request
	met bool
	err error
}

// Run runs one scenario. It must be called inside a synctest bubble.
func Run(d Deployment, sc Scenario, policy string, seed uint64) Result {
	pools := d.Pools()
	targets := NewTargets(pools, d.OneWay, seed)
	twin := store.NewMemory()
	ctx, cancel := context.WithCancel(context.Background())
	nodes := newNodes(ctx, d, sc, policy, targets, twin, pools)
	disturb(sc, targets, twin)
	out := drive(d, sc, nodes, seed)
	cancel()
	// Everything that was cancelled must end before the bubble does.
	time.Sleep(time.Minute)
	return summarize(d, sc, targets, out)
}

// disturb starts the scenario's faults.
func disturb(sc Scenario, t *Targets, twin *store.Memory) {
	const at = 10 * time.Second
	if sc.SlowPool != "" {
		time.AfterFunc(at, func() { t.Slow(sc.SlowPool, sc.SlowFactor) })
	}
	if sc.DeadPool != "" {
		time.AfterFunc(at, func() { t.Kill(sc.DeadPool, 0.25) })
	}
	if sc.StoreDown {
		time.AfterFunc(at, func() { twin.SetFaults(store.Faults{Down: true}) })
	}
}

// rate returns the rate of requests at a time.
func rate(d Deployment, sc Scenario, at time.Duration) float64 {
	r := d.engineRate() * sc.Load / (1 - onceShare)
	if sc.BurstFactor > 0 && at >= 10*time.Second && at < 20*time.Second {
		r *= sc.BurstFactor
	}
	return r
}

func drive(d Deployment, sc Scenario, nodes []Policy, seed uint64) []outcome {
	tr := newTraffic(d, sc, seed)
	entry := len(nodes)
	if sc.EntryNodes > 0 {
		entry = sc.EntryNodes
	}
	var mu sync.Mutex
	var out []outcome
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; time.Since(start) < span; i++ {
		// Arrivals are Poisson.
		time.Sleep(time.Duration(tr.rng.ExpFloat64() / rate(d, sc, time.Since(start)) * float64(time.Second)))
		req := tr.next(i)
		node := nodes[tr.rng.IntN(entry)]
		wg.Go(func() {
			_, err := node.Run(context.Background(), req)
			now := time.Now()
			mu.Lock()
			defer mu.Unlock()
			out = append(out, outcome{req: req, met: err == nil && !now.After(req.Deadline), err: err})
		})
	}
	wg.Wait()
	return out
}

func summarize(d Deployment, sc Scenario, targets *Targets, out []outcome) Result {
	res := Result{CostMS: make(map[string]float64), Failed: make(map[string]int)}
	var met, urgent, urgentMet int
	var useful, total time.Duration
	for _, o := range out {
		busy := targets.Busy(o.req.ID)
		for stage, b := range busy {
			total += b
			res.CostMS[stage] += float64(b) / float64(time.Millisecond)
			if o.met {
				useful += b
			}
		}
		if o.req.Class == catalog.Urgent {
			urgent++
		}
		switch {
		case o.met && o.req.Class == catalog.Urgent:
			urgentMet++
			met++
		case o.met:
			met++
		default:
			res.Failed[reason(o)]++
		}
	}
	for stage := range res.CostMS {
		res.CostMS[stage] /= float64(max(met, 1))
	}
	res.Attainment = percent(met, len(out))
	res.Urgent = percent(urgentMet, urgent)
	res.Wasted = 100 * float64(total-useful) / float64(max(total, 1))
	res.Bound = bound(d, sc, out)
	return res
}

func reason(o outcome) string {
	if o.err == nil {
		return o.req.Class.String() + " late"
	}
	e := verdict.As(o.err)
	return o.req.Class.String() + " " + string(e.Code) + " " + e.Stage
}

func percent(n, of int) float64 { return 100 * float64(n) / float64(max(of, 1)) }

// bound is an upper limit on the attainment: the generations that the engines
// can finish before the last deadline if every prefix is cached and no slot is
// ever idle.
func bound(d Deployment, sc Scenario, out []outcome) float64 {
	generations := 0
	for _, o := range out {
		if o.req.Plan.Idempotent {
			generations++
		}
	}
	least := cachedPrefill*prefillTime.Seconds() + (maxTokens * tokenTime).Seconds()
	seconds := span.Seconds() + 20
	slots := float64(d.Engines * engineSlots)
	if sc.DeadPool == "engines" {
		slots -= 0.75 * 0.25 * slots
	}
	served := min(float64(generations), slots*seconds/least)
	if sc.SlowPool == "rerankers" {
		healthy := rerankTargets * rerankSlots / rerankTime.Seconds()
		served = min(served, healthy/sc.SlowFactor*(seconds-10)+healthy*10)
	}
	return 100 * (served + float64(len(out)-generations)) / float64(max(len(out), 1))
}

var quiet = slog.New(slog.NewTextHandler(io.Discard, nil))

type ignore struct{}

// StageCall implements pipeline.Observer.
func (ignore) StageCall(string, string, time.Duration, error) {}

// Wasted implements pipeline.Observer.
func (ignore) Wasted(string, string, time.Duration) {}

func newNodes(ctx context.Context, d Deployment, sc Scenario, policy string, t *Targets, twin *store.Memory, pools []PoolModel) []Policy {
	var sets []settings.Pool
	for _, p := range pools {
		sets = append(sets, p.Pool)
	}
	nodes := make([]Policy, d.Nodes)
	var scheds []*scheduler.Scheduler
	for i := range nodes {
		table := ledger.NewTableRegistry(twin, 20*time.Millisecond, quiet)
		if policy == "naive" {
			nodes[i] = &naiveNode{r: naive.New(t, t.Hosts()), claims: table}
			continue
		}
		s := scheduler.New(scheduler.DefaultConfig(fmt.Sprintf("dc-%d", i%4+1), uint64(i+1)))
		s.SetHosts(t.Hosts(), func(string) bool { return false })
		s.SetNodes(d.Nodes)
		scheds = append(scheds, s)
		tickets := ledger.NewTicketIssuer([]byte("secret"), fmt.Sprint(i), fmt.Sprint(i), "1", time.Hour, newNonce())
		nodes[i] = &node{r: pipeline.NewRunner(s, t, sets, ignore{}, quiet), tickets: tickets, claims: ledger.NewTicketRegistry(tickets)}
	}
	if len(scheds) > 0 {
		go reports(ctx, sc, t, scheds)
	}
	return nodes
}

func newNonce() func() string {
	n := 0
	return func() string { n++; return fmt.Sprint(n) }
}

// reports delivers load reports, late and with gaps.
func reports(ctx context.Context, sc Scenario, t *Targets, scheds []*scheduler.Scheduler) {
	rng := rand.New(rand.NewPCG(5, 5))
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
		}
		for _, h := range t.Hosts() {
			load := t.Load(h.ID)
			for _, s := range scheds {
				if rng.Float64() < sc.LostReports {
					continue
				}
				sent := s.InFlight(h.Pool, h.ID)
				time.AfterFunc(sc.ReportLag, func() { s.RecordLoad(h.Pool, h.ID, load, sent) })
			}
		}
	}
}

// node is the production policy.
type node struct {
	r       *pipeline.Runner
	mu      sync.Mutex
	tickets *ledger.TicketIssuer
	claims  ledger.Registry
}

// Run implements Policy. A request that may not be repeated comes with a
// ticket, as callers are told to.
func (n *node) Run(ctx context.Context, req *pipeline.Request) (*pipeline.Answer, error) {
	if !req.Plan.Idempotent {
		n.mu.Lock()
		key := n.tickets.Issue(req.Account, time.Now())
		n.mu.Unlock()
		if err := claim(ctx, n.claims, req, key); err != nil {
			return nil, err
		}
	}
	if err := n.r.Admit(req); err != nil {
		return nil, err
	}
	return n.r.Run(ctx, req)
}

// naiveNode is the baseline: every claim is a row in the table service.
type naiveNode struct {
	r      *naive.Runner
	claims ledger.Registry
}

// Run implements Policy.
func (n *naiveNode) Run(ctx context.Context, req *pipeline.Request) (*pipeline.Answer, error) {
	if !req.Plan.Idempotent {
		if err := claim(ctx, n.claims, req, req.ID); err != nil {
			return nil, err
		}
	}
	return n.r.Run(ctx, req)
}

func claim(ctx context.Context, b ledger.Registry, req *pipeline.Request, key string) error {
	_, err := b.Claim(ctx, ledger.Claim{
		Key: ledger.Key{Account: req.Account, Key: key}, Attempt: req.ID, Until: req.Deadline,
	})
	return err
}
