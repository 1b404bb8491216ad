package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"
)

var errSealed = eris.New("dispatch: connection sealed before anything was written")

// conn counts what was written, so that a failed call can prove that the
// target was handed nothing.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
}

// Write implements net.Conn. The bytes count as written before they are, so
// that seal never misses a write that is under way.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// seal forbids all later writes if nothing was written since mark, and reports
// whether it did. net/http may still be about to write a request whose caller
// has given up, so counting alone would prove nothing.
func (c *conn) seal(mark int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != mark {
		return false
	}
	c.sealed = true
	return true
}

// Dial opens a connection; net.Dialer.DialContext in production.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

func tracked(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// handover records the connections that one call was given.
type handover struct {
	mu    sync.Mutex
	conns []mark
	lost  bool
}

// mark is how much was written to a connection when a call got it.
type mark struct {
	conn    *conn
	written int64
}

func (h *handover) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: h.gotConn})
}

func (h *handover) gotConn(info httptrace.GotConnInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := info.Conn.(*conn)
	if !ok {
		h.lost = true
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.conns = append(h.conns, mark{conn: c, written: c.written})
}

// nothingWritten reports whether it is proved that no byte of the call was, or
// ever will be, written to a target.
func (h *handover) nothingWritten() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return false
	}
	for _, m := range h.conns {
		if !m.conn.seal(m.written) {
			return false
		}
	}
	return true
}
