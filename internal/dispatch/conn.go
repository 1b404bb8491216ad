package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/rotisserie/eris"

	"topazmoor/internal/sockets"
)

var errSealed = eris.New("dispatch: connection sealed before anything was written")

// conn counts the bytes written to a connection, so that a failed call can prove
// that the target received nothing.
type conn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	// sealed says that all later writes fail.
	sealed bool
}

// Write implements net.Conn. It counts the bytes before it writes them, so that
// seal never misses a write in progress.
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

// seal makes all later writes fail if nothing was written since the count was
// mark, and reports whether it did. net/http may still write a request whose
// caller has given up, so the count alone is no proof.
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

// tracked returns a Dial whose connections count their bytes.
func tracked(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
}

// connLog records the connections that net/http assigned to one call.
type connLog struct {
	mu    sync.Mutex
	conns []mark
	// untracked says that the call was given a connection of unknown type, whose bytes
	// are not counted.
	untracked bool
}

// mark is a connection and the count of its bytes when a call was assigned to it.
type mark struct {
	conn    *conn
	written int64
}

func (h *connLog) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: h.gotConn})
}

func (h *connLog) gotConn(info httptrace.GotConnInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c, ok := sockets.As[*conn](info.Conn)
	if !ok {
		h.untracked = true
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	h.conns = append(h.conns, mark{conn: c, written: c.written})
}

// nothingWritten reports whether it is proved that no byte of the call was
// written to a target, or will be. It seals the connections of the call.
func (h *connLog) nothingWritten() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.untracked {
		return false
	}
	for _, m := range h.conns {
		if !m.conn.seal(m.written) {
			return false
		}
	}
	return true
}
