package httpconn

import (
	"syscall"
)

// quiet reports whether a kept connection is open and carries no bytes: bytes
// that came while no request was waiting belong to nobody, and a closed
// connection must not be handed a request that may not be repeated.
func quiet(c *conn) bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		// Connections of tests that have no descriptor.
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
		// Only "nothing to read" means open and quiet; end of file and bytes
		// return no error.
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
