package stagebatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/routing"
)

// Means is what a node has for the batches that it forms, as its settings say.
type Means struct {
	// LinkBytes is what its network link carries in a second; 0 for unknown.
	LinkBytes float64 `json:"link_bytes,omitempty"`
	// Processors is how many processors it may use; 0 for unknown.
	Processors float64 `json:"processors,omitempty"`
}

const (
	// orderBytes is what an order of six pieces takes on the link of the node that forms
	// its batches: 500 bytes between the nodes (BenchmarkOrderOnTheLink of package peer),
	// 300 bytes a piece in the calls of the targets, of which 255 name its inputs, and about a
	// third for the heads of packets.
	orderBytes = 3000
	// orderSeconds is the processor time of such an order with 670 targets
	// (BenchmarkStagePools of package experiment).
	orderSeconds = 0.0003
	// classRatio is by how much the nodes of one class differ. Nodes of the same class take
	// turns by hashing; a weaker class forms no batches while a stronger one is there: a node
	// of 10 Mbit/s that formed the batches of two pools under 730 orders a second held all of
	// them up for over 250 ms, while nodes of 200 Mbit/s stood beside it.
	classRatio = 4
)

// orders is how many orders a second a node of such means carries; 0 for unknown.
func (m Means) orders() float64 {
	link, processors := m.LinkBytes/orderBytes, m.Processors/orderSeconds
	if link == 0 || processors == 0 {
		return max(link, processors)
	}
	return min(link, processors)
}

// rank sorts nodes into the order in which they form the batches of a service: the
// strongest class first, and within it by rendezvous hashing. All nodes that know the same
// ones agree on it.
func rank(service string, nodes []Node) {
	best := 0.0
	for _, n := range nodes {
		best = max(best, n.Means.orders())
	}
	key := xxhash.Sum64String(service)
	places := make(map[string]rankKey, len(nodes))
	for _, n := range nodes {
		places[n.Name] = rankKey{weak: n.Means.orders()*classRatio < best, mix: routing.Mix(key, xxhash.Sum64String(n.Name))}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return places[a.Name].compare(places[b.Name]) })
}

// rankKey is what the rank of a node goes by.
type rankKey struct {
	weak bool
	mix  uint64
}

func (p rankKey) compare(o rankKey) int {
	switch {
	case p.weak && !o.weak:
		return 1
	case o.weak && !p.weak:
		return -1
	}
	return cmp.Compare(o.mix, p.mix)
}
