// Package sockets opens TCP connections that end by themselves when the other end can no longer be reached: a connection
// may go silent for good without a reset.
package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
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

// Options configure a dialer.
type Options struct {
	// Timeout bounds the set-up of a connection.
	Timeout time.Duration
	// Check is called with the address of each connection before it is opened, and fails it with its error; nil for
	// none.
	Check func(addr string) error
	// ReceiveBuffer is the size of the buffer that the kernel keeps for what a connection has received, in bytes; it
	// takes twice that. 0 lets the kernel choose, up to several megabytes.
	ReceiveBuffer int
}

// NewDialer returns a dialer of connections to targets and to other nodes.
func NewDialer(o Options) *net.Dialer {
	return &net.Dialer{
		Timeout:         o.Timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, addr string, c syscall.RawConn) error {
			if o.Check != nil {
				if err := o.Check(addr); err != nil {
					return err
				}
			}
			return configure(c, o.ReceiveBuffer)
		},
	}
}

// configure sets UnackedTimeout on a socket, and the size of its receive buffer unless that is 0.
func configure(c syscall.RawConn, receiveBuffer int) error {
	var timeoutErr, bufferErr error
	controlErr := c.Control(func(fd uintptr) {
		timeoutErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
		if receiveBuffer > 0 {
			bufferErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		}
	})
	return errors.Join(controlErr, timeoutErr, bufferErr)
}

// BoundBacklog bounds what the kernel keeps for the connections of a listener: the size of the buffer in each direction, in
// bytes, of which the kernel takes twice as much, and the number of connections that wait to be accepted. A listener
// without a socket has neither.
func BoundBacklog(ln net.Listener, buffer, backlog int) error {
	socket, ok := ln.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "socket of a listener")
	}
	controlErr := raw.Control(func(fd uintptr) {
		err = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, buffer),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, buffer),
			unix.Listen(int(fd), backlog),
		)
	})
	return errors.Join(controlErr, err)
}
