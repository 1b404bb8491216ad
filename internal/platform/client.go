package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Paths of the platform's HTTP interface.
const (
	PathCommit  = "/v1/tables/commit"
	PathRow     = "/v1/tables/row"
	PathScan    = "/v1/tables/scan"
	PathObjects = "/v1/objects"
	PathHosts   = "/v1/hosts"
)

// maxReply bounds how much of a reply is read, in bytes.
const maxReply = 64 << 20

// Client reaches a platform over HTTP. It implements Store. It never repeats
// a call by itself: a commit must not be applied twice unseen.
type Client struct {
	base    string
	token   string
	timeout time.Duration
	http    *http.Client

	// mu guards the last host list, which is fetched again only when its
	// entity tag changed.
	mu    sync.Mutex
	etag  string
	hosts []Host
}

// NewClient returns a client of the platform at addr (IP:port). Each call ends
// after timeout.
func NewClient(addr, token string, timeout time.Duration) *Client {
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: "http://" + addr, token: token, timeout: timeout, http: &http.Client{Transport: tr}}
}

// Commit implements Tables.
func (c *Client) Commit(ctx context.Context, tx Tx) (int64, error) {
	body, err := json.Marshal(tx)
	if err != nil {
		return 0, eris.Wrap(err, "encode transaction")
	}
	var out struct {
		Version int64 `json:"version"`
	}
	err = c.call(ctx, http.MethodPost, PathCommit, body, &out)
	return out.Version, err
}

// Get implements Tables.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	q := url.Values{"table": {table}, "key": {key}}
	var r Row
	err := c.call(ctx, http.MethodGet, PathRow+"?"+q.Encode(), nil, &r)
	return r, readError(err)
}

// Scan implements Tables.
func (c *Client) Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error) {
	q := url.Values{"table": {table}, "prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []Row
	err := c.call(ctx, http.MethodGet, PathScan+"?"+q.Encode(), nil, &rows)
	return rows, readError(err)
}

// Put implements Objects.
func (c *Client) Put(ctx context.Context, key string, value []byte) error {
	q := url.Values{"key": {key}}
	return c.call(ctx, http.MethodPut, PathObjects+"?"+q.Encode(), value, nil)
}

// GetObject implements Objects.
func (c *Client) GetObject(ctx context.Context, key string) ([]byte, error) {
	q := url.Values{"key": {key}}
	var b []byte
	err := c.call(ctx, http.MethodGet, PathObjects+"?"+q.Encode(), nil, &b)
	return b, readError(err)
}

// ListHosts implements Hosts. A platform that sends entity tags sends the list
// only when it changed.
func (c *Client) ListHosts(ctx context.Context) ([]Host, error) {
	c.mu.Lock()
	etag := c.etag
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathHosts, nil)
	if err != nil {
		return nil, eris.Wrap(err, "build platform request")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, readError(classify(err))
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.hosts, nil
	}
	var hosts []Host
	if err := decodeReply(resp, &hosts); err != nil {
		return nil, readError(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.hosts = resp.Header.Get("ETag"), hosts
	return hosts, nil
}

// readError maps a lost reply of a read to ErrUnavailable: a read changes
// nothing, so its outcome is never unknown.
func readError(err error) error {
	if errors.Is(err, ErrUnknown) {
		return ErrUnavailable
	}
	return err
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	// The reader hides its type so that net/http cannot rewind and replay it.
	var rd io.Reader
	if body != nil {
		rd = io.MultiReader(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, rd)
	if err != nil {
		return eris.Wrap(err, "build platform request")
	}
	if body != nil {
		req.ContentLength = int64(len(body))
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	resp, err := c.http.Do(req)
	if err != nil {
		return classify(err)
	}
	defer resp.Body.Close()
	return decodeReply(resp, out)
}

// classify says whether a failed call can have reached the service.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return eris.Wrap(ErrUnavailable, op.Error())
	}
	return eris.Wrap(ErrUnknown, err.Error())
}

func decodeReply(resp *http.Response, out any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return eris.Wrap(ErrUnknown, err.Error())
	}
	switch resp.StatusCode {
	case http.StatusOK:
		if out == nil {
			return nil
		}
		if b, ok := out.(*[]byte); ok {
			*b = body
			return nil
		}
		if json.Unmarshal(body, out) != nil {
			return eris.Wrap(ErrUnknown, "reply cut short")
		}
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusConflict:
		conflict := &ConflictError{}
		if json.Unmarshal(body, conflict) != nil {
			return eris.Wrap(ErrUnknown, "reply cut short")
		}
		return conflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return eris.Wrapf(ErrUnavailable, "platform answered %d", resp.StatusCode)
	case http.StatusUnauthorized:
		return eris.Wrap(ErrUnavailable, "platform refuses the token: check platform.token")
	}
	return eris.Wrapf(ErrUnknown, "platform answered %d", resp.StatusCode)
}
