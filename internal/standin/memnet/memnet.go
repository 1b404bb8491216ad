// Package memnet is an in-memory network for tests in virtual time. It has
// listeners, connections and datagram sockets by address, and simulates
// partitions, paused hosts and connections that drop all data.
package memnet

import (
	"context"
	"io"
	"math"
	"net"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrRefused is the error of a dial if no listener has the address, the listener
// closes, a partition separates the hosts, or the dial is cancelled before the
// listener accepts it.
var ErrRefused = eris.New("memnet: connection refused")

// Network connects dialers and listeners. The zero value is not usable; use
// New. All methods may be called concurrently.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*endpoint]bool
	sockets   map[string]*PacketConn
	cut       func(from, to string) bool
	links     links
	frozen    map[string]chan struct{}
	// rates are the links with a limited rate, by host.
	rates    map[string]*link
	nextPort uint16
	// dialCount is the number of dials, those that fail included.
	dialCount int
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*endpoint]bool),
		sockets:   make(map[string]*PacketConn),
		frozen:    make(map[string]chan struct{}),
		rates:     make(map[string]*link),
		cut:       func(string, string) bool { return false },
		nextPort:  20000,
	}
}

// SetPartition replaces the partition. If cut(from, to) returns true, dials by host from
// to host to fail, datagrams in this direction are lost, and the connections that
// from opened to to are closed at once. Hosts are IP addresses.
func (n *Network) SetPartition(cut func(from, to string) bool) {
	n.mu.Lock()
	n.cut = cut
	var broken []*endpoint
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

// Freeze blocks the reads, writes and dials of a host until Unfreeze, as if its
// process were paused.
func (n *Network) Freeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.frozen[host] == nil {
		n.frozen[host] = make(chan struct{})
	}
}

// Unfreeze ends the freeze of a host; it does nothing without one.
func (n *Network) Unfreeze(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.frozen[host]; ch != nil {
		close(ch)
		delete(n.frozen, host)
	}
}

// awaitThaw blocks while the host is frozen, at most until done is closed. A nil
// done sets no such limit.
func (n *Network) awaitThaw(host string, done <-chan struct{}) { n.awaitThawUntil(host, done, nil) }

// awaitThawUntil is awaitThaw with a deadline: it returns false once expired is
// closed while the host is frozen, and true otherwise.
func (n *Network) awaitThawUntil(host string, done, expired <-chan struct{}) bool {
	n.mu.Lock()
	ch := n.frozen[host]
	n.mu.Unlock()
	if ch == nil {
		return true
	}
	select {
	case <-ch:
	case <-done:
	case <-expired:
		return false
	}
	return true
}

// Blackhole makes open connections silent for good: if match(from, to) returns true,
// those that host from opened to host to. A silent connection drops all data, and
// neither end gets an error or observes that the other end closes. Connections
// that are opened later work. The end that opened a silent connection gets an error if its keep-alive
// probes find out (see SetKeepAlive).
func (n *Network) Blackhole(match func(from, to string) bool) {
	for _, s := range n.silence(match) {
		if s.keepAlive > 0 {
			time.AfterFunc(s.keepAlive, s.expireKeepAlive)
		}
	}
}

// silence makes open connections silent and returns the ends that opened them.
func (n *Network) silence(match func(from, to string) bool) (out []*endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for s := range n.conns {
		if match(s.from, s.to) && !s.isSilent() {
			close(s.silent)
			out = append(out, s)
		}
	}
	return out
}

// SetKeepAlive makes a connection, at the end that opened it, end with ETIMEDOUT once Blackhole has made it silent for
// timeout, as keep-alive probes do.
func SetKeepAlive(c net.Conn, timeout time.Duration) {
	if s, ok := c.(*endpoint); ok {
		s.keepAlive = timeout
	}
}

// Listen opens a listener on addr (IP:port; port 0 selects a free port).
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

// DialFrom returns a dial function for a host with this IP address.
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
	n.awaitThaw(from, ctx.Done())
	n.mu.Lock()
	l := n.listeners[addr]
	refused := l == nil || n.cut(from, to)
	state := n.links.state(from, to)
	// Connections get different source ports (they repeat after 65535 dials), so
	// that the server can tell them apart.
	n.dialCount++
	port := uint16(n.dialCount%math.MaxUint16) + 1
	n.mu.Unlock()
	if state == Silent {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
	}
	if refused || state != Open {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrRefused}
	}
	a, b := net.Pipe()
	silent := make(chan struct{})
	client := &endpoint{Conn: a, net: n, from: from, to: to, remote: ap, done: make(chan struct{}), silent: silent, timedOut: make(chan struct{})}
	server := &endpoint{Conn: b, net: n, from: to, to: from, remote: netip.AddrPortFrom(netip.MustParseAddr(from), port), done: make(chan struct{}), silent: silent, timedOut: make(chan struct{})}
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

// packet is a datagram that was sent and not yet read.
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

// packetQueueLength limits the datagrams that wait for a reader of a socket.
// Further ones are lost.
const packetQueueLength = 256

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
	c := &PacketConn{net: n, addr: ap, in: make(chan packet, packetQueueLength), done: make(chan struct{})}
	n.sockets[addr] = c
	return c, nil
}

// ReadFrom implements membership.PacketConn.
func (c *PacketConn) ReadFrom(b []byte) (int, net.Addr, error) {
	select {
	case p := <-c.in:
		c.net.awaitThaw(c.addr.Addr().String(), c.done)
		return copy(b, p.data), p.from, nil
	case <-c.done:
		return 0, nil, net.ErrClosed
	}
}

// WriteTo implements membership.PacketConn. Datagrams are lost if a partition
// separates the hosts, no socket has the address or its queue is full.
func (c *PacketConn) WriteTo(b []byte, to net.Addr) (int, error) {
	dst, err := netip.ParseAddrPort(to.String())
	if err != nil {
		return 0, eris.Wrap(err, "memnet: address")
	}
	c.net.awaitThaw(c.addr.Addr().String(), c.done)
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

// endpoint is one end of a connection.
type endpoint struct {
	net.Conn
	net      *Network
	from, to string
	remote   netip.AddrPort
	done     chan struct{}
	once     sync.Once
	// silent is closed when the connection becomes silent (see Blackhole). Both ends
	// share it.
	silent       chan struct{}
	readDeadline deadline
	// keepAlive is the time after which a silent connection has timed out; 0 for never. timedOut is closed then.
	keepAlive time.Duration
	timedOut  chan struct{}
	// pending is data that was read from the pipe but not yet returned, since the
	// read deadline expired while the host was frozen or the buffer was too small.
	pending []byte
}

// RemoteAddr implements net.Conn.
func (s *endpoint) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.remote) }

// Read implements net.Conn. It returns net.ErrClosed after this end was closed.
func (s *endpoint) Read(b []byte) (int, error) {
	if len(s.pending) == 0 {
		n, err := s.Conn.Read(b)
		if err == io.ErrClosedPipe {
			err = net.ErrClosed
		}
		if isClosed(s.timedOut) {
			return 0, errTimedOut
		}
		if err != nil && s.isSilent() && !isClosed(s.done) && !isClosed(s.readDeadline.expired()) {
			// The other end closed; a silent connection does not report this.
			return 0, s.blockRead()
		}
		if err != nil {
			s.net.awaitThaw(s.from, s.done)
			return n, err
		}
		s.pending = append(s.pending, b[:n]...)
		s.awaitPassage(n)
	}
	if !s.net.awaitThawUntil(s.from, s.done, s.readDeadline.expired()) {
		return 0, os.ErrDeadlineExceeded
	}
	if s.isSilent() {
		return 0, s.blockRead()
	}
	n := copy(b, s.pending)
	s.pending = s.pending[n:]
	return n, nil
}

// blockRead blocks until this end is closed or its read deadline expires, as a
// read of a silent connection does.
func (s *endpoint) blockRead() error {
	select {
	case <-s.done:
		return net.ErrClosed
	case <-s.readDeadline.expired():
		return os.ErrDeadlineExceeded
	case <-s.timedOut:
		return errTimedOut
	}
}

// errTimedOut is what a connection reports whose keep-alive probes were not answered.
var errTimedOut = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ETIMEDOUT}

// expireKeepAlive ends reads of a silent connection.
func (s *endpoint) expireKeepAlive() {
	close(s.timedOut)
	// It wakes a read in progress; the connection is not used any more.
	_ = s.Conn.SetReadDeadline(time.Now())
}

// Write implements net.Conn. On a silent connection the data is lost, and Write
// reports success.
func (s *endpoint) Write(b []byte) (int, error) {
	s.net.awaitThaw(s.from, s.done)
	if s.isSilent() {
		return len(b), nil
	}
	return s.Conn.Write(b)
}

func (s *endpoint) isSilent() bool { return isClosed(s.silent) }

// SetDeadline implements net.Conn.
func (s *endpoint) SetDeadline(t time.Time) error {
	s.readDeadline.set(t)
	return s.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (s *endpoint) SetReadDeadline(t time.Time) error {
	s.readDeadline.set(t)
	return s.Conn.SetReadDeadline(t)
}

// Close implements net.Conn. The other end of a silent connection does not observe
// it.
func (s *endpoint) Close() error {
	s.net.mu.Lock()
	delete(s.net.conns, s)
	s.net.mu.Unlock()
	s.once.Do(func() { close(s.done) })
	return s.Conn.Close()
}

// deadline closes a channel when its time is reached.
type deadline struct {
	mu    sync.Mutex
	timer *time.Timer
	ch    chan struct{}
}

// expired returns a channel that is closed once the deadline is reached.
func (d *deadline) expired() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ch == nil {
		d.ch = make(chan struct{})
	}
	return d.ch
}

// set replaces the deadline. The zero time removes it.
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
		d.timer = time.AfterFunc(until, func() { d.expire(ch) })
		return
	}
	close(ch)
}

// expire closes ch when the timer of the deadline fires. It does nothing if set has meanwhile removed
// the deadline or given it another channel.
func (d *deadline) expire(ch chan struct{}) {
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
