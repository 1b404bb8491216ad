package httpconn

import (
	"syscall"

	"topazmoor/internal/sockets"
)

// quietConn is a connection without a file descriptor that knows whether it is open without data.
type quietConn interface{ OpenWithoutData() bool }

// openWithoutData reports whether an idle connection is open and has no unread
// bytes. Bytes received while no request was pending belong to no request, and a
// closed connection must not be given a request that may not be repeated.
func openWithoutData(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	if q, ok := sockets.As[quietConn](c.Conn); ok {
		return q.OpenWithoutData()
	}
	sc, ok := sockets.As[syscall.Conn](c.Conn)
	if !ok {
		// A test's connection without a file descriptor.
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Only EAGAIN means that the connection is open without data: end of file
		// and unread bytes return no error.
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
