package peer

import (
	"encoding/binary"
	"net"

	"github.com/rotisserie/eris"
)

// The header of a yamux frame: version, type, flags, stream and length. Only data frames have a body.
const (
	headerLen    = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

const (
	// readBuffer is the least space for one read, in bytes.
	readBuffer = 4 << 10
	// mostKept bounds the memory that an idle connection keeps for frames, in bytes.
	mostKept = 16 << 10
)

var errFrameTooLong = eris.New("frame of the peer is longer than its stream's window")

// frameConn is the connection below a session. Reads return bytes of whole frames only: a session
// locks a stream once it has the header of a frame and waits for the body under that lock, where no
// deadline of the stream is seen. The body of a peer that was cut off or stands still may never
// come.
type frameConn struct {
	net.Conn
	// longest bounds the body of a frame, in bytes.
	longest uint32
	// received holds what was read and not returned yet; whole is how much of it are whole frames.
	received []byte
	whole    int
}

// Read implements net.Conn.
func (c *frameConn) Read(p []byte) (int, error) {
	for c.whole == 0 {
		if err := c.receive(); err != nil {
			return 0, err
		}
	}
	n := copy(p, c.received[:c.whole])
	c.received = c.received[n:]
	c.whole -= n
	return n, nil
}

// receive waits for more bytes of the frame that is not whole yet.
func (c *frameConn) receive() error {
	c.makeRoom()
	n, err := c.Conn.Read(c.received[len(c.received):cap(c.received)])
	c.received = c.received[:len(c.received)+n]
	if n == 0 && err != nil {
		return err
	}
	return c.measure()
}

// makeRoom makes place for the rest of the frame.
func (c *frameConn) makeRoom() {
	if len(c.received) == 0 && cap(c.received) > mostKept {
		c.received = nil
	}
	need := readBuffer
	if rest, ok := c.next(); ok {
		need = max(need, rest-len(c.received))
	}
	if cap(c.received)-len(c.received) >= need {
		return
	}
	c.received = append(make([]byte, 0, len(c.received)+need), c.received...)
}

// measure counts the whole frames.
func (c *frameConn) measure() error {
	for {
		n, ok := c.next()
		if !ok {
			return nil
		}
		if n > headerLen+int(c.longest) {
			return errFrameTooLong
		}
		if len(c.received) < c.whole+n {
			return nil
		}
		c.whole += n
	}
}

// next returns the length of the frame after the whole ones; not ok where its header has not come.
func (c *frameConn) next() (length int, ok bool) {
	header := c.received[c.whole:]
	if len(header) < headerLen {
		return 0, false
	}
	if header[typeOffset] != typeData {
		return headerLen, true
	}
	return headerLen + int(binary.BigEndian.Uint32(header[lengthOffset:])), true
}
