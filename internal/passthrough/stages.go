package passthrough

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/verdict"
)

// inputs are the results that a request to an engine reads.
type inputs struct {
	// handles name them; nil when the route has no stages.
	handles []string

	mu sync.Mutex
	// results holds what must be given up, by stage.
	results []stagebatch.Result
}

func (in *inputs) set(stage int, res stagebatch.Result) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.results[stage] = res
}

func (in *inputs) get(stage int) stagebatch.Result {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.results[stage]
}

// take removes the results of a stage, so that they are given up once.
func (in *inputs) take(stage int) stagebatch.Result {
	in.mu.Lock()
	defer in.mu.Unlock()
	res := in.results[stage]
	in.results[stage] = stagebatch.Result{}
	return res
}

// pieces returns the number of results of a stage.
func (c *call) pieces(stage int) int {
	if stage < len(c.meta.Pieces) {
		return c.meta.Pieces[stage]
	}
	return 0
}

// staged reports whether the request has stages at all.
func (c *call) staged() bool { return len(c.route.Stages) > 0 && len(c.meta.Pieces) > 0 }

// produceInputs runs the stages of the request. Each starts when those that it
// reads have ended. Results of a failed run are given up.
func (c *call) produceInputs(ctx context.Context) (*inputs, error) {
	in := &inputs{results: make([]stagebatch.Result, len(c.route.Stages))}
	if !c.staged() {
		return in, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	readers := c.readers()
	last, lastStep := c.lastOfLongest(), make(chan struct{})
	lastBegins := sync.OnceFunc(func() { close(lastStep) })
	done := make([]chan struct{}, len(c.route.Stages))
	for i := range done {
		done[i] = make(chan struct{})
	}
	var wg sync.WaitGroup
	for i := range c.route.Stages {
		wg.Go(func() {
			defer close(done[i])
			if c.await(ctx, done, i) != nil || !c.holdBack(ctx, i, lastStep) {
				return
			}
			if i == last && !c.late(i) {
				lastBegins()
			}
			read := func() {
				c.inputsRead(in, readers, i)
				if i == last {
					lastBegins()
				}
			}
			res, err := c.produceStage(ctx, in, i, read)
			if err != nil {
				cancel(err)
				return
			}
			c.releaseRead(in, readers, i)
			in.set(i, res)
		})
	}
	wg.Wait()
	if err := context.Cause(ctx); err != nil {
		c.release(in)
		return nil, err
	}
	in.handles = c.lastHandles(in)
	return in, nil
}

// await waits for the stages that stage i reads.
func (c *call) await(ctx context.Context, done []chan struct{}, i int) error {
	for _, dep := range c.route.Stages[i].After {
		if dep < 0 || dep >= i {
			// The store accepts no such configuration; waiting would never end.
			return errors.New("a stage waits for a later one")
		}
		select {
		case <-done[dep]:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}

// holdMargin is how much sooner than estimated a stage is started that need not
// be done before another branch: estimates err by about that.
const holdMargin = 250 * time.Millisecond

// lastOfLongest returns the last stage on the longest path, or -1 when there is
// only one path.
func (c *call) lastOfLongest() int {
	est := c.onTime()
	best, longest := -1, time.Duration(0)
	for i := range c.route.Stages {
		if est.after(i) > 0 || c.pieces(i) == 0 || len(c.route.Stages[i].After) == 0 {
			continue
		}
		if t := est.before(i) + est.stage(i); t > longest {
			best, longest = i, t
		}
	}
	return best
}

// holdBack delays a stage with big results that no other stage reads until the
// longest path is about to end, because the results would only take room at
// their maker meanwhile. lastStep is closed when the last stage of that path
// starts. It reports whether ctx still lasts.
func (c *call) holdBack(ctx context.Context, i int, lastStep <-chan struct{}) bool {
	st := c.route.Stages[i]
	if c.s.cfg.Off.Has(mechanism.LateBigResults) || st.ResultBytes < bigResult || len(st.After) > 0 || c.onTime().after(i) > 0 || c.pieces(i) == 0 || c.lastOfLongest() < 0 {
		return true
	}
	est := c.onTime()
	slack := est.all() - est.stage(i) - holdMargin
	if slack <= 0 {
		return true
	}
	timer := time.NewTimer(slack)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-lastStep:
	case <-ctx.Done():
		return false
	}
	return true
}

// late reports whether stage i will presumably not be done in time for the request to
// meet its objective.
func (c *call) late(i int) bool {
	return c.due(i).Before(time.Now().Add(c.onTime().stage(i)))
}

// produceStage runs one stage.
func (c *call) produceStage(ctx context.Context, in *inputs, i int, inputsRead func()) (stagebatch.Result, error) {
	st := c.route.Stages[i]
	n := c.pieces(i)
	if n == 0 {
		return stagebatch.Result{}, nil
	}
	o := stagebatch.Order{
		Service: st.Service, Request: c.meta.ID, Stage: i, Pieces: n, Priority: c.rank,
		Due: c.due(i), Deadline: c.stageDeadline(i), ResultBytes: st.ResultBytes,
		DataCentre: c.makerDataCentre(in, i), InputsRead: inputsRead, Digest: c.digest, Probe: c.held, Regions: c.regions(),
	}
	if len(st.After) == 0 {
		o.Key = c.meta.PieceKey
	}
	for _, dep := range st.After {
		o.Inputs = append(o.Inputs, in.get(dep).Handles...)
	}
	start := time.Now()
	res, err := c.s.cfg.Stages.Produce(ctx, o)
	c.s.cfg.Observer.StageDone(st.Service, stageOutcome(ctx, err), time.Since(start))
	attrs := []any{"stage", i, "service", st.Service, "pieces", n, "former", res.Former, "ms", time.Since(start).Milliseconds(),
		"due_ms", o.Due.Sub(start).Milliseconds()}
	switch {
	case err == nil:
		c.log.Info("stage done", attrs...)
	case ctx.Err() == nil:
		c.log.Info("stage failed", append(attrs, "err", err)...)
	}
	return res, err
}

// stageOutcome names the end of a stage.
func stageOutcome(ctx context.Context, err error) StageOutcome {
	switch {
	case err == nil:
		return StageProduced
	case ctx.Err() != nil:
		return StageLeft
	case errors.Is(err, stagebatch.ErrLate):
		return StageLate
	case errors.Is(err, stagebatch.ErrInputGone):
		return StageInputGone
	}
	return StageFailed
}

// due is when stage i should have ended for the request to meet its objective:
// the time of the stages after it and of the engine's first event is kept free.
func (c *call) due(i int) time.Time {
	return c.arrived.Add(c.route.Objective - c.firstEventTime() - c.onTime().after(i))
}

// stageDeadline is when the results of stage i are of no use any more: the answer could
// not begin by the request's deadline. Estimates err, so that less than the estimated
// time of what follows is kept free.
func (c *call) stageDeadline(i int) time.Time {
	return time.Now().Add(c.timeLeft() - time.Duration(admitShare*float64(c.onTime().after(i)+c.firstEventTime())))
}

// readers counts, by stage, the stages that read its results.
func (c *call) readers() []atomic.Int32 {
	out := make([]atomic.Int32, len(c.route.Stages))
	for _, st := range c.route.Stages {
		for _, dep := range st.After {
			out[dep].Add(1)
		}
	}
	return out
}

// inputsRead gives up early, where their makers are short of room, the results that only
// stage i was still to read, and has read.
func (c *call) inputsRead(in *inputs, readers []atomic.Int32, i int) {
	if c.s.cfg.Off.Has(mechanism.EarlyRelease) {
		return
	}
	for _, dep := range c.route.Stages[i].After {
		if readers[dep].Load() == 1 {
			c.s.cfg.Stages.FreeIfTight(c.route.Stages[dep].Service, in.get(dep))
		}
	}
}

// releaseRead gives up the results that only stage i, which has ended, was still to read.
func (c *call) releaseRead(in *inputs, readers []atomic.Int32, i int) {
	for _, dep := range c.route.Stages[i].After {
		if readers[dep].Add(-1) == 0 {
			c.s.cfg.Stages.Free(c.route.Stages[dep].Service, in.take(dep))
		}
	}
}

// lastHandles returns the results of the stages that no other stage reads.
func (c *call) lastHandles(in *inputs) []string {
	read := make(map[int]bool)
	for _, st := range c.route.Stages {
		for _, dep := range st.After {
			read[dep] = true
		}
	}
	out := []string{}
	for i := range c.route.Stages {
		if !read[i] {
			out = append(out, in.get(i).Handles...)
		}
	}
	return out
}

// release gives up the results of all stages.
func (c *call) release(in *inputs) {
	if in == nil {
		return
	}
	for i := range in.results {
		c.s.cfg.Stages.Free(c.route.Stages[i].Service, in.take(i))
	}
}

// stageFailure is the final answer when the stages failed; the request itself
// has not run.
func (c *call) stageFailure(err error) error {
	if c.ctx.Err() != nil {
		return c.timedOut()
	}
	switch {
	case errors.Is(err, stagebatch.ErrLate):
		return verdict.Wrap(err, verdict.NotRun, verdict.DeadlineUnreachable, "the stages cannot be done in time").After(c.comeBack())
	case errors.Is(err, stagebatch.ErrCrashed):
		return c.quarantined(err)
	case errors.Is(err, stagebatch.ErrNoTarget):
		return verdict.Wrap(err, verdict.NotRun, verdict.NoTarget, "a stage has no target").After(c.comeBack())
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.TargetFailed, "a stage failed").After(c.comeBack())
}
