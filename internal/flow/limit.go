package flow

import (
	"math"
	"time"
)

// Limit adapts the number of calls in flight at one target to what the target
// can take: additive increase while calls are quick, multiplicative decrease
// on a refusal or on latency far above the target's usual one.
type Limit struct {
	cur     float64
	ceiling float64
	usual   time.Duration
	lastCut time.Time
}

const (
	// slowFactor times the usual latency counts as congestion.
	slowFactor = 4
	cutFactor  = 0.7
	// usualWeight is the weight of a new sample in the usual latency.
	usualWeight = 0.05
	minCutPause = 100 * time.Millisecond
)

// NewLimit returns a limit that starts at, and never passes, the ceiling.
func NewLimit(ceiling float64) Limit {
	return Limit{cur: max(ceiling, 1), ceiling: max(ceiling, 1)}
}

// SetCeiling changes the upper bound; the limit keeps its relative place.
func (l *Limit) SetCeiling(c float64) {
	c = max(c, 1)
	l.cur = max(1, l.cur*c/l.ceiling)
	l.ceiling = c
}

// Calls returns the number of calls allowed in flight, at least 1.
func (l *Limit) Calls() int { return int(math.Ceil(l.cur - 1e-9)) }

// Done notes a finished call and its latency.
func (l *Limit) Done(latency time.Duration, now time.Time) {
	if l.usual == 0 {
		l.usual = latency
	}
	slow := latency > slowFactor*l.usual
	l.usual += time.Duration(usualWeight * float64(latency-l.usual))
	if slow {
		l.cut(now)
		return
	}
	l.cur = min(l.ceiling, l.cur+1/l.cur)
}

// Refused notes that the target refused a call.
func (l *Limit) Refused(now time.Time) { l.cut(now) }

// cut lowers the limit once per pause: the calls in flight at the time of the
// first cut tell nothing new.
func (l *Limit) cut(now time.Time) {
	if now.Sub(l.lastCut) < max(l.usual, minCutPause) {
		return
	}
	l.lastCut = now
	l.cur = max(1, l.cur*cutFactor)
}

// Budget bounds retries and hedges to a share of the calls, so that a slow
// stage does not become a storm. It is a token bucket filled by calls.
type Budget struct {
	tokens float64
	ratio  float64
}

// budgetBurst is how many retries may come at once; a quiet node has them too.
const budgetBurst = 10

// NewBudget returns a full budget that allows ratio retries a call.
func NewBudget(ratio float64) Budget { return Budget{tokens: budgetBurst, ratio: ratio} }

// Call notes a first attempt.
func (b *Budget) Call() { b.tokens = min(budgetBurst, b.tokens+b.ratio) }

// Take reports whether one retry is allowed and uses it up.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Estimate tracks the service time of one stage: its mean and mean deviation.
type Estimate struct {
	mean, dev float64
	known     bool
}

// estimateWeight is the weight of a new sample, as in RFC 6298.
const estimateWeight = 1.0 / 8

// Add notes a sample.
func (e *Estimate) Add(d time.Duration) {
	x := float64(d)
	if !e.known {
		*e = Estimate{mean: x, dev: x / 4, known: true}
		return
	}
	e.dev += estimateWeight * (math.Abs(x-e.mean) - e.dev)
	e.mean += estimateWeight * (x - e.mean)
}

// Mean returns the mean service time, 0 while unknown.
func (e *Estimate) Mean() time.Duration { return time.Duration(e.mean) }

// High returns a time that most calls stay under, 0 while unknown.
func (e *Estimate) High() time.Duration { return time.Duration(e.mean + 3*e.dev) }
