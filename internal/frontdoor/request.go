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

// Headers of the caller API. A header goes before the field of the body.
const (
	// HeaderKey carries the request key (a caller's own, or a ticket).
	HeaderKey = "Idempotency-Key"
	// HeaderDeadline shortens the deadline, such as "2s".
	HeaderDeadline = "Topazmoor-Deadline"
	// HeaderClass lowers the priority class.
	HeaderClass = "Topazmoor-Class"
	// HeaderRequestID returns the request's ID.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed marks an answer that was recorded earlier.
	HeaderReplayed = "Idempotent-Replayed"
)

// maxKey is the longest request key, in bytes.
const maxKey = 255

// runBody is the body of a run call.
type runBody struct {
	// Input is what the pipeline works on: a string or any JSON value.
	Input any `json:"input" need:"true"`
	// Stream asks for server-sent events.
	Stream bool `json:"stream"`
	// Key, Deadline and Class may be given here instead of by header.
	Key      string              `json:"key"`
	Deadline strictjson.Duration `json:"deadline"`
	Class    string              `json:"class"`
}

// runCall is a checked run call.
type runCall struct {
	input    json.RawMessage
	stream   bool
	key      string
	deadline time.Duration
	class    catalog.Class
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.InvalidRequest, format, args...)
}

// readBody reads at most limit bytes within timeout. On success the deadline is
// lifted, because http.Server.ReadTimeout would go on counting while the
// request runs and cancel it. After a failure it stays, so that the server does
// not wait for the rest of the body either.
func readBody(w http.ResponseWriter, r *http.Request, limit int64, timeout time.Duration) ([]byte, error) {
	conn := http.NewResponseController(w)
	// Not every writer has deadlines; those that do not need none.
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

// parseRun checks a run call against the plan of its pipeline.
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
	if len(c.key) > maxKey {
		return runCall{}, invalid("the request key is over %d bytes", maxKey)
	}
	if err := c.shorten(r.Header.Get(HeaderDeadline), b.Deadline.Std()); err != nil {
		return runCall{}, err
	}
	return c, c.lower(header(r, HeaderClass, b.Class))
}

func header(r *http.Request, name, field string) string {
	if h := r.Header.Get(name); h != "" {
		return h
	}
	return field
}

// shorten applies the caller's deadline; it never passes the plan's.
func (c *runCall) shorten(head string, field time.Duration) error {
	d := field
	if head != "" {
		var err error
		if d, err = time.ParseDuration(head); err != nil {
			return invalid("%s: %q is not a duration: write one such as \"2s\"", HeaderDeadline, head)
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

// lower applies the caller's class; it never rises above the plan's.
func (c *runCall) lower(name string) error {
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
