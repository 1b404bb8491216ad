package targets

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/routing"
)

// A cold target bears few calls a second, from all nodes together, and fails under more.
// Nodes don't agree on who calls when: each keeps to a part of what the target bears, and
// the parts of all nodes make up the whole.

// warmupCallers is how many nodes share the calls of one cold target. With one, it would be
// lost to all others while that node is. A share each for all of 86 nodes has the same worth,
// but their calls come together by chance: of 6.7 calls a second that a target bears, up to 11
// came within one second, and 6 from three nodes (TestColdEngineOfManyNodes).
const warmupCallers = 3

// nodes are the nodes that call targets, as this one knows them.
type nodes struct {
	// hashes are of the names of all nodes, this one included, own is that of this one.
	hashes []uint64
	own    uint64
	// edition changes with the nodes.
	edition int
}

// SetNodes takes in the names of the other nodes that call the same targets. Until then
// this node calls no cold target that is bounded.
func (t *Table) SetNodes(self string, others []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := nodes{own: xxhash.Sum64String(self), edition: t.nodes.edition + 1}
	n.hashes = append(n.hashes, n.own)
	for _, name := range others {
		n.hashes = append(n.hashes, xxhash.Sum64String(name))
	}
	t.nodes = n
}

// warmup is what a node knows of a cold target. The zero value is a warm one.
type warmup struct {
	// until is when the target is warm.
	until time.Time
	// next is when this node may call it again.
	next time.Time
	// share is this node's part of what the target bears, in calls a second, at an edition
	// of the nodes.
	share   float64
	edition int
}

// told takes in for how long the target is still cold.
func (w *warmup) told(left time.Duration, now time.Time) {
	w.until = time.Time{}
	if left > 0 {
		w.until = now.Add(left)
	}
}

// cold reports whether the target is cold.
func (w *warmup) cold(now time.Time) bool { return now.Before(w.until) }

// left returns how long the target is still cold.
func (w *warmup) left(now time.Time) time.Duration { return max(w.until.Sub(now), 0) }

// take notes a call.
func (w *warmup) take(now time.Time) {
	if !w.cold(now) || w.share <= 0 {
		return
	}
	w.next = now.Add(interval(w.share))
}

func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// WarmupInterval returns the least time between two calls at a cold target of a service, for a node
// that alone calls it; 0 for none.
func (t *Table) WarmupInterval(service string) time.Duration {
	if t.WarmupRate == nil {
		return 0
	}
	if rate := t.WarmupRate(service); rate > 0 {
		return interval(rate)
	}
	return 0
}

// accepting leaves out the targets that are cold and bear no call of this node now.
func (t *Table) accepting(cands []*state, now time.Time) []*state {
	if !slices.ContainsFunc(cands, func(s *state) bool { return s.warmup.cold(now) }) {
		return cands
	}
	out := make([]*state, 0, len(cands))
	for _, s := range cands {
		if t.accepts(s, now) {
			out = append(out, s)
		}
	}
	return out
}

// accepts reports whether a target may be called now: it is warm, or cold and this node has a
// call left there.
func (t *Table) accepts(s *state, now time.Time) bool {
	if !s.warmup.cold(now) || t.WarmupRate == nil {
		return true
	}
	rate := t.WarmupRate(s.Service)
	if rate <= 0 {
		return true
	}
	if s.warmup.edition != t.nodes.edition {
		s.warmup.edition = t.nodes.edition
		s.warmup.share = t.nodes.share(s.hash, rate)
	}
	return s.warmup.share > 0 && !now.Before(s.warmup.next)
}

// share returns how many calls a second this node may make at a cold target that bears
// rate: the whole is split among the first nodes in the order of rendezvous hashing.
func (n nodes) share(target uint64, rate float64) float64 {
	if len(n.hashes) == 0 {
		return 0
	}
	if len(n.hashes) <= warmupCallers {
		return rate / float64(len(n.hashes))
	}
	own, before := routing.Mix(target, n.own), 0
	for _, h := range n.hashes {
		if routing.Mix(target, h) > own {
			before++
		}
	}
	if before >= warmupCallers {
		return 0
	}
	return rate / warmupCallers
}
