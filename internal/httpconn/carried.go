package httpconn

import (
	"hash/maphash"
	"slices"
)

// idSeed is the seed of the hashes of request IDs.
var idSeed = maphash.MakeSeed()

// ConnUse describes what the connection of a request had carried before it.
type ConnUse struct {
	// Requests is the number of earlier requests.
	Requests int
	// SameID reports that one of them had the ID of this request.
	SameID bool
}

// carried records the requests that a connection has carried.
type carried struct {
	requests int
	// ids holds the hashes of their IDs.
	ids []uint64
}

// use returns what was carried before a request.
func (c *carried) use(id string) ConnUse {
	return ConnUse{Requests: c.requests, SameID: id != "" && slices.Contains(c.ids, maphash.String(idSeed, id))}
}

// add records a request.
func (c *carried) add(id string) {
	c.requests++
	if id != "" {
		c.ids = append(c.ids, maphash.String(idSeed, id))
	}
}
