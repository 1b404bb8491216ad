package httpconn

import (
	"hash/maphash"
	"slices"
)

// maxCarried is how many requests a connection carries at most; it bounds what is remembered of them.
const maxCarried = 256

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

// carried records the requests that a connection has carried.
//
// A target may send an answer a second time, late, where the next one is expected. An answer is told from others by the
// ID of its request, so a connection carries each ID once: a request that is sent again uses another connection.
type carried struct {
	requests int
	// ids holds the hashes of their IDs. Equal hashes of two IDs only cost a new connection.
	ids []uint64
}

// has reports whether a request with an ID was carried; never for "".
func (c *carried) has(id string) bool {
	return id != "" && slices.Contains(c.ids, maphash.String(idSeed, id))
}

// full reports whether no further request may be carried.
func (c *carried) full() bool { return c.requests >= maxCarried }

// add records a request.
func (c *carried) add(id string) {
	c.requests++
	if id != "" {
		c.ids = append(c.ids, maphash.String(idSeed, id))
	}
}
