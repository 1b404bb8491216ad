// Package memnet is an in-memory network for tests in virtual time: listeners
// and connections by address, with partitions.
package memnet

import (
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrRefused is returned by Dial when nobody listens or the path is cut.
var ErrRefused = eris.New("memnet: connection refused")

// Network connects dialers and listeners. The zero value is not usable; use
// New. All methods may be called concurrently.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*side]bool
	sockets   map[string]*PacketConn
	cut       func(from, to string) bool
	frozen    map[string]chan struct{}
	nextPort  uint16
	// dialed counts the connections.
	dialed int
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*side]bool),
		sockets:   make(map[string]*PacketConn),
		frozen:    make(map[string]chan struct{}),
		cut:       func(string, string) bool { return false },
		nextPort:  20000,
	}
}

// SetCut replaces the partition: dials and connections between hosts for which
// cut reports true fail at once. Hosts are IP numbers.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	n.cut = cut
	var broken []*side
	for s := range n.conns {
		if cut(s.from, s.to) {
			broken = append(broken, s)
		}
	}
	n.mu.Unlock()
	for _, s := range broken {
		s.Close()
	}
}

// Freeze holds all traffic of a host, as if its process were paused, until
// Thaw.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (n *Network) Thaw(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[host]; ch != nil {
		close(ch)
		delete(n.frozen, host)
	}
}

// wait returns when the host is not frozen, or when done is closed; a nil done
// never is.
func (n *Network) wait(host string, done <-chan struct{}) { n.waitUntil(host, done, nil) }

// waitUntil does the same, but only until passed is closed. It reports whether it
// was not.
func (n *Network) waitUntil(host string, done, passed <-chan struct{}) bool {
	n.mu.Lock()
	ch := n.frozen[host]
	n.mu.Unlock()
	if ch == nil {
		return true
	}
	select {
	case <-ch:
	case <-done:
	case <-passed:
		return false
	}
	return true
}

// Silence makes the open connections between hosts for which match reports true
// silent for good: nothing comes through, and neither end is told. New ones work.
func (n *Network) Silence(match func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.conns {
		if match(s.from, s.to) && !s.isSilent() {
			close(s.silent)
		}
	}
}

// Listen opens a listener on addr (IP:port; port 0 takes a free one).
func (n *Network) Listen(addr string) (net.Listener, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrap(err, "memnet: address")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if ap.Port() == 0 {
		n.nextPort++
		ap = netip.AddrPortFrom(ap.Addr(), n.nextPort)
	}
	key := ap.String()
	if n.listeners[key] != nil {
		return nil, eris.Errorf("memnet: %s is in use", key)
	}
	l := &listener{net: n, addr: ap, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[key] = l
	return l, nil
}

// DialFrom returns a dial function for a host with this IP number.
func (n *Network) DialFrom(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		return n.dial(ctx, from, addr)
	}
}

func (n *Network) dial(ctx context.Context, from, addr string) (net.Conn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrap(err, "memnet: address")
	}
	to := ap.Addr().String()
	n.wait(from, ctx.Done())
	n.mu.Lock()
	l := n.listeners[addr]
	refused := l == nil || n.cut(from, to)
	// Each connection has a port of its own, so that its target can tell it.
	n.dialed++
	port := uint16(n.dialed%math.MaxUint16) + 1
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrRefused}
	}
	a, b := net.Pipe()
	silent := make(chan struct{})
	client := &side{Conn: a, net: n, from: from, to: to, remote: ap, done: make(chan struct{}), silent: silent}
	server := &side{Conn: b, net: n, from: to, to: from, remote: netip.AddrPortFrom(netip.MustParseAddr(from), port), done: make(chan struct{}), silent: silent}
	n.mu.Lock()
	n.conns[client] = true
	n.mu.Unlock()
	select {
	case l.accept <- server:
		return client, nil
	case <-l.done:
	case <-ctx.Done():
	}
	client.Close()
	return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrRefused}
}

// packet is one datagram on its way.
type packet struct {
	data []byte
	from net.Addr
}

// PacketConn is an in-memory datagram socket.
type PacketConn struct {
	net  *Network
	addr netip.AddrPort
	in   chan packet
	done chan struct{}
	once sync.Once
}

// packetQueue is how many datagrams wait for a reader; more are lost.
const packetQueue = 256

// ListenPacket opens a datagram socket on addr (IP:port).
func (n *Network) ListenPacket(addr string) (*PacketConn, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, eris.Wrap(err, "memnet: address")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.sockets[addr] != nil {
		return nil, eris.Errorf("memnet: %s is in use", addr)
	}
	c := &PacketConn{net: n, addr: ap, in: make(chan packet, packetQueue), done: make(chan struct{})}
	n.sockets[addr] = c
	return c, nil
}

// ReadFrom implements membership.PacketConn.
func (c *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.in:
		c.net.wait(c.addr.Addr().String(), c.done)
		return copy(b, p.data), p.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements membership.PacketConn. Datagrams across a cut, to nobody
// or to a full queue are lost.
func (c *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	dst, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, eris.Wrap(err, "memnet: address")
	}
	c.net.wait(c.addr.Addr().String(), c.done)
	c.net.mu.Lock()
	peer := c.net.sockets[dst.String()]
	lost := peer == nil || c.net.cut(c.addr.Addr().String(), dst.Addr().String())
	c.net.mu.Unlock()
	if lost {
		return len(b), nil
	}
	select {
	case peer.in <- packet{data: append([]byte(nil), b...), from: net.UDPAddrFromAddrPort(c.addr)}:
	default:
	}
	return len(b), nil
}

// Close implements membership.PacketConn.
func (c *PacketConn) Close() error {
	c.once.Do(func() {
		c.net.mu.Lock()
		delete(c.net.sockets, c.addr.String())
		c.net.mu.Unlock()
		close(c.done)
	})
	return nil
}

type listener struct {
	net    *Network
	addr   netip.AddrPort
	accept chan net.Conn
	done   chan struct{}
	once   sync.Once
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.net.mu.Lock()
		delete(l.net.listeners, l.addr.String())
		l.net.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }

// side is one end of a connection.
type side struct {
	net.Conn
	net      *Network
	from, to string
	remote   netip.AddrPort
	done     chan struct{}
	once     sync.Once
	// silent is closed when the connection goes silent; both sides share it.
	silent chan struct{}
	// read is the deadline of reads.
	read deadline
	// pending was read from the pipe, but its reader gave up before it was thawed.
	pending []byte
}

// RemoteAddr implements net.Conn.
func (s *side) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.remote) }

// Read implements net.Conn. A closed pipe reads as a reset, not as an end.
func (s *side) Read(b []byte) (int, error) {
	if len(s.pending) == 0 {
		n, err := s.Conn.Read(b)
		if err == io.ErrClosedPipe {
			err = net.ErrClosed
		}
		if err != nil && s.isSilent() && !isClosed(s.done) && !isClosed(s.read.passed()) {
			// The other end closed, and this one does not hear of it.
			return 0, s.hang()
		}
		if err != nil {
			s.net.wait(s.from, s.done)
			return n, err
		}
		s.pending = append(s.pending, b[:n]...)
	}
	if !s.net.waitUntil(s.from, s.done, s.read.passed()) {
		return 0, os.ErrDeadlineExceeded
	}
	if s.isSilent() {
		return 0, s.hang()
	}
	n := copy(b, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// hang blocks as a read of a silent connection does.
func (s *side) hang() error {
	select {
	case <-s.done:
		return net.ErrClosed
	case <-s.read.passed():
		return os.ErrDeadlineExceeded
	}
}

// Write implements net.Conn. What is written to a silent connection is lost unseen.
func (s *side) Write(b []byte) (int, error) {
	s.net.wait(s.from, s.done)
	if s.isSilent() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

func (s *side) isSilent() bool { return isClosed(s.silent) }

// SetDeadline implements net.Conn.
func (s *side) SetDeadline(t time.Time) error {
	s.read.set(t)
	return s.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (s *side) SetReadDeadline(t time.Time) error {
	s.read.set(t)
	return s.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. The other end of a silent connection does not hear of it.
func (s *side) Close() error {
	s.net.mu.Lock()
	delete(s.net.conns, s)
	s.net.mu.Unlock()
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}

// deadline tells by a channel that its time has passed.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	ch    chan struct{}
}

// passed returns a channel that is closed once the deadline has passed.
func (d *deadline) passed() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ch == nil {
		d.ch = make(chan struct{})
	}
	return d.ch
}

// set replaces the deadline; the zero time is none.
func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	ch := make(chan struct{})
	if d.ch != nil && !isClosed(d.ch) {
		ch = d.ch
	}
	d.ch, d.timer = ch, nil
	if t.IsZero() {
		return
	}
	if until := time.Until(t); until > 0 {
		d.timer = time.AfterFunc(until, func() { d.fire(ch) })
		return
	}
	close(ch)
}

// fire closes the channel of a deadline that was not replaced.
func (d *deadline) fire(ch chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ch == ch && !isClosed(ch) && d.timer != nil {
		close(ch)
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}
