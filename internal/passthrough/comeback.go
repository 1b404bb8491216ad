package passthrough

import "time"

const (
	// retryAfterStart is the retry delay while a node starts and the store answers: a start takes
	// a few store calls of 5 ms each and the tables received from another node.
	retryAfterStart = 300 * time.Millisecond
	// maxRetryAfterOutage is the longest retry delay while the store does not answer a node that
	// has no configuration. A caller retries once or twice: with retryAfterStart it would use up
	// its retries before the store is back.
	maxRetryAfterOutage = 2 * time.Second
)

// retryAfterUnready returns the retry delay for a request to a node that lacks the
// configuration the request needs.
//
// This case occurs after the loss of all nodes while the store is unreachable, and then for
// the whole load: no request can be served until the store is back, at an unknown time. A late
// answer is better than another refusal, so the delay is as long as the caller honours, up to
// maxRetryAfterOutage. Callers with little time left, or without a store outage to wait for,
// get a short delay.
func retryAfterUnready(callerTimeout time.Duration, storeAway bool) time.Duration {
	if !storeAway {
		return retryAfterStart
	}
	if callerTimeout <= 0 {
		callerTimeout = defaultTimeout
	}
	return min(max(time.Duration(maxRetryAfterFraction*float64(callerTimeout)), retryAfterStart), maxRetryAfterOutage)
}

// retryAfterUnready returns the retry delay for this request.
func (c *call) retryAfterUnready() time.Duration {
	return retryAfterUnready(c.meta.CallerTimeout, c.s.cfg.StoreUnreachable())
}
