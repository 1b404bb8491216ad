// Package pipeline runs the stages of one request's plan on targets. It handles
// the request's deadline, retries, hedges and the resumption of streams, and
// combines the verdicts of all attempts.
package pipeline

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/region"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/verdict"
)

// Request is one request of a caller, ready to run.
type Request struct {
	// ID is unique among all nodes.
	ID       string
	Account  string
	Pipeline string
	Plan     *catalog.Plan
	Class    catalog.Class
	// Deadline is when the complete answer is due.
	Deadline time.Time
	// Regions returns the regions in which the request may be served by the configuration in
	// force now; nil stands for all. It must not block.
	Regions func() region.Set
	// Input is the caller's input, a JSON value.
	Input json.RawMessage
	// Emit, when set, receives the tokens of the last stage as they arrive, if it is
	// a generate stage. An error ends the request.
	Emit func(dispatch.Token) error
}

// Answer is the complete answer of a request.
type Answer struct {
	Output json.RawMessage
	Stages []StageCost
}

// StageCost is the number of calls and the target time of one stage.
type StageCost struct {
	Stage string `json:"stage"`
	// Attempts counts the calls that were made.
	Attempts int `json:"attempts"`
	// TargetMS is the time of the calls whose results are used, and WastedMS that of
	// all other calls, in milliseconds.
	TargetMS float64 `json:"target_ms"`
	WastedMS float64 `json:"wasted_ms,omitempty"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens,omitempty"`
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	sched    *scheduler.Scheduler
	calls    Caller
	pools    map[string]settings.Pool
	log      *slog.Logger
	observer Observer
}

// Caller makes one attempt at one call; *dispatch.Client in production.
type Caller interface {
	// Do returns the JSON body of the answer.
	Do(ctx context.Context, call dispatch.Call) ([]byte, error)
	// Stream passes each token to emit, starting with the one of index next.
	Stream(ctx context.Context, call dispatch.Call, next int, stall dispatch.Stall, emit func(dispatch.Token) error) error
}

// Observer receives the result of every stage call; it must not block.
type Observer interface {
	// StageCall records one finished attempt. err is nil on success.
	StageCall(pool, stage string, took time.Duration, err error)
	// Wasted records target time whose result is not used.
	Wasted(pool, stage string, took time.Duration)
}

// NewRunner returns a Runner that calls targets of the given pools.
func NewRunner(s *scheduler.Scheduler, c Caller, pools []settings.Pool, observer Observer, log *slog.Logger) *Runner {
	byName := make(map[string]settings.Pool, len(pools))
	for _, p := range pools {
		byName[p.Name] = p
	}
	return &Runner{sched: s, calls: c, pools: byName, log: log, observer: observer}
}

// admitShare is the share of the estimated time that must be left until the deadline.
// It is below 1 because the estimate includes waiting calls that will be refused or
// cancelled before they start.
const admitShare = 0.8

// Admit refuses a request that is unlikely to finish before its deadline, by the
// estimated queueing and service times of all its stages. The error is a
// *verdict.Error with NotRun.
func (r *Runner) Admit(req *Request) error {
	if err := r.checkRegions(req); err != nil {
		return err
	}
	need, wait := r.sched.EstimateRemaining(stageDemands(req, 0), req.Class)
	if time.Duration(admitShare*float64(need)) <= time.Until(req.Deadline) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.DeadlineUnreachable,
		"the pipeline needs about %v and the deadline is in %v",
		need.Round(time.Millisecond), time.Until(req.Deadline).Round(time.Millisecond)).
		After(max(wait, time.Second))
}

// checkRegions refuses a request that is bound to regions if no target in them can serve one of its
// stages. Otherwise the stages before would run in vain.
func (r *Runner) checkRegions(req *Request) error {
	allowed := req.Allowed()
	switch {
	case allowed.All():
		return nil
	case allowed.Empty():
		return verdict.New(verdict.NotRun, verdict.NoTarget,
			"the account and the pipeline %s have no region in common", req.Pipeline)
	}
	for i := range req.Plan.Stages {
		st := &req.Plan.Stages[i]
		err := r.sched.CheckTargets(scheduler.Call{
			Pool: st.Pool, Model: st.Model, Adapter: st.Adapter, Stage: st.Name,
			Latest: r.latest(req, i), Regions: req.Regions,
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Allowed returns the regions in which the request may be served now.
func (r *Request) Allowed() region.Set {
	if r.Regions == nil {
		return region.Set{}
	}
	return r.Regions()
}

// stageDemands returns the stages of a request, from index from on, for an estimate.
func stageDemands(req *Request, from int) []scheduler.StageDemand {
	stages, allowed := req.Plan.Stages, req.Allowed()
	out := make([]scheduler.StageDemand, 0, len(stages)-from)
	for i := from; i < len(stages); i++ {
		out = append(out, scheduler.StageDemand{Pool: stages[i].Pool, Stage: stageKey(req, i), Regions: allowed})
	}
	return out
}

// stageKey is the key of the service-time estimate of a stage. Each class has its
// own estimate, because targets serve calls by priority.
func stageKey(req *Request, i int) string {
	return req.Plan.Template + "/" + req.Plan.Stages[i].Name + "/" + req.Class.String()
}

// Run runs all stages. The error is a *verdict.Error whose verdict combines
// those of all attempts at all stages. The Answer is never nil; with an error it holds
// only the costs of the stages.
func (r *Runner) Run(ctx context.Context, req *Request) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	d := newData(req.Input)
	ans := &Answer{}
	combined := verdict.NotRun
	for i := range req.Plan.Stages {
		run := &stageRun{r: r, req: req, index: i, st: &req.Plan.Stages[i], d: d}
		v, err := run.run(ctx)
		combined = combined.Combine(v)
		ans.Stages = append(ans.Stages, run.cost)
		if err != nil {
			return ans, verdict.WithPrior(err, combined)
		}
	}
	ans.Output = d.output
	return ans, nil
}

// latest returns the latest start of stage i at which the request can still
// finish, by the mean service times of the stages from i on.
func (r *Runner) latest(req *Request, i int) time.Time {
	var need time.Duration
	for j := i; j < len(req.Plan.Stages); j++ {
		mean, _ := r.sched.Estimate(stageKey(req, j))
		need += mean
	}
	return req.Deadline.Add(-need)
}
