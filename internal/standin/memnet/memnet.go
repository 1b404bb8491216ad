// Package memnet is an in-memory network for tests in virtual time: listeners
// and connections by address, with partitions.
package memnet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"

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
	cut       func(from, to string) bool
	nextPort  uint16
}

// New returns an empty network.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*side]bool),
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
	n.mu.Lock()
	l := n.listeners[addr]
	refused := l == nil || n.cut(from, to)
	n.mu.Unlock()
	if refused {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ErrRefused}
	}
	a, b := net.Pipe()
	client := &side{Conn: a, net: n, from: from, to: to, remote: ap}
	server := &side{Conn: b, net: n, from: to, to: from, remote: netip.MustParseAddrPort(from + ":1")}
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
}

// RemoteAddr implements net.Conn.
func (s *side) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(s.remote) }

// Read implements net.Conn. A closed pipe reads as a reset, not as an end.
func (s *side) Read(b []byte) (int, error) {
	n, err := s.Conn.Read(b)
	if err == io.ErrClosedPipe {
		err = net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (s *side) Close() error {
	s.net.mu.Lock()
	delete(s.net.conns, s)
	s.net.mu.Unlock()
	return s.Conn.Close()
}
