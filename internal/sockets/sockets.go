// Package sockets opens TCP connections that end by themselves when the other end can no longer be reached: a connection
// may go silent for good without a reset.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// probeInterval and probeCount are the keep-alive probes that find a target or a node that has
	// lost power, or a connection that has lost its path.
	probeInterval = time.Second
	probeCount    = 3
	// UnackedTimeout is how long bytes, or keep-alive probes, may stay without an acknowledgement; it
	// also bounds the probes, whatever probeCount says. It is longer than the second or so for which
	// a sound target may fall silent, and short, because a stream goes on elsewhere while its target, which does
	// not see that the connection ends, works on. The kernel checks it at each probe.
	UnackedTimeout = 2 * time.Second
)

// NewDialer returns a dialer of connections to targets and to other nodes. timeout bounds the set-up of a connection. check
// is called with the address of each before it is opened, and fails it with its error; nil for none.
func NewDialer(timeout time.Duration, check func(addr string) error) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, addr string, c syscall.RawConn) error {
			if check != nil {
				if err := check(addr); err != nil {
					return err
				}
			}
			return boundUnacked(c)
		},
	}
}

// boundUnacked sets UnackedTimeout on a socket.
func boundUnacked(c syscall.RawConn) error {
	var err error
	controlErr := c.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	return errors.Join(controlErr, err)
}
