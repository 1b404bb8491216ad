// Package routing decides which target gets one call of a stage: filter, then
// score, then pick. The decisions are pure; package scheduler holds the state
// that they read. Source: docs/design/004-routing.md.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Target is what is known of a target host. It is immutable.
type Target struct {
	// ID is the host's ID in the host list; Addr is IP:port.
	ID, Addr   string
	DataCentre string
	// Models and Adapters are loaded; empty lists mean that the target serves
	// calls of any model.
	Models, Adapters []string
	// Slots is how many calls the target works on at once.
	Slots int
	// Hash identifies the target in rendezvous hashing.
	Hash uint64
}

// Load is the live state of a target as one node sees it.
type Load struct {
	// Sent is the number of this node's calls in flight there.
	Sent int
	// Reported is the number of calls, waiting ones included, of the last load
	// report, and SentAtReport the value of Sent when the report was taken.
	Reported, SentAtReport int
	// Limit is how many calls this node may have in flight there.
	Limit int
	// Service is the recent time of one call.
	Service time.Duration
	// Leaving targets get no new work.
	Leaving bool
	// Down targets are set aside after failures; see Breaker.
	Down bool
}

// InFlight estimates all calls at the target: the last report, corrected by
// what this node sent and got back since. It is never below Sent.
func (l *Load) InFlight() int {
	return max(l.Sent, l.Reported+l.Sent-l.SentAtReport)
}

// Candidate is a target with its load.
type Candidate struct {
	Target
	Load
}

// Query describes one call.
type Query struct {
	Model, Adapter string
	// DataCentre is where the calling node stands.
	DataCentre string
	// Prefix is the hash of the prompt's prefix; 0 for no affinity.
	Prefix uint64
	// Reach multiplies the limit of a target for this call. A higher class
	// reaches further, so that it never waits for what lower classes of the same
	// node hold. 0 counts as 1.
	Reach float64
	// Exclude lists target IDs that failed this request already.
	Exclude []string
	// RemoteCost is what a call to another data centre costs more.
	RemoteCost time.Duration
	// PrefixGain is the time saved where the prefix is cached.
	PrefixGain time.Duration
}

// Reason is why a candidate was filtered out.
type Reason uint8

// The reasons of Filter, from the most lasting to the most passing.
const (
	Eligible Reason = iota
	WrongModel
	IsLeaving
	Excluded
	IsDown
	AtLimit
)

// Filter reports whether c may serve q now, and if not why.
func Filter(q *Query, c *Candidate) Reason {
	switch {
	case !serves(c.Models, q.Model) || !serves(c.Adapters, q.Adapter):
		return WrongModel
	case c.Leaving:
		return IsLeaving
	case slices.Contains(q.Exclude, c.ID):
		return Excluded
	case c.Down:
		return IsDown
	case full(q, c):
		return AtLimit
	}
	return Eligible
}

// full reports whether the node has as many calls at c as q's class may add to.
func full(q *Query, c *Candidate) bool {
	reach := q.Reach
	if reach == 0 {
		reach = 1
	}
	if float64(c.Sent) < reach*float64(c.Limit) {
		return false
	}
	return float64(c.InFlight()) >= borrowBelow*float64(c.Slots)
}

// borrowBelow is the share of a target's slots up to which a node may go past
// its own limit, using what other nodes leave idle. It rests on load reports,
// so it stays well below 1.
const borrowBelow = 0.6

func serves(loaded []string, want string) bool {
	return want == "" || len(loaded) == 0 || slices.Contains(loaded, want)
}

// Score estimates the time until c would finish q; lower is better. The call
// waits while all slots are taken, then runs for Service.
func Score(q *Query, c *Candidate) time.Duration {
	slots := max(c.Slots, 1)
	inFlight := c.InFlight()
	s := c.Service
	if over := inFlight + 1 - slots; over > 0 {
		s += c.Service * time.Duration(over) / time.Duration(slots)
	}
	// A target that is nearly full is slower than an idle one.
	s += c.Service * time.Duration(inFlight) / time.Duration(4*slots)
	if q.DataCentre != "" && c.DataCentre != q.DataCentre {
		s += q.RemoteCost
	}
	return s
}

// affinityBound is how far above the mean load the preferred target of a
// prefix may be before the affinity is dropped (bounded-load rendezvous
// hashing).
const affinityBound = 1.25

// Pick returns the index of the best candidate, or -1 when none is eligible.
// Equal scores are broken at random, so that nodes do not all choose alike.
// It does not allocate.
func Pick(q *Query, cands []Candidate, rng *rand.Rand) int {
	preferred := -1
	if q.Prefix != 0 {
		preferred = affine(q, cands)
	}
	best, ties := -1, 0
	var bestScore time.Duration
	for i := range cands {
		if Filter(q, &cands[i]) != Eligible {
			continue
		}
		s := Score(q, &cands[i])
		if i == preferred {
			s -= q.PrefixGain
		}
		switch {
		case best < 0 || s < bestScore:
			best, bestScore, ties = i, s, 1
		case s == bestScore:
			ties++
			if rng.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// affine returns the index of the target that the prefix hashes to among the
// candidates that hold the model, or -1 when its load is above the bound. It
// ignores passing states, so that a full target does not move its prefixes.
func affine(q *Query, cands []Candidate) int {
	best, n, total := -1, 0, 0
	var bestHash uint64
	for i := range cands {
		c := &cands[i]
		if c.Leaving || c.Down || !serves(c.Models, q.Model) || !serves(c.Adapters, q.Adapter) {
			continue
		}
		n++
		total += c.InFlight()
		if h := Mix(q.Prefix, c.Hash); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	if best < 0 {
		return -1
	}
	bound := affinityBound*float64(total)/float64(n) + 1
	if float64(cands[best].InFlight()) > bound {
		return -1
	}
	return best
}

// Mix combines two hashes (the finalizer of SplitMix64).
func Mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
