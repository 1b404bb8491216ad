package httpanswer

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/sockets"
)

// ErrBrokenOff is the error of reads from a connection that was reset, where only a write had been told so.
var ErrBrokenOff = eris.New("httpanswer: the connection was reset while the request was sent")

// Definite is a connection whose reads return io.EOF only after an orderly close by the other end, whatever becomes of
// its writes.
type Definite interface {
	// EndIsDefinite has no effect.
	EndIsDefinite()
}

// Conn is a connection whose reads return io.EOF only after an orderly close by the other end, so that io.EOF can end an
// answer without length or chunks.
//
// The kernel reports a reset once. If a write is told, because the request is still being sent, the next
// read returns io.EOF as if the other end had closed in order.
type Conn struct {
	net.Conn
	// definite is set if Conn is Definite itself.
	definite bool
	// ended is the error of the read that ended the connection.
	ended error

	// writing is held during each write.
	writing sync.Mutex
	// failed is the error of the first write that failed.
	failed error
}

// NewConn returns a Conn over a connection.
func NewConn(conn net.Conn) *Conn {
	_, definite := sockets.As[Definite](conn)
	return &Conn{Conn: conn, definite: definite}
}

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Over returns a Dial whose connections are Conns over those of dial.
func Over(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// NetConn returns the connection that c wraps.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// EndIsDefinite implements Definite.
func (c *Conn) EndIsDefinite() {}

// Read implements net.Conn. It must not be called concurrently. After an error other than a timeout all reads return that error.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended != nil {
		return 0, c.ended
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF && !c.closedInOrder() {
		err = ErrBrokenOff
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.ended = err
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failed == nil {
		c.failed = err
	}
	return n, err
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// closedInOrder reports whether a read that returned io.EOF shows that the other end closed in order. It ends the write under
// way, as only the result of that tells whether it was told of a reset before.
func (c *Conn) closedInOrder() bool {
	if c.definite {
		return true
	}
	// It fails only where the connection is closed, so that no write waits.
	_ = c.SetWriteDeadline(past)
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failed == nil || isAfterClose(c.failed)
}

// isAfterClose reports whether a write failed because the other end had closed in order before, or because of the
// deadline that ended it. The kernel reports a reset that follows a close as EPIPE, any other one as ECONNRESET; the first error
// of the writes tells, unless a read was told before and has failed.
func isAfterClose(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.ErrClosedPipe)
}
