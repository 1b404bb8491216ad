package peer

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/standin/cutconn"
	"topazmoor/internal/verdict"
)

// dialTargets connects over loopback, for any address but that of no target.
type dialTargets struct{}

const noTarget = "127.0.0.1:1"

func (dialTargets) DialFor(ctx context.Context, addr string) (net.Conn, error) {
	if addr == noTarget {
		return nil, verdict.New(verdict.NotRun, verdict.NoTarget, "refused")
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
}

// writerFirstTargets does the same, with connections that tell of their end to the write under way first.
type writerFirstTargets struct{ dialTargets }

func (d writerFirstTargets) DialFor(ctx context.Context, addr string) (net.Conn, error) {
	conn, err := d.dialTargets.DialFor(ctx, addr)
	if err != nil {
		return nil, err
	}
	return cutconn.WriterFirst(conn), nil
}

// tunnelTo serves a target with serve, and returns a connection to it through another node.
func tunnelTo(t *testing.T, serve func(conn *net.TCPConn)) net.Conn {
	t.Helper()
	return tunnelOver(t, dialTargets{}, serve)
}

// tunnelOver does the same through a node that connects with targets.
func tunnelOver(t *testing.T, targets Targets, serve func(conn *net.TCPConn)) net.Conn {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { target.Close() })
	go func() {
		conn, err := target.Accept()
		if err == nil {
			serve(conn.(*net.TCPConn))
		}
	}()
	conn, err := tunnelClient(t, targets).Connect(t.Context(), closeAddr, target.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { conn.Close() })
	return conn
}

// tunnelClient returns a client of a node that connects to targets.
func tunnelClient(t *testing.T, targets Targets) *Client {
	network, ln, _, _ := listen(t, plainListener)
	ln.Close()
	ln, err := network.Listen(closeAddr)
	qt.Assert(t, err, qt.IsNil)
	server := NewServer(ln, []byte(closeKey), "server", Handler{Targets: targets}, slog.New(slog.DiscardHandler))
	go func() { _ = server.Serve(t.Context()) }()
	client := closeClient(network)
	t.Cleanup(client.Close)
	return client
}

func TestTunnelCarriesBytesBothWays(t *testing.T) {
	c := qt.New(t)
	sent := bytes.Repeat([]byte("0123456789abcdef"), 40<<10)
	conn := tunnelTo(t, func(target *net.TCPConn) {
		defer target.Close()
		_, _ = io.CopyN(target, target, int64(len(sent)))
	})
	go func() { _, _ = conn.Write(sent) }()
	received, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(bytes.Equal(received, sent), qt.IsTrue)
}

func TestTunnelTellsACloseFromAReset(t *testing.T) {
	c := qt.New(t)
	conn := tunnelTo(t, func(target *net.TCPConn) {
		_, _ = target.Write([]byte("part"))
		buf := make([]byte, 1)
		_, _ = target.Read(buf)
		_ = target.SetLinger(0)
		target.Close()
	})
	part := make([]byte, 4)
	_, err := io.ReadFull(conn, part)
	c.Assert(err, qt.IsNil)
	c.Assert(conn.(*tunnel).OpenWithoutData(), qt.IsTrue)
	_, err = conn.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(part)
	c.Assert(err, qt.Equals, errTunnelBroken)
	c.Assert(conn.(*tunnel).OpenWithoutData(), qt.IsFalse)
}

// TestTunnelTellsAResetDuringAWriteFromAClose guards against a reset of which only the write to the target is told, so that the next
// read from it returns io.EOF.
func TestTunnelTellsAResetDuringAWriteFromAClose(t *testing.T) {
	upload := make([]byte, 32<<20)
	for name, tc := range map[string]struct {
		end  func(*net.TCPConn)
		want error
	}{
		"reset": {func(target *net.TCPConn) { _ = target.SetLinger(0) }, errTunnelBroken},
		"close, then reset": {func(target *net.TCPConn) {
			_ = target.CloseWrite()
			_ = target.SetLinger(0)
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			conn := tunnelOver(t, writerFirstTargets{}, func(target *net.TCPConn) {
				_, _ = target.Read(make([]byte, 1))
				_, _ = target.Write([]byte("answer"))
				tc.end(target)
				target.Close()
			})
			go func() { _, _ = conn.Write(upload) }()
			received, err := io.ReadAll(conn)
			qt.Check(t, string(received), qt.Equals, "answer")
			qt.Check(t, err, qt.Equals, tc.want)
		})
	}
}

func TestTargetSeesThatATunnelIsClosed(t *testing.T) {
	closed := make(chan error, 1)
	conn := tunnelTo(t, func(target *net.TCPConn) {
		_, err := target.Read(make([]byte, 1))
		closed <- err
	})
	conn.Close()
	qt.Assert(t, <-closed, qt.Not(qt.IsNil))
	_, err := conn.Read(make([]byte, 1))
	qt.Assert(t, err, qt.Equals, net.ErrClosed)
}

func TestTunnelToATargetThatRefusesFails(t *testing.T) {
	_, err := tunnelClient(t, dialTargets{}).Connect(t.Context(), closeAddr, noTarget)
	qt.Assert(t, verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
}
