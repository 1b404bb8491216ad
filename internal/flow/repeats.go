package flow

import (
	"context"
	"sync"
	"time"
)

// RepeatBudgets bounds, by service, how often all nodes together send requests
// a second time: in any window the repeats stay under a share of the requests and
// a fixed number. Each node uses its part of that number without a message to others,
// as long as the part is good for a repeat; in a fleet so large that it isn't, nodes
// ask for each repeat. It is safe for concurrent use.
type RepeatBudgets struct {
	// Ratio is the repeats that one request allows, Fixed those that all nodes
	// may make in a Window beside them.
	ratio, fixed float64
	window       time.Duration
	// nodes returns how many nodes share the fixed part.
	nodes   func() int
	started time.Time
	// ask gets a permit for a repeat of a rate that all nodes share; nil for none.
	ask AskRepeat

	mu       sync.Mutex
	services map[string]*repeatBucket
}

// AskRepeat gets a permit for one repeat at a service, of a rate a second that all nodes share. It
// returns soon.
type AskRepeat func(ctx context.Context, service string, perSecond float64) bool

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
	// leastPart is the number of repeats that a node's part must be good for at once: a second
	// failure would find nothing left for many seconds.
	leastPart = 2
	// sharedShare of the fixed part is the rate of permits. While nodes differ over how many they
	// are some may use their own parts beside it.
	sharedShare = 0.5
)

// NewRepeatBudgets returns budgets that allow ratio repeats a request and fixed
// ones a window, over all nodes. ask gets permits where a node's part is too small; nil for none.
func NewRepeatBudgets(ratio, fixed float64, window time.Duration, nodes func() int, ask AskRepeat) *RepeatBudgets {
	return &RepeatBudgets{ratio: ratio, fixed: fixed, window: window, nodes: nodes, ask: ask, started: time.Now(), services: make(map[string]*repeatBucket)}
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

// Take reports whether one repeat is allowed and uses it up. It may ask another node.
func (b *RepeatBudgets) Take(ctx context.Context, service string) bool {
	if b.ask != nil && b.fixed > 0 && burstShare*b.fixed/float64(max(b.nodes(), 1)) < leastPart {
		return b.ask(ctx, service, sharedShare*b.fixed/b.window.Seconds())
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

// Credit lets the budgets begin as if some time had passed since the process started; for models.
func (b *RepeatBudgets) Credit(d time.Duration) { b.started = b.started.Add(-d) }
