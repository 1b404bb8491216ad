// Package httpconn sends single HTTP/1.1 requests to targets over pooled
// connections and reports whether a failed request may have reached its target.
// net/http parses the answers; the package owns the connections, because three
// things must be known that http.Transport hides: whether sending of a request
// began, whether a connection carries bytes that belong to no request, and which
// answer belongs to which request. No request is ever sent twice.
package httpconn

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/httpanswer"
)

// Dial opens a connection; net.Dialer.DialContext in production.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Config configures a Pool.
type Config struct {
	Dial Dial
	// AnswerID returns the ID of the request that an answer belongs to; "" if it names none.
	AnswerID func(h http.Header) string
	// IdleTimeout is how long an idle connection may be reused. A shorter timeout
	// in the target's Keep-Alive header, less idleMargin, takes precedence.
	IdleTimeout time.Duration
	// MaxIdle is the maximum number of idle connections per target.
	MaxIdle int
}

// Pool holds idle connections to targets for reuse. It is safe for concurrent use.
type Pool struct {
	cfg     Config
	meterOf func(addr string) Meter

	// strays counts the answers that were skipped because they belong to other requests.
	strays atomic.Int64

	mu   sync.Mutex
	idle map[string][]*conn
	// resets counts the calls of Reset.
	resets int
	closed bool
}

// New returns an empty Pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[string][]*conn)} }

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr string
	// resets is the value of Pool.resets when the connection was opened.
	resets int
	// head bounds what br reads of heads.
	head *httpanswer.HeadLimiter
	br   *bufio.Reader
	bw   *bufio.Writer
	// named is set once an answer on the connection named its request.
	named bool
	// carried is what the connection has carried.
	carried carried
	// used is set once an answer was read completely from the connection.
	used bool
	// expires is the time from which the connection must not be reused.
	expires time.Time
}

// Revocable is a connection of Config.Dial that may be barred from further requests while it is idle.
type Revocable interface {
	// Revoked reports whether the connection must not be reused.
	Revoked() bool
}

// mayReuse reports whether an idle connection can carry another request.
func (c *conn) mayReuse() bool {
	if r, ok := c.Conn.(Revocable); ok && r.Revoked() {
		return false
	}
	return time.Now().Before(c.expires) && openWithoutData(c)
}

// bufferSize is the size of each read and write buffer, in bytes. It holds the head and
// the body of most requests and answers.
const bufferSize = 4 << 10

// get returns an idle connection to addr that has not carried the request's ID, or opens a new one if none is
// usable or the request requires one.
func (p *Pool) get(ctx context.Context, addr string, r *Request) (*conn, error) {
	for !r.NewConn {
		c := p.pop(addr, keyOf(r.ID))
		if c == nil {
			break
		}
		if c.mayReuse() {
			return c, nil
		}
		c.Close()
	}
	nc, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return p.newConn(nc, addr), nil
}

// newConn wraps a new connection to addr, with a Meter if there is one.
func (p *Pool) newConn(nc net.Conn, addr string) *conn {
	end := httpanswer.NewConn(nc)
	var r io.Reader = end
	var w io.Writer = end
	if m := p.meter(addr); m != nil {
		r, w = meteredReader{end, m}, meteredWriter{end, m}
	}
	head := httpanswer.NewHeadLimiter(r)
	return &conn{Conn: nc, addr: addr, resets: p.resetCount(), head: head, br: bufio.NewReaderSize(head, bufferSize), bw: bufio.NewWriterSize(w, bufferSize)}
}

// pop removes the most recently used idle connection to addr that has not carried the request and returns it, or nil
// if there is none.
func (p *Pool) pop(addr string, request requestKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	for i := len(list) - 1; i >= 0; i-- {
		if c := list[i]; !c.carried.has(request) {
			p.idle[addr] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// Strays returns the number of answers that were skipped because they belong to other requests.
func (p *Pool) Strays() int64 { return p.strays.Load() }

// resetCount returns the number of calls of Reset.
func (p *Pool) resetCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resets
}

// putIdle returns a connection to the pool after its last answer was read to its
// end. It closes the connection if the target already has MaxIdle idle ones, or if the pool was reset or closed since the
// connection was opened.
func (p *Pool) putIdle(c *conn) {
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if p.closed || c.resets != p.resets || len(list) >= p.cfg.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// release takes back a connection on which the current request was not sent. It closes a new one:
// in the pool it would be marked as used, and a later failure on it would be reported with
// Error.Reused although the connection had never carried a request.
func (p *Pool) release(c *conn) {
	if !c.used {
		c.Close()
		return
	}
	p.putIdle(c)
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// CloseExpired closes idle connections that have expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.closeIdleIf(func(c *conn) bool { return now.After(c.expires) })
}

// CloseIdleIf closes the idle connections for which drop returns true.
func (p *Pool) CloseIdleIf(drop func(net.Conn) bool) {
	p.closeIdleIf(func(c *conn) bool { return drop(c.Conn) })
}

func (p *Pool) closeIdleIf(drop func(*conn) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if drop(c) {
				c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
}

// Reset closes all idle connections, and those in use once their request has ended. New connections are kept again.
func (p *Pool) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets++
	p.closeIdle()
}

// Close closes all idle connections, and those in use once their request has ended.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdle()
}

// closeIdle closes all idle connections. The lock is held.
func (p *Pool) closeIdle() {
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}
