package sockets

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sys/unix"
)

func TestConnectionsEndWhereBytesAreNotAcknowledged(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	conn, err := NewDialer(Options{Timeout: time.Second}).DialContext(t.Context(), "tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	c.Assert(err, qt.IsNil)
	option := func(name int) (value int) {
		err := raw.Control(func(fd uintptr) {
			var err error
			value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, name)
			c.Assert(err, qt.IsNil)
		})
		c.Assert(err, qt.IsNil)
		return value
	}
	c.Assert(option(unix.TCP_USER_TIMEOUT), qt.Equals, int(UnackedTimeout.Milliseconds()))
	c.Assert(option(unix.TCP_KEEPINTVL), qt.Equals, int(probeInterval.Seconds()))
}
