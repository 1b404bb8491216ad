package flow

import (
	"sync"
	"time"
)

// RepeatBudgets bounds, by service, how often all nodes together send requests
// a second time, without a message between them: in any window the repeats stay
// under a share of the requests and a fixed number, of which each node uses its
// part. It is safe for concurrent use.
type RepeatBudgets struct {
	// Ratio is the repeats that one request allows, Fixed those that all nodes
	// may make in a Window beside them.
	ratio, fixed float64
	window       time.Duration
	// nodes returns how many nodes share the fixed part.
	nodes   func() int
	started time.Time

	mu       sync.Mutex
	services map[string]*repeatBucket
}

type repeatBucket struct {
	tokens float64
	filled time.Time
}

const (
	// burstShare of a node's fixed part may be used at once, and refillShare of
	// it comes back in a window. Their sum is below 1, as nodes may differ for a
	// while over how many they are.
	burstShare  = 0.45
	refillShare = 0.35
	// ratioShare of the allowed ratio is used: requests are counted where they
	// arrive, repeats where they are sent.
	ratioShare = 0.8
)

// NewRepeatBudgets returns budgets that allow ratio repeats a request and fixed
// ones a window, over all nodes.
func NewRepeatBudgets(ratio, fixed float64, window time.Duration, nodes func() int) *RepeatBudgets {
	return &RepeatBudgets{ratio: ratio, fixed: fixed, window: window, nodes: nodes, started: time.Now(), services: make(map[string]*repeatBucket)}
}

// bucket returns the refilled bucket of a service. The lock is held.
func (b *RepeatBudgets) bucket(service string) (*repeatBucket, float64) {
	part := b.fixed / float64(max(b.nodes(), 1))
	limit := part * burstShare
	now := time.Now()
	s := b.services[service]
	if s == nil {
		// A process starts with nothing: the one before it may have used its part.
		s = &repeatBucket{filled: b.started}
		b.services[service] = s
	}
	s.tokens += part * refillShare * float64(now.Sub(s.filled)) / float64(b.window)
	s.tokens = min(s.tokens, limit)
	s.filled = now
	return s, limit
}

// Request notes a request for a service.
func (b *RepeatBudgets) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, limit := b.bucket(service)
	s.tokens = min(limit, s.tokens+b.ratio*ratioShare)
}

// Take reports whether one repeat is allowed and uses it up.
func (b *RepeatBudgets) Take(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, _ := b.bucket(service)
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	return true
}
