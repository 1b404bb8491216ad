package targetlink

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxLent bounds the connections that are open on behalf of other nodes. Each takes some 40 KB of
// buffers here.
const maxLent = 512

// lentConns counts the connections that are open on behalf of other nodes.
type lentConns struct{ open atomic.Int64 }

// acquire reserves a connection, if there are fewer than maxLent.
func (l *lentConns) acquire() bool {
	if l.open.Add(1) <= maxLent {
		return true
	}
	l.release()
	return false
}

func (l *lentConns) release() { l.open.Add(-1) }

// lend returns a connection that is released when it is closed.
func (l *lentConns) lend(conn net.Conn) net.Conn {
	return &lentConn{Conn: conn, release: sync.OnceFunc(l.release)}
}

// lentConn is a connection on behalf of another node.
type lentConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection that c wraps.
func (c *lentConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *lentConn) Close() error {
	c.release()
	return c.Conn.Close()
}
