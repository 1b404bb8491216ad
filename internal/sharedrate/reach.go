package sharedrate

import (
	"slices"
	"time"
)

const (
	// checkInterval is how often a granter checks whether another node answers, each node in turn.
	// A node that grants in the place of others checks every fastCheckInterval, to know the
	// fraction that it reaches before it becomes the first granter.
	checkInterval     = 333 * time.Millisecond
	fastCheckInterval = 125 * time.Millisecond
	// maxChecks bounds the results that are kept, checkTTL their age: long enough that a node that
	// grants only now and then still has an estimate. An estimate needs at least minChecks results.
	maxChecks = 12
	checkTTL  = 12 * time.Second
	minChecks = 4
	// fullShareReach is the fraction of the nodes that a granter must reach to give out a whole
	// rate. Of two partitions at most one reaches it, and the other then reaches and grants less
	// than the rest: together they grant less than one and a half times the rate. With more than
	// maxChecks nodes the fraction is estimated from a sample and varies by chance, so that the
	// higher fullShareReachSampled applies.
	fullShareReach        = 0.6
	fullShareReachSampled = 0.7
)

// minFullReach returns the fraction of the nodes that a granter of a whole rate must reach.
func minFullReach(nodes int) float64 {
	if nodes > maxChecks {
		return fullShareReachSampled
	}
	return fullShareReach
}

// reachability estimates the fraction of the nodes that this node reaches. The zero value has no
// results.
type reachability struct {
	checks []reachCheck
	// nextIndex, modulo the number of nodes, is the index of the node that was checked last, at the
	// time at. nextNode increases it before it returns a node.
	nextIndex int
	at        time.Time
}

// reachCheck is one check of a node; done is set once its outcome is known.
type reachCheck struct {
	name     string
	at       time.Time
	answered bool
	done     bool
}

// toCheck returns the nodes to check now: none within the interval every, then one, or as many as an
// estimate lacks.
func (r *reachability) toCheck(nodes []hashedNode, self string, every time.Duration, now time.Time) []Node {
	if len(nodes) < 2 || now.Sub(r.at) < every {
		return nil
	}
	r.at = now
	r.checks = slices.DeleteFunc(r.checks, func(l reachCheck) bool { return now.Sub(l.at) > checkTTL })
	var out []Node
	for range max(minChecks-len(r.checks), 1) {
		n := r.nextNode(nodes, self)
		r.checks = append(r.checks, reachCheck{name: n.Name, at: now})
		out = append(out, n)
	}
	r.checks = r.checks[max(len(r.checks)-maxChecks, 0):]
	return out
}

// nextNode returns the next node in turn, without this one.
func (r *reachability) nextNode(nodes []hashedNode, self string) Node {
	r.nextIndex++
	if nodes[r.nextIndex%len(nodes)].Name == self {
		r.nextIndex++
	}
	return nodes[r.nextIndex%len(nodes)].Node
}

// answered records the outcome of the oldest open check of a node.
func (r *reachability) answered(name string, ok bool) {
	for i := range r.checks {
		if l := &r.checks[i]; l.name == name && !l.done {
			l.done, l.answered = true, ok
			return
		}
	}
}

// fraction returns the estimated fraction of the nodes that this one reaches, itself included;
// known is false before minChecks results.
func (r *reachability) fraction(nodes int, now time.Time) (fraction float64, known bool) {
	checks, answered := 0, 0
	for _, l := range r.checks {
		if !l.done || now.Sub(l.at) > checkTTL {
			continue
		}
		checks++
		if l.answered {
			answered++
		}
	}
	if checks < minChecks || nodes < 2 {
		return 1, false
	}
	return (float64(answered)/float64(checks)*float64(nodes-1) + 1) / float64(nodes), true
}
