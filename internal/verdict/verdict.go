// Package verdict defines verdicts, which say whether a request ran, and the
// error type that carries the verdict of an attempt at a target up to the
// caller.
//
// Verdicts are conservative: NotRun is a proof that no target received work
// that it could have started. Without that proof the verdict is MayHaveRun.
// Source: docs/design/001-verdicts.md.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
)

// Verdict says whether a request, or one attempt at one of its stages, ran.
type Verdict uint8

const (
	// NotRun: no target received work that it could have started.
	NotRun Verdict = iota
	// MayHaveRun: a target may have started, or finished, the work.
	MayHaveRun
	// Ran: a target reported that it finished the work.
	Ran
)

// String returns the form used in logs and in the caller API.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not_run"
	case MayHaveRun:
		return "may_have_run"
	case Ran:
		return "ran"
	}
	return fmt.Sprintf("verdict(%d)", uint8(v))
}

// Combine returns the verdict on two attempts or stages of one request: the
// one that is closer to Ran.
func (v Verdict) Combine(o Verdict) Verdict {
	return max(v, o)
}

// Refusal returns the verdict that a refused caller receives. A request that
// did not end with an answer is never reported as Ran: that an early stage
// finished does not show that the later ones ran.
func (v Verdict) Refusal() Verdict {
	if v == NotRun {
		return NotRun
	}
	return MayHaveRun
}

// Code is a stable, machine-readable reason for a refusal. Callers and
// scripts depend on codes; texts may change, codes do not.
type Code string

// The codes of all refusals.
const (
	InvalidRequest      Code = "invalid_request"
	Unauthenticated     Code = "unauthenticated"
	Forbidden           Code = "forbidden"
	UnknownPipeline     Code = "unknown_pipeline"
	NotFound            Code = "not_found"
	TooLarge            Code = "too_large"
	BodyTimeout         Code = "body_timeout"
	RateLimited         Code = "rate_limited"
	Overloaded          Code = "overloaded"
	DeadlineUnreachable Code = "deadline_unreachable"
	DeadlineExceeded    Code = "deadline_exceeded"
	Canceled            Code = "canceled"
	NoTarget            Code = "no_target"
	StreamLost          Code = "stream_lost"
	TargetRefused       Code = "target_refused"
	TargetFailed        Code = "target_failed"
	CrashesTargets      Code = "crashes_targets"
	WrongAnswer         Code = "wrong_answer"
	KeyReused           Code = "key_reused"
	KeyInProgress       Code = "key_in_progress"
	KeyOutcomeUnknown   Code = "key_outcome_unknown"
	StoreUnavailable    Code = "store_unavailable"
	RevisionConflict    Code = "revision_conflict"
	Stopping            Code = "stopping"
	NotReady            Code = "not_ready"
	Internal            Code = "internal"
)

// Error is a refusal or failure with its verdict.
type Error struct {
	// Verdict says whether the work may have run.
	Verdict Verdict
	// Code is the stable reason.
	Code Code
	// Reason is one sentence that explains the failure, and how to correct it,
	// to a person.
	Reason string
	// RetryAfter is the time after which a repeat is likely to succeed; 0
	// means unknown.
	RetryAfter time.Duration
	// Stage and Target are where the failure happened; they are empty if it
	// precedes dispatch.
	Stage, Target string

	cause error
}

// New returns an Error without a cause. format and args make its Reason.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, Reason: fmt.Sprintf(format, args...)}
}

// Wrap returns an Error caused by err. The cause is logged and never shown to
// callers.
func Wrap(err error, v Verdict, code Code, format string, args ...any) *Error {
	e := New(v, code, format, args...)
	e.cause = eris.Wrap(err, string(code))
	return e
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Reason)
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }

// After sets RetryAfter and returns e.
func (e *Error) After(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// At sets where the failure happened and returns e.
func (e *Error) At(stage, target string) *Error {
	e.Stage = stage
	e.Target = target
	return e
}

// Of returns the verdict of err. An error that carries none is MayHaveRun,
// because nothing proves otherwise; a nil error is Ran.
func Of(err error) Verdict {
	if err == nil {
		return Ran
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}

// CodeOf returns the code of err, or Internal when it carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Internal
}

// As returns err as an *Error, wrapping it as Internal and MayHaveRun when it
// carries no verdict.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, Internal, "internal error")
}

// WithPrior returns err with its verdict combined with prior, the verdict of
// earlier work on the same request. It copies err, so that a shared error value
// does not change.
func WithPrior(err error, prior Verdict) error {
	if err == nil {
		return nil
	}
	e := *As(err)
	e.Verdict = e.Verdict.Combine(prior)
	return &e
}
