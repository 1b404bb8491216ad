package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/rollout"
	"topazmoor/internal/settings"
	"topazmoor/internal/strictjson"
	"topazmoor/internal/verdict"
)

// Rollouts is what a node knows of roll-outs.
type Rollouts interface {
	// Forecast says what an order would do now.
	Forecast(o catalog.Rollout) RolloutForecast
	// Status describes the order of a pool, by the record in the store.
	Status(ctx context.Context, o catalog.Rollout) (RolloutStatus, error)
}

// RolloutRequest is the body of a call that starts a roll-out.
type RolloutRequest struct {
	// To is the version, Within the time in which the roll-out is completed or rolled back.
	To     string              `json:"to" need:"true"`
	Within strictjson.Duration `json:"within" need:"true"`
	// Share and Slack bound the calls that the version gets while it is not known to be good.
	Share float64 `json:"share" need:"true"`
	Slack float64 `json:"slack"`
	// DryRun validates and forecasts without a change.
	DryRun bool   `json:"dry_run"`
	Note   string `json:"note"`
}

// RolloutResult is the answer of a call that starts a roll-out.
type RolloutResult struct {
	ApplyResult
	Forecast RolloutForecast `json:"forecast"`
}

// RolloutForecast says what an order would do with the present targets and load.
type RolloutForecast struct {
	// Targets counts the pool's targets that get work, in the order of their data centres.
	Targets []VersionCount `json:"targets"`
	// PerSecond is the present rate of calls, taken to be alike at all nodes.
	PerSecond float64 `json:"per_second"`
	// TrialCalls is about the number of calls that the version gets while it is not known to be good.
	TrialCalls float64 `json:"trial_calls"`
	// Warnings are the reasons why the roll-out would not be completed, or would leave requests
	// without a target.
	Warnings []string `json:"warnings"`
}

// Warn adds a warning.
func (f *RolloutForecast) Warn(format string, args ...any) {
	f.Warnings = append(f.Warnings, fmt.Sprintf(format, args...))
}

// VersionCount is the number of targets of a data centre that have the version of a roll-out, and of
// those that have another.
type VersionCount struct {
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	New        int    `json:"new"`
	Old        int    `json:"old"`
}

// RolloutState is the state of a roll-out as operators see it.
type RolloutState string

// The states of roll-outs.
const (
	// RolloutOrdered: accepted, and not begun yet.
	RolloutOrdered    RolloutState = "ordered"
	RolloutRunning                 = RolloutState(rollout.Running)
	RolloutCompleted               = RolloutState(rollout.Completed)
	RolloutRolledBack              = RolloutState(rollout.RolledBack)
)

// Final reports whether the state does not change any more.
func (s RolloutState) Final() bool { return s == RolloutCompleted || s == RolloutRolledBack }

// RolloutStatus describes the last roll-out of a pool.
type RolloutStatus struct {
	Pool   string       `json:"pool"`
	To     string       `json:"to"`
	State  RolloutState `json:"state"`
	Reason string       `json:"reason,omitempty"`
	// Began and Deadline are zero until the roll-out has begun.
	Began    time.Time `json:"began,omitzero"`
	Deadline time.Time `json:"deadline,omitzero"`
	// Share is the part of the calls of the asked node that go to the version now.
	Share float64 `json:"share"`
	// New and Old count the targets of the version and of others that get work.
	New int `json:"new"`
	Old int `json:"old"`
}

// StateOf returns the state of an order by its record; r is zero if there is none yet.
func StateOf(o catalog.Rollout, r rollout.Record) RolloutState {
	switch {
	case r.State == rollout.Completed:
		return RolloutCompleted
	case r.State == rollout.RolledBack || o.Stopped:
		return RolloutRolledBack
	case r.State == rollout.Running:
		return RolloutRunning
	}
	return RolloutOrdered
}

// startRollout orders a roll-out, or says what it would do.
func (s *Server) startRollout(r *http.Request, op settings.Operator) (any, error) {
	var req RolloutRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	cur := s.cfg.Catalog()
	o := catalog.Rollout{
		Pool: r.PathValue("pool"), To: req.To, Within: req.Within, Share: req.Share, Slack: req.Slack, Revision: cur.Revision + 1,
	}
	var probs strictjson.Problems
	if !cur.HasPool(o.Pool) {
		probs.Add("pool", "%q is not a pool of the settings", o.Pool)
	}
	o.Check(&probs, o.Pool)
	if err := probs.Err(); err != nil {
		return nil, err
	}
	if err := s.checkNoneRuns(r.Context(), cur, o.Pool); err != nil {
		return nil, err
	}
	res, err := s.submitRollout(r.Context(), op, cur, o, ApplyRequest{DryRun: req.DryRun, Note: req.Note})
	if err != nil {
		return nil, err
	}
	return RolloutResult{ApplyResult: res, Forecast: s.cfg.Rollouts.Forecast(o)}, nil
}

// checkNoneRuns refuses a second roll-out of a pool while one runs.
func (s *Server) checkNoneRuns(ctx context.Context, cur *catalog.Compiled, pool string) error {
	old, ok := cur.Rollouts()[pool]
	if !ok || old.Stopped {
		return nil
	}
	st, err := s.cfg.Rollouts.Status(ctx, old)
	if err != nil {
		return err
	}
	if !st.State.Final() {
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "a roll-out of pool %s to %s is %s: stop it first", pool, old.To, st.State)
	}
	return nil
}

// stopRollout withdraws the order of a pool: the version gets no more calls.
func (s *Server) stopRollout(r *http.Request, op settings.Operator) (any, error) {
	cur := s.cfg.Catalog()
	o, err := rolloutOf(cur, r.PathValue("pool"))
	if err != nil {
		return nil, err
	}
	st, err := s.cfg.Rollouts.Status(r.Context(), o)
	if err != nil {
		return nil, err
	}
	if st.State == RolloutCompleted {
		return nil, verdict.New(verdict.NotRun, verdict.InvalidRequest,
			"the roll-out of pool %s to %s is completed: to go back, start one to the version before", o.Pool, o.To)
	}
	o.Stopped = true
	return s.submitRollout(r.Context(), op, cur, o, ApplyRequest{Note: r.URL.Query().Get("note")})
}

// submitRollout submits an order that was made on the configuration cur.
func (s *Server) submitRollout(ctx context.Context, op settings.Operator, cur *catalog.Compiled, o catalog.Rollout, req ApplyRequest) (ApplyResult, error) {
	value, err := json.Marshal(o)
	if err != nil {
		return ApplyResult{}, err
	}
	req.Base = cur.Revision
	return s.submit(ctx, op, req, []catalog.Item{{Kind: catalog.RolloutItem, Name: o.Pool, Value: value}})
}

// rolloutStatus describes the roll-out of one pool.
func (s *Server) rolloutStatus(r *http.Request, _ settings.Operator) (any, error) {
	o, err := rolloutOf(s.cfg.Catalog(), r.PathValue("pool"))
	if err != nil {
		return nil, err
	}
	return s.cfg.Rollouts.Status(r.Context(), o)
}

// decodeBody decodes the JSON body of a call. It fails with verdict.TooLarge if the body cannot be read,
// and with strictjson.Problems if it is not valid.
func decodeBody(r *http.Request, out any) error {
	body, err := io.ReadAll(r.Body)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return verdict.New(verdict.NotRun, verdict.TooLarge, "the body is over %d bytes", tooLarge.Limit)
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.InvalidRequest, "the body could not be read: %v", err)
	}
	return strictjson.Decode(body, out)
}

// rolloutOf returns the order of a pool. It fails with verdict.NotFound if the pool has none.
func rolloutOf(cfg *catalog.Compiled, pool string) (catalog.Rollout, error) {
	o, ok := cfg.Rollouts()[pool]
	if !ok {
		return o, verdict.New(verdict.NotRun, verdict.NotFound, "there is no roll-out of pool %q", pool)
	}
	return o, nil
}
