package frontdoor

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"topazmoor/internal/pipeline"
	"topazmoor/internal/verdict"
)

// Reply is the body of a complete answer.
type Reply struct {
	RequestID string          `json:"request_id"`
	Pipeline  string          `json:"pipeline"`
	Revision  int64           `json:"revision"`
	Node      string          `json:"node"`
	Output    json.RawMessage `json:"output"`
	// DeadlineMet is whether the answer was complete in time.
	DeadlineMet bool `json:"deadline_met"`
	// LatencyMS is the time from the arrival of the request to the complete answer, in
	// milliseconds.
	LatencyMS float64              `json:"latency_ms"`
	Stages    []pipeline.StageCost `json:"stages"`
}

// Problem is the body of a refusal, as RFC 9457 problem details.
type Problem struct {
	// Type is a URN that ends in the code.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Code is the reason as a stable, machine-readable name.
	Code verdict.Code `json:"code"`
	// Verdict is whether the request may have run in any attempt with its key: not_run
	// or may_have_run.
	Verdict string `json:"verdict"`
	// AttemptVerdict is the verdict of this attempt alone. A caller that has not sent
	// the key before can rely on it.
	AttemptVerdict string `json:"attempt_verdict"`
	// RetryAfterMS is the time in milliseconds after which a repeat is likely to
	// succeed; 0 if unknown.
	RetryAfterMS int64                `json:"retry_after_ms,omitempty"`
	RequestID    string               `json:"request_id,omitempty"`
	Stage        string               `json:"stage,omitempty"`
	Node         string               `json:"node"`
	Stages       []pipeline.StageCost `json:"stages,omitempty"`
}

// statuses maps codes to HTTP statuses.
var statuses = map[verdict.Code]int{
	verdict.InvalidRequest:      http.StatusBadRequest,
	verdict.Unauthenticated:     http.StatusUnauthorized,
	verdict.Forbidden:           http.StatusForbidden,
	verdict.UnknownPipeline:     http.StatusNotFound,
	verdict.NotFound:            http.StatusNotFound,
	verdict.TooLarge:            http.StatusRequestEntityTooLarge,
	verdict.BodyTimeout:         http.StatusRequestTimeout,
	verdict.RateLimited:         http.StatusTooManyRequests,
	verdict.Overloaded:          http.StatusServiceUnavailable,
	verdict.DeadlineUnreachable: http.StatusServiceUnavailable,
	verdict.DeadlineExceeded:    http.StatusGatewayTimeout,
	verdict.Canceled:            499,
	verdict.NoTarget:            http.StatusServiceUnavailable,
	verdict.StreamLost:          http.StatusServiceUnavailable,
	verdict.TargetRefused:       http.StatusServiceUnavailable,
	verdict.TargetFailed:        http.StatusBadGateway,
	verdict.CrashesTargets:      http.StatusServiceUnavailable,
	verdict.WrongAnswer:         http.StatusBadGateway,
	verdict.KeyReused:           http.StatusUnprocessableEntity,
	verdict.KeyInProgress:       http.StatusConflict,
	verdict.KeyOutcomeUnknown:   http.StatusConflict,
	verdict.StoreUnavailable:    http.StatusServiceUnavailable,
	verdict.RevisionConflict:    http.StatusConflict,
	verdict.Stopping:            http.StatusServiceUnavailable,
	verdict.NotReady:            http.StatusServiceUnavailable,
}

// StatusOf returns the HTTP status of a code.
func StatusOf(c verdict.Code) int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// NewProblem returns the problem details of err. The caller changes Verdict to
// may_have_run if another attempt with the same key may have run.
func NewProblem(err error, requestID, node string) Problem {
	e := verdict.As(err)
	v := e.Verdict.Refusal().String()
	return Problem{
		Type: "urn:topazmoor:" + string(e.Code), Title: string(e.Code), Status: StatusOf(e.Code),
		Detail: e.Reason, Code: e.Code, Verdict: v, AttemptVerdict: v,
		RetryAfterMS: e.RetryAfter.Milliseconds(), RequestID: requestID, Stage: e.Stage, Node: node,
	}
}

// Write sends the problem as the response.
func (p Problem) Write(w http.ResponseWriter) {
	body, err := json.Marshal(p)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	writeBody(w, p.Status, body, p.RetryAfterMS)
}

// writeBody sends an answer or, with an error status, a problem.
func writeBody(w http.ResponseWriter, status int, body []byte, retryAfterMS int64) {
	contentType := "application/json"
	if status >= http.StatusBadRequest {
		contentType = "application/problem+json"
	}
	w.Header().Set("Content-Type", contentType)
	if retryAfterMS > 0 {
		// The header takes whole seconds only, so the time is rounded up.
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(retryAfterMS)/1000))))
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	// A write fails only if the caller disconnected.
	_, _ = w.Write(body)
}
