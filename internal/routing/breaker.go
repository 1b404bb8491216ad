package routing

import "time"

const (
	// breakerFailures in a row open the breaker.
	breakerFailures = 3
	// breakerPause is the first pause; it doubles up to breakerMaxPause.
	breakerPause    = time.Second
	breakerMaxPause = 30 * time.Second
)

// Breaker sets a failing target aside and lets one probe through at a time
// until it succeeds. The zero Breaker is closed.
type Breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// Down reports whether the target gets no call at now.
func (b *Breaker) Down(now time.Time) bool {
	if b.failures < breakerFailures {
		return false
	}
	return b.probing || now.Before(b.until)
}

// Start notes that a call was sent; in an open breaker that call is the probe.
func (b *Breaker) Start() {
	if b.failures >= breakerFailures {
		b.probing = true
	}
}

// Success closes the breaker.
func (b *Breaker) Success() { *b = Breaker{} }

// Abandon notes a call that ended without evidence for or against the target,
// such as one that the caller cancelled.
func (b *Breaker) Abandon() { b.probing = false }

// Unreachable notes that the target refused the connection: strong evidence,
// which opens the breaker at once.
func (b *Breaker) Unreachable(now time.Time) {
	b.failures = max(b.failures, breakerFailures-1)
	b.Failure(now)
}

// Failure notes a failed call and opens the breaker after three in a row.
func (b *Breaker) Failure(now time.Time) {
	b.failures++
	b.probing = false
	if b.failures < breakerFailures {
		return
	}
	b.pause = min(max(2*b.pause, breakerPause), breakerMaxPause)
	b.until = now.Add(b.pause)
}
