package peer

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/memnet"
)

const (
	closeAddr = "10.0.0.1:7000"
	closeKey  = "key"
)

// pausedConn is a connection whose reads wait until resume is closed.
type pausedConn struct {
	net.Conn
	resume chan struct{}
}

func (c pausedConn) Read(b []byte) (int, error) {
	<-c.resume
	return c.Conn.Read(b)
}

// pausedListener returns its connections as pausedConn.
type pausedListener struct {
	net.Listener
	resume chan struct{}
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pausedConn{c, l.resume}, nil
}

func closeServer(t *testing.T, ln net.Listener) *Server {
	return NewServer(ln, []byte(closeKey), "server", Handler{}, slog.New(slog.NewTextHandler(t.Output(), nil)))
}

// TestServerClosesConnectionsInTheHandshake guards against a server that has stopped and goes on
// serving a connection whose handshake was under way: the connection would be registered after
// Close had looked for connections to close.
func TestServerClosesConnectionsInTheHandshake(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		ln, err := network.Listen(closeAddr)
		qt.Assert(t, err, qt.IsNil)
		resume := make(chan struct{})
		s := closeServer(t, pausedListener{ln, resume})
		served := make(chan error, 1)
		go func() { served <- s.Serve(t.Context()) }()
		client := NewClient(network.DialFrom("10.0.0.2"), []byte(closeKey), "client", nil, nil)
		defer client.Close()
		connected := make(chan *muxConn, 1)
		go func() {
			mux, _ := client.connection(t.Context(), closeAddr)
			connected <- mux
		}()
		synctest.Wait()
		s.Close()
		<-served
		close(resume)
		if mux := <-connected; mux != nil {
			synctest.Wait()
			qt.Check(t, mux.IsClosed(), qt.IsTrue)
		}
	})
}

// TestServeClosesItsConnections guards against connections that stay when the listener is closed
// by another owner, as a node that stops does.
func TestServeClosesItsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		ln, err := network.Listen(closeAddr)
		qt.Assert(t, err, qt.IsNil)
		served := make(chan error, 1)
		go func() { served <- closeServer(t, ln).Serve(t.Context()) }()
		client := NewClient(network.DialFrom("10.0.0.2"), []byte(closeKey), "client", nil, nil)
		defer client.Close()
		mux, err := client.connection(t.Context(), closeAddr)
		qt.Assert(t, err, qt.IsNil)
		ln.Close()
		<-served
		synctest.Wait()
		qt.Check(t, mux.IsClosed(), qt.IsTrue)
	})
}

// closedClient returns a client whose connection is being established, and closes the client before
// the dial returns. The connection arrives as a caller of connection gets it; nil if it gets none.
func closedClient(t *testing.T, network *memnet.Network) (client *Client, connected chan *muxConn) {
	dial := network.DialFrom("10.0.0.2")
	resume := make(chan struct{})
	client = NewClient(func(_ context.Context, n, addr string) (net.Conn, error) {
		c, err := dial(t.Context(), n, addr)
		<-resume
		return c, err
	}, []byte(closeKey), "client", nil, nil)
	connected = make(chan *muxConn, 1)
	go func() {
		mux, _ := client.connection(t.Context(), closeAddr)
		connected <- mux
	}()
	synctest.Wait()
	client.Close()
	close(resume)
	return client, connected
}

// TestClientClosesConnectionsBeingEstablished guards against a connection that the client stores
// after Close and nobody closes.
func TestClientClosesConnectionsBeingEstablished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		ln, err := network.Listen(closeAddr)
		qt.Assert(t, err, qt.IsNil)
		s := closeServer(t, ln)
		go func() { _ = s.Serve(t.Context()) }()
		client, connected := closedClient(t, network)
		if mux := <-connected; mux != nil {
			qt.Check(t, mux.IsClosed(), qt.IsTrue)
		}
		synctest.Wait()
		s.mu.Lock()
		qt.Check(t, s.sessions, qt.HasLen, 0)
		s.mu.Unlock()
		_, err = client.connection(t.Context(), closeAddr)
		qt.Check(t, err, qt.ErrorIs, errClientClosed)
	})
}

// TestClientClosesRetiredConnections guards against a connection that was retired with an open
// stream and outlives the client.
func TestClientClosesRetiredConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := memnet.New()
		ln, err := network.Listen(closeAddr)
		qt.Assert(t, err, qt.IsNil)
		s := closeServer(t, ln)
		go func() { _ = s.Serve(t.Context()) }()
		client := NewClient(network.DialFrom("10.0.0.2"), []byte(closeKey), "client", nil, nil)
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
		time.Sleep(2 * retiredPollInterval)
		qt.Check(t, mux.IsClosed(), qt.IsTrue)
		qt.Check(t, next.IsClosed(), qt.IsTrue)
	})
}
