// Package promptcache records which engines recently read which prompts. An engine caches the
// prompts that it reads for a while, so that it answers a request with the same beginning of a
// prompt sooner, and another engine can copy the cached beginning in a fraction of the time that
// reading it takes. The record covers only the calls of one node. It may list a prefix that the
// engine no longer caches, or lack one that it does; either costs only time.
package promptcache

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"
)

// maxReaders is how many engines are recorded for one prefix, the most recent readers. The engines
// of a data centre share the calls with popular prefixes; a copy needs one engine.
const maxReaders = 6

// Part is one part of a prompt, identified by its ID. Several requests may share a part.
type Part struct {
	ID     uint64
	Tokens int
}

// Prefix is the beginning of a prompt up to the end of one of its parts.
type Prefix struct {
	// Hash covers the model and the IDs of all parts of the prefix, in order.
	Hash uint64
	// Tokens is the length of the whole prefix, in tokens.
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

// Index records the engines that read prefixes. It is safe for concurrent use.
type Index struct {
	readers *lru.Cache[uint64, []string]
}

// New returns an Index for a number of prefixes, at least one. If it is full, it evicts the prefix
// that RecordRead and Match have not looked up for the longest time.
func New(prefixes int) *Index {
	// The only error is a size that is not positive.
	c, err := lru.New[uint64, []string](max(prefixes, 1))
	if err != nil {
		panic(err)
	}
	return &Index{readers: c}
}

// RecordRead records that an engine has read a prompt, and so all its prefixes.
func (m *Index) RecordRead(engine string, prompt []Prefix) {
	for _, p := range prompt {
		old, _ := m.readers.Get(p.Hash)
		// Match may be reading the old slice, so it must not be changed.
		next := make([]string, 0, maxReaders)
		next = append(next, engine)
		for _, e := range old {
			if e != engine && len(next) < maxReaders {
				next = append(next, e)
			}
		}
		m.readers.Add(p.Hash, next)
	}
}

// Match is how many tokens of a prompt an engine presumably has in its cache.
type Match struct {
	Engine string
	Tokens int
}

// Match returns the engines that read a prefix of the prompt, each with its longest one: those with
// the longest prefix first, and for the same prefix the most recent reader first.
func (m *Index) Match(prompt []Prefix) []Match {
	var out []Match
	for _, p := range slices.Backward(prompt) {
		engines, _ := m.readers.Get(p.Hash)
		for _, e := range engines {
			if !slices.ContainsFunc(out, func(k Match) bool { return k.Engine == e }) {
				out = append(out, Match{Engine: e, Tokens: p.Tokens})
			}
		}
	}
	return out
}
