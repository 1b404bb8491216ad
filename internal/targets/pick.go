package targets

import (
	"math/rand/v2"
	"slices"
	"time"

	"topazmoor/internal/routing"
)

// Query describes one call that needs a target.
type Query struct {
	Service string
	// Exclude lists targets that were tried already.
	Exclude []string
	// Affinity is the hash of the prompt part that the call should find in a
	// target's memory; 0 for none.
	Affinity uint64
	// Tokens is the length of the prompt; 0 for calls without one.
	Tokens int
	// DataCentre is preferred to the node's own when it is set.
	DataCentre string
}

const (
	// remoteCost is what a call to another data centre counts more: two ways
	// of 0.5 to 1 ms, and its bytes are paid for.
	remoteCost = 5 * time.Millisecond
	// failureCost is what a call counts more at a target that lately failed
	// every call.
	failureCost = 400 * time.Millisecond
	// presumedLatency stands for the time of a call until one was measured.
	presumedLatency = 30 * time.Millisecond
	// loadLife is how long a load that a target told is believed.
	loadLife = time.Second
	// affinitySlack is by how many calls above the mean the preferred target of
	// a prompt may be before the next one is asked: a part that is read again
	// costs about a tenth of a second, as much as a few prompts ahead.
	affinitySlack = 4
	// failureWeight is the weight of the newest call in the share of failures.
	failureWeight = 0.2
	// affinityFailures is the share of failures above which a target loses its
	// prompts to the next one.
	affinityFailures = 0.25
)

// Lease is a target that was chosen for one call. Done must be called once.
type Lease struct {
	Target
	t      *Table
	s      *state
	tokens int
	start  time.Time
}

// Outcome is how a call ended, as far as it speaks for or against its target.
type Outcome uint8

// The outcomes of calls.
const (
	// Served: the target answered.
	Served Outcome = iota
	// Busy: the target rejected the call without running it.
	Busy
	// Failed: no answer, a broken or a wrong one.
	Failed
	// Unreachable: no connection.
	Unreachable
	// Moved: another process answered at the address.
	Moved
	// Abandoned: the caller left; nothing is learned.
	Abandoned
)

// Pick chooses a target, or returns nil when none may be called.
func (t *Table) Pick(q Query) *Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	cands := t.candidates(q, now)
	if len(cands) == 0 {
		return nil
	}
	s := cheapest(q, cands, t.DataCentre, now)
	if q.Affinity != 0 {
		s = affine(q, cands, now)
	}
	s.breaker.Start()
	s.inFlight++
	s.pending += q.Tokens
	return &Lease{Target: s.Target, t: t, s: s, tokens: q.Tokens, start: now}
}

// candidates returns the targets that may be called: those in good health, or
// all when none is.
func (t *Table) candidates(q Query, now time.Time) []*state {
	var healthy, others []*state
	for _, s := range t.services[q.Service] {
		if !s.usable(now) || slices.Contains(q.Exclude, s.ID) {
			continue
		}
		if s.breaker.Down(now) {
			others = append(others, s)
			continue
		}
		healthy = append(healthy, s)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return others
}

// calls estimates all calls at a target: its last word, corrected by what this
// node sent and got back since.
func (s *state) calls(now time.Time) int {
	if now.Sub(s.loadAt) > loadLife {
		return s.inFlight
	}
	return max(s.inFlight, s.load.Running+s.load.Waiting+s.inFlight-s.loadSent)
}

// cost estimates the time of a call at a target, with what it is worth to avoid.
func (s *state) cost(q Query, home string, now time.Time) time.Duration {
	latency := s.latency.Mean()
	if latency == 0 {
		latency = presumedLatency
	}
	slots := max(s.Slots, 1)
	calls := s.calls(now)
	c := latency + latency*time.Duration(calls)/time.Duration(2*slots)
	if over := calls + 1 - slots; over > 0 {
		c += latency * time.Duration(over) / time.Duration(slots)
	}
	if q.DataCentre != "" {
		home = q.DataCentre
	}
	if s.DataCentre != home {
		c += remoteCost
	}
	return c + time.Duration(s.failures*float64(failureCost))
}

// cheapest returns the candidate of least cost; equal ones by chance.
func cheapest(q Query, cands []*state, home string, now time.Time) *state {
	start := rand.IntN(len(cands))
	best := cands[start]
	bestCost := best.cost(q, home, now)
	for i := 1; i < len(cands); i++ {
		s := cands[(start+i)%len(cands)]
		if c := s.cost(q, home, now); c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// affine returns the first candidate, in the order of rendezvous hashing, that
// is neither loaded far above the mean nor failing. All nodes have the same
// order, so that a part of a prompt is read at few targets.
func affine(q Query, cands []*state, now time.Time) *state {
	total := 0
	for _, s := range cands {
		total += s.calls(now)
	}
	bound := total/len(cands) + affinitySlack
	var best, least *state
	for _, s := range cands {
		if least == nil || s.calls(now) < least.calls(now) {
			least = s
		}
		if s.calls(now) > bound || s.failures > affinityFailures {
			continue
		}
		if best == nil || routing.Mix(q.Affinity, s.hash) > routing.Mix(q.Affinity, best.hash) {
			best = s
		}
	}
	if best == nil {
		return least
	}
	return best
}

// PromptRead notes that the target has read the prompt of the call.
func (l *Lease) PromptRead() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.s.pending -= l.tokens
	l.tokens = 0
}

// Told notes the load that the target told.
func (l *Lease) Told(load Load) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.s.load, l.s.loadAt, l.s.loadSent = load, l.t.now(), l.s.inFlight
}

// Done ends the call. took is the time of calls that were served; 0 for one
// that tells nothing of the target's speed.
func (l *Lease) Done(o Outcome, took time.Duration) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	s := l.s
	s.inFlight--
	s.pending -= l.tokens
	now := l.t.now()
	switch o {
	case Served:
		s.breaker.Success()
		s.failures -= failureWeight * s.failures
		if took > 0 {
			s.latency.Add(took)
		}
	case Busy:
		s.breaker.Abandon()
	case Failed:
		s.breaker.Failure(now)
		s.failures += failureWeight * (1 - s.failures)
	case Unreachable:
		s.breaker.Unreachable(now)
	case Moved:
		s.moved = true
	case Abandoned:
		s.breaker.Abandon()
	}
}

// Latency returns the mean time of a call at the targets of a service; 0 while
// unknown.
func (t *Table) Latency(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, s := range t.services[service] {
		if m := s.latency.Mean(); m > 0 {
			sum += m
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// FirstEvent notes the time to the first event of a stream.
func (l *Lease) FirstEvent(took time.Duration) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.s.latency.Add(took)
}
