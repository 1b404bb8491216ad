package targetlink

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxTunnels bounds the connections that are open on behalf of other nodes. Each takes some 40 KB of buffers
// here.
const maxTunnels = 512

// tunnels counts the connections that are open on behalf of other nodes.
type tunnels struct{ open atomic.Int64 }

// acquire reserves a connection, if there are fewer than maxTunnels.
func (t *tunnels) acquire() bool {
	if t.open.Add(1) <= maxTunnels {
		return true
	}
	t.release()
	return false
}

func (t *tunnels) release() { t.open.Add(-1) }

// track returns a connection that is released when it is closed.
func (t *tunnels) track(conn net.Conn) net.Conn {
	return &trackedConn{Conn: conn, release: sync.OnceFunc(t.release)}
}

// trackedConn is a connection on behalf of another node.
type trackedConn struct {
	net.Conn
	release func()
}

// NetConn returns the connection that c wraps.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.release()
	return c.Conn.Close()
}
