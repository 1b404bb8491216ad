// Package experiment measures policies on fake targets in virtual time. The
// decisions under test are the production code; only the targets and the
// traffic are models. docs/MEASUREMENTS.md gives the results.
package experiment

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/dispatch"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// PoolModel describes the targets of a pool.
type PoolModel struct {
	Pool    settings.Pool
	Targets int
	// Slots is how many calls a target works on at once.
	Slots int
	// Service is the mean time of a call, or of one token of an engine.
	Service time.Duration
	// Prefill is an engine's time before the first token; it shrinks to a fifth
	// where the prompt's prefix is cached.
	Prefill time.Duration
}

const (
	// jitter spreads service times: each is drawn from [1-jitter, 1+jitter]
	// times the mean.
	jitter = 0.3
	// cachedPrefixes is how many prompt prefixes an engine keeps.
	cachedPrefixes = 6
	// cachedPrefill is the share of the prefill that a cached prefix costs.
	cachedPrefill = 0.2
	prefixLen     = 24
)

// fakeTarget models one target host.
type fakeTarget struct {
	model PoolModel

	mu      sync.Mutex
	free    int
	waiting []*waiter
	cache   []string
	dead    bool
	slow    float64
}

type waiter struct {
	priority int
	ready    chan struct{}
}

// Targets is a set of fake targets; it implements pipeline.Caller.
type Targets struct {
	byID  map[string]*fakeTarget
	hosts []store.Host
	one   time.Duration

	mu   sync.Mutex
	rng  *rand.Rand
	busy map[string]map[string]time.Duration
}

// NewTargets returns healthy targets; oneWay is the latency of the network.
func NewTargets(pools []PoolModel, oneWay time.Duration, seed uint64) *Targets {
	t := &Targets{
		byID: make(map[string]*fakeTarget), one: oneWay, rng: rand.New(rand.NewPCG(seed, 7)),
		busy: make(map[string]map[string]time.Duration),
	}
	for _, p := range pools {
		for i := range p.Targets {
			id := p.Pool.Name + "-" + string(rune('a'+i))
			t.byID[id] = &fakeTarget{model: p, free: p.Slots, slow: 1}
			t.hosts = append(t.hosts, store.Host{
				ID: id, Addr: id, Pool: p.Pool.Name, DataCentre: "dc-" + string(rune('1'+i%4)), Slots: p.Slots, State: store.Live,
			})
		}
	}
	return t
}

// Hosts returns the host list.
func (t *Targets) Hosts() []store.Host { return t.hosts }

// Load returns the calls at a target.
func (t *Targets) Load(id string) int {
	f := t.byID[id]
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.model.Slots - f.free + len(f.waiting)
}

// Kill makes a share of a pool refuse connections and breaks what runs there.
func (t *Targets) Kill(pool string, share float64) {
	left := int(math.Ceil(share * float64(t.count(pool))))
	for _, h := range t.hosts {
		if h.Pool == pool && left > 0 {
			left--
			f := t.byID[h.ID]
			f.mu.Lock()
			f.dead = true
			f.mu.Unlock()
		}
	}
}

// Slow multiplies the service time of a pool.
func (t *Targets) Slow(pool string, factor float64) {
	for _, h := range t.hosts {
		if h.Pool == pool {
			f := t.byID[h.ID]
			f.mu.Lock()
			f.slow = factor
			f.mu.Unlock()
		}
	}
}

func (t *Targets) count(pool string) int {
	n := 0
	for _, h := range t.hosts {
		if h.Pool == pool {
			n++
		}
	}
	return n
}

// Busy returns the target time spent for a request, by stage.
func (t *Targets) Busy(request string) map[string]time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy[request]
}

func (t *Targets) charge(id dispatch.Identity, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.busy[id.Request] == nil {
		t.busy[id.Request] = make(map[string]time.Duration)
	}
	t.busy[id.Request][id.Stage] += d
}

func (t *Targets) draw(mean time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(mean) * (1 + jitter*(2*t.rng.Float64()-1)))
}

var errDead = verdict.New(verdict.NotRun, verdict.TargetFailed, "connection refused")
var errBroken = verdict.New(verdict.MayHaveRun, verdict.TargetFailed, "connection broken")

// enter waits for a slot of a target, in the order of priority.
func (f *fakeTarget) enter(ctx context.Context, priority int) error {
	f.mu.Lock()
	if f.dead {
		f.mu.Unlock()
		return errDead
	}
	if f.free > 0 {
		f.free--
		f.mu.Unlock()
		return nil
	}
	w := &waiter{priority: priority, ready: make(chan struct{})}
	i := 0
	for i < len(f.waiting) && f.waiting[i].priority <= priority {
		i++
	}
	f.waiting = append(f.waiting[:i], append([]*waiter{w}, f.waiting[i:]...)...)
	f.mu.Unlock()
	select {
	case <-w.ready:
		return nil
	case <-ctx.Done():
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, x := range f.waiting {
		if x == w {
			f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
			return ctxError(ctx)
		}
	}
	// The slot was granted in the same moment.
	f.leaveLocked()
	return ctxError(ctx)
}

func (f *fakeTarget) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaveLocked()
}

func (f *fakeTarget) leaveLocked() {
	if len(f.waiting) == 0 {
		f.free++
		return
	}
	close(f.waiting[0].ready)
	f.waiting = f.waiting[1:]
}

func ctxError(ctx context.Context) error {
	code := verdict.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		code = verdict.DeadlineExceeded
	}
	return verdict.New(verdict.MayHaveRun, code, "ended by the caller")
}

// spend works for d; it reports an error when the caller left or the target
// died.
func (t *Targets) spend(ctx context.Context, f *fakeTarget, id dispatch.Identity, d time.Duration) error {
	start := time.Now()
	timer := time.NewTimer(d)
	defer timer.Stop()
	var err error
	select {
	case <-timer.C:
	case <-ctx.Done():
		err = ctxError(ctx)
	}
	t.charge(id, time.Since(start))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dead {
		return errBroken
	}
	return err
}

func (f *fakeTarget) factor() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.slow
}

// Do implements pipeline.Caller.
func (t *Targets) Do(ctx context.Context, call dispatch.Call) ([]byte, error) {
	f := t.byID[call.Target]
	time.Sleep(t.one)
	if err := f.enter(ctx, 0); err != nil {
		return nil, err
	}
	defer f.leave()
	d := time.Duration(float64(t.draw(f.model.Service)) * f.factor())
	if err := t.spend(ctx, f, call.Identity, d); err != nil {
		return nil, err
	}
	time.Sleep(t.one)
	return stageAnswer(f.model.Pool.Kind), nil
}

// stageAnswer is a valid answer of each kind.
func stageAnswer(kind settings.PoolKind) []byte {
	switch kind {
	case settings.Encode:
		return []byte(`{"data":[{"embedding":[1]}]}`)
	case settings.Retrieve:
		return []byte(`{"documents":["d"]}`)
	case settings.Rerank:
		return []byte(`{"results":[{"index":0,"relevance_score":1}]}`)
	}
	return []byte(`{}`)
}

// tokensAtOnce is how many tokens are modelled by one wait.
const tokensAtOnce = 16

// Stream implements pipeline.Caller.
func (t *Targets) Stream(ctx context.Context, call dispatch.Call, next int, stall dispatch.Stall, emit func(dispatch.Token) error) error {
	var req pipeline.GenerateRequest
	if err := json.Unmarshal(call.Body, &req); err != nil {
		return err
	}
	f := t.byID[call.Target]
	time.Sleep(t.one)
	first, cancel := context.WithTimeout(ctx, stall.First)
	defer cancel()
	if err := f.enter(first, req.Priority); err != nil {
		return err
	}
	defer f.leave()
	if err := t.spend(ctx, f, call.Identity, time.Duration(float64(f.prefill(req.Prompt))*f.factor())); err != nil {
		return err
	}
	for next < req.MaxTokens {
		n := min(tokensAtOnce, req.MaxTokens-next)
		d := time.Duration(float64(t.draw(f.model.Service*time.Duration(n))) * f.factor())
		if err := t.spend(ctx, f, call.Identity, d); err != nil {
			return err
		}
		for range n {
			if err := emit(dispatch.Token{Index: next, Text: "t"}); err != nil {
				return err
			}
			next++
		}
	}
	time.Sleep(t.one)
	return nil
}

// prefill returns the time before the first token and updates the cache.
func (f *fakeTarget) prefill(prompt string) time.Duration {
	prefix := prompt[:min(len(prompt), prefixLen)]
	f.mu.Lock()
	defer f.mu.Unlock()
	hit := false
	for i, p := range f.cache {
		if p == prefix {
			f.cache = append(f.cache[:i], f.cache[i+1:]...)
			hit = true
			break
		}
	}
	f.cache = append(f.cache, prefix)
	if len(f.cache) > cachedPrefixes {
		f.cache = f.cache[1:]
	}
	if hit {
		return time.Duration(cachedPrefill * float64(f.model.Prefill))
	}
	return f.model.Prefill
}
