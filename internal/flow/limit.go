package flow

import (
	"math"
	"time"
)

// Limit adapts the number of calls in flight at one target to the capacity of
// the target: additive increase while the latency is normal, multiplicative
// decrease on a refusal or on a latency far above the typical one (AIMD). It is
// not safe for concurrent use.
type Limit struct {
	current float64
	ceiling float64
	// typicalLatency is the moving average of the latency; 0 before the first sample.
	typicalLatency time.Duration
	lastDecrease   time.Time
}

const (
	// A latency above slowFactor times the typical one counts as congestion.
	slowFactor = 4
	// decreaseFactor multiplies the limit on a refusal or on congestion.
	decreaseFactor = 0.7
	// typicalWeight is the weight of a new sample in the typical latency.
	typicalWeight = 0.05
	// minDecreaseInterval is the shortest time between two decreases.
	minDecreaseInterval = 100 * time.Millisecond
)

// NewLimit returns a limit that starts at the ceiling and never exceeds it. A ceiling
// below 1 counts as 1.
func NewLimit(ceiling float64) Limit {
	return Limit{current: max(ceiling, 1), ceiling: max(ceiling, 1)}
}

// SetCeiling changes the upper bound and scales the limit in proportion, but not
// below 1.
func (l *Limit) SetCeiling(c float64) {
	c = max(c, 1)
	l.current = max(1, l.current*c/l.ceiling)
	l.ceiling = c
}

// Calls returns the number of calls allowed in flight, at least 1.
func (l *Limit) Calls() int { return int(math.Ceil(l.current - 1e-9)) }

// RecordLatency records the latency of a successful call.
func (l *Limit) RecordLatency(latency time.Duration, now time.Time) {
	if l.typicalLatency == 0 {
		l.typicalLatency = latency
	}
	slow := latency > slowFactor*l.typicalLatency
	l.typicalLatency += time.Duration(typicalWeight * float64(latency-l.typicalLatency))
	if slow {
		l.decrease(now)
		return
	}
	l.current = min(l.ceiling, l.current+1/l.current)
}

// Refused records that the target refused a call.
func (l *Limit) Refused(now time.Time) { l.decrease(now) }

// decrease lowers the limit at most once per typical latency or
// minDecreaseInterval, whichever is longer: calls that were already in flight at
// the last decrease give no evidence about the lowered limit.
func (l *Limit) decrease(now time.Time) {
	if now.Sub(l.lastDecrease) < max(l.typicalLatency, minDecreaseInterval) {
		return
	}
	l.lastDecrease = now
	l.current = max(1, l.current*decreaseFactor)
}

// Budget bounds retries and hedges to a share of the calls, so that a slow
// stage does not cause a retry storm. It is a token bucket that first attempts
// fill. It is not safe for concurrent use.
type Budget struct {
	tokens float64
	ratio  float64
}

// budgetBurst is the capacity of the bucket in retries. A new budget is full, so
// that a node with little traffic can retry too.
const budgetBurst = 10

// NewBudget returns a full budget that allows ratio retries per call.
func NewBudget(ratio float64) Budget { return Budget{tokens: budgetBurst, ratio: ratio} }

// Call records a first attempt, which adds ratio tokens.
func (b *Budget) Call() { b.tokens = min(budgetBurst, b.tokens+b.ratio) }

// Take reports whether one retry is allowed, and if so takes a token for it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Estimate tracks the service time of one stage: a moving average of
// the mean and of the mean deviation. It is not safe for concurrent use.
type Estimate struct {
	mean, dev float64
	known     bool
}

// estimateWeight is the weight of a new sample in both averages: the alpha of
// RFC 6298, which gives the deviation twice as much.
const estimateWeight = 1.0 / 8

// Add adds a sample.
func (e *Estimate) Add(d time.Duration) {
	x := float64(d)
	if !e.known {
		*e = Estimate{mean: x, dev: x / 4, known: true}
		return
	}
	e.dev += estimateWeight * (math.Abs(x-e.mean) - e.dev)
	e.mean += estimateWeight * (x - e.mean)
}

// Mean returns the mean service time, 0 before the first sample.
func (e *Estimate) Mean() time.Duration { return time.Duration(e.mean) }

// High returns the mean plus three mean deviations, which most service times
// stay below; 0 before the first sample.
func (e *Estimate) High() time.Duration { return time.Duration(e.mean + 3*e.dev) }
