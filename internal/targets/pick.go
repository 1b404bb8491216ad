package targets

import (
	"math/rand/v2"
	"slices"
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/promptcache"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/sharedrate"
)

// Query describes one call that needs a target.
type Query struct {
	Service string
	// Route names the route of the request, by which versions of targets are compared.
	Route string
	// Regions are those in which the call may be made.
	Regions region.Set
	// Exclude lists targets that were tried already.
	Exclude []string
	// Engine is set for calls of model engines.
	Engine *EngineQuery
	// Alone asks for the target with the least to lose: the call may end it.
	Alone bool
	// Again says that the request was sent before: it does not serve to try a target that
	// asked for rest.
	Again bool
	// Latest is how long the request may wait for its turn where all targets take a bounded
	// rate only.
	Latest time.Time
	// Unbounded leaves out the targets that do: a call that need not be made is not worth a
	// part of it.
	Unbounded bool
}

// EngineQuery is what matters for the choice of a model engine.
type EngineQuery struct {
	// Affinity is the hash of the last part of the prompt that other requests
	// share; the same engine gets all of them. 0 for none.
	Affinity uint64
	// Tokens is the length of the prompt, Shared that of the parts that others
	// share.
	Tokens, Shared int
	// Prompt is the whole prompt by its prefixes, the shortest first.
	Prompt []promptcache.Prefix
	// Inputs are the bytes of stage results that the engine will fetch, by the
	// data centre where they lie.
	Inputs map[string]int64
}

const (
	// remoteCost is what a call to another data centre counts more: two ways
	// of 0.5 to 1 ms, and its bytes are paid for.
	remoteCost = 5 * time.Millisecond
	// regionCost is what one to another region counts more beside: two ways of 10 to 20 ms,
	// over links that are dear.
	regionCost = 40 * time.Millisecond
	// failureCost is what a call counts more at a target that lately failed
	// every call.
	failureCost = 400 * time.Millisecond
	// presumedLatency stands for the time of a call until one was measured.
	presumedLatency = 30 * time.Millisecond
	// loadLife is how long a load that a target told is believed.
	loadLife = time.Second
	// failureWeight is the weight of the newest call in the share of failures.
	failureWeight = 0.2
)

// Lease is a target that was chosen for one call. Done must be called once.
type Lease struct {
	Target
	// CopyFrom is the address of an engine that presumably keeps more of the prompt than
	// this target does; "" for none.
	CopyFrom string
	t        *Table
	s        *state
	tokens   int
	prompt   []promptcache.Prefix
	// Basis is what decided the choice.
	Basis Basis
	// began is when the target was chosen.
	began time.Time
	// latest is how long the call may wait for its permit, permit what it got.
	latest time.Time
	permit sharedrate.Permit
	// seen is what the call tells of its target's version.
	seen observed
}

// Basis is what was believed of a target when it was chosen.
type Basis struct {
	// Candidates is how many targets were open to choice.
	Candidates int
	// Calls estimates the calls at the target, Failures is its recent share of
	// failed calls.
	Calls    int
	Failures float64
	// LoadAge is how old its last word on its load was; negative for none.
	LoadAge time.Duration
	// Limit is the rate that the target named, in requests a second; negative for none.
	Limit float64
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
	if !t.trusted() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	cands := t.candidates(q, now)
	if len(cands) == 0 {
		return nil
	}
	l := &Lease{t: t, began: now, latest: now, seen: observed{route: q.Route}}
	if !slices.ContainsFunc(cands, func(s *state) bool { return !t.bounded(s, now) }) {
		l.latest = q.Latest
	}
	switch {
	case q.Alone:
		l.s = leastBusy(cands, now)
		if q.Engine != nil {
			l.tokens, l.prompt = q.Engine.Tokens, q.Engine.Prompt
		}
	case q.Engine != nil:
		l.s = t.bestEngine(q.Engine, cands, now, t.Off)
		l.tokens, l.prompt = q.Engine.Tokens, q.Engine.Prompt
		if !t.Off.Has(mechanism.CopyPrompts) {
			l.CopyFrom = source(l.s, q.Engine, t.keepers(q, now), cands)
		}
	default:
		l.s = t.cheapest(cands, now)
	}
	l.Target = l.s.Target
	l.Basis = Basis{Candidates: len(cands), Calls: l.s.calls(now), Failures: l.s.failures, LoadAge: -1, Limit: l.s.said.limit.named()}
	if !l.s.loadAt.IsZero() {
		l.Basis.LoadAge = now.Sub(l.s.loadAt)
	}
	l.s.breaker.Start()
	l.s.ready.Begin(now)
	l.s.inFlight++
	l.s.pending += l.tokens
	t.sent(l)
	return l
}

// candidates returns the targets that may be called, of the first of a service's lanes that has
// any.
func (t *Table) candidates(q Query, now time.Time) []*state {
	lanes := t.lanes(q)
	if lanes == nil {
		return t.candidatesOf(q, now, anyTarget)
	}
	for _, lane := range lanes {
		if cands := t.candidatesOf(q, now, t.admits(q.Service, lane, now)); len(cands) > 0 {
			return cands
		}
	}
	return nil
}

// candidatesOf returns the targets of a lane that may be called: those in good health that take
// calls, else those that lately turned one away, else the one that next takes one of its bounded
// rate, if the request may wait for it, else all.
func (t *Table) candidatesOf(q Query, now time.Time, admits func(*state) bool) []*state {
	var healthy, spared, down []*state
	var opening *state
	for _, s := range t.services[q.Service] {
		if !s.usable(now) || !admits(s) || !t.Regions.Allows(q.Regions, s.DataCentre) || slices.Contains(q.Exclude, s.ID) || q.Unbounded && t.bounded(s, now) {
			continue
		}
		standing := s.ready.Standing(now)
		if standing == readiness.Resting {
			continue
		}
		switch {
		case s.breaker.Down(now):
			down = append(down, s)
		case t.closed(s, now):
			if opening == nil || s.said.limit.opens.Before(opening.said.limit.opens) {
				opening = s
			}
		case q.spares(standing):
			spared = append(spared, s)
		default:
			healthy = append(healthy, s)
		}
	}
	for _, cands := range [][]*state{healthy, spared} {
		if len(cands) > 0 {
			return cands
		}
	}
	if opening != nil && !opening.said.limit.opens.After(q.Latest) {
		return []*state{opening}
	}
	return down
}

// spares reports whether a target of a standing is called only where there is no other.
// A request that is turned away by the trial of one target would else meet that of the next,
// and use up what it may be sent.
func (q Query) spares(s readiness.Standing) bool {
	return s == readiness.Avoided || s == readiness.OnTrial && (q.Again || q.Alone)
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
func (s *state) cost(home string, far bool, now time.Time) time.Duration {
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
	if s.DataCentre != home {
		c += remoteCost
	}
	if far {
		c += regionCost
	}
	return c + time.Duration(s.failures*float64(failureCost))
}

// cheapest returns the candidate of least cost; equal ones by chance.
func (t *Table) cheapest(cands []*state, now time.Time) *state {
	start := rand.IntN(len(cands))
	best := cands[start]
	bestCost := best.cost(t.DataCentre, t.far(best), now)
	for i := 1; i < len(cands); i++ {
		s := cands[(start+i)%len(cands)]
		if c := s.cost(t.DataCentre, t.far(s), now); c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// leastBusy returns the candidate with the fewest calls; equal ones by chance.
func leastBusy(cands []*state, now time.Time) *state {
	start := rand.IntN(len(cands))
	best := cands[start]
	for i := 1; i < len(cands); i++ {
		if s := cands[(start+i)%len(cands)]; s.calls(now) < best.calls(now) {
			best = s
		}
	}
	return best
}

// PromptRead notes that the target has read the prompt of the call.
func (l *Lease) PromptRead() {
	l.t.prompts.Read(l.Process(), l.prompt)
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
	s.ready.Lost(l.began)
	s.inFlight--
	s.pending -= l.tokens
	now := l.t.now()
	l.t.ended(l, o, took, now)
	switch o {
	case Served:
		s.breaker.Success()
		s.failures -= failureWeight * s.failures
		if took > 0 {
			s.measured(took, now)
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

// Ended notes that a target's process has ended: it gets no calls for a while. It may be
// listed for some seconds yet, or only out of this node's reach.
func (t *Table) Ended(process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byProcess[process]; s != nil {
		s.breaker.Unreachable(t.now())
	}
}

// latencyLife is how long the time of a call is believed in estimates. Requests are
// refused on them, and what is refused measures nothing: a fault that has ended would
// never be forgotten. Each node calls each service several times a second.
const latencyLife = 2 * time.Second

// measured takes in the time of a call. After a while without any it begins anew.
func (s *state) measured(took time.Duration, now time.Time) {
	if now.Sub(s.latencyAt) >= latencyLife {
		s.latency = flow.Estimate{}
	}
	s.latency.Add(took)
	s.latencyAt = now
}

// Latency returns the mean time of a call at the targets of a service that were
// measured lately; 0 while unknown.
func (t *Table) Latency(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var sum time.Duration
	n := 0
	for _, s := range t.services[service] {
		if m := s.latency.Mean(); m > 0 && now.Sub(s.latencyAt) < latencyLife {
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
	l.s.measured(took, l.t.now())
	l.seen.first = took
}
