package cutconn

import (
	"net"
	"sync"
)

// WriterFirst returns a connection over one of the kernel whose end is told to the write under way first: once some bytes were
// read, further reads wait until a write has failed, and that write returns only after such a read has returned. A reset that happens
// during a write is so seen by the write only.
//
// The other end must send its answer at once, and then read less than is written to it.
func WriterFirst(conn net.Conn) net.Conn {
	return &writerFirst{Conn: conn, failed: make(chan struct{}), read: make(chan struct{}), closed: make(chan struct{})}
}

// writerFirst implements WriterFirst.
type writerFirst struct {
	net.Conn
	// begun is set once bytes were read. Only Read uses it.
	begun bool
	// failed is closed once a write has failed, read once a read has returned after that, closed by Close.
	failed, read, closed          chan struct{}
	failOnce, readOnce, closeOnce sync.Once
}

// Read implements net.Conn.
func (c *writerFirst) Read(b []byte) (int, error) {
	if c.begun {
		select {
		case <-c.failed:
			defer c.readOnce.Do(func() { close(c.read) })
		case <-c.closed:
		}
	}
	n, err := c.Conn.Read(b)
	c.begun = c.begun || n > 0
	return n, err
}

// Write implements net.Conn.
func (c *writerFirst) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failOnce.Do(func() { close(c.failed) })
		select {
		case <-c.read:
		case <-c.closed:
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *writerFirst) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
