package frontdoor

import (
	"encoding/json"
	"net/http"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/strictjson"
	"topazmoor/internal/verdict"
)

// Headers of the caller API. A header overrides the field of the body with the same
// meaning.
const (
	// HeaderKey is the request key: a key of the caller's choice, or a ticket.
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline shortens the deadline. It is a duration such as "2s".
	HeaderDeadline = "Topazmoor-Deadline"
	// HeaderClass lowers the priority class.
	HeaderClass = "Topazmoor-Class"
	// HeaderRequestID is the ID of the request, in responses.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed marks a response that is the recorded outcome of an earlier
	// attempt.
	HeaderReplayed = "Idempotent-Replayed"
)

// maxKeyBytes is the maximum length of a request key.
const maxKeyBytes = 255

// runBody is the body of a run call.
type runBody struct {
	// Input is the input of the pipeline: a string or any other JSON value.
	Input any `json:"input" need:"true"`
	// Stream requests the response as server-sent events.
	Stream bool `json:"stream"`
	// Key, Deadline and Class may be set here instead of in headers.
	Key      string              `json:"key"`
	Deadline strictjson.Duration `json:"deadline"`
	Class    string              `json:"class"`
}

// runCall is a validated run call.
type runCall struct {
	input    json.RawMessage
	stream   bool
	key      string
	deadline time.Duration
	class    catalog.Class
}

// invalid returns the refusal of an invalid request.
func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.InvalidRequest, format, args...)
}

// parseRun parses a run call and validates it against the plan of its pipeline.
func (s *Server) parseRun(r *http.Request, body []byte, plan *catalog.Plan) (runCall, error) {
	b, input, err := s.decodeRun(r.Context(), body)
	if err != nil {
		return runCall{}, err
	}
	c := runCall{input: input, stream: b.Stream, key: header(r, HeaderKey, b.Key), deadline: plan.Deadline, class: plan.Class}
	if len(c.key) > maxKeyBytes {
		return runCall{}, invalid("the request key is over %d bytes", maxKeyBytes)
	}
	if err := c.applyDeadline(r.Header.Get(HeaderDeadline), b.Deadline.Std()); err != nil {
		return runCall{}, err
	}
	return c, c.applyClass(header(r, HeaderClass, b.Class))
}

// header returns the header, or the field of the body if the header is not set.
func header(r *http.Request, name, field string) string {
	if h := r.Header.Get(name); h != "" {
		return h
	}
	return field
}

// applyDeadline applies the caller's deadline, which cannot be later than the plan's.
func (c *runCall) applyDeadline(headerValue string, field time.Duration) error {
	d := field
	if headerValue != "" {
		var err error
		if d, err = time.ParseDuration(headerValue); err != nil {
			return invalid("%s: %q is not a duration: write one such as \"2s\"", HeaderDeadline, headerValue)
		}
	}
	if d < 0 {
		return invalid("the deadline is below zero")
	}
	if d > 0 {
		c.deadline = min(c.deadline, d)
	}
	return nil
}

// applyClass applies the caller's class, which cannot be higher than the plan's.
func (c *runCall) applyClass(name string) error {
	if name == "" {
		return nil
	}
	class, err := catalog.ParseClass(name)
	if err != nil {
		return invalid("class: %v", err)
	}
	c.class = max(c.class, class)
	return nil
}
