package admin

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/control"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/httpanswer"
)

// Client calls the administration API of one node.
type Client struct {
	// Addr is IP:port of the node's admin listener.
	Addr   string
	token  string
	scheme string
	http   *http.Client
}

// clientTimeout bounds one call.
const clientTimeout = 30 * time.Second

// NewClient returns a client with an operator's token.
func NewClient(addr, token string) *Client {
	tr := httpanswer.NewTransport(httpanswer.Options{})
	return &Client{Addr: addr, token: token, scheme: "http", http: &http.Client{Timeout: clientTimeout, Transport: tr}}
}

// UseTLS makes the client speak TLS and trust the CA in pem.
func (c *Client) UseTLS(pem []byte) error {
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return eris.New("the CA file holds no PEM certificate")
	}
	c.scheme = "https"
	c.http.Transport = httpanswer.NewTransport(httpanswer.Options{TLS: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}})
	return nil
}

// RefusedError is a refusal by the node.
type RefusedError struct {
	Conflict
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Verdict, e.Detail)
}

// Apply submits a manifest.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (ApplyResult, error) {
	var out ApplyResult
	err := c.call(ctx, http.MethodPost, PathConfig, req, &out)
	return out, err
}

// Revert submits the content of an earlier revision as a new one.
func (c *Client) Revert(ctx context.Context, req RevertRequest) (ApplyResult, error) {
	var out ApplyResult
	err := c.call(ctx, http.MethodPost, PathRevert, req, &out)
	return out, err
}

// Status describes the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodGet, PathStatus, nil, &out)
	return out, err
}

// Get returns one object of the configuration.
func (c *Client) Get(ctx context.Context, kind catalog.Kind, name string) (json.RawMessage, error) {
	var out json.RawMessage
	err := c.call(ctx, http.MethodGet, PathConfig+"/"+url.PathEscape(string(kind))+"/"+url.PathEscape(name), nil, &out)
	return out, err
}

// Audit returns the changes after a revision; by and object filter them.
func (c *Client) Audit(ctx context.Context, after int64, by, object string) ([]catalog.Change, error) {
	q := url.Values{"after": {strconv.FormatInt(after, 10)}, "by": {by}, "object": {object}}
	var out []catalog.Change
	err := c.call(ctx, http.MethodGet, PathAudit+"?"+q.Encode(), nil, &out)
	return out, err
}

// Events returns what happened beside changes after a time, in RFC 3339; "" for
// all.
func (c *Client) Events(ctx context.Context, after string) ([]control.Event, error) {
	var out []control.Event
	err := c.call(ctx, http.MethodGet, PathEvents+"?"+url.Values{"after": {after}}.Encode(), nil, &out)
	return out, err
}

// Drain orders that a target host gets no new work; end lifts the order.
func (c *Client) Drain(ctx context.Context, host, reason string, end bool) (ApplyResult, error) {
	return c.drain(ctx, PathDrains+url.PathEscape(host), reason, end)
}

// DrainDataCentre orders the same for all target hosts of a data centre.
func (c *Client) DrainDataCentre(ctx context.Context, name, reason string, end bool) (ApplyResult, error) {
	return c.drain(ctx, PathDataCentreDrains+url.PathEscape(name), reason, end)
}

func (c *Client) drain(ctx context.Context, path, reason string, end bool) (ApplyResult, error) {
	method := http.MethodPut
	if end {
		method = http.MethodDelete
	}
	q := url.Values{"reason": {reason}}
	var out ApplyResult
	err := c.call(ctx, method, path+"?"+q.Encode(), nil, &out)
	return out, err
}

// StartRollout orders that the calls of a pool move to another version, or says what that would do.
func (c *Client) StartRollout(ctx context.Context, pool string, req RolloutRequest) (RolloutResult, error) {
	var out RolloutResult
	err := c.call(ctx, http.MethodPut, PathRollouts+url.PathEscape(pool), req, &out)
	return out, err
}

// StopRollout withdraws the roll-out of a pool.
func (c *Client) StopRollout(ctx context.Context, pool, note string) (ApplyResult, error) {
	var out ApplyResult
	q := url.Values{"note": {note}}
	err := c.call(ctx, http.MethodDelete, PathRollouts+url.PathEscape(pool)+"?"+q.Encode(), nil, &out)
	return out, err
}

// RolloutStatus describes the last roll-out of a pool.
func (c *Client) RolloutStatus(ctx context.Context, pool string) (RolloutStatus, error) {
	var out RolloutStatus
	err := c.call(ctx, http.MethodGet, PathRollouts+url.PathEscape(pool), nil, &out)
	return out, err
}

// Stop starts the graceful shutdown of the node.
func (c *Client) Stop(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, http.MethodPost, PathStop, nil, &out)
	return out, err
}

// ScheduleStop orders that a node stops at a time; an empty time cancels.
func (c *Client) ScheduleStop(ctx context.Context, node, at string) (ApplyResult, error) {
	method := http.MethodPut
	if at == "" {
		method = http.MethodDelete
	}
	var out ApplyResult
	err := c.call(ctx, method, PathStop+"/"+url.PathEscape(node)+"?"+url.Values{"at": {at}}.Encode(), nil, &out)
	return out, err
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return eris.Wrap(err, "encode request")
		}
		body = io.MultiReader(bytes.NewReader(b))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.scheme+"://"+c.Addr+path, body)
	if err != nil {
		return eris.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return eris.Wrap(err, "call node")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return refusal(resp)
	}
	return eris.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(out), "decode answer")
}

func refusal(resp *http.Response) error {
	e := &RefusedError{Conflict{Problem: frontdoor.Problem{Status: resp.StatusCode}}}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxBody)).Decode(&e.Conflict); err != nil {
		return eris.Errorf("node answered %d", resp.StatusCode)
	}
	return e
}
