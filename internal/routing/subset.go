package routing

import (
	"math"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/store"
)

const (
	// subsetSize is the number of targets that a node uses of a larger pool, before
	// the minimum per group is applied.
	subsetSize = 20
	// minGroupSize is the minimum number of targets per group.
	minGroupSize = 6
)

// Subset returns the hosts that a node sends calls to, sorted by ID. Pools of at most
// subsetSize hosts are kept whole. Of a larger pool each node selects its own subset
// by rendezvous hashing, so that a host that is added or removed changes few
// selections and all hosts are used by about the same number of nodes. Hosts of a pool
// with the same models and the same groupOf, such as their region, form a group, of which at
// least minGroupSize hosts are kept, so that the node can call every model in every region. A
// nil groupOf stands for one that is the same for all hosts.
func Subset(node string, hosts []store.Host, groupOf func(store.Host) string) []store.Host {
	pools := make(map[string]int)
	groups := make(map[string][]store.Host)
	for _, h := range hosts {
		pools[h.Pool]++
		key := h.Pool + "\x00" + strings.Join(h.Models, "\x00")
		if groupOf != nil {
			key += "\x00" + groupOf(h)
		}
		groups[key] = append(groups[key], h)
	}
	seed := xxhash.Sum64String(node)
	out := make([]store.Host, 0, len(hosts))
	for _, group := range groups {
		out = append(out, selectByHash(seed, group, groupQuota(len(group), pools[group[0].Pool]))...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// groupQuota returns the number of hosts that are kept of a group of that size in a
// pool of that size.
func groupQuota(group, pool int) int {
	if pool <= subsetSize {
		return group
	}
	share := int(math.Ceil(float64(subsetSize) * float64(group) / float64(pool)))
	return min(group, max(share, minGroupSize))
}

// selectByHash returns the n hosts with the highest hash for the seed, all if there
// are no more than n.
func selectByHash(seed uint64, hosts []store.Host, n int) []store.Host {
	if n >= len(hosts) {
		return hosts
	}
	ranked := append([]store.Host(nil), hosts...)
	rank := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		rank[h.ID] = Mix(seed, xxhash.Sum64String(h.ID))
	}
	sort.Slice(ranked, func(i, j int) bool { return rank[ranked[i].ID] > rank[ranked[j].ID] })
	return ranked[:n]
}
