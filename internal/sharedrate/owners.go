package sharedrate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/routing"
)

// Node is a node that shares rates, with its address.
type Node struct{ Name, Addr string }

// settlingTime is how long nodes may disagree about the set of nodes, and how long permits of an
// ended granter may still be used. Its successor grants a smaller share meanwhile.
const settlingTime = 3 * time.Second

// GranterOrder determines which nodes grant a rate: the first ones in the order of rendezvous hashing. It
// must not be used concurrently.
type GranterOrder struct {
	self  string
	nodes []hashedNode
	// previous are the replaced sets of nodes of the last settlingTime, oldest first, with the time
	// of replacement.
	previous []previousNodes
	// startedAt is when this process started.
	startedAt time.Time
}

type hashedNode struct {
	Node
	hash uint64
}

type previousNodes struct {
	nodes []hashedNode
	until time.Time
}

// NewGranterOrder returns the GranterOrder of a process that starts at now and knows no other node yet.
func NewGranterOrder(self Node, now time.Time) *GranterOrder {
	o := &GranterOrder{self: self.Name, startedAt: now}
	o.nodes = []hashedNode{{self, xxhash.Sum64String(self.Name)}}
	return o
}

// Set replaces the set of other nodes.
func (o *GranterOrder) Set(others []Node, now time.Time) {
	nodes := []hashedNode{}
	for _, n := range o.nodes {
		if n.Name == o.self {
			nodes = append(nodes, n)
		}
	}
	for _, n := range others {
		nodes = append(nodes, hashedNode{n, xxhash.Sum64String(n.Name)})
	}
	if sameNames(o.nodes, nodes) {
		o.nodes = nodes
		return
	}
	o.dropExpired(now)
	o.previous = append(o.previous, previousNodes{o.nodes, now})
	o.nodes = nodes
}

func sameNames(a, b []hashedNode) bool {
	if len(a) != len(b) {
		return false
	}
	names := make(map[string]bool, len(a))
	for _, n := range a {
		names[n.Name] = true
	}
	for _, n := range b {
		if !names[n.Name] {
			return false
		}
	}
	return true
}

func (o *GranterOrder) dropExpired(now time.Time) {
	for len(o.previous) > 0 && now.Sub(o.previous[0].until) >= settlingTime {
		o.previous = o.previous[1:]
	}
}

// Count returns the number of nodes, this one included.
func (o *GranterOrder) Count() int { return len(o.nodes) }

// First returns the node to ask for permits of the rate: the first in the order that passOver does
// not exclude.
func (o *GranterOrder) First(key string, passOver func(name string) bool) (Node, bool) {
	n, ok := first(o.nodes, key, passOver)
	return n.Node, ok
}

func first(nodes []hashedNode, key string, passOver func(name string) bool) (best hashedNode, ok bool) {
	k, most := xxhash.Sum64String(key), uint64(0)
	for _, n := range nodes {
		if passOver != nil && passOver(n.Name) {
			continue
		}
		if m := routing.Mix(k, n.hash); !ok || m > most {
			best, most, ok = n, m, true
		}
	}
	return best, ok
}

// Place returns this node's place among the granters of the rate, starting at 0, and all nodes
// before it in the order. Nodes for which gone is true are among them, but do not count for the
// place.
func (o *GranterOrder) Place(key string, gone func(name string) bool) (place int, before []Node) {
	k := xxhash.Sum64String(key)
	own := uint64(0)
	for _, n := range o.nodes {
		if n.Name == o.self {
			own = routing.Mix(k, n.hash)
		}
	}
	for _, n := range o.nodes {
		if n.Name == o.self || routing.Mix(k, n.hash) <= own {
			continue
		}
		before = append(before, n.Node)
		if !gone(n.Name) {
			place++
		}
	}
	return place, before
}

// Settling reports whether another node, or an earlier process of this one, may have been the first
// granter of the rate less than settlingTime ago.
func (o *GranterOrder) Settling(key string, now time.Time) bool {
	if now.Sub(o.startedAt) < settlingTime {
		return true
	}
	o.dropExpired(now)
	for _, f := range o.previous {
		if n, _ := first(f.nodes, key, nil); n.Name != o.self {
			return true
		}
	}
	return false
}
