package entry

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
	c := newCallerServer(&lastAccept{Listener: ln, conn: accepted, end: cancel}, http.NotFoundHandler(), slog.New(slog.DiscardHandler))
	done := make(chan error, 1)
	go func() { done <- c.Serve(ctx) }()
	<-done
	qt.Check(t, accepted.SetDeadline(time.Time{}), qt.ErrorIs, io.ErrClosedPipe)
	caller.Close()
	c.close()
}
