// Package naive is the baseline that experiments and differential tests
// compare with: round robin over the hosts of a pool, no queue, a fixed
// time-out, up to three attempts per stage even if a failed attempt may have
// run on its target, no admission control and no scheduling by priority. It is
// not used in production.
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
	// maxAttempts limits the attempts of one stage, the first included.
	maxAttempts = 3
	// attemptTimeout limits one attempt. For a generation it also limits the
	// wait for the first token and for each following one.
	attemptTimeout = 3 * time.Second
)

// Runner runs the stages of a pipeline one after another, without admission
// control, quarantine of targets or hedged calls.
type Runner struct {
	caller pipeline.Caller
	pools  map[string][]store.Host
	next   atomic.Uint64
}

// New returns a Runner over a fixed list of hosts, grouped by their pools.
func New(caller pipeline.Caller, hosts []store.Host) *Runner {
	r := &Runner{caller: caller, pools: make(map[string][]store.Host)}
	for _, h := range hosts {
		r.pools[h.Pool] = append(r.pools[h.Pool], h)
	}
	return r
}

// Run runs all stages of a request in the order of its plan, until its deadline.
// Each stage gets the input of the request; the output of the last stage is
// the output of the answer.
func (r *Runner) Run(ctx context.Context, req *pipeline.Request) (*pipeline.Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	ans := &pipeline.Answer{}
	for i := range req.Plan.Stages {
		st := &req.Plan.Stages[i]
		out, err := r.runStage(ctx, req, st, req.Input)
		if err != nil {
			return ans, err
		}
		ans.Output = out
	}
	return ans, nil
}

func (r *Runner) runStage(ctx context.Context, req *pipeline.Request, st *catalog.PlanStage, input []byte) ([]byte, error) {
	var err error
	for n := 1; n <= maxAttempts && ctx.Err() == nil; n++ {
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
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	call := dispatch.Call{
		Identity: dispatch.Identity{Request: req.ID, Stage: st.Name, Attempt: n},
		Target:   h.ID, Addr: h.Addr, Path: "/v1/call", Body: input,
	}
	if st.Kind != settings.Generate {
		return r.caller.Do(ctx, call)
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
	err = r.caller.Stream(ctx, call, 0, dispatch.Stall{First: attemptTimeout, Next: attemptTimeout}, func(dispatch.Token) error {
		n++
		return nil
	})
	if err != nil {
		return nil, err
	}
	return json.Marshal(pipeline.Generation{Tokens: n})
}
