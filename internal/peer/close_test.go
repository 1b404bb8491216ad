package peer

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/memnet"
)

// These tests run in real time: yamux shares timers between the tests of a process, and a timer of a
// synctest bubble must not be used outside of it.

const (
	closeAddr = "10.0.0.1:7000"
	closeKey  = "key"
)

// pausedConn is a connection whose reads wait until resume is closed. The first read closes reading.
type pausedConn struct {
	net.Conn
	once            *sync.Once
	reading, resume chan struct{}
}

func (c pausedConn) Read(b []byte) (int, error) {
	c.once.Do(func() { close(c.reading) })
	<-c.resume
	return c.Conn.Read(b)
}

// pausedListener returns its connections as pausedConn.
type pausedListener struct {
	net.Listener
	reading, resume chan struct{}
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pausedConn{c, &sync.Once{}, l.reading, l.resume}, nil
}

// listen returns a network with a server on it that serves until the test ends, and its listener.
func listen(t *testing.T, wrap func(net.Listener) net.Listener) (network *memnet.Network, ln net.Listener, s *Server, served chan error) {
	network = memnet.New()
	ln, err := network.Listen(closeAddr)
	qt.Assert(t, err, qt.IsNil)
	s = NewServer(wrap(ln), []byte(closeKey), "server", Handler{}, slog.New(slog.DiscardHandler))
	served = make(chan error, 1)
	go func() { served <- s.Serve(t.Context()) }()
	return network, ln, s, served
}

func plainListener(l net.Listener) net.Listener { return l }

func closeClient(network *memnet.Network) *Client {
	return NewClient(network.DialFrom("10.0.0.2"), []byte(closeKey), "client", nil)
}

// checkCloses checks that a connection is closed, or will be as soon as its goroutines run.
func checkCloses(t *testing.T, mux *muxConn) {
	t.Helper()
	select {
	case <-mux.session.CloseChan():
	case <-time.After(closeTimeout):
		t.Error("the connection stays open")
	}
}

// TestServerClosesConnectionsInTheHandshake guards against a server that has stopped and goes on
// serving a connection whose handshake was under way: the connection would be registered after
// Close had looked for connections to close.
func TestServerClosesConnectionsInTheHandshake(t *testing.T) {
	reading, resume := make(chan struct{}), make(chan struct{})
	network, _, s, served := listen(t, func(l net.Listener) net.Listener { return pausedListener{l, reading, resume} })
	client := closeClient(network)
	defer client.Close()
	connected := make(chan *muxConn, 1)
	go func() {
		mux, _ := client.connection(t.Context(), closeAddr)
		connected <- mux
	}()
	<-reading
	s.Close()
	<-served
	close(resume)
	if mux := <-connected; mux != nil {
		checkCloses(t, mux)
	}
}

// TestServeClosesItsConnections guards against connections that stay when the listener is closed
// by its owner, as a node that stops does.
func TestServeClosesItsConnections(t *testing.T) {
	network, ln, _, served := listen(t, plainListener)
	client := closeClient(network)
	defer client.Close()
	mux, err := client.connection(t.Context(), closeAddr)
	qt.Assert(t, err, qt.IsNil)
	ln.Close()
	<-served
	checkCloses(t, mux)
}

// TestClientClosesConnectionsBeingEstablished guards against a connection that the client stores
// after Close and nobody closes.
func TestClientClosesConnectionsBeingEstablished(t *testing.T) {
	network, _, _, _ := listen(t, plainListener)
	dial := network.DialFrom("10.0.0.2")
	dialed, resume := make(chan struct{}), make(chan struct{})
	client := NewClient(func(_ context.Context, n, addr string) (net.Conn, error) {
		c, err := dial(t.Context(), n, addr)
		close(dialed)
		<-resume
		return c, err
	}, []byte(closeKey), "client", nil)
	connected := make(chan *muxConn, 1)
	go func() {
		mux, _ := client.connection(t.Context(), closeAddr)
		connected <- mux
	}()
	<-dialed
	client.Close()
	close(resume)
	if mux := <-connected; mux != nil {
		checkCloses(t, mux)
	}
	_, err := client.connection(t.Context(), closeAddr)
	qt.Check(t, err, qt.ErrorIs, errClientClosed)
}

// TestClientClosesRetiredConnections guards against a connection that was retired with an open
// stream and outlives the client, and against one that is still used after it was retired.
func TestClientClosesRetiredConnections(t *testing.T) {
	network, _, _, _ := listen(t, plainListener)
	client := closeClient(network)
	mux, err := client.connection(t.Context(), closeAddr)
	qt.Assert(t, err, qt.IsNil)
	st, err := mux.OpenStream()
	qt.Assert(t, err, qt.IsNil)
	defer st.Close()
	client.retire(mux)
	next, err := client.connection(t.Context(), closeAddr)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, next, qt.Not(qt.Equals), mux)
	client.Close()
	checkCloses(t, mux)
	checkCloses(t, next)
}
