package routing

import (
	"math"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/store"
)

const (
	// subsetSize is how many targets of a pool a node talks to when the pool is
	// large.
	subsetSize = 20
	// subsetGroup is the least number of targets of each set of models.
	subsetGroup = 6
)

// Subset returns the hosts that a node talks to. Small pools are kept whole; of
// a large one each node takes its own share by rendezvous hashing, so that a
// host that comes or goes changes few choices and every host has about as many
// nodes. Hosts with the same models are one group, of which at least a few are
// kept, so that no model is out of reach.
func Subset(node string, hosts []store.Host) []store.Host {
	pools := make(map[string]int)
	groups := make(map[string][]store.Host)
	for _, h := range hosts {
		pools[h.Pool]++
		key := h.Pool + "\x00" + strings.Join(h.Models, "\x00")
		groups[key] = append(groups[key], h)
	}
	seed := xxhash.Sum64String(node)
	out := make([]store.Host, 0, len(hosts))
	for _, group := range groups {
		out = append(out, choose(seed, group, groupShare(len(group), pools[group[0].Pool]))...)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// groupShare is how many hosts of a group are kept.
func groupShare(group, pool int) int {
	if pool <= subsetSize {
		return group
	}
	share := int(math.Ceil(float64(subsetSize) * float64(group) / float64(pool)))
	return min(group, max(share, subsetGroup))
}

// choose returns the n hosts with the highest hash for the seed.
func choose(seed uint64, hosts []store.Host, n int) []store.Host {
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
