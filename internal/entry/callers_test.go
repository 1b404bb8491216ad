package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/intake"
	"topazmoor/internal/overload"
	"topazmoor/internal/peer"
	"topazmoor/internal/routes"
)

// lastAccept is a listener that returns one connection just after the node has ended.
type lastAccept struct {
	net.Listener
	conn net.Conn
	end  context.CancelFunc
}

// Accept implements net.Listener.
func (l *lastAccept) Accept() (net.Conn, error) {
	l.end()
	return l.conn, nil
}

// A connection that is accepted while the node ends must be closed; otherwise its caller waits
// for a response without end.
func TestConnectionThatIsAcceptedAtTheEndIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	caller, accepted := net.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	c := newCallerServer(&lastAccept{Listener: ln, conn: accepted, end: cancel}, http.NotFoundHandler(), &overload.Gate{Share: func() float64 { return 0 }}, intake.NewConns(intake.NewBudget(0)), slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- c.Serve(ctx) }()
	<-done
	qt.Check(t, accepted.SetDeadline(time.Time{}), qt.ErrorIs, io.ErrClosedPipe)
	caller.Close()
	c.close()
}

// shutdownAccept is a listener whose first connection arrives while the server is shut down, and
// which has no others.
type shutdownAccept struct {
	net.Listener
	conn     net.Conn
	shutdown func()
}

// Accept implements net.Listener.
func (l *shutdownAccept) Accept() (net.Conn, error) {
	if l.conn == nil {
		return nil, net.ErrClosed
	}
	conn := l.conn
	l.conn = nil
	l.shutdown()
	return conn, nil
}

// A connection that is accepted while the server is shut down must be closed at once, not when the
// process ends: no server reads its request.
func TestConnectionThatIsAcceptedDuringAShutdownIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	synctest.Test(t, func(t *testing.T) {
		caller, accepted := net.Pipe()
		l := &shutdownAccept{Listener: ln, conn: accepted}
		c := newCallerServer(l, http.NotFoundHandler(), &overload.Gate{Share: func() float64 { return 0 }}, intake.NewConns(intake.NewBudget(0)), slog.New(slog.DiscardHandler))
		l.shutdown = func() { qt.Check(t, c.shutdown(t.Context()), qt.IsNil) }
		synctest.Wait()
		done := make(chan error, 1)
		go func() { done <- c.Serve(t.Context()) }()
		synctest.Wait()
		qt.Check(t, accepted.SetDeadline(time.Time{}), qt.ErrorIs, io.ErrClosedPipe)
		qt.Check(t, done, qt.HasLen, 1)
		caller.Close()
	})
}

// A client that is set after the node has closed its peers must be closed, as nobody closes it
// later.
func TestClientThatIsSetAfterTheCloseIsClosed(t *testing.T) {
	dialed := false
	dial := func(context.Context, string, string) (net.Conn, error) {
		dialed = true
		return nil, net.ErrClosed
	}
	newClient := func() *peer.Client { return peer.NewClient(dial, nil, "a", nil, nil) }
	l := newDeferredClient()
	first, second := newClient(), newClient()
	l.set(first)
	l.set(second)
	_, err := first.Demand(t.Context(), "10.0.0.1:1")
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, dialed, qt.IsFalse)
	l.close()
	late := newClient()
	l.set(late)
	_, err = late.Demand(t.Context(), "10.0.0.1:1")
	qt.Check(t, err, qt.IsNotNil)
	qt.Check(t, dialed, qt.IsFalse)
}

// A configuration that changes the limit of heads is in force for open connections too.
func TestHeadLimitHoldsOnOpenConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	ok := http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})
	c := newCallerServer(ln, ok, &overload.Gate{Share: func() float64 { return 0 }}, intake.NewConns(intake.NewBudget(0)), slog.New(slog.DiscardHandler))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = c.Serve(ctx) }()
	defer c.close()
	dials := 0
	client := &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		dials++
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}}
	ask := func(headerBytes int) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ln.Addr().String()+"/x", http.NoBody)
		qt.Assert(t, err, qt.IsNil)
		r.Header.Set("X-Long", strings.Repeat("x", headerBytes))
		resp, err := client.Do(r)
		qt.Assert(t, err, qt.IsNil)
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	c.setLimits(routes.Limits{HeaderBytes: 8 << 10})
	qt.Check(t, ask(100), qt.Equals, http.StatusOK)
	c.setLimits(routes.Limits{HeaderBytes: 32 << 10})
	qt.Check(t, ask(20<<10), qt.Equals, http.StatusOK)
	qt.Check(t, dials, qt.Equals, 1)
	c.setLimits(routes.Limits{HeaderBytes: 8 << 10})
	qt.Check(t, ask(20<<10), qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
	qt.Check(t, ask(100), qt.Equals, http.StatusOK)
}
