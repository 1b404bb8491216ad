package routing

import "time"

const (
	// breakerFailures is the number of consecutive failures that open the breaker.
	breakerFailures = 3
	// breakerPause is the time from opening until the first probe. It doubles with each
	// failed probe, up to breakerMaxPause.
	breakerPause    = time.Second
	breakerMaxPause = 30 * time.Second
)

// Breaker is the circuit breaker of a target: it opens after consecutive failures,
// and after a pause allows one probe at a time until one succeeds. The zero Breaker
// is closed. It is not safe for concurrent use.
type Breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// Down reports whether the target gets no call at now: the breaker is open, and its
// pause has not ended or a probe is in flight.
func (b *Breaker) Down(now time.Time) bool {
	if b.failures < breakerFailures {
		return false
	}
	return b.probing || now.Before(b.until)
}

// AvailableAt returns when the pause of an open breaker ends; zero if the breaker is closed.
func (b *Breaker) AvailableAt() time.Time {
	if b.failures < breakerFailures {
		return time.Time{}
	}
	return b.until
}

// Start records that a call was sent. If the breaker is open, the call is the probe.
func (b *Breaker) Start() {
	if b.failures >= breakerFailures {
		b.probing = true
	}
}

// Success closes the breaker.
func (b *Breaker) Success() { *b = Breaker{} }

// Abandon records a call whose end gives no evidence about the target, such as one
// that the caller cancelled.
func (b *Breaker) Abandon() { b.probing = false }

// Unreachable records that the target refused the connection. That is strong evidence
// of a failure, so it opens the breaker at once.
func (b *Breaker) Unreachable(now time.Time) {
	b.failures = max(b.failures, breakerFailures-1)
	b.Failure(now)
}

// Failure records a failed call. It opens the breaker after breakerFailures
// consecutive ones.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	b.probing = false
	if b.failures < breakerFailures {
		return
	}
	b.pause = min(max(2*b.pause, breakerPause), breakerMaxPause)
	b.until = now.Add(b.pause)
}
