// Package httpconn sends single HTTP/1.1 requests to targets over kept
// connections and says exactly how far each got. net/http parses the answers;
// the package owns the connections, because three things must be known that
// http.Transport hides: whether a byte of a request was written, whether a
// connection carries bytes that belong to no request, and which answer belongs
// to which request. Nothing is ever sent twice.
package httpconn

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Dial opens a connection; net.Dialer.DialContext in production.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Config is what a Pool is built from.
type Config struct {
	Dial Dial
	// Belongs reports whether an answer belongs to the request with this ID.
	Belongs func(h http.Header, id string) bool
	// IdleTimeout closes kept connections that were not used; a shorter time
	// that the target names goes before it.
	IdleTimeout time.Duration
	// MaxIdle is the most kept connections of one target.
	MaxIdle int
}

// Pool keeps connections to targets. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty Pool.
func New(cfg Config) *Pool { return &Pool{cfg: cfg, idle: make(map[string][]*conn)} }

// conn is one connection to a target.
type conn struct {
	net.Conn
	addr string
	br   *bufio.Reader
	bw   *bufio.Writer
	// used is set once an answer came on the connection.
	used bool
	// until is when the connection must no longer be used.
	until time.Time
}

// bufferSize holds the head and the body of most requests and answers.
const bufferSize = 4 << 10

// get returns a kept connection, unless a fresh one is asked for, or opens one.
func (p *Pool) get(ctx context.Context, addr string, fresh bool) (*conn, error) {
	for !fresh {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.until) && quiet(c) {
			return c, nil
		}
		c.Close()
	}
	nc, err := p.cfg.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: nc, addr: addr, br: bufio.NewReaderSize(nc, bufferSize), bw: bufio.NewWriterSize(nc, bufferSize)}, nil
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// keep puts a connection back whose last answer was read to its end.
func (p *Pool) keep(c *conn) {
	c.used = true
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.addr]
	if len(list) >= p.cfg.MaxIdle {
		c.Close()
		return
	}
	p.idle[c.addr] = append(list, c)
}

// unused gives up a connection that was got for nothing. A new one is closed: who gets a kept
// one takes its end for that of an idle connection, which it is not yet.
func (p *Pool) unused(c *conn) {
	if !c.used {
		c.Close()
		return
	}
	p.keep(c)
}

// Forget closes the kept connections of a target.
func (p *Pool) Forget(addr string) {
	p.mu.Lock()
	list := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range list {
		c.Close()
	}
}

// Sweep closes kept connections whose time is over.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.After(c.until) {
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

// Close closes all kept connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			c.Close()
		}
	}
	clear(p.idle)
}
