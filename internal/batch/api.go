package batch

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// retryAfter is the advised delay before a submission is retried after the
// table service failed.
const retryAfter = 5 * time.Second

// PathBatches is the path of batches in the caller API.
const PathBatches = "/v1/batches"

// SubmitRequest is the body of a submission.
type SubmitRequest struct {
	Pipeline string `json:"pipeline" need:"true"`
	// Inputs are the items, each a string or any JSON value.
	Inputs []any `json:"inputs" need:"true"`
}

// Status is the progress of a batch, as returned to callers.
type Status struct {
	ID       string `json:"id"`
	Pipeline string `json:"pipeline"`
	Items    int    `json:"items"`
	Finished int    `json:"finished"`
	Done     bool   `json:"done"`
}

// Routes registers the handlers of batches with the caller API.
func Routes(front *frontdoor.Server, s *Store) {
	front.Handle("POST "+PathBatches, func(w http.ResponseWriter, r *http.Request, acct *catalog.CompiledAccount) {
		b, err := submit(front, s, w, r, acct)
		respond(front, w, http.StatusAccepted, statusOf(b), err)
	})
	front.Handle("GET "+PathBatches+"/{id}", func(w http.ResponseWriter, r *http.Request, acct *catalog.CompiledAccount) {
		b, err := s.Get(r.Context(), acct.Name, r.PathValue("id"))
		respond(front, w, http.StatusOK, statusOf(b), err)
	})
	front.Handle("GET "+PathBatches+"/{id}/results", func(w http.ResponseWriter, r *http.Request, acct *catalog.CompiledAccount) {
		b, err := s.Get(r.Context(), acct.Name, r.PathValue("id"))
		var res []Result
		if err == nil {
			res, err = s.Results(r.Context(), b)
		}
		respond(front, w, http.StatusOK, res, err)
	})
}

func statusOf(b Batch) Status {
	return Status{ID: b.ID, Pipeline: b.Pipeline, Items: b.Items, Finished: b.Finished(), Done: b.Done()}
}

func submit(front *frontdoor.Server, s *Store, w http.ResponseWriter, r *http.Request, acct *catalog.CompiledAccount) (Batch, error) {
	body, err := front.ReadBody(w, r)
	if err != nil {
		return Batch{}, err
	}
	defer body.Hold().Release()
	var req SubmitRequest
	if err := front.Decode(r.Context(), body.Bytes(), &req); err != nil {
		return Batch{}, err
	}
	if acct.Plan(req.Pipeline) == nil {
		return Batch{}, verdict.New(verdict.NotRun, verdict.UnknownPipeline, "the account has no pipeline %q", req.Pipeline)
	}
	if len(req.Inputs) == 0 || len(req.Inputs) > MaxItems {
		return Batch{}, verdict.New(verdict.NotRun, verdict.InvalidRequest, "inputs: write 1 to %d items", MaxItems)
	}
	inputs := make([]json.RawMessage, len(req.Inputs))
	for i, in := range req.Inputs {
		if inputs[i], err = json.Marshal(in); err != nil {
			return Batch{}, verdict.Wrap(err, verdict.NotRun, verdict.InvalidRequest, "inputs[%d] cannot be encoded", i)
		}
	}
	return s.Submit(r.Context(), acct.Name, req.Pipeline, r.Header.Get(frontdoor.HeaderKey), inputs)
}

// respond sends v, or err mapped to a refusal. After store.ErrUnknown the batch
// may be stored although the submission is not acknowledged.
func respond(front *frontdoor.Server, w http.ResponseWriter, status int, v any, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		err = verdict.New(verdict.NotRun, verdict.NotFound, "the account has no such batch, or its results are gone")
	case errors.Is(err, ErrKeyReused):
		err = verdict.New(verdict.NotRun, verdict.KeyReused, "the request key was used for another batch: use a new key")
	case errors.Is(err, store.ErrUnavailable):
		err = verdict.New(verdict.NotRun, verdict.StoreUnavailable, "the platform does not answer; the batch was not stored").After(retryAfter)
	case errors.Is(err, store.ErrUnknown):
		err = verdict.New(verdict.MayHaveRun, verdict.StoreUnavailable,
			"the platform did not confirm; submit it again with the same Idempotency-Key").After(retryAfter)
	}
	front.Respond(w, status, v, err)
}
