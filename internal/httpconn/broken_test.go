package httpconn

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/cutconn"
)

// upload is a request whose body is written while its answer is read, and fits no socket's buffers.
func upload(id string) *Request {
	r := get(id)
	r.Method, r.Body = http.MethodPost, [][]byte{bytes.Repeat([]byte("u"), 32<<20)}
	return r
}

// resetTarget answers each request once it has begun, and ends with end, which closes the connection. It reads no more of the request.
func resetTarget(t *testing.T, answer string, end func(*net.TCPConn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Read(make([]byte, 1))
			_, _ = io.WriteString(conn, answer)
			end(conn.(*net.TCPConn))
		}
	}()
	return ln.Addr().String()
}

// reset closes a connection with a reset.
func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	conn.Close()
}

// writerFirst is a Dial whose connections tell of their end to the write under way before any read.
func writerFirst(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return cutconn.WriterFirst(conn), nil
}

// TestResetThatAWriteWasToldOfIsNoEnd guards against an answer without length or chunks that is cut by a reset during a long upload, where
// the write takes the kernel's only report of the reset, and the next read returns io.EOF.
func TestResetThatAWriteWasToldOfIsNoEnd(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + idHeader + ": 1\r\n\r\n"
	for name, answer := range map[string]string{"after its head": head, "within its body": head + "part of the body"} {
		t.Run(name, func(t *testing.T) {
			addr := resetTarget(t, answer, reset)
			p := New(Config{Dial: writerFirst, AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
			a, err := p.Do(t.Context(), addr, upload("1"))
			var got []byte
			if err == nil {
				got, err = io.ReadAll(a.Body)
				a.Body.Close()
			}
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%q was taken for the whole answer", got))
		})
	}
}

// TestAnswerDuringAnUploadIsWholeAfterAnOrderlyClose is about a target that answers before it has read a request, and ends its answer by
// closing in order, whether or not it resets the connection later.
func TestAnswerDuringAnUploadIsWholeAfterAnOrderlyClose(t *testing.T) {
	answer := "HTTP/1.1 413 Content Too Large\r\n" + idHeader + ": 1\r\n\r\nthe whole body"
	read := make(chan struct{})
	for name, tc := range map[string]struct {
		dial Dial
		end  func(*net.TCPConn)
	}{
		"no reset": {(&net.Dialer{}).DialContext, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			<-read
			conn.Close()
		}},
		"and a reset later": {writerFirst, func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			p := New(Config{Dial: tc.dial, AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
			a, err := p.Do(t.Context(), resetTarget(t, answer, tc.end), upload("1"))
			qt.Check(t, bodyOf(t, a, err), qt.Equals, "the whole body")
			a.Body.Close()
		})
	}
	close(read)
}

// TestWholeAnswerBeforeAResetIsDelivered is about a target that answers a long upload at once, with a length, and resets the connection.
func TestWholeAnswerBeforeAResetIsDelivered(t *testing.T) {
	answer := "HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": 1\r\nContent-Length: 14\r\n\r\nthe whole body"
	p := New(Config{Dial: writerFirst, AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
	a, err := p.Do(t.Context(), resetTarget(t, answer, reset), upload("1"))
	qt.Check(t, bodyOf(t, a, err), qt.Equals, "the whole body")
}

// failedWrite is a connection whose writes fail as after a reset. What it has received before is read only once all that follows from
// the failure has happened.
type failedWrite struct {
	net.Conn
	received *strings.Reader
	failed   chan struct{}
	fail     sync.Once
	closed   atomic.Bool
}

func (c *failedWrite) Write([]byte) (int, error) {
	c.fail.Do(func() { close(c.failed) })
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: syscall.ECONNRESET}
}

func (c *failedWrite) Read(b []byte) (int, error) {
	<-c.failed
	synctest.Wait()
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.received.Read(b)
}

func (c *failedWrite) SetWriteDeadline(time.Time) error { return nil }

func (c *failedWrite) Close() error {
	c.closed.Store(true)
	return nil
}

// TestWholeAnswerIsReadAfterAWriteFailed is the same where the write fails before anything was read.
func TestWholeAnswerIsReadAfterAWriteFailed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conn := &failedWrite{failed: make(chan struct{}), received: strings.NewReader("HTTP/1.1 503 Service Unavailable\r\n" + idHeader + ": 1\r\nContent-Length: 14\r\n\r\nthe whole body")}
		p := New(Config{AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4, Dial: func(context.Context, string, string) (net.Conn, error) { return conn, nil }})
		a, err := p.Do(t.Context(), "target", upload("1"))
		qt.Assert(t, bodyOf(t, a, err), qt.Equals, "the whole body")
		qt.Check(t, conn.closed.Load(), qt.IsTrue)
	})
}
