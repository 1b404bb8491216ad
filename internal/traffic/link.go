package traffic

import (
	"net"
	"sync"
	"sync/atomic"

	"topazmoor/internal/ownership"
)

// Directory knows the places of the other nodes by their names. The zero Directory knows none. All
// methods may be called concurrently.
type Directory struct {
	// Self is the place of this node.
	Self  ownership.Place
	nodes atomic.Pointer[map[string]ownership.Place]
}

// Set replaces the places of all other nodes. The map must not change afterwards.
func (d *Directory) Set(nodes map[string]ownership.Place) { d.nodes.Store(&nodes) }

// Scope returns how far away a node is; Unknown for a name that is not known.
func (d *Directory) Scope(node string) Scope {
	nodes := d.nodes.Load()
	if nodes == nil {
		return Unknown
	}
	return ScopeOf(d.Self, (*nodes)[node])
}

// Meter counts the traffic of the connections to other nodes. A nil Meter counts nothing.
type Meter struct {
	Counter
	Directory
}

// Link counts the traffic of one connection. A nil Link counts nothing.
type Link struct {
	meter *Meter
	// node is the name of the other end; nil until the handshake has shown it.
	node atomic.Pointer[string]
	// mu guards handshakeBytes, which counts the bytes of the connection until node is known.
	mu             sync.Mutex
	handshakeBytes [directions]int64
}

// Link returns a Link for a new connection.
func (m *Meter) Link() *Link {
	if m == nil {
		return nil
	}
	return &Link{meter: m}
}

// SetNode sets the name of the other end.
func (l *Link) SetNode(name string) {
	if l == nil {
		return
	}
	l.node.Store(&name)
	l.flush()
}

// flush counts the bytes of the handshake for the node's scope.
func (l *Link) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for d := range directions {
		l.meter.wire[l.scope()][d].Add(l.handshakeBytes[d])
		l.handshakeBytes[d] = 0
	}
}

// scope returns how far away the other end is; Unknown until its name is known.
func (l *Link) scope() Scope {
	name := l.node.Load()
	if name == nil {
		return Unknown
	}
	return l.meter.Scope(*name)
}

// Message counts one message of a call and its bytes.
func (l *Link) Message(call Call, d Direction, bytes int) {
	if l != nil {
		l.meter.addMessage(call, l.scope(), d, bytes)
	}
}

// transferred counts bytes that the connection carried.
func (l *Link) transferred(d Direction, bytes int) {
	if l.node.Load() == nil {
		l.mu.Lock()
		l.handshakeBytes[d] += int64(bytes)
		l.mu.Unlock()
		return
	}
	l.meter.wire[l.scope()][d].Add(int64(bytes))
}

// Conn returns a connection that counts the bytes of c; c itself for a nil Link. The bytes of a
// connection whose handshake fails are counted as Unknown when it is closed.
func (l *Link) Conn(c net.Conn) net.Conn {
	if l == nil {
		return c
	}
	return &countingConn{Conn: c, link: l}
}

// countingConn counts the bytes of a connection to another node.
type countingConn struct {
	net.Conn
	link *Link
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.link.transferred(Received, n)
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.link.transferred(Sent, n)
	return n, err
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.link.flush()
	return c.Conn.Close()
}
