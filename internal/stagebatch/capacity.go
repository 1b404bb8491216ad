package stagebatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/routing"
)

// Capacity is the capacity of a node for forming batches, as configured.
type Capacity struct {
	// LinkBytes is the capacity of the network link in bytes per second; 0 for unknown.
	LinkBytes float64 `json:"link_bytes,omitempty"`
	// Processors is the number of processors that the node may use; 0 for unknown.
	Processors float64 `json:"processors,omitempty"`
}

const (
	// orderBytes is the size on the former's network link of an order with six pieces: 500 bytes
	// between the nodes (BenchmarkOrderOnTheLink of package peer), 300 bytes a piece in the calls
	// to the targets, of which 255 name the piece's inputs, and about a third more for packet
	// headers.
	orderBytes = 3000
	// orderSeconds is the processor time of such an order with 670 targets
	// (BenchmarkStagePools of package experiment).
	orderSeconds = 0.0003
	// classRatio is the factor by which a node may have less capacity than the strongest node
	// and still belong to the strong capacity class; all other nodes form the weak class. Hashing
	// distributes the services over the nodes of a class. A node of the weak class forms no
	// batches while a node of the strong class is available: a node with a 10 Mbit/s link that
	// formed the batches of two pools at 730 orders a second delayed all of these orders by over
	// 250 ms, while nodes with 200 Mbit/s were available.
	classRatio = 4
)

// ordersPerSecond returns how many orders of six pieces a node of this capacity can handle per second;
// 0 for unknown.
func (m Capacity) ordersPerSecond() float64 {
	link, processors := m.LinkBytes/orderBytes, m.Processors/orderSeconds
	if link == 0 || processors == 0 {
		return max(link, processors)
	}
	return min(link, processors)
}

// rankNodes sorts nodes by their precedence for forming the batches of a service: first the nodes of
// the strong capacity class (see classRatio), then those of the weak class, and within each class by
// rendezvous hashing of the service and the node name. All nodes that have the same node list get the
// same result.
func rankNodes(service string, nodes []Node) {
	best := 0.0
	for _, n := range nodes {
		best = max(best, n.Capacity.ordersPerSecond())
	}
	key := xxhash.Sum64String(service)
	keys := make(map[string]rankKey, len(nodes))
	for _, n := range nodes {
		keys[n.Name] = rankKey{weak: n.Capacity.ordersPerSecond()*classRatio < best, hash: routing.Mix(key, xxhash.Sum64String(n.Name))}
	}
	slices.SortFunc(nodes, func(a, b Node) int { return keys[a.Name].compare(keys[b.Name]) })
}

// rankKey is the sort key of a node.
type rankKey struct {
	weak bool
	hash uint64
}

func (p rankKey) compare(o rankKey) int {
	switch {
	case p.weak && !o.weak:
		return 1
	case o.weak && !p.weak:
		return -1
	}
	return cmp.Compare(o.hash, p.hash)
}
