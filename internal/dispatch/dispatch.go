// Package dispatch makes one attempt at one stage call, at one target and over
// HTTP. The verdict of its error says whether the target may have run the call.
//
// net/http retries some requests by itself if a reused connection breaks. It
// cannot retry the calls of this package once a byte was written: their bodies
// cannot be rewound and they never carry an Idempotency-Key header. Targets are
// called over HTTP/1, never HTTP/2. Source: docs/design/001-verdicts.md.
package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/intake"
	"topazmoor/internal/readiness"
	"topazmoor/internal/verdict"
)

// IdentityHeader carries the identity of an attempt to the target, which
// returns it with the answer.
const IdentityHeader = "Topazmoor-Attempt"

// RequestIDHeader carries the request's ID for the logs of the target.
const RequestIDHeader = "X-Request-Id"

// Identity names one attempt at one stage of one request.
type Identity struct {
	Request string
	Stage   string
	Attempt int
}

// String returns the value of IdentityHeader.
func (i Identity) String() string {
	return fmt.Sprintf("%s/%s/%d", i.Request, i.Stage, i.Attempt)
}

// Call is one attempt at one target.
type Call struct {
	Identity Identity
	// Target is the target's ID for logs and errors; Addr is its IP:port.
	Target, Addr string
	// Path is the HTTP path and Body the JSON body of the POST.
	Path string
	Body []byte
	// RefusalStatuses are the statuses that prove that nothing was started.
	RefusalStatuses []int
	// Echoes says that the target returns IdentityHeader with its answer.
	Echoes bool
}

// Client makes calls. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	maxBytes int64
	// answers bounds the answers that are being read, all together.
	answers *intake.Budget
	wrong   atomic.Int64
}

// New returns a Client that accepts answers of at most maxBytes, as far as there is room in a budget for those that are being read.
func New(dial Dial, maxBytes int64, answers *intake.Budget) *Client {
	tr := httpanswer.NewTransport(httpanswer.Options{Dial: httpanswer.Dial(tracked(dial)), MaxIdle: 32, IdleTimeout: 20 * time.Second})
	return &Client{
		maxBytes: maxBytes,
		answers:  answers,
		http: &http.Client{
			Transport:     tr,
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// WrongAnswers returns the number of answers that were dropped because they
// belonged to another attempt.
func (c *Client) WrongAnswers() int64 { return c.wrong.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Do makes the call and returns the JSON body of the answer.
func (c *Client) Do(ctx context.Context, call Call) ([]byte, error) {
	resp, h, err := c.send(ctx, call)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := c.answers.ReadWhole(resp.Body, c.maxBytes)
	if err != nil {
		return nil, c.failure(ctx, call, h, err)
	}
	if !json.Valid(body) {
		return nil, verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "the answer is not complete JSON").
			At(call.Identity.Stage, call.Target)
	}
	return body, nil
}

// opaque hides the type of a reader, so that net/http cannot rewind it.
type opaque struct{ io.Reader }

// send sends the call and checks the status and the headers of the answer. On
// success the caller must close the body.
func (c *Client) send(ctx context.Context, call Call) (*http.Response, *connLog, error) {
	h := &connLog{}
	url := "http://" + call.Addr + call.Path
	req, err := http.NewRequestWithContext(h.trace(ctx), http.MethodPost, url, opaque{bytes.NewReader(call.Body)})
	if err != nil {
		return nil, nil, verdict.Wrap(err, verdict.NotRun, verdict.Internal, "the call cannot be built").
			At(call.Identity.Stage, call.Target)
	}
	req.ContentLength = int64(len(call.Body))
	// Without an identity a late answer to an earlier call on the connection looks like that to this one.
	req.Close = !call.Echoes
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(IdentityHeader, call.Identity.String())
	req.Header.Set(RequestIDHeader, call.Identity.Request)
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, c.failure(ctx, call, h, err)
	}
	if err := c.checkHead(resp, call); err != nil {
		// The body is not read to its end, so that net/http closes the connection:
		// a target that mixed up answers on it cannot do so again.
		resp.Body.Close()
		return nil, nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, c.refusal(ctx, resp, call)
	}
	return resp, h, nil
}

func (c *Client) checkHead(resp *http.Response, call Call) error {
	if call.Echoes && resp.Header.Get(IdentityHeader) != call.Identity.String() {
		c.wrong.Add(1)
		return verdict.New(verdict.MayHaveRun, verdict.WrongAnswer,
			"the target answered for %q", resp.Header.Get(IdentityHeader)).At(call.Identity.Stage, call.Target)
	}
	if resp.StatusCode == http.StatusOK || slices.Contains(call.RefusalStatuses, resp.StatusCode) {
		return nil
	}
	return verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "the target failed with status %d", resp.StatusCode).
		At(call.Identity.Stage, call.Target)
}

// refusal reads the rest of a refusal and returns its error. One that breaks off does not show that the target has not run the call.
func (c *Client) refusal(ctx context.Context, resp *http.Response, call Call) error {
	if err := httpanswer.Drain(resp.Body); err != nil && ctx.Err() == nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.TargetFailed, "the refusal of the target broke off").
			At(call.Identity.Stage, call.Target)
	}
	return verdict.New(verdict.NotRun, verdict.TargetRefused, "the target refused with status %d", resp.StatusCode).
		After(readiness.ParseRetryAfter(resp.Header.Values("Retry-After"), resp.Header.Get("Date"), time.Now())).At(call.Identity.Stage, call.Target)
}

// failure returns a transport error as an error with a verdict.
func (c *Client) failure(ctx context.Context, call Call, h *connLog, err error) error {
	v := verdict.MayHaveRun
	if h.nothingWritten() {
		v = verdict.NotRun
	}
	code, reason := verdict.TargetFailed, "the connection to the target failed"
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		code, reason = verdict.DeadlineExceeded, "the target did not answer in time"
	case ctx.Err() != nil:
		code, reason = verdict.Canceled, "the call was cancelled"
	case errors.As(err, &op) && op.Op == "dial":
		reason = "the target cannot be reached"
	}
	return verdict.Wrap(err, v, code, "%s", reason).At(call.Identity.Stage, call.Target)
}
