package flow

import (
	"context"
	"sync"
	"time"
)

// RepeatBudgets bounds, per service, how many repeats of requests all nodes send
// together: in any window at most a share of the requests plus a fixed number. Each
// node uses its part of the fixed number without messages to other nodes while the part
// allows minLocalBurst repeats at once. In a larger fleet a node requests a permit for
// each repeat. It is safe for concurrent use.
type RepeatBudgets struct {
	// ratio is the number of repeats per request; fixed is the number of further
	// repeats that all nodes together may send in a window.
	ratio, fixed float64
	window       time.Duration
	// nodes returns how many nodes share the fixed part.
	nodes func() int
	// started is the time from which a new bucket is filled.
	started time.Time
	// requestPermit requests a permit for one repeat; nil if there are no permits.
	requestPermit PermitFunc

	mu       sync.Mutex
	services map[string]*repeatBucket
}

// PermitFunc requests a permit for one repeat at a service and reports whether it was granted. All
// nodes share the rate of perSecond permits a second. It must return quickly.
type PermitFunc func(ctx context.Context, service string, perSecond float64) bool

type repeatBucket struct {
	// tokens is the number of repeats that may be sent now, lastRefill the time of
	// the last refill.
	tokens     float64
	lastRefill time.Time
}

const (
	// burstShare of a node's part of the fixed number may be used at once, and
	// refillShare of the part is refilled per window. Their sum is below 1, because
	// nodes may for a while count different numbers of nodes.
	burstShare  = 0.45
	refillShare = 0.35
	// ratioShare is the share of the ratio that is used. It is below 1 because requests are counted
	// on the node where they arrive, and repeats on the node that sends them.
	ratioShare = 0.8
	// minLocalBurst is the number of repeats that a node's part must allow at once, or the node
	// requests permits: with fewer, a second failure would get no repeat for many seconds.
	minLocalBurst = 2
	// permitRateShare is the share of the fixed number that is granted as permits in a window. It is
	// below 1 because nodes that count fewer nodes may use their own parts at the same time.
	permitRateShare = 0.5
)

// NewRepeatBudgets returns budgets that allow ratio repeats per request and fixed
// repeats per window, over all nodes. requestPermit is called where a node's part is too small;
// nil if there are no permits.
func NewRepeatBudgets(ratio, fixed float64, window time.Duration, nodes func() int, requestPermit PermitFunc) *RepeatBudgets {
	return &RepeatBudgets{ratio: ratio, fixed: fixed, window: window, nodes: nodes, requestPermit: requestPermit, started: time.Now(), services: make(map[string]*repeatBucket)}
}

// bucket returns the refilled bucket of a service and its capacity. The caller holds the lock.
func (b *RepeatBudgets) bucket(service string) (*repeatBucket, float64) {
	part := b.fixed / float64(max(b.nodes(), 1))
	limit := part * burstShare
	now := time.Now()
	s := b.services[service]
	if s == nil {
		// A process starts without tokens: the previous process of the node may have
		// used its part.
		s = &repeatBucket{lastRefill: b.started}
		b.services[service] = s
	}
	s.tokens += part * refillShare * float64(now.Sub(s.lastRefill)) / float64(b.window)
	s.tokens = min(s.tokens, limit)
	s.lastRefill = now
	return s, limit
}

// Request records a request for a service, which adds to the bucket.
func (b *RepeatBudgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, limit := b.bucket(service)
	s.tokens = min(limit, s.tokens+b.ratio*ratioShare)
}

// Take reports whether one repeat is allowed, and if so uses it up. It may request a permit
// from another node.
func (b *RepeatBudgets) Take(ctx context.Context, service string) bool {
	if b.requestPermit != nil && b.fixed > 0 && burstShare*b.fixed/float64(max(b.nodes(), 1)) < minLocalBurst {
		return b.requestPermit(ctx, service, permitRateShare*b.fixed/b.window.Seconds())
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _ := b.bucket(service)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}

// BackdateStart moves the start of the budgets back by d, as if the process had started
// earlier. It affects only services without a bucket yet, and is not safe for concurrent use. It
// is for simulations.
func (b *RepeatBudgets) BackdateStart(d time.Duration) { b.started = b.started.Add(-d) }
