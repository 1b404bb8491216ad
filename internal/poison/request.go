package poison

import (
	"encoding/binary"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"topazmoor/internal/attribution"
)

// Part is the ID of a part of a prompt.
type Part = attribution.Part

// Request identifies a request to the Guard.
type Request struct {
	// Digest identifies the request itself.
	Digest Digest
	// Parts are the parts of its prompt that other requests may share.
	Parts []Part
}

// partMarker begins the digests of parts. The digest of a request begins with it with a probability of
// 2^-64.
var partMarker = [digestBytes - 8]byte{'p', 'a', 'r', 't'}

// PartDigest returns the digest under which the record of a part is kept.
func PartDigest(p Part) Digest {
	var d Digest
	copy(d[:], partMarker[:])
	binary.BigEndian.PutUint64(d[len(partMarker):], uint64(p))
	return d
}

// Part returns the part whose record the digest names; ok is false for the digest of a request.
func (d Digest) Part() (p Part, ok bool) {
	if [len(partMarker)]byte(d[:len(partMarker)]) != partMarker {
		return 0, false
	}
	return Part(binary.BigEndian.Uint64(d[len(partMarker):])), true
}

// partPrefix begins the names of parts that operators read and write; the ID in hexadecimal follows.
const partPrefix = "part:"

// Name returns the name by which operators know the record of the digest.
func (d Digest) Name() string {
	if p, ok := d.Part(); ok {
		return partPrefix + strconv.FormatUint(uint64(p), 16)
	}
	return d.String()
}

// ParseName parses the result of Digest.Name or Digest.String.
func ParseName(s string) (Digest, error) {
	id, ok := strings.CutPrefix(s, partPrefix)
	if !ok {
		return ParseDigest(s)
	}
	p, err := strconv.ParseUint(id, 16, 64)
	if err != nil {
		return Digest{}, eris.Errorf("poison: %q is no part of a prompt", s)
	}
	return PartDigest(Part(p)), nil
}

// Probe is a claimed right to send a quarantined request once. The zero Probe is none.
type Probe struct {
	// Name identifies the probe.
	Name string
	// Of are the records that the probe tests: that of the request, those of parts of its prompt, or
	// several.
	Of []Digest
}

// Claimed reports whether there is a probe.
func (p Probe) Claimed() bool { return p.Name != "" }

// NameFor returns the name of the probe if it tests the record of a digest, else "".
func (p Probe) NameFor(d Digest) string {
	for _, of := range p.Of {
		if of == d {
			return p.Name
		}
	}
	return ""
}

// Without returns the probe without the record of a digest.
func (p Probe) Without(d Digest) Probe {
	of := slices.DeleteFunc(slices.Clone(p.Of), func(o Digest) bool { return o == d })
	if len(of) == 0 {
		return Probe{}
	}
	return Probe{Name: p.Name, Of: of}
}
