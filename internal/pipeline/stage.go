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
	// firstTokenStall and nextTokenStall bound the silence of a stream before
	// it is resumed at another engine.
	firstTokenStall = 4 * time.Second
	nextTokenStall  = time.Second
	// attemptsFactor times the stage's attempts bounds the calls in all, those
	// that did not run included.
	attemptsFactor = 3
	// minHedgeDelay keeps hedges away from calls that are quick anyway.
	minHedgeDelay = 20 * time.Millisecond
)

// stageRun is the run of one stage of one request.
type stageRun struct {
	r     *Runner
	req   *Request
	index int
	st    *catalog.PlanStage
	d     *data

	cost    StageCost
	soFar   verdict.Verdict
	exclude []string
	// failed is the number of attempts that count against the stage's limit:
	// those that may have run, but for streams that brought tokens before they
	// broke.
	failed int
	// lastErr is the error of the last attempt that failed.
	lastErr error
}

// run returns the combined verdict of the attempts.
func (s *stageRun) run(ctx context.Context) (verdict.Verdict, error) {
	s.cost.Stage = s.st.Name
	var err error
	if s.st.Kind == settings.Generate {
		err = s.generate(ctx)
	} else {
		err = s.callWithHedge(ctx)
	}
	return s.soFar, err
}

func (s *stageRun) key() string { return stageKey(s.req, s.index) }

func (s *stageRun) acquire(ctx context.Context) (*scheduler.Lease, error) {
	return s.r.sched.Acquire(ctx, scheduler.Call{
		Pool: s.st.Pool, Model: s.st.Model, Adapter: s.st.Adapter,
		Account: s.req.Account, Class: s.req.Class, Stage: s.key(),
		Latest: s.r.latest(s.req, s.index), Prefix: s.d.prefix(s.st), Exclude: s.exclude,
	})
}

// mayRetry decides whether another attempt is allowed after err. What may have
// run is repeated only for idempotent pipelines; a refusal by the target is
// always safe to send elsewhere.
func (s *stageRun) mayRetry(ctx context.Context, err error) bool {
	notRun := err != nil && verdict.Of(err) == verdict.NotRun
	if ctx.Err() != nil || s.failed >= s.st.Attempts || s.cost.Attempts >= attemptsFactor*s.st.Attempts {
		return false
	}
	if !notRun && !s.req.Plan.Idempotent {
		return false
	}
	if !time.Now().Before(s.r.latest(s.req, s.index)) {
		return false
	}
	return s.r.sched.Retry(s.st.Pool)
}

// attempt is one call in flight.
type attempt struct {
	number int
	lease  *scheduler.Lease
	start  time.Time
	cancel context.CancelFunc
	// had is the number of tokens before this stream.
	had    int
	answer []byte
	err    error
}

// callWithHedge makes the call of a stage that answers in one piece. A second
// call is started elsewhere when the first is slow; the first answer wins and
// the loser is cancelled.
func (s *stageRun) callWithHedge(ctx context.Context) error {
	path, body, err := s.encodeBody()
	if err != nil {
		return err
	}
	ended := make(chan *attempt, s.st.Attempts+1)
	var flying []*attempt
	defer func() { s.cancelLosers(flying) }()
	start := func() error {
		a, err := s.start(ctx, path, body, ended)
		if err == nil {
			flying = append(flying, a)
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
			flying = without(flying, a)
			if s.finish(a) {
				return nil
			}
			if len(flying) > 0 {
				continue
			}
			if !s.mayRetry(ctx, a.err) {
				return a.err
			}
			if err := start(); err != nil {
				return s.firstCause(err)
			}
		case <-hedge.C:
			if s.mayHedge(ctx) {
				// A failed start leaves the first call as it was.
				_ = start()
			}
		}
	}
}

// firstCause prefers the failure of an attempt over the later failure to find
// a target for the next one.
func (s *stageRun) firstCause(err error) error {
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

// finish settles an ended attempt and reports whether it gave the answer.
func (s *stageRun) finish(a *attempt) bool {
	defer a.cancel()
	took := time.Since(a.start)
	if a.err == nil {
		if err := s.d.take(s.st, a.answer); err != nil {
			a.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.TargetFailed, "the answer does not fit the stage").
				At(s.st.Name, a.lease.Target.ID)
		}
	}
	release(a.lease, a.err)
	s.r.obs.StageCall(s.st.Pool, s.st.Name, took, a.err)
	s.soFar = s.soFar.Combine(verdict.Of(a.err))
	if a.err != nil {
		s.countFailure(a.err)
		s.waste(took)
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
		"pipeline", s.req.Pipeline, "stage", s.st.Name, "target", a.lease.Target.ID,
		"attempt", a.number, "verdict", verdict.Of(a.err).String(), "code", verdict.CodeOf(a.err), "err", a.err)
}

// cancelLosers ends the calls whose answer is no longer wanted.
func (s *stageRun) cancelLosers(flying []*attempt) {
	for _, a := range flying {
		a.cancel()
		a.lease.Release(scheduler.Abandoned)
		s.soFar = s.soFar.Combine(verdict.MayHaveRun)
		s.waste(time.Since(a.start))
	}
}

func (s *stageRun) waste(took time.Duration) {
	s.cost.WastedMS += ms(took)
	s.r.obs.Wasted(s.st.Pool, s.st.Name, took)
}

// release ends a lease by how its call ended.
func release(l *scheduler.Lease, err error) {
	o := outcomeOf(err)
	if o == scheduler.Refused {
		l.Heard(readiness.Notice{Rest: verdict.As(err).RetryAfter})
	}
	l.Release(o)
}

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

func without(list []*attempt, a *attempt) []*attempt {
	out := list[:0:0]
	for _, x := range list {
		if x != a {
			out = append(out, x)
		}
	}
	return out
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// generate streams a generate stage. A stream that breaks is resumed at
// another engine after the last token that arrived.
func (s *stageRun) generate(ctx context.Context) error {
	sink := &tokenSink{emit: s.emit()}
	for {
		a, err := s.stream(ctx, sink)
		if err != nil {
			return s.firstCause(err)
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

// emit returns the caller's sink for tokens if this is the last stage.
func (s *stageRun) emit() func(dispatch.Token) error {
	if s.index == len(s.req.Plan.Stages)-1 {
		return s.req.Emit
	}
	return nil
}

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
	a.had = len(sink.tokens)
	a.err = s.r.calls.Stream(ctx, call, a.had, stall, sink.take)
	return a, nil
}

func (s *stageRun) finishStream(a *attempt, sink *tokenSink) bool {
	took := time.Since(a.start)
	if sink.callerErr != nil {
		a.err = verdict.Wrap(sink.callerErr, verdict.MayHaveRun, verdict.Canceled, "the caller left").At(s.st.Name, a.lease.Target.ID)
	}
	release(a.lease, a.err)
	s.r.obs.StageCall(s.st.Pool, s.st.Name, took, a.err)
	s.soFar = s.soFar.Combine(verdict.Of(a.err))
	s.cost.Tokens = len(sink.tokens)
	if a.err != nil {
		// The tokens that arrived are used by the resumed stream; time without
		// any token was wasted.
		s.lastErr = a.err
		if len(sink.tokens) > a.had {
			s.cost.TargetMS += ms(took)
		} else {
			s.countFailure(a.err)
			s.waste(took)
		}
		s.logFailure(a)
		return false
	}
	s.cost.TargetMS += ms(took)
	if err := s.d.takeTokens(s.st, sink.tokens); err != nil {
		a.err = verdict.Wrap(err, verdict.MayHaveRun, verdict.Internal, "the text cannot be encoded")
		return false
	}
	return true
}

// tokenSink collects tokens over all streams of one generation.
type tokenSink struct {
	tokens    []string
	emit      func(dispatch.Token) error
	callerErr error
}

func (t *tokenSink) take(tok dispatch.Token) error {

	t.tokens = append(t.tokens, tok.Text)
	if t.emit == nil {
		return nil
	}
	t.callerErr = t.emit(tok)
	return t.callerErr
}
