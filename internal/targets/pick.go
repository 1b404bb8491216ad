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
	"topazmoor/internal/rollout"
	"topazmoor/internal/sharedrate"
)

// Query describes one call that needs a target.
type Query struct {
	Service string
	// Route is the name of the request's route; versions of targets are compared by route.
	Route string
	// Regions are the regions whose targets may get the call.
	Regions region.Set
	// Exclude lists the IDs of targets that were tried already.
	Exclude []string
	// Engine is set for calls of model engines.
	Engine *EngineQuery
	// LeastBusy asks for the target with the fewest calls: the call may end the target's process,
	// and the other calls there with it.
	LeastBusy bool
	// Resent is set if the request was sent before: it is not used as the trial call of a target
	// after a rest, unless there is no other target.
	Resent bool
	// PermitDeadline is until when the request may wait for a permit if the rates of all targets are
	// bounded.
	PermitDeadline time.Time
	// Exchange is what the call exchanges with its target.
	Exchange Exchange
	// Rank is the rank of the request; 0 is the most urgent. Left is how long the answer will be
	// of use; 0 for unknown. Both decide whether the call may go to another region.
	Rank int
	Left time.Duration
	// Resumed is set if the caller has a part of the answer: the call cannot be refused any more, so
	// it may go to any region.
	Resumed bool
	// Version is the software version of the targets that may get the call: a stream that has begun goes
	// on only at the version that began it. nil for any.
	Version *string
	// SkipScarce leaves out targets whose rate is bounded or that bound their rejections: an optional call should not
	// use up a part of what they can take.
	SkipScarce bool
}

// EngineQuery holds the properties of a call that decide the choice of a model engine.
type EngineQuery struct {
	// Affinity is the hash of the prompt up to the last part that other requests share; the
	// same engine is preferred for all of them. 0 for none.
	Affinity uint64
	// Tokens is the length of the prompt, Shared that of the parts that other requests share.
	Tokens, Shared int
	// Prompt is the whole prompt by its prefixes, the shortest first.
	Prompt []promptcache.Prefix
	// InputBytes is how many bytes of stage results the engine will fetch, by the data centre that
	// stores them.
	InputBytes map[string]int64
}

const (
	// remoteCost is the cost added for a call to another data centre: a round trip of two
	// times 0.5 to 1 ms, and the price of its bytes.
	remoteCost = 5 * time.Millisecond
	// failureCost is the cost added for a target whose recent calls all failed. It is scaled by
	// the share of failed calls.
	failureCost = 400 * time.Millisecond
	// defaultLatency is the assumed time of a call until one was measured.
	defaultLatency = 30 * time.Millisecond
	// loadMaxAge is how long a load that a target reported is used.
	loadMaxAge = time.Second
	// failureWeight is the weight of the newest call in the moving average of failures.
	failureWeight = 0.2
)

// Lease is a call to the target that was chosen for it. Done must be called once.
type Lease struct {
	Target
	// CopyFrom is the address of an engine that presumably caches more of the prompt than this
	// target does; "" for none.
	CopyFrom string
	t        *Table
	s        *state
	tokens   int
	prompt   []promptcache.Prefix
	// Basis is the information on which the choice rests.
	Basis Basis
	// began is when the target was chosen.
	began time.Time
	// latest is until when the call may wait for its permit, permit the one that it got; zero
	// for none.
	latest time.Time
	permit sharedrate.Permit
	// observed is what was observed of the call, to judge the target's version by.
	observed callObservation
}

// Basis is the state of a target, as this node estimates it, when the target was chosen.
type Basis struct {
	// Candidates is how many targets there were to choose from.
	Candidates int
	// Crossed describes why the call goes to another region, if it does.
	Crossed Crossed
	// Calls estimates the calls at the target, of all nodes. Failures is its recent share of
	// failed calls, from 0 to 1.
	Calls    int
	Failures float64
	// LoadAge is the age of the last load that the target reported; negative for none.
	LoadAge time.Duration
	// Limit is the rate limit that the target advertises, in requests a second; negative for
	// none.
	Limit float64
	// VersionWhy says why the call goes to the target's version, and Share is the share of the calls
	// that the version on trial had; "" and 0 without a roll-out.
	VersionWhy string
	Share      float64
}

// Outcome is how a call ended, as evidence on the health of its target.
type Outcome uint8

// The outcomes of calls.
const (
	// Served: the target answered.
	Served Outcome = iota
	// Busy: the target rejected the call without running it.
	Busy
	// Failed: no answer, or a broken or invalid one.
	Failed
	// Unreachable: no connection could be made.
	Unreachable
	// Moved: another process answered at the address.
	Moved
	// Abandoned: the call was given up on this side; it is no evidence on the target.
	Abandoned
)

// Pick chooses a target for a call, or returns nil if none may be called.
func (t *Table) Pick(q Query) *Lease {
	if !t.trusted() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	cands, group := t.candidates(q, now)
	if len(cands) == 0 {
		return nil
	}
	l := &Lease{t: t, began: now, latest: now, observed: callObservation{route: q.Route}}
	if !slices.ContainsFunc(cands, func(s *state) bool { return !t.bounded(s, now) }) {
		l.latest = q.PermitDeadline
	}
	switch {
	case q.LeastBusy:
		l.s = leastBusy(cands, now)
		if q.Engine != nil {
			l.tokens, l.prompt = q.Engine.Tokens, q.Engine.Prompt
		}
	case q.Engine != nil:
		l.s = t.bestEngine(q, cands, now, t.Off)
		l.tokens, l.prompt = q.Engine.Tokens, q.Engine.Prompt
		if !t.Off.Has(mechanism.CopyPrompts) {
			l.CopyFrom = t.copySource(l.s, q, t.promptHolders(q, now), cands)
		}
	default:
		l.s = t.cheapest(q, cands, now)
	}
	if underRollout := group.Why != ""; underRollout && q.Engine != nil {
		l.observed.lacksPrompt = l.s.cachedTokens(t.promptHolders(q, now)) < q.Engine.Shared
	}
	l.Target = l.s.Target
	l.Basis = Basis{Candidates: len(cands), Calls: l.s.calls(now), Failures: l.s.failures, LoadAge: -1, Limit: l.s.reported.limit.advertised(), VersionWhy: group.Why, Share: group.Share}
	l.Basis.Crossed = t.crossed(q, l.s, cands, now)
	if !l.s.loadAt.IsZero() {
		l.Basis.LoadAge = now.Sub(l.s.loadAt)
	}
	l.s.breaker.Start()
	l.s.ready.CallStarted(now)
	l.s.inFlight++
	l.s.pending += l.tokens
	t.recordStart(l)
	return l
}

// candidates returns the targets of a service that may be called, and their target group: those of
// the first target group that has any; without such groups, those of the whole service.
func (t *Table) candidates(q Query, now time.Time) ([]*state, rollout.TargetGroup) {
	if q.Version != nil {
		return t.candidatesOfVersion(q, now), rollout.TargetGroup{}
	}
	groups := t.targetGroups(q)
	if groups == nil {
		return t.candidatesOf(q, now, anyTarget), rollout.TargetGroup{}
	}
	for _, group := range groups {
		if cands := t.candidatesOf(q, now, t.admits(q, group, now)); len(cands) > 0 {
			return cands, group
		}
	}
	return nil, rollout.TargetGroup{}
}

// candidatesOfVersion returns the targets that may go on with a stream that began at q.Version.
func (t *Table) candidatesOfVersion(q Query, now time.Time) []*state {
	if t.Rollouts != nil && !t.Rollouts.MayResume(q.Service, *q.Version) {
		return nil
	}
	return t.candidatesOf(q, now, func(s *state) bool { return s.Version == *q.Version })
}

// candidatesOf returns the targets of a target group that may be called and are within reach (see
// withinReach), of the first set that is not empty: the healthy ones; those called only where there
// is no other (see lastResort); the one for which a permit is available first, if that is not after
// q.PermitDeadline; those whose breaker is open, unless there are healthy ones out of reach.
func (t *Table) candidatesOf(q Query, now time.Time, admits func(*state) bool) []*state {
	var healthy, fallback, down []*state
	var nextPermitted *state
	for _, s := range t.services[q.Service] {
		if !s.usable(now) || !admits(s) || !t.Regions.Allows(q.Regions, s.DataCentre) || slices.Contains(q.Exclude, s.ID) || q.SkipScarce && (t.bounded(s, now) || s.boundsRejections()) || t.crowded(s, now) {
			continue
		}
		standing := s.ready.Status(now)
		if standing == readiness.Resting {
			continue
		}
		switch {
		case s.breaker.Down(now):
			down = append(down, s)
		case t.lacksPermit(s, now):
			if nextPermitted == nil || s.reported.limit.availableAt.Before(nextPermitted.reported.limit.availableAt) {
				nextPermitted = s
			}
		case q.lastResort(standing):
			fallback = append(fallback, s)
		default:
			healthy = append(healthy, s)
		}
	}
	outOfReach := false
	for _, cands := range [][]*state{healthy, fallback} {
		if reached := t.withinReach(q, cands, now); len(reached) > 0 {
			return reached
		}
		outOfReach = outOfReach || len(cands) > 0
	}
	if nextPermitted != nil && !nextPermitted.reported.limit.availableAt.After(q.PermitDeadline) {
		return []*state{nextPermitted}
	}
	if outOfReach {
		return nil
	}
	return down
}

// lastResort reports whether a target with a status is called only where there is no other.
// Otherwise a request that one target rejects as its trial call could become the trial call of
// the next one too, and use up its attempts.
func (q Query) lastResort(s readiness.Status) bool {
	return s == readiness.Avoided || s == readiness.OnTrial && (q.Resent || q.LeastBusy)
}

// calls estimates all calls at a target: the load that it last reported, corrected by the calls
// of this node that began or ended since. Without a recent report it is the calls of this node.
func (s *state) calls(now time.Time) int {
	if now.Sub(s.loadAt) > loadMaxAge {
		return s.inFlight
	}
	return max(s.inFlight, s.load.Running+s.load.Waiting+s.inFlight-s.inFlightAtLoad)
}

// meanLatency returns the mean time of a call at the target; defaultLatency if none was measured.
func (s *state) meanLatency() time.Duration {
	if latency := s.latency.Mean(); latency > 0 {
		return latency
	}
	return defaultLatency
}

// recentLatency returns the mean time of a call at the target; defaultLatency if none was measured
// within latencyMaxAge.
func (s *state) recentLatency(now time.Time) time.Duration {
	if now.Sub(s.latencyAt) >= latencyMaxAge {
		return defaultLatency
	}
	return s.meanLatency()
}

// cost estimates the time of a call at a target, and adds the costs of other data centres and
// recent failures.
func (s *state) cost(nodeDataCentre string, now time.Time) time.Duration {
	latency := s.meanLatency()
	slots := max(s.Slots, 1)
	calls := s.calls(now)
	c := latency + latency*time.Duration(calls)/time.Duration(2*slots)
	if over := calls + 1 - slots; over > 0 {
		c += latency * time.Duration(over) / time.Duration(slots)
	}
	if s.DataCentre != nodeDataCentre {
		c += remoteCost
	}
	return c + time.Duration(s.failures*float64(failureCost))
}

// cheapest returns the candidate of least cost; of equal ones a random one.
func (t *Table) cheapest(q Query, cands []*state, now time.Time) *state {
	crossing, least := t.crossingCost(q.Exchange), leastFaults(cands, now)
	cost := func(s *state) time.Duration {
		c := s.cost(t.DataCentre, now) + time.Duration(s.excessFaults(least, now)*float64(failureCost))
		if t.inOtherRegion(s) {
			c += crossing
		}
		return c
	}
	start := rand.IntN(len(cands))
	best := cands[start]
	bestCost := cost(best)
	for i := 1; i < len(cands); i++ {
		s := cands[(start+i)%len(cands)]
		if c := cost(s); c < bestCost {
			best, bestCost = s, c
		}
	}
	return best
}

// leastBusy returns the candidate with the fewest calls; of equal ones a random one.
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

// MarkPromptRead records that the target has read the prompt of the call.
func (l *Lease) MarkPromptRead() {
	l.t.prompts.RecordRead(l.Process(), l.prompt)
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.s.pending -= l.tokens
	l.tokens = 0
}

// RecordLoad records the load that the target reported.
func (l *Lease) RecordLoad(load Load) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.s.load, l.s.loadAt, l.s.inFlightAtLoad = load, l.t.now(), l.s.inFlight
}

// Done ends the call. took is the time of a call that was served; 0 if it says nothing about the
// target's speed.
func (l *Lease) Done(o Outcome, took time.Duration) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	s := l.s
	s.ready.Unanswered(l.began)
	s.inFlight--
	s.pending -= l.tokens
	now := l.t.now()
	l.t.recordEnd(l, o, took, now)
	switch o {
	case Served:
		s.breaker.Success()
		s.failures -= failureWeight * s.failures
		s.faults.add(l.observed.faulty, now)
		if took > 0 {
			s.recordLatency(took, now)
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

// ProcessEnded records that a process seems to have ended: its target gets no calls for a while. The
// target may stay listed for some seconds, or the process may only be unreachable from this node.
func (t *Table) ProcessEnded(process string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.byProcess[process]; s != nil {
		s.breaker.Unreachable(t.now())
	}
}

// latencyMaxAge is how long a measured latency is used in estimates. Requests are refused on the
// basis of estimates, and a refused request measures nothing: without expiry, a high latency would
// stay after its cause has ended. Each node calls each service several times a second.
const latencyMaxAge = 2 * time.Second

// recordLatency adds the time of a call to the latency estimate. If the last one is older than
// latencyMaxAge, the estimate starts anew.
func (s *state) recordLatency(took time.Duration, now time.Time) {
	if now.Sub(s.latencyAt) >= latencyMaxAge {
		s.latency = flow.Estimate{}
	}
	s.latency.Add(took)
	s.latencyAt = now
}

// Latency returns the mean time of a call at the targets of a service that have a mean no older than
// latencyMaxAge; 0 if none has.
func (t *Table) Latency(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var sum time.Duration
	n := 0
	for _, s := range t.services[service] {
		if m := s.latency.Mean(); m > 0 && now.Sub(s.latencyAt) < latencyMaxAge {
			sum += m
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// RecordFirstEvent records the time to the first event of a stream.
func (l *Lease) RecordFirstEvent(took time.Duration) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.s.recordLatency(took, l.t.now())
	l.observed.firstEvent = took
}
