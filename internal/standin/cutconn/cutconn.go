// Package cutconn has connections whose other end sends the beginning of an answer and then closes or resets, for tests of
// who reads answers.
package cutconn

import (
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// End is how a connection ends after its last byte.
type End struct {
	Name string
	err  error
}

// Ends are an orderly close and a reset.
var Ends = []End{{"closed", io.EOF}, {"reset", &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}}}

// Orderly reports whether the other end closed the connection, so that a reader sees the end of the data.
func (e End) Orderly() bool { return e.err == io.EOF }

// Dial returns a dial function whose connections carry answer once something was sent, and then end.
func Dial(answer string, end End) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(context.Context, string, string) (net.Conn, error) {
		return &conn{rest: []byte(answer), end: end.err, asked: make(chan struct{}), closed: make(chan struct{})}, nil
	}
}

// conn is a connection that answers anything with rest.
type conn struct {
	end           error
	asked, closed chan struct{}
	ask, close    sync.Once

	mu   sync.Mutex
	rest []byte
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	select {
	case <-c.asked:
	case <-c.closed:
		return 0, net.ErrClosed
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rest) == 0 {
		return 0, c.end
	}
	n := copy(b, c.rest)
	c.rest = c.rest[n:]
	return n, nil
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.ask.Do(func() { close(c.asked) })
	return len(b), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// SetDeadline implements net.Conn. It has no effect.
func (c *conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn. It has no effect.
func (c *conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn. It has no effect.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }
