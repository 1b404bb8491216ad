package frontdoor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/ledger"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/verdict"
)

const (
	// joinInterval is the pause between looks at a key that another attempt
	// runs.
	joinInterval = 100 * time.Millisecond
	// recordGrace is how long after the end of an attempt its outcome is still
	// expected in the ledger.
	recordGrace = time.Second
	// recordTimeout bounds the tries to record an outcome.
	recordTimeout = 2 * time.Minute
)

// exchange is one run call from its admission to its answer.
type exchange struct {
	s        *Server
	w        http.ResponseWriter
	r        *http.Request
	acct     *catalog.CompiledAccount
	req      *pipeline.Request
	call     runCall
	arrived  time.Time
	revision int64

	stream *eventStream
}

// claimed reports whether the request needs a claim: it may not be repeated
// and the caller gave a key by which it might repeat it.
func (e *exchange) claimed() bool { return e.call.key != "" && !e.req.Plan.Idempotent }

func (e *exchange) serve() {
	leave, err := e.s.enter(e.acct)
	if err != nil {
		e.refuseUnclaimed(err)
		return
	}
	defer leave()
	if e.call.stream {
		e.openStream()
	}
	if e.claimed() {
		e.serveClaimed()
		return
	}
	e.answer(e.execute(e.r.Context()))
}

func (e *exchange) openStream() {
	e.stream = newEventStream(e.w)
	e.req.Emit = e.stream.token
	if e.claimed() {
		e.req.Emit = e.stream.tokenIfPresent
	}
}

// refuseUnclaimed refuses before the ledger was asked: an earlier attempt with
// the same key may have run, so that only this attempt is known not to have.
func (e *exchange) refuseUnclaimed(err error) {
	p := NewProblem(err, e.req.ID, e.s.cfg.Node)
	p.AttemptVerdict = verdict.NotRun.String()
	if e.claimed() {
		p.Verdict = verdict.MayHaveRun.String()
	}
	e.finishProblem(p)
}

// outcome is a finished request.
type outcome struct {
	ledger.Outcome
	// notRun is the proof that nothing ran.
	notRun       bool
	retryAfterMS int64
	// code is empty for a complete answer; met says that it was in time.
	code verdict.Code
	met  bool
}

// execute admits and runs the pipeline.
func (e *exchange) execute(ctx context.Context) outcome {
	var ans *pipeline.Answer
	err := e.s.cfg.Runner.Admit(e.req)
	if err == nil {
		ans, err = e.s.cfg.Runner.Run(ctx, e.req)
	}
	if err != nil {
		return e.problem(err, ans)
	}
	now := time.Now()
	reply := Reply{
		RequestID: e.req.ID, Pipeline: e.req.Pipeline, Revision: e.revision, Node: e.s.cfg.Node,
		Output: ans.Output, Stages: ans.Stages, DeadlineMet: !now.After(e.req.Deadline),
		LatencyMS: float64(now.Sub(e.arrived)) / float64(time.Millisecond),
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return e.problem(err, ans)
	}
	return outcome{Outcome: ledger.Outcome{Status: http.StatusOK, Body: body}, met: reply.DeadlineMet}
}

// ErrStopping is the cause with which a node that stops cancels the requests
// that it cannot wait for.
var ErrStopping = eris.New("frontdoor: the node stops")

func (e *exchange) problem(err error, ans *pipeline.Answer) outcome {
	if e.r != nil && errors.Is(context.Cause(e.r.Context()), ErrStopping) {
		err = verdict.Wrap(err, verdict.Of(err), verdict.Stopping, "the node stopped before the request ended").After(time.Second)
	}
	p := NewProblem(err, e.req.ID, e.s.cfg.Node)
	if ans != nil {
		p.Stages = ans.Stages
	}
	body, merr := json.Marshal(p)
	if merr != nil {
		panic(http.ErrAbortHandler)
	}
	return outcome{
		Outcome: ledger.Outcome{Status: p.Status, Body: body}, code: p.Code,
		notRun: verdict.Of(err) == verdict.NotRun, retryAfterMS: p.RetryAfterMS,
	}
}

// answer sends an outcome to the caller, once.
func (e *exchange) answer(o outcome) {
	e.observe(o.code, o.met)
	if e.stream != nil && e.stream.started {
		e.stream.end(o)
		return
	}
	writeBody(e.w, o.Status, o.Body, o.retryAfterMS)
}

func (e *exchange) finishProblem(p Problem) {
	e.observe(p.Code, false)
	p.Write(e.w)
}

func (e *exchange) observe(code verdict.Code, met bool) {
	took := time.Since(e.arrived)
	e.s.cfg.Observer.RequestDone(e.acct.Name, e.req.Pipeline, e.req.Class, code, took, met)
	e.s.cfg.Log.Info("request done", "request", e.req.ID, "account", e.acct.Name,
		"pipeline", e.req.Pipeline, "class", e.req.Class.String(), "code", string(code), "ms", took.Milliseconds(), "met", met)
}

// serveClaimed runs a request that may not be repeated, or answers it from the
// attempt that holds its key.
func (e *exchange) serveClaimed() {
	ctx, cancel := context.WithDeadline(e.r.Context(), e.req.Deadline)
	defer cancel()
	c := ledger.Claim{
		Key:         ledger.Key{Account: e.acct.Name, Key: e.call.key},
		Fingerprint: e.fingerprint(), Attempt: e.req.ID, Until: e.req.Deadline,
	}
	for {
		grant, err := e.s.cfg.Ledger.Claim(ctx, c)
		if err != nil {
			e.refuseUnclaimed(err)
			return
		}
		if grant.Granted {
			e.runClaimed(c)
			return
		}
		if e.join(ctx, grant.Existing) {
			return
		}
	}
}

// fingerprint identifies what was asked, so that a key is not reused for
// something else.
func (e *exchange) fingerprint() string {
	sum := sha256.Sum256(append([]byte(e.req.Pipeline+"\x00"), e.req.Input...))
	return hex.EncodeToString(sum[:])
}

// runClaimed runs the request to its end even if the caller leaves, because a
// repeat of the key will ask for the outcome. The outcome is recorded together
// with its delivery.
func (e *exchange) runClaimed(c ledger.Claim) {
	o := e.execute(context.WithoutCancel(e.r.Context()))
	e.record(c, o)
	e.answer(o)
}

// record writes the outcome of a claim into the ledger beside its delivery. A
// request that provably did not run releases its key.
func (e *exchange) record(c ledger.Claim, o outcome) {
	recorded := &o.Outcome
	if o.notRun {
		recorded = nil
	}
	e.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := e.s.cfg.Ledger.Finish(ctx, c, recorded); err != nil {
			e.s.cfg.Log.Error("outcome not recorded; repeats of the key are told may_have_run",
				"request", e.req.ID, "account", e.acct.Name, "err", err)
		}
	})
}

// join answers from the attempt that holds the key. It reports false when the
// key was released, so that it can be claimed again.
func (e *exchange) join(ctx context.Context, rec ledger.Record) bool {
	for {
		if rec.Fingerprint != e.fingerprint() {
			e.refuseUnclaimed(verdict.New(verdict.NotRun, verdict.KeyReused, "the request key was used for another request: use a new key"))
			return true
		}
		if rec.Outcome != nil {
			e.replay(*rec.Outcome)
			return true
		}
		if time.Now().After(rec.Until.Add(recordGrace)) {
			e.refuseUnclaimed(verdict.New(verdict.MayHaveRun, verdict.KeyOutcomeUnknown,
				"the attempt that held the key ended without a record"))
			return true
		}
		select {
		case <-ctx.Done():
			e.refuseUnclaimed(verdict.New(verdict.MayHaveRun, verdict.KeyInProgress, "another attempt with this key is running").
				After(time.Until(rec.Until)))
			return true
		case <-time.After(joinInterval):
		}
		next, found, err := e.s.cfg.Ledger.Lookup(ctx, rec.Key)
		if err == nil && !found {
			return false
		}
		if err == nil {
			rec = next
		}
	}
}

// replay sends a recorded outcome.
func (e *exchange) replay(out ledger.Outcome) {
	e.w.Header().Set(HeaderReplayed, "true")
	e.observe("", true)
	writeBody(e.w, out.Status, out.Body, 0)
}

// eventStream writes server-sent events.
type eventStream struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	started bool
}

// writeTimeout bounds one event's write to a slow caller.
const writeTimeout = 5 * time.Second

func newEventStream(w http.ResponseWriter) *eventStream {
	return &eventStream{w: w, flush: http.NewResponseController(w)}
}

// token sends one token. The head is sent with the first one, so that a
// refusal before it still has its own status.
func (s *eventStream) token(t dispatch.Token) error {
	if !s.started {
		s.started = true
		s.w.Header().Set("Content-Type", "text/event-stream")
		s.w.Header().Set("Cache-Control", "no-store")
		s.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(t)
	if err != nil {
		return err
	}
	return s.event("token", data)
}

// tokenIfPresent sends one token and ignores that the caller left: a claimed
// request runs to its end for the sake of a repeat.
func (s *eventStream) tokenIfPresent(t dispatch.Token) error {
	_ = s.token(t)
	return nil
}

// end sends the complete answer, or the problem, as the last event.
func (s *eventStream) end(o outcome) {
	name := "answer"
	if o.Status >= http.StatusBadRequest {
		name = "error"
	}
	// A failed write means that the caller left.
	_ = s.event(name, o.Body)
}

func (s *eventStream) event(name string, data []byte) error {
	// Not every writer has deadlines; those that do not need none.
	_ = s.flush.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write([]byte("event: " + name + "\ndata: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return s.flush.Flush()
}
