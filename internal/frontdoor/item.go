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
	// itemTries is how often an item of a batch is tried before its refusal
	// becomes its result.
	itemTries = 8
	// itemPause is the least pause between two tries; it doubles.
	itemPause = time.Second
	// itemAccountPrefix keeps the keys of items apart from callers' own keys.
	itemAccountPrefix = "\x00batch/"
)

// ReadBody reads the body of a call within the server's limits.
func (s *Server) ReadBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	return readBody(w, r, s.cfg.BodyBytes, s.cfg.ReadTimeout)
}

// Respond sends a value as JSON, or the refusal if err is not nil.
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
	// Key is unique to the item and equal on every node.
	Key   string
	Input json.RawMessage
}

// RunItem runs one item of a batch to its end: the complete answer, or a
// refusal after several tries. Items run in the lowest class. An item that may
// not be repeated is claimed by its key, so that it runs at most once however
// many nodes work on the batch in turn.
func (s *Server) RunItem(ctx context.Context, it Item) (status int, body []byte) {
	pause := itemPause
	for try := 1; ; try++ {
		o := s.tryItem(ctx, it)
		if o.Status < http.StatusBadRequest || try == itemTries || !o.again || ctx.Err() != nil {
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

// itemOutcome is an outcome and whether another try is allowed.
type itemOutcome struct {
	outcome
	again bool
}

func (s *Server) tryItem(ctx context.Context, it Item) itemOutcome {
	id := s.cfg.NewID()
	e := &exchange{s: s, arrived: time.Now(), revision: s.cfg.Catalog().Revision}
	e.req = &pipeline.Request{ID: id, Account: it.Account, Pipeline: it.Pipeline, Class: catalog.Batch, Input: it.Input}
	acct := s.cfg.Catalog().Account(it.Account)
	if acct == nil || acct.Plan(it.Pipeline) == nil {
		gone := verdict.New(verdict.NotRun, verdict.UnknownPipeline, "the account has no pipeline %q any more", it.Pipeline)
		return itemOutcome{outcome: e.problem(gone, nil)}
	}
	e.acct = acct
	e.req.Plan = acct.Plan(it.Pipeline)
	e.req.Deadline = e.arrived.Add(e.req.Plan.Deadline)
	if e.req.Plan.Idempotent {
		o := e.execute(ctx)
		e.observe(o.code, o.met)
		return itemOutcome{outcome: o, again: true}
	}
	return e.itemOnce(ctx, it)
}

// itemOnce runs an item that may not be repeated under a claim.
func (e *exchange) itemOnce(ctx context.Context, it Item) itemOutcome {
	c := ledger.Claim{
		Key:         ledger.Key{Account: itemAccountPrefix + it.Account, Key: it.Key},
		Fingerprint: e.fingerprint(), Attempt: e.req.ID, Until: e.req.Deadline,
	}
	grant, err := e.s.cfg.Ledger.Claim(ctx, c)
	if err != nil {
		return itemOutcome{outcome: e.problem(verdict.WithPrior(err, verdict.MayHaveRun), nil), again: true}
	}
	if grant.Granted {
		o := e.execute(context.WithoutCancel(ctx))
		e.observe(o.code, o.met)
		e.record(c, o)
		return itemOutcome{outcome: o, again: o.notRun}
	}
	rec := grant.Existing
	if rec.Outcome != nil {
		return itemOutcome{outcome: outcome{Outcome: *rec.Outcome}}
	}
	unknown := verdict.New(verdict.MayHaveRun, verdict.KeyOutcomeUnknown, "the attempt that held the item ended without a record")
	running := time.Now().Before(rec.Until.Add(recordGrace))
	return itemOutcome{outcome: e.problem(unknown, nil), again: running}
}
