// Package naive is the baseline that experiments and differential tests
// compare with: round robin, first come first served, a fixed time-out, three
// attempts whatever may have run, no admission and no priority. It is not used
// in production.
package naive

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

const (
	// attempts is how often a call is tried.
	attempts = 3
	// timeout bounds one attempt.
	timeout = 3 * time.Second
)

// Runner runs pipelines in the simplest way that works on a good day.
type Runner struct {
	calls pipeline.Caller
	pools map[string][]store.Host
	next  atomic.Uint64
}

// New returns a Runner over a fixed list of hosts.
func New(calls pipeline.Caller, hosts []store.Host) *Runner {
	r := &Runner{calls: calls, pools: make(map[string][]store.Host)}
	for _, h := range hosts {
		r.pools[h.Pool] = append(r.pools[h.Pool], h)
	}
	return r
}

// Run runs all stages of a request.
func (r *Runner) Run(ctx context.Context, req *pipeline.Request) (*pipeline.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ans := &pipeline.Answer{}
	for i := range req.Plan.Stages {
		st := &req.Plan.Stages[i]
		out, err := r.stage(ctx, req, st, req.Input)
		if err != nil {
			return ans, err
		}
		ans.Output = out
	}
	return ans, nil
}

func (r *Runner) stage(ctx context.Context, req *pipeline.Request, st *catalog.PlanStage, input []byte) ([]byte, error) {
	var err error
	for n := 1; n <= attempts && ctx.Err() == nil; n++ {
		hosts := r.pools[st.Pool]
		if len(hosts) == 0 {
			return nil, verdict.New(verdict.NotRun, verdict.NoTarget, "pool %s is empty", st.Pool)
		}
		h := hosts[r.next.Add(1)%uint64(len(hosts))]
		var out []byte
		out, err = r.attempt(ctx, req, st, h, n, input)
		if err == nil {
			return out, nil
		}
	}
	return nil, err
}

func (r *Runner) attempt(ctx context.Context, req *pipeline.Request, st *catalog.PlanStage, h store.Host, n int, input []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	call := dispatch.Call{
		Identity: dispatch.Identity{Request: req.ID, Stage: st.Name, Attempt: n},
		Target:   h.ID, Addr: h.Addr, Path: "/v1/call", Body: input,
	}
	if st.Kind != settings.Generate {
		return r.calls.Do(ctx, call)
	}
	return r.generate(ctx, call, st, req, input)
}

func (r *Runner) generate(ctx context.Context, call dispatch.Call, st *catalog.PlanStage, req *pipeline.Request, input []byte) ([]byte, error) {
	body, err := json.Marshal(pipeline.GenerateRequest{
		Model: st.Model, Prompt: string(input), Priority: int(req.Class), MaxTokens: st.MaxTokens, Stream: true,
	})
	if err != nil {
		return nil, err
	}
	call.Path, call.Body = pipeline.PathGenerate, body
	n := 0
	err = r.calls.Stream(ctx, call, 0, dispatch.Stall{First: timeout, Next: timeout}, func(dispatch.Token) error {
		n++
		return nil
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(pipeline.Generation{Tokens: n})
}
