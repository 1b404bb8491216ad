package pipeline

import (
	"context"
	"encoding/json"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/readiness"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/verdict"
)

const (
	// firstTokenStall and nextTokenStall are the longest waits for the first and for
	// each further token of a stream. After that it is resumed on another engine.
	firstTokenStall = 4 * time.Second
	nextTokenStall  = time.Second
	// maxCallsFactor times the stage's attempts is the maximum number of calls,
	// including those that did not run.
	maxCallsFactor = 3
	// minHedgeDelay is the minimum delay of a hedge, so that short calls are not
	// hedged.
	minHedgeDelay = 20 * time.Millisecond
)

// stageRun is the run of one stage of one request.
type stageRun struct {
	r     *Runner
	req   *Request
	index int
	st    *catalog.PlanStage
	d     *data

	cost StageCost
	// combined is the combination of the verdicts of all attempts.
	combined verdict.Verdict
	// exclude lists the IDs of the targets that the stage was sent to.
	exclude []string
	// version is the software version of the target that sent the tokens so far; "" before the first.
	version string
	// failed is the number of attempts that count against the stage's limit: failed
	// ones that may have run, except streams that returned tokens before they failed.
	failed int
	// lastErr is the error of the last attempt that failed.
	lastErr error
}

// run runs the stage and returns the combined verdict of its attempts.
func (s *stageRun) run(ctx context.Context) (verdict.Verdict, error) {
	s.cost.Stage = s.st.Name
	var err error
	if s.st.Kind == settings.Generate {
		err = s.generate(ctx)
	} else {
		err = s.callWithHedge(ctx)
	}
	return s.combined, err
}

func (s *stageRun) key() string { return stageKey(s.req, s.index) }

func (s *stageRun) acquire(ctx context.Context) (*scheduler.Lease, error) {
	return s.r.sched.Acquire(ctx, scheduler.Call{
		Pool: s.st.Pool, Model: s.st.Model, Adapter: s.st.Adapter,
		Account: s.req.Account, Class: s.req.Class, Stage: s.key(),
		Latest: s.r.latest(s.req, s.index), Prefix: s.d.prefix(s.st), Exclude: s.exclude,
		Regions: s.req.Regions, Version: s.version,
	})
}

// mayRetry reports whether another attempt is allowed after err, and if so uses up one
// retry of the pool's budget. A call that may have run is repeated only in idempotent
// pipelines; one that did not run can always be sent to another target. A nil err stands
// for a call that is still running.
func (s *stageRun) mayRetry(ctx context.Context, err error) bool {
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if ctx.Err() != nil || s.failed >= s.st.Attempts || s.cost.Attempts >= maxCallsFactor*s.st.Attempts {
		return false
	}
	if !notRun && !s.req.Plan.Idempotent {
		return false
	}
	if !time.Now().Before(s.r.latest(s.req, s.index)) {
		return false
	}
	return s.r.sched.TakeRetry(s.st.Pool)
}

// attempt is one call in flight.
type attempt struct {
	number int
	lease  *scheduler.Lease
	start  time.Time
	cancel context.CancelFunc
	// tokensBefore is the number of tokens received before this stream.
	tokensBefore int
	answer       []byte
	err          error
}

// callWithHedge makes the call of a stage whose answer is not streamed. When the call
// is slow, a second one is started on another target; the first answer is used and the
// other call is cancelled.
func (s *stageRun) callWithHedge(ctx context.Context) error {
	path, body, err := s.encodeBody()
	if err != nil {
		return err
	}
	ended := make(chan *attempt, s.st.Attempts+1)
	var inFlight []*attempt
	defer func() { s.cancelOutstanding(inFlight) }()
	start := func() error {
		a, err := s.start(ctx, path, body, ended)
		if err == nil {
			inFlight = append(inFlight, a)
		}
		return err
	}
	if err := start(); err != nil {
		return err
	}
	hedge := time.NewTimer(s.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case a := <-ended:
			inFlight = removeAttempt(inFlight, a)
			if s.finish(a) {
				return nil
			}
			if len(inFlight) > 0 {
				continue
			}
			if !s.mayRetry(ctx, a.err) {
				return a.err
			}
			if err := start(); err != nil {
				return s.firstError(err)
			}
		case <-hedge.C:
			if s.mayHedge(ctx) {
				// If the hedge cannot start, the first call goes on.
				_ = start()
			}
		}
	}
}

// firstError returns the error of the last failed attempt if there is one, and otherwise
// err, the error of starting the next attempt.
func (s *stageRun) firstError(err error) error {
	if s.lastErr != nil {
		return s.lastErr
	}
	return err
}

func (s *stageRun) encodeBody() (string, []byte, error) {
	path, msg := s.d.body(s.st, s.r.pools[s.st.Pool])
	body, err := json.Marshal(msg)
	if err != nil {
		return "", nil, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "the call cannot be encoded").At(s.st.Name, "")
	}
	return path, body, nil
}

// hedgeDelay returns the time after which the call counts as slow: the deadline if the
// service time is unknown or the pipeline is not idempotent.
func (s *stageRun) hedgeDelay() time.Duration {
	_, high := s.r.sched.Estimate(s.key())
	if high == 0 || !s.req.Plan.Idempotent {
		return time.Until(s.req.Deadline)
	}
	return max(high, minHedgeDelay)
}

func (s *stageRun) mayHedge(ctx context.Context) bool {
	return s.req.Plan.Idempotent && s.mayRetry(ctx, nil)
}

// start waits for a target and starts a call there. The attempt is sent to ended when the
// call has ended.
func (s *stageRun) start(ctx context.Context, path string, body []byte, ended chan<- *attempt) (*attempt, error) {
	lease, err := s.acquire(ctx)
	if err != nil {
		return nil, err
	}
	s.cost.Attempts++
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{number: s.cost.Attempts, lease: lease, start: time.Now(), cancel: cancel}
	s.exclude = append(s.exclude, lease.Target.ID)
	call := s.call(a, path, body)
	go func() {
		a.answer, a.err = s.r.calls.Do(ctx, call)
		ended <- a
	}()
	return a, nil
}

func (s *stageRun) call(a *attempt, path string, body []byte) dispatch.Call {
	pool := s.r.pools[s.st.Pool]
	return dispatch.Call{
		Identity: s.req.identity(s.st, a.number),
		Target:   a.lease.Target.ID, Addr: a.lease.Target.Addr,
		Path: path, Body: body,
		RefusalStatuses: pool.RefusalStatuses, Echoes: pool.Echoes(),
	}
}

// finish processes an ended attempt and reports whether it returned a valid answer.
func (s *stageRun) finish(a *attempt) bool {
	defer a.cancel()
	took := time.Since(a.start)
	if a.err == nil {
		if err := s.d.store(s.st, a.answer); err != nil {
			a.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.TargetFailed, "the answer does not fit the stage").
				At(s.st.Name, a.lease.Target.ID)
		}
	}
	release(a.lease, a.err)
	s.r.observer.StageCall(s.st.Pool, s.st.Name, took, a.err)
	s.combined = s.combined.Combine(verdict.Of(a.err))
	if a.err != nil {
		s.countFailure(a.err)
		s.recordWaste(took)
		s.logFailure(a)
		return false
	}
	s.cost.TargetMS += ms(took)
	return true
}

func (s *stageRun) countFailure(err error) {
	s.lastErr = err
	if verdict.Of(err) != verdict.NotRun {
		s.failed++
	}
}

func (s *stageRun) logFailure(a *attempt) {
	s.r.log.Warn("stage call failed", "request", s.req.ID, "account", s.req.Account,
		"pipeline", s.req.Pipeline, "stage", s.st.Name, "target", a.lease.Target.ID, "version", a.lease.Target.Version,
		"attempt", a.number, "verdict", verdict.Of(a.err).String(), "code", verdict.CodeOf(a.err), "err", a.err)
}

// cancelOutstanding cancels the calls in flight, whose answers are not needed any more.
func (s *stageRun) cancelOutstanding(inFlight []*attempt) {
	for _, a := range inFlight {
		a.cancel()
		a.lease.Release(scheduler.Abandoned)
		s.combined = s.combined.Combine(verdict.MayHaveRun)
		s.recordWaste(time.Since(a.start))
	}
}

// recordWaste adds time to the wasted time of the stage.
func (s *stageRun) recordWaste(took time.Duration) {
	s.cost.WastedMS += ms(took)
	s.r.observer.Wasted(s.st.Pool, s.st.Name, took)
}

// release releases a lease with the outcome of its call. After a refusal it also passes
// on the time for which the target requested no calls.
func release(l *scheduler.Lease, err error) {
	o := outcomeOf(err)
	if o == scheduler.Refused {
		l.UpdateReadiness(readiness.Notice{Rest: verdict.As(err).RetryAfter})
	}
	l.Release(o)
}

// outcomeOf returns the outcome with which a call that ended with err is recorded in the state of the
// target.
func outcomeOf(err error) scheduler.Outcome {
	if err == nil {
		return scheduler.Succeeded
	}
	switch verdict.CodeOf(err) {
	case verdict.TargetRefused:
		return scheduler.Refused
	case verdict.Canceled:
		return scheduler.Abandoned
	}
	if verdict.Of(err) == verdict.NotRun {
		return scheduler.Unreachable
	}
	return scheduler.Failed
}

// removeAttempt returns a copy of list without a.
func removeAttempt(list []*attempt, a *attempt) []*attempt {
	out := list[:0:0]
	for _, x := range list {
		if x != a {
			out = append(out, x)
		}
	}
	return out
}

// ms converts a duration to milliseconds.
func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// generate runs a generate stage. A stream that fails is resumed on another engine after
// the last token received.
func (s *stageRun) generate(ctx context.Context) error {
	sink := &tokenSink{emit: s.emit()}
	for {
		a, err := s.stream(ctx, sink)
		if err != nil {
			return s.firstError(err)
		}
		if s.finishStream(a, sink) {
			return nil
		}
		if sink.callerErr != nil {
			return a.err
		}
		if !s.mayRetry(ctx, a.err) {
			return a.err
		}
	}
}

// emit returns the request's Emit if this is the last stage, and otherwise nil.
func (s *stageRun) emit() func(dispatch.Token) error {
	if s.index == len(s.req.Plan.Stages)-1 {
		return s.req.Emit
	}
	return nil
}

// stream makes one streamed call, and returns when the stream has ended. The error is that
// of starting the call; the error of the stream is in the attempt.
func (s *stageRun) stream(ctx context.Context, sink *tokenSink) (*attempt, error) {
	lease, err := s.acquire(ctx)
	if err != nil {
		return nil, err
	}
	s.cost.Attempts++
	a := &attempt{number: s.cost.Attempts, lease: lease, start: time.Now(), cancel: func() {}}
	s.exclude = append(s.exclude, lease.Target.ID)
	body, err := json.Marshal(s.req.generateBody(s.st, s.d, sink.tokens))
	if err != nil {
		lease.Release(scheduler.Abandoned)
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "the call cannot be encoded").At(s.st.Name, "")
	}
	call := s.call(a, PathGenerate, body)
	stall := dispatch.Stall{First: firstTokenStall, Next: nextTokenStall}
	a.tokensBefore = len(sink.tokens)
	a.err = s.r.calls.Stream(ctx, call, a.tokensBefore, stall, func(tok dispatch.Token) error {
		lease.FirstToken()
		s.version = lease.Target.Version
		return sink.add(tok)
	})
	return a, nil
}

// finishStream processes an ended stream and reports whether it completed the text.
func (s *stageRun) finishStream(a *attempt, sink *tokenSink) bool {
	took := time.Since(a.start)
	if sink.callerErr != nil {
		a.err = verdict.Wrap(sink.callerErr, verdict.MayHaveRun, verdict.Canceled, "the caller left").At(s.st.Name, a.lease.Target.ID)
	}
	release(a.lease, a.err)
	s.r.observer.StageCall(s.st.Pool, s.st.Name, took, a.err)
	s.combined = s.combined.Combine(verdict.Of(a.err))
	s.cost.Tokens = len(sink.tokens)
	if a.err != nil {
		// A resumed stream continues after the received tokens, so the time of this
		// one is wasted only if it returned no token.
		s.lastErr = a.err
		if len(sink.tokens) > a.tokensBefore {
			s.cost.TargetMS += ms(took)
		} else {
			s.countFailure(a.err)
			s.recordWaste(took)
		}
		s.logFailure(a)
		return false
	}
	s.cost.TargetMS += ms(took)
	if err := s.d.storeTokens(s.st, sink.tokens); err != nil {
		a.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.Internal, "the text cannot be encoded")
		return false
	}
	return true
}

// tokenSink collects the tokens of all streams of one generation, and passes them to emit
// if that is not nil. callerErr is the last error of emit.
type tokenSink struct {
	tokens    []string
	emit      func(dispatch.Token) error
	callerErr error
}

func (t *tokenSink) add(tok dispatch.Token) error {
	t.tokens = append(t.tokens, tok.Text)
	if t.emit == nil {
		return nil
	}
	t.callerErr = t.emit(tok)
	return t.callerErr
}
