package targetlink

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Node is another node through which targets may be reached.
type Node struct {
	// Name is unique. Addr is the address at which the node accepts calls.
	Name, Addr string
	DataCentre string
}

// avoidFor is how long a node is avoided that did not reach a target: it may have lost its path too.
const avoidFor = 3 * time.Second

// nodeChoice chooses the nodes to connect through. The zero nodeChoice avoids none.
type nodeChoice struct {
	mu sync.Mutex
	// avoid has, by name, until when a node is avoided.
	avoid map[string]time.Time
}

// failed records that a target was not reached through a node.
func (c *nodeChoice) failed(n Node, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.avoid == nil {
		c.avoid = make(map[string]time.Time)
	}
	maps.DeleteFunc(c.avoid, func(_ string, until time.Time) bool { return now.After(until) })
	c.avoid[n.Name] = now.Add(avoidFor)
}

// nearNodes is how many of the chosen nodes are chosen by their distance. The others are not in the target's
// data centre: all nodes there may have lost their paths together.
const nearNodes = 2

// choose returns at most n of the nodes that may carry what is sent to a target, the first choice first: nodes
// that are not avoided, then those in the target's data centre, so that bytes cross between data centres only
// once, then those in this node's; from nearNodes on those in other data centres first. Among equal ones the
// choice is random, which spreads the load.
func (c *nodeChoice) choose(o Others, addr string, n int, now time.Time) []Node {
	nodes := o.carriers(addr)
	rand.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
	near := o.DataCentreOf(addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.order(nodes, now, func(n Node) int { return distance(n, near, o.DataCentre) })
	if len(nodes) > nearNodes {
		c.order(nodes[nearNodes:], now, func(n Node) int { return -distance(n, near, near) })
	}
	return nodes[:min(n, len(nodes))]
}

// carriers returns the nodes that may carry what is sent to a target.
func (o Others) carriers(addr string) []Node {
	byDataCentre := make(map[string]bool)
	return slices.DeleteFunc(slices.Clone(o.Nodes()), func(n Node) bool {
		may, known := byDataCentre[n.DataCentre]
		if !known {
			may = o.mayCarry(n, addr)
			byDataCentre[n.DataCentre] = may
		}
		return !may
	})
}

// order sorts nodes that are not avoided before the others, then by cost. The lock is held.
func (c *nodeChoice) order(nodes []Node, now time.Time, cost func(Node) int) {
	avoided := func(n Node) int {
		if now.Before(c.avoid[n.Name]) {
			return 1
		}
		return 0
	}
	slices.SortStableFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(avoided(a), avoided(b)), cmp.Compare(cost(a), cost(b)))
	})
}

// distance orders nodes by where they are; the lowest is nearest.
func distance(n Node, near, own string) int {
	switch n.DataCentre {
	case near:
		return 0
	case own:
		return 1
	}
	return 2
}
