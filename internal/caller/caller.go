// Package caller is an HTTP client of the caller API. It never retries a
// request. The demo, the load command and tests use it.
package caller

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/batch"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/httpanswer"
)

// Request describes one call that runs a pipeline.
type Request struct {
	// Addr is the IP:port of an entry node, Token the token of the client
	// account.
	Addr, Token string
	Pipeline    string
	Input       any
	// Key is the request key; empty for none.
	Key string
	// Class is the priority class and Deadline the time allowed for the
	// request. An empty Class or a Deadline of 0 sends no such header.
	Class    string
	Deadline time.Duration
	// Stream asks for the answer as a stream of events.
	Stream bool
}

// Result is the complete answer to one Request: either Reply or Problem is set.
type Result struct {
	// Status is the HTTP status code.
	Status  int
	Reply   *frontdoor.Reply
	Problem *frontdoor.Problem
	// Replayed reports that the answer was recorded earlier, for the same request
	// key (frontdoor.HeaderReplayed).
	Replayed bool
	// Tokens are the streamed tokens in the order of arrival, TimeToFirstToken
	// the time from the start of the call to the first token and TokenGaps the
	// times between consecutive tokens.
	Tokens           []dispatch.Token
	TimeToFirstToken time.Duration
	TokenGaps        []time.Duration
	// Elapsed is the time from the start of the call to the end of the answer.
	Elapsed time.Duration
}

// Verdict returns the verdict of Problem, or "ran" if there is none.
func (r *Result) Verdict() string {
	if r.Problem != nil {
		return r.Problem.Verdict
	}
	return "ran"
}

// Client sends requests. It is safe for concurrent use.
type Client struct{ http *http.Client }

// Dial opens a connection. Production code uses net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// New returns a Client that opens its connections with dial.
func New(dial Dial) *Client {
	tr := httpanswer.NewTransport(httpanswer.Options{Dial: httpanswer.Dial(dial), MaxIdle: 256, IdleTimeout: 20 * time.Second})
	return &Client{http: &http.Client{Transport: tr}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// opaqueReader hides the type of a reader: net/http then can't rewind the body
// and doesn't retry a request after it began to read the body.
type opaqueReader struct{ io.Reader }

// Run sends one request and reads its answer. An error means that no complete
// answer arrived or that it could not be decoded.
func (c *Client) Run(ctx context.Context, q Request) (*Result, error) {
	start := time.Now()
	req, err := q.buildRequest(ctx)
	if err != nil {
		return nil, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	res := &Result{Status: resp.StatusCode, Replayed: resp.Header.Get(frontdoor.HeaderReplayed) != ""}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		err = res.readEvents(resp.Body, start)
	} else {
		err = res.readBody(resp)
	}
	res.Elapsed = time.Since(start)
	return res, err
}

func (q *Request) buildRequest(ctx context.Context) (*http.Request, error) {
	body, err := json.Marshal(map[string]any{"input": q.Input, "stream": q.Stream})
	if err != nil {
		return nil, eris.Wrap(err, "encode request")
	}
	url := "http://" + q.Addr + frontdoor.PathRun + q.Pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, opaqueReader{bytes.NewReader(body)})
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+q.Token)
	if q.Key != "" {
		req.Header.Set(frontdoor.HeaderKey, q.Key)
	}
	if q.Class != "" {
		req.Header.Set(frontdoor.HeaderClass, q.Class)
	}
	if q.Deadline > 0 {
		req.Header.Set(frontdoor.HeaderDeadline, q.Deadline.String())
	}
	return req, nil
}

// maxAnswer bounds the body of an answer that is not a stream, in bytes. A longer one is cut and cannot be decoded.
const maxAnswer = 64 << 20

func (r *Result) readBody(resp *http.Response) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return eris.Wrap(err, "read answer")
	}
	return r.decode(resp.StatusCode >= http.StatusBadRequest, body)
}

func (r *Result) decode(problem bool, body []byte) error {
	if problem {
		r.Problem = &frontdoor.Problem{}
		return eris.Wrap(json.Unmarshal(body, r.Problem), "decode problem")
	}
	r.Reply = &frontdoor.Reply{}
	return eris.Wrap(json.Unmarshal(body, r.Reply), "decode answer")
}

// maxEventLine limits one line of an event stream, in bytes.
const maxEventLine = 16 << 20

func (r *Result) readEvents(body io.Reader, start time.Time) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4096), maxEventLine)
	event, last := "", start
	for lines.Scan() {
		if name, ok := strings.CutPrefix(lines.Text(), "event: "); ok {
			event = name
			continue
		}
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if event != "token" {
			return r.decode(event == "error", data)
		}
		var t dispatch.Token
		if err := json.Unmarshal(data, &t); err != nil {
			return eris.Wrap(err, "decode token")
		}
		last = r.recordToken(t, start, last)
	}
	if err := lines.Err(); err != nil {
		return eris.Wrap(err, "read events")
	}
	return eris.New("the stream ended without an answer")
}

// recordToken appends a token and its delay, and returns its arrival time. last
// is the arrival time of the token before.
func (r *Result) recordToken(t dispatch.Token, start, last time.Time) time.Time {
	now := time.Now()
	if len(r.Tokens) == 0 {
		r.TimeToFirstToken = now.Sub(start)
	} else {
		r.TokenGaps = append(r.TokenGaps, now.Sub(last))
	}
	r.Tokens = append(r.Tokens, t)
	return now
}

// Ticket fetches a request ticket.
func (c *Client) Ticket(ctx context.Context, addr, token string) (string, error) {
	var t frontdoor.Ticket
	err := c.call(ctx, http.MethodPost, addr, frontdoor.PathTickets, token, "", nil, &t)
	return t.Ticket, err
}

// SubmitBatch submits a batch. A repeated call with the same key returns the same
// batch.
func (c *Client) SubmitBatch(ctx context.Context, addr, token, key string, req batch.SubmitRequest) (batch.Status, error) {
	var st batch.Status
	err := c.call(ctx, http.MethodPost, addr, batch.PathBatches, token, key, req, &st)
	return st, err
}

// BatchStatus returns the status of a batch.
func (c *Client) BatchStatus(ctx context.Context, addr, token, id string) (batch.Status, error) {
	var st batch.Status
	err := c.call(ctx, http.MethodGet, addr, batch.PathBatches+"/"+url.PathEscape(id), token, "", nil, &st)
	return st, err
}

// BatchResults returns the results of the finished items.
func (c *Client) BatchResults(ctx context.Context, addr, token, id string) ([]batch.Result, error) {
	var res []batch.Result
	err := c.call(ctx, http.MethodGet, addr, batch.PathBatches+"/"+url.PathEscape(id)+"/results", token, "", nil, &res)
	return res, err
}

// RefusedError is the error answer of a node: a status of 400 or above.
type RefusedError struct{ frontdoor.Problem }

// Error implements error.
func (e *RefusedError) Error() string {
	return string(e.Code) + " (" + e.Verdict + "): " + e.Detail
}

// call sends one request with a JSON body and decodes the answer into out. It
// returns a *RefusedError for a status of 400 or above with a problem as body.
func (c *Client) call(ctx context.Context, method, addr, path, token, key string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, opaqueReader{bytes.NewReader(body)})
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set(frontdoor.HeaderKey, key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		return eris.Wrap(json.NewDecoder(resp.Body).Decode(out), "decode answer")
	}
	refused := &RefusedError{}
	if err := json.NewDecoder(resp.Body).Decode(&refused.Problem); err != nil {
		return eris.Errorf("node answered %d", resp.StatusCode)
	}
	return refused
}
