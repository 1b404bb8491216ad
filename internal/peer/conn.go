// Package peer carries calls between the nodes: protobuf messages over yamux
// streams, on connections whose both ends proved that they know the shared
// key. Source: docs/design/007-peers.md.
package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
)

const (
	// maxFrame bounds one message, in bytes.
	maxFrame = 64 << 20
	// maxHello bounds a handshake message, in bytes.
	maxHello = 1 << 10
	nonceLen = 32
	// handshakeTimeout bounds the handshake.
	handshakeTimeout = 3 * time.Second
)

func writeFrame(w io.Writer, m proto.Message) error {
	frame, err := encodeFrame(m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

func encodeFrame(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	return append(frame, b...), nil
}

func readFrame(r io.Reader, m proto.Message, limit uint32) error {
	var head [4]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > limit {
		return eris.Errorf("message of %d bytes is over %d", n, limit)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return err
	}
	return eris.Wrap(proto.Unmarshal(b, m), "decode message")
}

// Roles keep a proof from being reflected to its sender.
const (
	dialerRole   = "dialer"
	accepterRole = "accepter"
)

func prove(key []byte, role string, dialer, accepter *peerpb.Hello) []byte {
	m := hmac.New(sha256.New, key)
	for _, part := range []string{role, dialer.Node, string(dialer.Nonce), accepter.Node, string(accepter.Nonce)} {
		_ = binary.Write(m, binary.BigEndian, uint32(len(part)))
		m.Write([]byte(part))
	}
	return m.Sum(nil)
}

// handshake authenticates both ends and returns the name of the other one.
func handshake(c net.Conn, key []byte, node string, dialing bool) (string, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", eris.Wrap(err, "set deadline")
	}
	mine := &peerpb.Hello{Node: node, Nonce: make([]byte, nonceLen)}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(mine.Nonce)
	theirs := &peerpb.Hello{}
	if err := exchange(c, mine, theirs, dialing); err != nil {
		return "", err
	}
	dialer, accepter := mine, theirs
	myRole, theirRole := dialerRole, accepterRole
	if !dialing {
		dialer, accepter = theirs, mine
		myRole, theirRole = accepterRole, dialerRole
	}
	proof := &peerpb.Proof{}
	if err := exchange(c, &peerpb.Proof{Mac: prove(key, myRole, dialer, accepter)}, proof, dialing); err != nil {
		return "", err
	}
	if !hmac.Equal(proof.Mac, prove(key, theirRole, dialer, accepter)) {
		return "", eris.New("the other end does not know the key: compare peers.key_file of both nodes")
	}
	return theirs.Node, eris.Wrap(c.SetDeadline(time.Time{}), "clear deadline")
}

// exchange sends one message and receives one; the dialer sends first.
func exchange(c net.Conn, send, recv proto.Message, first bool) error {
	if first {
		if err := writeFrame(c, send); err != nil {
			return eris.Wrap(err, "handshake")
		}
		return eris.Wrap(readFrame(c, recv, maxHello), "handshake")
	}
	if err := readFrame(c, recv, maxHello); err != nil {
		return eris.Wrap(err, "handshake")
	}
	return eris.Wrap(writeFrame(c, send), "handshake")
}
