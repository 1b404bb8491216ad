package frontdoor

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/ledger"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/verdict"
)

const (
	// maxItemAttempts is the number of attempts at a batch item. The refusal of the
	// last one becomes the result of the item.
	maxItemAttempts = 8
	// minItemPause is the minimum pause after the first attempt. It doubles with each
	// attempt.
	minItemPause = time.Second
	// itemAccountPrefix separates the keys of items from the keys of callers in the
	// ledger.
	itemAccountPrefix = "\x00batch/"
)

// Respond sends v as JSON, or a refusal if err is not nil.
func (s *Server) Respond(w http.ResponseWriter, status int, v any, err error) {
	if err != nil {
		s.refuse(w, err, "")
		return
	}
	body, err := json.Marshal(v)
	if err != nil {
		s.refuse(w, err, "")
		return
	}
	writeBody(w, status, body, 0)
}

// Item is one input of a batch.
type Item struct {
	Account, Pipeline string
	// Key is unique to the item and the same on every node.
	Key   string
	Input json.RawMessage
}

// RunItem runs one item of a batch and returns the complete answer, or the last
// refusal: after maxItemAttempts, when another attempt is not allowed, or when ctx
// ends. Items run in the class batch. An item whose pipeline is not idempotent is
// claimed by its key, so that it runs at most once even if several nodes work on the
// batch one after the other.
func (s *Server) RunItem(ctx context.Context, it Item) (status int, body []byte) {
	pause := minItemPause
	for attempt := 1; ; attempt++ {
		o := s.attemptItem(ctx, it)
		if o.Status < http.StatusBadRequest || attempt == maxItemAttempts || !o.retryable || ctx.Err() != nil {
			return o.Status, o.Body
		}
		select {
		case <-ctx.Done():
			return o.Status, o.Body
		case <-time.After(max(pause, time.Duration(o.retryAfterMS)*time.Millisecond)):
		}
		pause *= 2
	}
}

// itemOutcome is the outcome of an attempt at an item, and whether another attempt is
// allowed.
type itemOutcome struct {
	outcome
	retryable bool
}

// attemptItem makes one attempt at an item.
func (s *Server) attemptItem(ctx context.Context, it Item) itemOutcome {
	id := s.cfg.NewID()
	e := &exchange{s: s, arrived: time.Now(), revision: s.cfg.Catalog().Revision}
	e.req = &pipeline.Request{ID: id, Account: it.Account, Pipeline: it.Pipeline, Class: catalog.Batch, Input: it.Input}
	acct := s.cfg.Catalog().Account(it.Account)
	if acct == nil || acct.Plan(it.Pipeline) == nil {
		gone := verdict.New(verdict.NotRun, verdict.UnknownPipeline, "the account has no pipeline %q any more", it.Pipeline)
		return itemOutcome{outcome: e.problemOutcome(gone, nil)}
	}
	e.acct = acct
	e.req.Plan = acct.Plan(it.Pipeline)
	e.req.Regions = s.regionsOf(acct, it.Pipeline)
	e.req.Deadline = e.arrived.Add(e.req.Plan.Deadline)
	if e.req.Plan.Idempotent {
		o := e.execute(ctx)
		e.observe(o.code, o.met)
		return itemOutcome{outcome: o, retryable: true}
	}
	return e.runClaimedItem(ctx, it)
}

// runClaimedItem claims an item and runs it, or returns the outcome of the attempt
// that holds the claim.
func (e *exchange) runClaimedItem(ctx context.Context, it Item) itemOutcome {
	c := ledger.Claim{
		Key:         ledger.Key{Account: itemAccountPrefix + it.Account, Key: it.Key},
		Fingerprint: e.fingerprint(), Attempt: e.req.ID, Until: e.req.Deadline,
	}
	grant, err := e.s.cfg.Ledger.Claim(ctx, c)
	if err != nil {
		return itemOutcome{outcome: e.problemOutcome(verdict.WithPrior(err, verdict.MayHaveRun), nil), retryable: true}
	}
	if grant.Granted {
		o := e.execute(context.WithoutCancel(ctx))
		e.observe(o.code, o.met)
		e.record(c, o)
		return itemOutcome{outcome: o, retryable: o.notRun}
	}
	rec := grant.Existing
	if rec.Outcome != nil {
		return itemOutcome{outcome: outcome{Outcome: *rec.Outcome}}
	}
	unknown := verdict.New(verdict.MayHaveRun, verdict.KeyOutcomeUnknown, "the attempt that held the item ended without a record")
	running := time.Now().Before(rec.Until.Add(recordGrace))
	return itemOutcome{outcome: e.problemOutcome(unknown, nil), retryable: running}
}
