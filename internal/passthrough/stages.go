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

// inputs are the stage results that a request to an engine reads.
type inputs struct {
	// handles identify the results; nil if the route has no stages.
	handles []string

	mu sync.Mutex
	// results holds, by stage, the results that are still to be freed.
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

// take removes and returns the results of a stage, so that they are freed only once.
func (in *inputs) take(stage int) stagebatch.Result {
	in.mu.Lock()
	defer in.mu.Unlock()
	res := in.results[stage]
	in.results[stage] = stagebatch.Result{}
	return res
}

// pieces returns the number of results that a stage produces.
func (c *call) pieces(stage int) int {
	if stage < len(c.meta.Pieces) {
		return c.meta.Pieces[stage]
	}
	return 0
}

// allPieces returns the number of results that all stages produce.
func (c *call) allPieces() int {
	n := 0
	for i := range c.route.Stages {
		n += c.pieces(i)
	}
	return n
}

// hasStages reports whether any stage runs for the request.
func (c *call) hasStages() bool { return len(c.route.Stages) > 0 && len(c.meta.Pieces) > 0 }

// produceInputs runs the stages of the request. Each stage starts when those that it reads
// have ended. If a stage fails, the results of all stages are freed.
func (c *call) produceInputs(ctx context.Context) (*inputs, error) {
	in := &inputs{results: make([]stagebatch.Result, len(c.route.Stages))}
	if !c.hasStages() {
		return in, nil
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	readers := c.readers()
	last, lastStep := c.lastOfLongestPath(), make(chan struct{})
	lastBegins := sync.OnceFunc(func() { close(lastStep) })
	done := make([]chan struct{}, len(c.route.Stages))
	for i := range done {
		done[i] = make(chan struct{})
	}
	var wg sync.WaitGroup
	for i := range c.route.Stages {
		wg.Go(func() {
			defer close(done[i])
			if c.awaitInputs(ctx, done, i) != nil || !c.delayLargeResults(ctx, i, lastStep) {
				return
			}
			if i == last && !c.late(i) {
				lastBegins()
			}
			read := func() {
				c.freeReadIfTight(in, readers, i)
				if i == last {
					lastBegins()
				}
			}
			res, err := c.produceStage(ctx, in, i, read)
			if err != nil {
				cancel(err)
				return
			}
			c.freeRead(in, readers, i)
			in.set(i, res)
		})
	}
	wg.Wait()
	if err := context.Cause(ctx); err != nil {
		c.freeResults(in)
		return nil, err
	}
	in.handles = c.finalHandles(in)
	return in, nil
}

// awaitInputs waits for the stages that stage i reads.
func (c *call) awaitInputs(ctx context.Context, done []chan struct{}, i int) error {
	for _, dep := range c.route.Stages[i].After {
		if dep < 0 || dep >= i {
			// The store accepts no such configuration; the wait would never end.
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

// delayMargin is how much earlier than estimated a delayed stage starts: estimates err by
// about that.
const delayMargin = 250 * time.Millisecond

// lastOfLongestPath returns the last stage of the longest path, or -1 if no path has more than
// one stage.
func (c *call) lastOfLongestPath() int {
	est := c.onTimeEstimator()
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

// delayLargeResults delays a stage with large results, if it reads no other stage and none
// reads it, until the longest path is about to end: the results would otherwise occupy space
// at the target that holds them for no use. lastStep is closed when the last stage of that path
// starts. It reports whether ctx is still active.
func (c *call) delayLargeResults(ctx context.Context, i int, lastStep <-chan struct{}) bool {
	st := c.route.Stages[i]
	if c.s.cfg.Off.Has(mechanism.LateBigResults) || st.ResultBytes < largeResultBytes || len(st.After) > 0 || c.onTimeEstimator().after(i) > 0 || c.pieces(i) == 0 || c.lastOfLongestPath() < 0 {
		return true
	}
	est := c.onTimeEstimator()
	slack := est.all() - est.stage(i) - delayMargin
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

// late reports whether stage i is estimated to end too late for the request to meet its
// objective.
func (c *call) late(i int) bool {
	return c.due(i).Before(time.Now().Add(c.onTimeEstimator().stage(i)))
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
		DataCentre: c.producerDataCentre(in, i), InputsRead: inputsRead, Digest: c.digest, Probe: c.claimedProbe.NameFor(c.digest), Regions: c.regions(),
	}
	if len(st.After) == 0 {
		o.Key = c.meta.PieceKey
	}
	for _, dep := range st.After {
		handles := in.get(dep).Handles
		o.Inputs = append(o.Inputs, handles...)
		o.InputBytes += int64(len(handles)) * c.route.Stages[dep].ResultBytes
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

// stageOutcome classifies the end of a stage.
func stageOutcome(ctx context.Context, err error) StageOutcome {
	switch {
	case err == nil:
		return StageProduced
	case ctx.Err() != nil:
		return StageCanceled
	case errors.Is(err, stagebatch.ErrLate):
		return StageLate
	case errors.Is(err, stagebatch.ErrInputGone):
		return StageInputGone
	}
	return StageFailed
}

// due is when stage i must have ended for the request to meet its objective: the estimated
// time of the stages after it and of the engine's first event is reserved.
func (c *call) due(i int) time.Time {
	return c.arrived.Add(c.route.Objective - c.firstEventTime() - c.onTimeEstimator().after(i))
}

// stageDeadline is when the results of stage i become useless, because the response could not
// begin by the request's deadline. Estimates err, so only the fraction admissionFraction of
// the time of the later steps is reserved.
func (c *call) stageDeadline(i int) time.Time {
	return time.Now().Add(c.timeLeft() - time.Duration(admissionFraction*float64(c.onTimeEstimator().after(i)+c.firstEventTime())))
}

// readers returns, by stage, the number of stages that read its results.
func (c *call) readers() []atomic.Int32 {
	out := make([]atomic.Int32, len(c.route.Stages))
	for _, st := range c.route.Stages {
		for _, dep := range st.After {
			out[dep].Add(1)
		}
	}
	return out
}

// freeReadIfTight frees results early, if the target that holds them is nearly full. It applies
// to results whose only remaining reader is stage i, which has read them.
func (c *call) freeReadIfTight(in *inputs, readers []atomic.Int32, i int) {
	if c.s.cfg.Off.Has(mechanism.EarlyRelease) {
		return
	}
	for _, dep := range c.route.Stages[i].After {
		if readers[dep].Load() == 1 {
			c.s.cfg.Stages.FreeIfNearlyFull(c.route.Stages[dep].Service, in.get(dep))
		}
	}
}

// freeRead frees the results whose only remaining reader was stage i, which has ended.
func (c *call) freeRead(in *inputs, readers []atomic.Int32, i int) {
	for _, dep := range c.route.Stages[i].After {
		if readers[dep].Add(-1) == 0 {
			c.s.cfg.Stages.Free(c.route.Stages[dep].Service, in.take(dep))
		}
	}
}

// finalHandles returns the results of the stages that no other stage reads.
func (c *call) finalHandles(in *inputs) []string {
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

// freeResults frees the results of all stages.
func (c *call) freeResults(in *inputs) {
	if in == nil {
		return
	}
	for i := range in.results {
		c.s.cfg.Stages.Free(c.route.Stages[i].Service, in.take(i))
	}
}

// stageError returns the error for the caller when the stages failed; the request itself has
// not run.
func (c *call) stageError(err error) error {
	if c.ctx.Err() != nil {
		return c.timeoutError()
	}
	switch {
	case errors.Is(err, stagebatch.ErrLate):
		return verdict.Wrap(err, verdict.NotRun, verdict.DeadlineUnreachable, "the stages cannot be done in time").After(c.retryAfter())
	case errors.Is(err, stagebatch.ErrCrashed):
		return c.quarantineError(err)
	case errors.Is(err, stagebatch.ErrNoTarget):
		return verdict.Wrap(err, verdict.NotRun, verdict.NoTarget, "a stage has no target").After(c.retryAfter())
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.TargetFailed, "a stage failed").After(c.retryAfter())
}
