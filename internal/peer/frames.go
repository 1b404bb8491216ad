package peer

import (
	"encoding/binary"
	"net"

	"github.com/rotisserie/eris"
)

// Layout of the header of a yamux frame: version, type, flags, stream and length. Offsets and
// length are in bytes. Only data frames have a body.
const (
	headerLen    = 12
	typeOffset   = 1
	lengthOffset = 8
	typeData     = 0
)

const (
	// minReadSpace is the minimum free space for one read, in bytes.
	minReadSpace = 4 << 10
	// maxIdleBuffer is the largest buffer that a connection keeps while no frame is in it, in bytes.
	maxIdleBuffer = 16 << 10
)

var errFrameTooLong = eris.New("frame from peer exceeds the stream window")

// frameConn is the connection below a yamux session. Its reads return bytes of complete frames
// only. A session that has read the header of a frame locks the stream and reads the body under that
// lock, where the deadlines of the stream have no effect. The body may never arrive if the peer is
// disconnected or paused.
type frameConn struct {
	net.Conn
	// maxBody is the maximum length of the body of a frame, in bytes.
	maxBody uint32
	// received holds the bytes that were read from Conn and not returned yet. The first whole bytes
	// of it belong to complete frames.
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

// receive reads more bytes from Conn and counts the frames that they complete.
func (c *frameConn) receive() error {
	c.reserve()
	n, err := c.Conn.Read(c.received[len(c.received):cap(c.received)])
	c.received = c.received[:len(c.received)+n]
	if n == 0 && err != nil {
		return err
	}
	return c.countWhole()
}

// reserve ensures free space in received for the rest of the incomplete frame, and at least
// minReadSpace bytes.
func (c *frameConn) reserve() {
	if len(c.received) == 0 && cap(c.received) > maxIdleBuffer {
		c.received = nil
	}
	need := minReadSpace
	if rest, ok := c.next(); ok {
		need = max(need, rest-len(c.received))
	}
	if cap(c.received)-len(c.received) >= need {
		return
	}
	c.received = append(make([]byte, 0, len(c.received)+need), c.received...)
}

// countWhole extends whole over all complete frames in received.
func (c *frameConn) countWhole() error {
	for {
		n, ok := c.next()
		if !ok {
			return nil
		}
		if n > headerLen+int(c.maxBody) {
			return errFrameTooLong
		}
		if len(c.received) < c.whole+n {
			return nil
		}
		c.whole += n
	}
}

// next returns the length of the frame after the first whole bytes, with its header. ok is false
// if the header is incomplete.
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
