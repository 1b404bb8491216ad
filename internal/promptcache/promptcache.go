// Package promptcache remembers which engines lately read which prompts. An engine keeps
// what it read in its memory for a while, so that a request whose prompt begins alike is
// answered sooner there, and another engine can copy it from there in a fraction of the
// time of reading. The memory is what one node saw itself: it may be wrong either way,
// which costs time and nothing else.
package promptcache

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxHolders is how many engines are remembered for one prefix, the last reader first.
// The engines of a data centre share the work on popular prefixes; a copy needs one.
const maxHolders = 6

// Part is one part of a prompt; requests share parts.
type Part struct {
	ID     uint64
	Tokens int
}

// Prefix is the beginning of a prompt up to the end of one of its parts.
type Prefix struct {
	// Hash covers the model and all parts of the prefix.
	Hash uint64
	// Tokens is the length of the whole prefix.
	Tokens int
}

// Prefixes returns the prefixes of a prompt, the shortest first.
func Prefixes(model string, parts []Part) []Prefix {
	out := make([]Prefix, 0, len(parts))
	hash, tokens := xxhash.Sum64String(model), 0
	for _, p := range parts {
		b := binary.LittleEndian.AppendUint64(nil, hash)
		hash = xxhash.Sum64(binary.LittleEndian.AppendUint64(b, p.ID))
		tokens += p.Tokens
		out = append(out, Prefix{Hash: hash, Tokens: tokens})
	}
	return out
}

// Memory remembers the readers of prefixes. It is safe for concurrent use.
type Memory struct {
	readers *lru.Cache[uint64, []string]
}

// New returns a Memory of a number of prefixes; those that were not read for the longest
// time are forgotten first.
func New(prefixes int) *Memory {
	// The only error is a size that is not positive.
	c, err := lru.New[uint64, []string](max(prefixes, 1))
	if err != nil {
		panic(err)
	}
	return &Memory{readers: c}
}

// Read notes that an engine has read a prompt.
func (m *Memory) Read(engine string, prompt []Prefix) {
	for _, p := range prompt {
		old, _ := m.readers.Get(p.Hash)
		// Slices that were handed out are never changed.
		next := make([]string, 0, maxHolders)
		next = append(next, engine)
		for _, e := range old {
			if e != engine && len(next) < maxHolders {
				next = append(next, e)
			}
		}
		m.readers.Add(p.Hash, next)
	}
}

// Kept is how much of a prompt an engine presumably keeps.
type Kept struct {
	Engine string
	Tokens int
}

// Kept returns the engines that read a prefix of the prompt, those with the longest one
// first, and of these the last reader first.
func (m *Memory) Kept(prompt []Prefix) []Kept {
	var out []Kept
	for _, p := range slices.Backward(prompt) {
		engines, _ := m.readers.Get(p.Hash)
		for _, e := range engines {
			if !slices.ContainsFunc(out, func(k Kept) bool { return k.Engine == e }) {
				out = append(out, Kept{Engine: e, Tokens: p.Tokens})
			}
		}
	}
	return out
}
