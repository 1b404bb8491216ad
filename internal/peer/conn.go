// Package peer implements calls between nodes: protobuf messages over yamux
// streams. Both ends of a connection authenticate with a shared key. Source:
// docs/design/007-peers.md.
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
	// maxFrame is the maximum size of a message, in bytes.
	maxFrame = 64 << 20
	// maxHello is the maximum size of a handshake message, in bytes.
	maxHello = 1 << 10
	// nonceLen is the length of a handshake nonce, in bytes.
	nonceLen = 32
	// handshakeTimeout bounds the handshake; for a dialer, with the dialing.
	handshakeTimeout = 3 * time.Second
)

// writeFrame writes a message with a four-byte big-endian length before it. It returns the number
// of bytes written.
func writeFrame(w io.Writer, m proto.Message) (int, error) {
	frame, err := encodeFrame(m)
	if err != nil {
		return 0, err
	}
	return w.Write(frame)
}

// encodeFrame returns a message as writeFrame writes it.
func encodeFrame(m proto.Message) ([]byte, error) {
	b, err := proto.Marshal(m)
	if err != nil {
		return nil, eris.Wrap(err, "encode message")
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(b)), uint32(len(b)))
	return append(frame, b...), nil
}

// readFrame reads a message that writeFrame wrote, of at most limit bytes. It returns the number
// of bytes of a message that was read to its end, and 0 for others.
func readFrame(r io.Reader, m proto.Message, limit uint32) (int, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(header[:])
	if n > limit {
		return 0, eris.Errorf("message of %d bytes exceeds limit of %d", n, limit)
	}
	b := make([]byte, n)
	if _, err := io.ReadFull(r, b); err != nil {
		return 0, err
	}
	return len(header) + len(b), eris.Wrap(proto.Unmarshal(b, m), "decode message")
}

// The roles are part of the proofs, so that a proof reflected to its sender does
// not authenticate.
const (
	dialerRole   = "dialer"
	accepterRole = "accepter"
)

// computeProof returns the HMAC by which one end proves that it knows the key. It
// covers the role of that end and the names and nonces of both.
func computeProof(key []byte, role string, dialer, accepter *peerpb.Hello) []byte {
	m := hmac.New(sha256.New, key)
	for _, part := range []string{role, dialer.Node, string(dialer.Nonce), accepter.Node, string(accepter.Nonce)} {
		_ = binary.Write(m, binary.BigEndian, uint32(len(part)))
		m.Write([]byte(part))
	}
	return m.Sum(nil)
}

// handshake authenticates both ends and returns the node name of the other end.
func handshake(c net.Conn, key []byte, node string, dialing bool) (string, error) {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", eris.Wrap(err, "set deadline")
	}
	local := &peerpb.Hello{Node: node, Nonce: make([]byte, nonceLen)}
	// crypto/rand.Read never fails.
	_, _ = rand.Read(local.Nonce)
	remote := &peerpb.Hello{}
	if err := exchange(c, local, remote, dialing); err != nil {
		return "", err
	}
	dialer, accepter := local, remote
	localRole, remoteRole := dialerRole, accepterRole
	if !dialing {
		dialer, accepter = remote, local
		localRole, remoteRole = accepterRole, dialerRole
	}
	proof := &peerpb.Proof{}
	if err := exchange(c, &peerpb.Proof{Mac: computeProof(key, localRole, dialer, accepter)}, proof, dialing); err != nil {
		return "", err
	}
	if !hmac.Equal(proof.Mac, computeProof(key, remoteRole, dialer, accepter)) {
		return "", eris.New("peer authentication failed: key differs, compare peers.key_file of both nodes")
	}
	return remote.Node, eris.Wrap(c.SetDeadline(time.Time{}), "clear deadline")
}

// exchange sends one message and receives one; the dialer sends first.
func exchange(c net.Conn, send, recv proto.Message, first bool) error {
	if first {
		if _, err := writeFrame(c, send); err != nil {
			return eris.Wrap(err, "handshake")
		}
		_, err := readFrame(c, recv, maxHello)
		return eris.Wrap(err, "handshake")
	}
	if _, err := readFrame(c, recv, maxHello); err != nil {
		return eris.Wrap(err, "handshake")
	}
	_, err := writeFrame(c, send)
	return eris.Wrap(err, "handshake")
}
