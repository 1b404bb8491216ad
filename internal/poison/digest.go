// Package poison keeps requests that crash targets away from them. A request that crashes each
// target that starts to run it (a poison request, or query of death) does so again whenever it is
// sent: by a node that retries it, by a caller that repeats it, and at any other node. Therefore
// the nodes count the targets that ended under a request at all nodes together, not the attempts of
// one caller. A target ends under a request if its process stops accepting connections while the
// request runs there.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"
)

// Digest identifies a request by its client account and its message. Attempts of one caller with
// the same message have the same digest; requests of two client accounts never do.
type Digest [digestBytes]byte

// digestBytes makes collisions improbable: among 2^48 requests there is one with a probability of
// 2^-33.
const digestBytes = 16

// DigestOf returns the digest of a request of a client account. The body may be in several segments.
func DigestOf(account, method, host, uri string, body ...[]byte) Digest {
	h := sha256.New()
	for _, part := range []string{account, method, host, uri} {
		writeLength(h, len(part))
		_, _ = io.WriteString(h, part)
	}
	length := 0
	for _, segment := range body {
		length += len(segment)
	}
	writeLength(h, length)
	for _, segment := range body {
		_, _ = h.Write(segment)
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

// writeLength writes the length of what follows, which keeps adjacent parts apart.
func writeLength(w io.Writer, n int) {
	// A hash returns no errors.
	_, _ = w.Write(binary.BigEndian.AppendUint64(nil, uint64(n)))
}

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler. It is used in logs and rows.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// ParseDigest parses the result of Digest.String.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != digestBytes {
		return d, eris.Errorf("poison: %q is no digest of a request", s)
	}
	copy(d[:], b)
	return d, nil
}
