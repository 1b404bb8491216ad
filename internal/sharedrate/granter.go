package sharedrate

import (
	"math"
	"time"
)

// PermitRequest is a request for permits of one rate.
type PermitRequest struct {
	// Key names the rate. A request with an empty key only checks whether the granter
	// answers.
	Key string
	// Asker is the name of the requesting node.
	Asker string
	// PerSecond is the rate that the requesting node last observed, in requests per second.
	// ConfirmedAge is the duration since that observation or, with Ended, since the node observed the
	// end of the limit.
	PerSecond    float64
	ConfirmedAge time.Duration
	// Ended reports that the requesting node observed the end of the limit.
	Ended bool
	// Want is the number of permits that the node can use within the duration Within.
	Want   int
	Within time.Duration
}

// Grant is the response to a PermitRequest.
type Grant struct {
	// Permits is the number of granted permits. The first permit is for a slot that opens after
	// FirstIn, each further permit for a slot that opens Spacing after the previous slot. FirstIn
	// may be negative: the permit of a slot that has passed may be used at once.
	Permits          int
	FirstIn, Spacing time.Duration
	// RetryAfter is how long the requesting node waits before its next permit request, if it was
	// granted fewer permits than it wanted.
	RetryAfter time.Duration
	// Ended reports that the target no longer has a rate limit, so that requests need no permits.
	// EndedAge is then the duration since a node observed the end of the limit; 0 without Ended.
	Ended    bool
	EndedAge time.Duration
}

// The bound that all constants here keep: in any period of length BoundWindow, all nodes together
// send a target at most BoundFactor times its rate times BoundWindow, plus BoundBurst requests.
const (
	BoundWindow = 4 * time.Second
	BoundFactor = 1.5
	BoundBurst  = 5
)

const (
	// permitTTL is how long a permit may be used after its slot opens; opening a connection to the
	// target takes part of this time. The permits of all slots of a period of BoundWindow plus
	// permitTTL can be used within one BoundWindow.
	permitTTL = 300 * time.Millisecond
	// A slot is a time at which a rate allows one more request; each permit is for one slot.
	// catchUpTime and minCatchUp bound how many past slots a granter of a whole rate still grants if
	// no node was granted them: the slots of the last catchUpTime, plus minCatchUp. This is needed
	// because nodes ask for a slot some time after it opens.
	catchUpTime = 100 * time.Millisecond
	minCatchUp  = 1
	// horizon is how long before it opens a slot may be granted.
	horizon = time.Second
	// minPerSecond is the rate of the granted permits if the target advertises a lower rate or zero:
	// some requests must still be sent, as only the answer to a request shows that the target has
	// raised its limit.
	minPerSecond = 0.1
	// maxRequestsPerSlot is the number of permit requests per slot of a rate that countRequest aims
	// at; with fewer, some slots would stay unused. requestWindow is the shortest duration over
	// which these requests are counted.
	maxRequestsPerSlot = 6
	requestWindow      = time.Second
	// maxRetrySpread bounds the random delay that RetryAfter contains in addition to the time until
	// the next slot, so that no more than about maxRequestsPerSlot permit requests arrive per slot.
	maxRetrySpread = 15 * time.Second
	// idleTTL is how long the state of a rate or a node that is not used is kept.
	idleTTL = time.Minute
	// maxPermits bounds the permits of one grant.
	maxPermits = 1000
)

// shares are the shares of a rate that its granters give out, by their place: the first node that
// has not failed gives out the whole rate, those that replace it when it cannot be reached give out
// a part. All may grant at once while nodes disagree about which nodes have failed: (BoundWindow +
// permitTTL) times the sum of the shares times the rate, plus the slots of the catch-up, stays
// within the bound.
var shares = []float64{1, 0.2, 0.1}

// settlingShare bounds the share of a rate that a granter gives out while another granter may still
// grant permits of the same rate, or while permits that it granted may still be in use.
const settlingShare = 0.2

// Granter grants the permits of the rates that other nodes and this one ask for. It must not be
// used concurrently.
type Granter struct {
	// Rand returns a random number in [0, 1).
	Rand func() float64

	rates map[string]*rateState
}

// rateState is the state of one rate.
type rateState struct {
	perSecond float64
	// confirmedAt is the time at which a node last observed perSecond. ended is the time at which a
	// node observed the end of the limit; zero if no node did.
	confirmedAt, ended time.Time
	// nextSlot is the time of the first slot that is not granted yet.
	nextSlot time.Time
	// requests is the number of permit requests for this rate since countedSince. retrySpread is
	// the bound of the random delay that is added to the RetryAfter of a node that got fewer permits
	// than it wanted. lastRequest is the time of the last permit request.
	requests     int
	countedSince time.Time
	retrySpread  time.Duration
	lastRequest  time.Time
}

// NewGranter returns a Granter without any state of rates.
func NewGranter(random func() float64) *Granter {
	return &Granter{Rand: random, rates: make(map[string]*rateState)}
}

// Grant answers a permit request, as a granter that gives out the given share (0 to 1) of the rate.
func (g *Granter) Grant(a PermitRequest, share float64, now time.Time) Grant {
	r := g.rates[a.Key]
	if r == nil {
		r = &rateState{nextSlot: now, countedSince: now}
		g.rates[a.Key] = r
	}
	r.lastRequest = now
	if ended := r.observe(a, now); ended {
		return Grant{Ended: true, EndedAge: now.Sub(r.ended)}
	}
	if a.Want <= 0 {
		return Grant{}
	}
	if share == 0 {
		return Grant{RetryAfter: horizon}
	}
	return r.allocate(a, share, g.Rand(), now)
}

// shareOf returns the share of a rate that a granter gives out. place is its place among the nodes
// that may grant, starting at 0; settling reports that another node may have been the first granter
// within settlingTime.
func shareOf(place int, settling bool) float64 {
	switch {
	case place >= len(shares):
		return 0
	case settling:
		return min(shares[place], settlingShare)
	}
	return shares[place]
}

// observe applies the limit that the requesting node observed, if the observation is newer than the
// last one applied, and reports whether the requesting node must take the limit as ended.
func (r *rateState) observe(a PermitRequest, now time.Time) (ended bool) {
	confirmedAt := now.Add(-a.ConfirmedAge)
	if a.Ended {
		if confirmedAt.After(r.confirmedAt) {
			r.ended = confirmedAt
		}
		return !r.ended.IsZero()
	}
	if !r.ended.IsZero() && !confirmedAt.After(r.ended) {
		return true
	}
	r.ended = time.Time{}
	if r.confirmedAt.IsZero() || confirmedAt.After(r.confirmedAt) {
		r.perSecond, r.confirmedAt = a.PerSecond, confirmedAt
	}
	return false
}

// allocate grants the slots that the requesting node can use.
func (r *rateState) allocate(a PermitRequest, share, random float64, now time.Time) Grant {
	perSecond := max(r.perSecond, minPerSecond) * share
	spacing := interval(perSecond)
	r.countRequest(spacing, now)
	caughtUp := 0.0
	if share == shares[0] {
		caughtUp = minCatchUp + catchUpTime.Seconds()*perSecond
	}
	r.nextSlot = clampTime(r.nextSlot, now.Add(-scale(spacing, caughtUp)), now.Add(horizon+spacing))
	within := min(max(a.Within, 0), horizon)
	out := Grant{FirstIn: r.nextSlot.Sub(now), Spacing: spacing}
	for out.Permits < min(a.Want, maxPermits) && r.nextSlot.Sub(now) <= within {
		out.Permits++
		r.nextSlot = r.nextSlot.Add(spacing)
	}
	if out.Permits < a.Want {
		out.RetryAfter = max(r.nextSlot.Sub(now), 0) + scale(r.retrySpread, random)
	}
	return out
}

// countRequest counts a permit request and adapts retrySpread so that about maxRequestsPerSlot
// requests arrive per slot, however many nodes ask.
func (r *rateState) countRequest(spacing time.Duration, now time.Time) {
	r.requests++
	window := max(requestWindow, 4*spacing)
	took := now.Sub(r.countedSince)
	if took < window {
		return
	}
	perSlot := float64(r.requests) * float64(spacing) / float64(took)
	r.retrySpread = min(scale(r.retrySpread+spacing/4, perSlot/maxRequestsPerSlot), maxRetrySpread)
	if perSlot < maxRequestsPerSlot/2 {
		r.retrySpread /= 2
	}
	r.requests, r.countedSince = 0, now
}

// Sweep removes the state of rates for which no node has requested permits within idleTTL.
func (g *Granter) Sweep(now time.Time) {
	for key, r := range g.rates {
		if now.Sub(r.lastRequest) > idleTTL {
			delete(g.rates, key)
		}
	}
}

// Rates returns the number of rates of which the granter keeps state.
func (g *Granter) Rates() int { return len(g.rates) }

// interval returns the time between two slots of a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(min(float64(time.Second)/perSecond, math.MaxInt32*float64(time.Second)))
}

// scale returns a duration times a factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(factor * float64(d)) }

func clampTime(t, least, most time.Time) time.Time {
	if t.Before(least) {
		return least
	}
	if t.After(most) {
		return most
	}
	return t
}
