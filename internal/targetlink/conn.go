package targetlink

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// relayedConn is a connection to a target through another node.
type relayedConn struct {
	net.Conn
	// mayCarry reports whether the node may still carry what is sent to the target.
	mayCarry func() bool
}

// Revoked implements httpconn.Revocable.
func (r *relayedConn) Revoked() bool { return !r.mayCarry() }

// NetConn returns the connection that r wraps.
func (r *relayedConn) NetConn() net.Conn { return r.Conn }

// IsRelayed reports whether a connection that a Dialer opened goes through another node.
func IsRelayed(conn net.Conn) bool {
	_, relayed := conn.(*relayedConn)
	return relayed
}

// directConns tracks the connections over the node's own path, to notice that nothing is received any
// more.
type directConns struct {
	// epoch is the start of the times below: they are monotonic, unlike Unix times.
	epoch time.Time
	// lastRead is when any of them last received bytes, since epoch.
	lastRead atomic.Int64

	mu   sync.Mutex
	open map[*directConn]struct{}
}

// now returns the time since the epoch. It is positive, as 0 stands for never.
func (d *directConns) now() int64 { return int64(time.Since(d.epoch)) + 1 }

// directConn is one connection over the node's own path.
type directConn struct {
	net.Conn
	addr string
	all  *directConns
	// wrote and read are when bytes were last sent and received, since the epoch; 0 for never.
	wrote, read atomic.Int64
}

func (d *directConns) add(conn net.Conn, addr string) *directConn {
	c := &directConn{Conn: conn, addr: addr, all: d}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.open == nil {
		d.open = make(map[*directConn]struct{})
	}
	d.open[c] = struct{}{}
	return c
}

// receivedWithin reports whether any connection received bytes in the last d.
func (c *directConns) receivedWithin(d time.Duration) bool {
	read := c.lastRead.Load()
	return read > 0 && read > c.now()-int64(d)
}

// unanswered returns the address of a target that has sent nothing for at least silence after it was
// sent something, if no other target has sent anything meanwhile; "" for none.
func (d *directConns) unanswered(silence time.Duration) string {
	if d.receivedWithin(silence) {
		return ""
	}
	before := d.now() - int64(silence)
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.open {
		if wrote := c.wrote.Load(); wrote > c.read.Load() && wrote <= before {
			return c.addr
		}
	}
	return ""
}

// NetConn returns the connection that c wraps.
func (c *directConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *directConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := c.all.now()
		c.read.Store(now)
		c.all.lastRead.Store(now)
	}
	return n, err
}

// Write implements net.Conn.
func (c *directConn) Write(p []byte) (int, error) {
	c.wrote.Store(c.all.now())
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *directConn) Close() error {
	c.all.mu.Lock()
	delete(c.all.open, c)
	c.all.mu.Unlock()
	return c.Conn.Close()
}
