// Package poison keeps requests that crash targets away from them. A request that crashes
// each target that begins to run it (a poison request, or query of death) does so again
// whenever it is sent: by the node that repeats it, by the caller that comes back, at any
// other node. So what counts are the ends under a request at all nodes together, not the
// attempts of one caller.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"
)

// Digest names a request by what its targets are given: who asks, and with which message.
// Two attempts of a caller have the same one, the requests of two client accounts never do.
type Digest [digestBytes]byte

// digestBytes is enough that no two requests ever meet by chance: 2^48 requests have a
// chance of 2^-33 of one collision.
const digestBytes = 16

// DigestOf returns the digest of a request of a client account.
func DigestOf(account, method, host, uri string, body []byte) Digest {
	h := sha256.New()
	var size [8]byte
	for _, part := range [][]byte{[]byte(account), []byte(method), []byte(host), []byte(uri), body} {
		// Lengths keep the parts apart.
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(part)
	}
	return Digest(h.Sum(nil)[:digestBytes])
}

// String implements fmt.Stringer.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler, for logs and rows.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// ParseDigest reads what String wrote.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(s)
	if err != nil || len(b) != digestBytes {
		return d, eris.Errorf("poison: %q is no digest of a request", s)
	}
	copy(d[:], b)
	return d, nil
}
