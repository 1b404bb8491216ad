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
	// pollInterval is the time between lookups of a key that another attempt
	// holds.
	pollInterval = 100 * time.Millisecond
	// recordGrace is how long after the end of a claim its outcome may still
	// arrive in the ledger.
	recordGrace = time.Second
	// recordTimeout bounds the time for recording an outcome.
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

// needsClaim reports whether the request needs a claim in the ledger: its pipeline
// is not idempotent, and the caller sent a key with which it may repeat the request.
func (e *exchange) needsClaim() bool { return e.call.key != "" && !e.req.Plan.Idempotent }

func (e *exchange) serve() {
	leave, err := e.s.admit(e.acct)
	if err != nil {
		e.refuseUnclaimed(err)
		return
	}
	defer leave()
	if e.call.stream {
		e.openStream()
	}
	if e.needsClaim() {
		e.serveClaimed()
		return
	}
	e.answer(e.execute(e.r.Context()))
}

// openStream prepares the response for server-sent events. The header is written with
// the first token.
func (e *exchange) openStream() {
	e.stream = newEventStream(e.w)
	e.req.Emit = e.stream.token
	if e.needsClaim() {
		e.req.Emit = e.stream.tokenIgnoringErrors
	}
}

// refuseUnclaimed refuses an attempt that holds no claim and did not run. If the
// request needs a claim, an earlier attempt with the same key may have run.
func (e *exchange) refuseUnclaimed(err error) {
	p := NewProblem(err, e.req.ID, e.s.cfg.Node)
	p.AttemptVerdict = verdict.NotRun.String()
	if e.needsClaim() {
		p.Verdict = verdict.MayHaveRun.String()
	}
	e.sendProblem(p)
}

// outcome is the result of a finished request.
type outcome struct {
	ledger.Outcome
	// notRun is true if it is certain that nothing ran.
	notRun bool
	// retryAfterMS is the time in milliseconds after which the caller may retry;
	// 0 if unknown.
	retryAfterMS int64
	// code is empty for a complete answer; met is whether that was in time.
	code verdict.Code
	met  bool
}

// execute runs the pipeline if it can finish before the deadline.
func (e *exchange) execute(ctx context.Context) outcome {
	var ans *pipeline.Answer
	err := e.s.cfg.Runner.Admit(e.req)
	if err == nil {
		ans, err = e.s.cfg.Runner.Run(ctx, e.req)
	}
	if err != nil {
		return e.problemOutcome(err, ans)
	}
	now := time.Now()
	reply := Reply{
		RequestID: e.req.ID, Pipeline: e.req.Pipeline, Revision: e.revision, Node: e.s.cfg.Node,
		Output: ans.Output, Stages: ans.Stages, DeadlineMet: !now.After(e.req.Deadline),
		LatencyMS: float64(now.Sub(e.arrived)) / float64(time.Millisecond),
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return e.problemOutcome(err, ans)
	}
	return outcome{Outcome: ledger.Outcome{Status: http.StatusOK, Body: body}, met: reply.DeadlineMet}
}

// ErrStopping is the cause with which a stopping node cancels the requests that
// have not ended in time.
var ErrStopping = eris.New("frontdoor: the node stops")

// problemOutcome returns the outcome of a refusal. ans holds the costs of the stages; nil if
// there are none.
func (e *exchange) problemOutcome(err error, ans *pipeline.Answer) outcome {
	if e.r != nil && errors.Is(context.Cause(e.r.Context()), ErrStopping) {
		err = verdict.Wrap(err, verdict.Of(err), verdict.Stopping, "the node stopped before the request ended").After(time.Second)
	}
	p := NewProblem(err, e.req.ID, e.s.cfg.Node)
	if ans != nil {
		p.Stages = ans.Stages
	}
	body, marshalErr := json.Marshal(p)
	if marshalErr != nil {
		panic(http.ErrAbortHandler)
	}
	return outcome{
		Outcome: ledger.Outcome{Status: p.Status, Body: body}, code: p.Code,
		notRun: verdict.Of(err) == verdict.NotRun, retryAfterMS: p.RetryAfterMS,
	}
}

// answer reports an outcome to the observer and sends it to the caller. It is called
// once.
func (e *exchange) answer(o outcome) {
	e.observe(o.code, o.met)
	if e.stream != nil && e.stream.started {
		e.stream.end(o)
		return
	}
	writeBody(e.w, o.Status, o.Body, o.retryAfterMS)
}

// sendProblem reports a refusal to the observer and sends it to the caller.
func (e *exchange) sendProblem(p Problem) {
	e.observe(p.Code, false)
	p.Write(e.w)
}

func (e *exchange) observe(code verdict.Code, met bool) {
	took := time.Since(e.arrived)
	e.s.cfg.Observer.RequestDone(e.acct.Name, e.req.Pipeline, e.req.Class, code, took, met)
	log := e.s.cfg.Log
	if allowed := e.req.Allowed(); !allowed.All() {
		log = log.With("regions", allowed.String())
	}
	log.Info("request done", "request", e.req.ID, "account", e.acct.Name,
		"pipeline", e.req.Pipeline, "class", e.req.Class.String(), "code", string(code), "ms", took.Milliseconds(), "met", met)
}

// serveClaimed claims the key and runs the request, or responds with the outcome of
// the attempt that holds the key.
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
		if e.awaitHolder(ctx, grant.Existing) {
			return
		}
	}
}

// fingerprint is the hash of the pipeline and the input, by which the reuse of a key
// for another request is detected.
func (e *exchange) fingerprint() string {
	sum := sha256.Sum256(append([]byte(e.req.Pipeline+"\x00"), e.req.Input...))
	return hex.EncodeToString(sum[:])
}

// runClaimed runs the request to its end even if the caller disconnects, because the
// caller may repeat the key to get the outcome. The outcome is recorded while it is
// sent.
func (e *exchange) runClaimed(c ledger.Claim) {
	o := e.execute(context.WithoutCancel(e.r.Context()))
	e.record(c, o)
	e.answer(o)
}

// record writes the outcome of a claim to the ledger in the background. If it is
// certain that the request did not run, the key is released instead.
func (e *exchange) record(c ledger.Claim, o outcome) {
	recorded := &o.Outcome
	if o.notRun {
		recorded = nil
	}
	e.s.work.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		if err := e.s.cfg.Ledger.Finish(ctx, c, recorded); err != nil {
			e.s.cfg.Log.Error("recording the request outcome failed; repeats of the key get may_have_run",
				"request", e.req.ID, "account", e.acct.Name, "err", err)
		}
	})
}

// awaitHolder waits for the attempt that holds the key and responds with its outcome.
// It returns false, without a response, when the key was released and can be claimed
// again.
func (e *exchange) awaitHolder(ctx context.Context, rec ledger.Record) bool {
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
		case <-time.After(pollInterval):
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

// eventStream writes a response of server-sent events.
type eventStream struct {
	w     http.ResponseWriter
	flush *http.ResponseController
	// started is true once the header is written.
	started bool
}

// writeTimeout bounds the time for writing one event to a slow caller.
const writeTimeout = 5 * time.Second

func newEventStream(w http.ResponseWriter) *eventStream {
	return &eventStream{w: w, flush: http.NewResponseController(w)}
}

// token sends one token. The response header is sent with the first one, so that a
// refusal before it has its own HTTP status.
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

// tokenIgnoringErrors sends one token and ignores write errors: a claimed request
// runs to its end after its caller disconnected, so that a repeat gets the outcome.
func (s *eventStream) tokenIgnoringErrors(t dispatch.Token) error {
	_ = s.token(t)
	return nil
}

// end sends the complete answer or the problem as the last event.
func (s *eventStream) end(o outcome) {
	name := "answer"
	if o.Status >= http.StatusBadRequest {
		name = "error"
	}
	// A write fails only if the caller disconnected or is too slow.
	_ = s.event(name, o.Body)
}

func (s *eventStream) event(name string, data []byte) error {
	// An error means that the writer supports no deadlines; it then needs none.
	_ = s.flush.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := s.w.Write([]byte("event: " + name + "\ndata: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return s.flush.Flush()
}
