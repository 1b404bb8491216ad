// Package pipeline runs the stages of one request's plan against targets. It
// owns the request's deadline, retries, hedges and stream resumption, and
// combines the verdicts of all attempts.
package pipeline

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/verdict"
)

// Request is one request of a caller, ready to run.
type Request struct {
	// ID is unique over all nodes.
	ID       string
	Account  string
	Pipeline string
	Plan     *catalog.Plan
	Class    catalog.Class
	// Deadline is when the complete answer is due.
	Deadline time.Time
	// Input is the caller's input, a JSON value.
	Input json.RawMessage
	// Emit, when set, receives the tokens of the last stage as they come.
	Emit func(dispatch.Token) error
}

// Answer is the complete answer of a request.
type Answer struct {
	Output json.RawMessage
	Stages []StageCost
}

// StageCost accounts for the work of one stage.
type StageCost struct {
	Stage string `json:"stage"`
	// Attempts counts the calls that were made.
	Attempts int `json:"attempts"`
	// TargetMS is the target time of the call that gave the answer and
	// WastedMS of all others, in milliseconds.
	TargetMS float64 `json:"target_ms"`
	WastedMS float64 `json:"wasted_ms,omitempty"`
	// Tokens is the number of tokens generated.
	Tokens int `json:"tokens,omitempty"`
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	sched *scheduler.Scheduler
	calls Caller
	pools map[string]settings.Pool
	log   *slog.Logger
	obs   Observer
}

// Caller makes one attempt of one call; *dispatch.Client in production.
type Caller interface {
	// Do returns the JSON body of the answer.
	Do(ctx context.Context, call dispatch.Call) ([]byte, error)
	// Stream hands each token to emit, starting with index next.
	Stream(ctx context.Context, call dispatch.Call, next int, stall dispatch.Stall, emit func(dispatch.Token) error) error
}

// Observer is told about every stage call; it must not block.
type Observer interface {
	// StageCall notes one finished attempt. err is nil on success.
	StageCall(pool, stage string, took time.Duration, err error)
	// Wasted notes target time that served no answer.
	Wasted(pool, stage string, took time.Duration)
}

// NewRunner returns a Runner over the given pools.
func NewRunner(s *scheduler.Scheduler, c Caller, pools []settings.Pool, obs Observer, log *slog.Logger) *Runner {
	byName := make(map[string]settings.Pool, len(pools))
	for _, p := range pools {
		byName[p.Name] = p
	}
	return &Runner{sched: s, calls: c, pools: byName, log: log, obs: obs}
}

// admitShare is the share of the estimated need that must fit the deadline. The
// estimate counts calls ahead that will be refused or abandoned themselves.
const admitShare = 0.8

// Admit refuses a request that cannot finish in time: the estimate covers the
// queues and service times of all its stages. The error is NotRun.
func (r *Runner) Admit(req *Request) error {
	need, wait := r.sched.Remaining(demands(req, 0), req.Class)
	if time.Duration(admitShare*float64(need)) <= time.Until(req.Deadline) {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.DeadlineUnreachable,
		"the pipeline needs about %v and the deadline is in %v",
		need.Round(time.Millisecond), time.Until(req.Deadline).Round(time.Millisecond)).
		After(max(wait, time.Second))
}

func demands(req *Request, from int) []scheduler.StageDemand {
	stages := req.Plan.Stages
	out := make([]scheduler.StageDemand, 0, len(stages)-from)
	for i := from; i < len(stages); i++ {
		out = append(out, scheduler.StageDemand{Pool: stages[i].Pool, Stage: stageKey(req, i)})
	}
	return out
}

// stageKey names the service-time estimate of a stage. Classes have estimates
// of their own, because targets serve them in the order of priority.
func stageKey(req *Request, i int) string {
	return req.Plan.Template + "/" + req.Plan.Stages[i].Name + "/" + req.Class.String()
}

// Run runs all stages. The error is a *verdict.Error whose verdict covers all
// attempts at all stages. It returns the costs in both cases.
func (r *Runner) Run(ctx context.Context, req *Request) (*Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	d := newData(req.Input)
	ans := &Answer{}
	soFar := verdict.NotRun
	for i := range req.Plan.Stages {
		run := &stageRun{r: r, req: req, index: i, st: &req.Plan.Stages[i], d: d}
		v, err := run.run(ctx)
		soFar = soFar.Combine(v)
		ans.Stages = append(ans.Stages, run.cost)
		if err != nil {
			return ans, verdict.WithPrior(err, soFar)
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
