// Package routing selects the target of one call of a stage: it filters the
// candidates, scores those that are left and picks the best. It keeps no state but
// that of a Breaker; package scheduler holds the load that the selection reads.
// Source: docs/design/004-routing.md.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"topazmoor/internal/region"
	"topazmoor/internal/rollout"
)

// Target describes a target host by the host list. It is immutable.
type Target struct {
	// ID is the host's ID in the host list; Addr is IP:port.
	ID, Addr   string
	DataCentre string
	// Region is the region of the data centre; "" if it is not known.
	Region string
	// Version is the version of the target's software; "" if it is not known.
	Version string
	// Models and Adapters are those that the target has loaded. An empty list
	// matches any model or adapter.
	Models, Adapters []string
	// Slots is the number of calls that the target runs at once.
	Slots int
	// Hash identifies the target in rendezvous hashing.
	Hash uint64
}

// Load is the live state of a target as one node observes it.
type Load struct {
	// Sent is the number of this node's calls in flight at the target.
	Sent int
	// Reported is the number of running and waiting calls in the target's last
	// load report, and SentAtReport the value of Sent when the report was taken.
	Reported, SentAtReport int
	// Limit is the number of calls that this node may have in flight at the target.
	Limit int
	// Service is the mean service time of the recent calls.
	Service time.Duration
	// Leaving is whether the target is being drained or removed; it gets no new calls.
	Leaving bool
	// Down is whether the target gets no calls for now; see Breaker.
	Down bool
}

// InFlight estimates the number of calls at the target: that of the last report,
// corrected by the calls that this node sent and finished since. It is never below
// Sent.
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
	// DataCentre is the data centre of the calling node, and Region its region.
	DataCentre, Region string
	// Regions are those in which the call may be served.
	Regions region.Set
	// Group is the group of targets that a roll-out of a version lets the call go to; nil for all.
	// With a MaxHash above 0 it has only the targets whose hash is at most that.
	Group   *rollout.TargetGroup
	MaxHash uint64
	// Prefix is the hash of the prompt's prefix; 0 for no affinity.
	Prefix uint64
	// LimitFactor multiplies the limit of a target for this call. A higher class has a
	// higher factor, so that it does not wait for slots that lower classes of the
	// same node use. 0 counts as 1.
	LimitFactor float64
	// Exclude lists the IDs of targets that this call is not sent to.
	Exclude []string
	// RemoteCost is the time that a call to another data centre takes longer.
	RemoteCost time.Duration
	// CrossingCost is the time that a call to another region costs in addition.
	CrossingCost time.Duration
	// PrefixGain is the time that a call saves at a target that has the prefix
	// cached.
	PrefixGain time.Duration
}

// Reason is why Filter rejected a candidate.
type Reason uint8

// The results of Filter. After Eligible the reasons are in the order in which they
// are checked, from the most permanent to the most transient.
const (
	Eligible Reason = iota
	WrongModel
	OutsideRegions
	OutsideGroup
	IsLeaving
	Excluded
	IsDown
	AtLimit
)

// Filter returns Eligible if c may serve q now, and otherwise the first reason
// against it.
func Filter(q *Query, c *Candidate) Reason {
	switch {
	case !serves(c.Models, q.Model) || !serves(c.Adapters, q.Adapter):
		return WrongModel
	case !q.Regions.Has(c.Region):
		return OutsideRegions
	case !inGroup(q, c):
		return OutsideGroup
	case c.Leaving:
		return IsLeaving
	case slices.Contains(q.Exclude, c.ID):
		return Excluded
	case c.Down:
		return IsDown
	case atLimit(q, c):
		return AtLimit
	}
	return Eligible
}

// inGroup reports whether c is in the group of targets of q.
func inGroup(q *Query, c *Candidate) bool {
	if q.Group == nil {
		return true
	}
	return q.Group.Admits(c.Version) && (q.MaxHash == 0 || c.Hash <= q.MaxHash)
}

// atLimit reports whether this node's calls at c have reached the limit for q, and c
// has no idle slots to borrow.
func atLimit(q *Query, c *Candidate) bool {
	reach := q.LimitFactor
	if reach == 0 {
		reach = 1
	}
	if float64(c.Sent) < reach*float64(c.Limit) {
		return false
	}
	return float64(c.InFlight()) >= borrowThreshold*float64(c.Slots)
}

// borrowThreshold is the share of a target's slots in use below which a node may
// exceed its own limit, to use slots that other nodes leave idle. The calls in flight
// are estimated from load reports, which may be outdated, so it is well below 1.
const borrowThreshold = 0.6

// serves reports whether want is none or among the loaded models or adapters. An
// empty list matches any.
func serves(loaded []string, want string) bool {
	return want == "" || len(loaded) == 0 || slices.Contains(loaded, want)
}

// Score estimates the time until c finishes q; lower is better. The call waits
// while all slots are in use, then runs for Service.
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
	if q.Region != "" && c.Region != "" && c.Region != q.Region {
		s += q.CrossingCost
	}
	return s
}

// affinityBound is the multiple of the mean number of calls in flight, plus one
// call, above which the preferred target of a prefix is not preferred any more
// (rendezvous hashing with bounded loads).
const affinityBound = 1.25

// Pick returns the index of the best candidate, or -1 when none is eligible.
// Ties are broken at random, so that nodes do not all pick the same target.
// It does not allocate.
func Pick(q *Query, candidates []Candidate, rng *rand.Rand) int {
	preferred := -1
	if q.Prefix != 0 {
		preferred = preferredTarget(q, candidates)
	}
	best, ties := -1, 0
	var bestScore time.Duration
	for i := range candidates {
		if Filter(q, &candidates[i]) != Eligible {
			continue
		}
		s := Score(q, &candidates[i])
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

// preferredTarget returns the index of the target with the highest hash for the
// prefix, among the candidates that serve the model and adapter, are in a region and
// the group of the call and are neither leaving nor down, or -1 when its load is above
// affinityBound. It ignores limits and q.Exclude, so that a prefix stays with a target
// that is at its limit.
func preferredTarget(q *Query, candidates []Candidate) int {
	best, n, total := -1, 0, 0
	var bestHash uint64
	for i := range candidates {
		c := &candidates[i]
		if c.Leaving || c.Down || !q.Regions.Has(c.Region) || !inGroup(q, c) || !serves(c.Models, q.Model) || !serves(c.Adapters, q.Adapter) {
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
	if float64(candidates[best].InFlight()) > bound {
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
