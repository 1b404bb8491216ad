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
	// keys are those of the requests that have IDs. Equal keys of two IDs only cost a new connection.
	keys []requestKey
}

// requestKey identifies a request by its ID; 0 for none.
type requestKey uint64

func keyOf(id string) requestKey {
	if id == "" {
		return 0
	}
	return requestKey(maphash.String(idSeed, id))
}

// has reports whether a request was carried; never for one without an ID.
func (c *carried) has(k requestKey) bool { return k != 0 && slices.Contains(c.keys, k) }

// full reports whether no further request may be carried.
func (c *carried) full() bool { return c.requests >= maxCarried }

// add records a request.
func (c *carried) add(k requestKey) {
	c.requests++
	if k != 0 {
		c.keys = append(c.keys, k)
	}
}
