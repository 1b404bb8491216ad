package frontdoor

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
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

// readBody reads at most limit bytes within timeout. On success the read deadline of
// the connection is removed, because it would otherwise expire while the request runs,
// as that of http.Server.ReadTimeout would, and cancel it. After a failure it stays, so
// that the server does not wait for the rest of the body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	conn := http.NewResponseController(w)
	// An error means that the writer supports no deadlines; it then needs none.
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, verdict.New(verdict.NotRun, verdict.TooLarge, "the body is over %d bytes", limit)
	}
	if err != nil {
		return nil, invalid("the body could not be read within %v", timeout)
	}
	_ = conn.SetReadDeadline(time.Time{})
	return b, nil
}

// parseRun parses a run call and validates it against the plan of its pipeline.
func parseRun(r *http.Request, body []byte, plan *catalog.Plan) (runCall, error) {
	var b runBody
	if err := strictjson.Decode(body, &b); err != nil {
		return runCall{}, invalid("%s", strings.ReplaceAll(err.Error(), "\n", "; "))
	}
	input, err := json.Marshal(b.Input)
	if err != nil {
		return runCall{}, invalid("input: %v", err)
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
