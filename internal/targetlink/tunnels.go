package targetlink

import (
	"net"
	"sync"
	"sync/atomic"
)

// maxTunnels bounds the connections through other nodes and on their behalf, unless Dialer.BoundTunnels sets a smaller
// one.
const maxTunnels = 512

// tunnels counts the connections through other nodes, and those that are open on behalf of other nodes.
type tunnels struct {
	open atomic.Int64
	// most bounds them; 0 for maxTunnels.
	most int64
}

// acquire reserves a connection, if there are fewer than the bound.
func (t *tunnels) acquire() bool {
	most := t.most
	if most == 0 {
		most = maxTunnels
	}
	if t.open.Add(1) <= most {
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

// trackedConn is a connection through another node or on behalf of one.
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
