package sharedrate

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Rate is a rate limit that this node keeps, as it last observed it.
type Rate struct {
	// Key names the rate.
	Key       string
	PerSecond float64
	// ConfirmedAt is when this node last observed the limit.
	ConfirmedAt time.Time
}

// Denied is the error of a request that gets no permit in time.
type Denied struct {
	// RetryAt is the earliest time at which to ask again.
	RetryAt time.Time
	// Ended reports that the limit has ended, which another node observed at EndedAt.
	Ended   bool
	EndedAt time.Time
	// Granter is the name of the node that was asked; empty if none could be.
	Granter string
}

// Error implements error.
func (d *Denied) Error() string {
	if d.Ended {
		return "sharedrate: the limit has ended, reported by " + d.Granter
	}
	return fmt.Sprintf("sharedrate: no permit for %v, granter %q", time.Until(d.RetryAt).Round(time.Millisecond), d.Granter)
}

// Config configures a Limiter.
type Config struct {
	Self Node
	// AskPermits sends a permit request to the node at addr. Its error is ErrNotReady where this
	// node cannot send yet.
	AskPermits func(ctx context.Context, addr string, a PermitRequest) (Grant, error)
	Log        *slog.Logger
}

// maxGranters bounds the nodes that are asked for one permit.
const maxGranters = 2

// Limiter gives the requests of one node permits of the rates that it shares with other nodes, and
// answers permit requests of all nodes. It is safe for concurrent use.
type Limiter struct {
	cfg Config

	mu     sync.Mutex
	broker *Broker
	queues map[string]*queue
}

// queue holds the requests that wait for permits of one rate, ordered by their turns.
type queue struct {
	rate    Rate
	waiting []*waiter
}

type waiter struct {
	turn, latest time.Time
	got          chan result
}

type result struct {
	permit Permit
	err    error
}

// New returns a Limiter.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, broker: NewBroker(cfg.Self, nil, time.Now()), queues: make(map[string]*queue)}
}

// SetNodes replaces the set of other nodes. Before the first call there are no permits.
func (l *Limiter) SetNodes(others []Node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.SetNodes(others, time.Now())
}

// DropPermits drops all unused permits. It is called after the host was suspended, as its clock stood
// still meanwhile.
func (l *Limiter) DropPermits() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.DropPermits()
}

// Counts returns the totals so far.
func (l *Limiter) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.broker.Counts()
}

// Acquire waits until it has a permit of the rate that is usable by latest, and until the permit
// becomes usable. Among the waiting requests of this node, those with the earliest turn go first.
// It fails with *Denied, at once where no permit is known to be available in time, or with the
// error of ctx.
func (l *Limiter) Acquire(ctx context.Context, rate Rate, turn, latest time.Time) (Permit, error) {
	w, p, err := l.takeOrEnqueue(rate, turn, latest)
	if err != nil {
		return Permit{}, err
	}
	if w != nil {
		select {
		case res := <-w.got:
			p, err = res.permit, res.err
		case <-ctx.Done():
			l.cancel(rate.Key, w)
			return Permit{}, ctx.Err()
		}
	}
	if err != nil {
		return Permit{}, err
	}
	return p, l.await(ctx, rate.Key, p)
}

// await waits until the permit becomes usable.
func (l *Limiter) await(ctx context.Context, key string, p Permit) error {
	wait := time.Until(p.From)
	if wait <= 0 {
		return nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		l.GiveBack(key, p)
		return ctx.Err()
	}
}

// takeOrEnqueue takes a cached permit, or adds the request to the queue of its rate.
func (l *Limiter) takeOrEnqueue(rate Rate, turn, latest time.Time) (*waiter, Permit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.broker.Sweep(now)
	q := l.queues[rate.Key]
	if q == nil {
		if p, ok := l.broker.Take(rate.Key, latest, now); ok {
			return nil, p, nil
		}
		if opens := l.broker.RetryAt(rate.Key); now.Before(opens) && latest.Before(opens) {
			l.broker.counts.Denied++
			return nil, Permit{}, &Denied{RetryAt: opens}
		}
		q = &queue{}
		l.queues[rate.Key] = q
		go l.serve(rate.Key, q)
	}
	q.rate = rate
	w := &waiter{turn: turn, latest: latest, got: make(chan result, 1)}
	at, _ := slices.BinarySearchFunc(q.waiting, w, func(a, b *waiter) int {
		if a.turn.After(b.turn) {
			return 1
		}
		return -1
	})
	q.waiting = slices.Insert(q.waiting, at, w)
	return w, Permit{}, nil
}

// cancel ends the wait of a request whose caller gave up.
func (l *Limiter) cancel(key string, w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if q := l.queues[key]; q != nil {
		if i := slices.Index(q.waiting, w); i >= 0 {
			q.waiting = slices.Delete(q.waiting, i, i+1)
			return
		}
	}
	if res := <-w.got; res.err == nil {
		l.broker.GiveBack(key, res.permit, time.Now())
	}
}

// GiveBack returns an unused permit, so that another request of this node may use it.
func (l *Limiter) GiveBack(key string, p Permit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.GiveBack(key, p, time.Now())
}

// serve requests permits until no request waits in the queue.
func (l *Limiter) serve(key string, q *queue) {
	for {
		asked, ask := l.nextRequest(key, q)
		if len(asked) == 0 {
			return
		}
		granter, grant, err := l.askGranter(ask)
		if err != nil {
			l.cfg.Log.Info("permit request failed at all granters", "key", key, "err", err)
		}
		l.distribute(key, q, asked, granter, grant)
	}
}

// nextRequest returns the permit request to send and the requests that it is for. If none wait, it
// removes the queue.
func (l *Limiter) nextRequest(key string, q *queue) (asked []*waiter, ask PermitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(q.waiting) == 0 {
		delete(l.queues, key)
		return nil, PermitRequest{}
	}
	var latest time.Time
	for _, w := range q.waiting {
		if w.latest.After(latest) {
			latest = w.latest
		}
	}
	return slices.Clone(q.waiting), l.broker.PermitRequest(q.rate, len(q.waiting), latest, time.Now())
}

// distribute gives the available permits to the waiting requests, and denies those requests that
// the grant was for and that got none.
func (l *Limiter) distribute(key string, q *queue, asked []*waiter, granter string, grant *Grant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.broker.ApplyGrant(key, grant, now)
	denied := &Denied{RetryAt: l.broker.RetryAt(key), Granter: granter}
	if grant != nil && grant.Ended {
		denied.Ended, denied.EndedAt = true, now.Add(-grant.EndedAge)
	}
	var remaining []*waiter
	for _, w := range q.waiting {
		p, ok := l.broker.Take(key, w.latest, now)
		switch {
		case ok:
			w.got <- result{permit: p}
		case slices.Contains(asked, w):
			l.broker.counts.Denied++
			w.got <- result{err: denied}
		default:
			remaining = append(remaining, w)
		}
	}
	q.waiting = remaining
}

var errNoGranter = errors.New("sharedrate: no node can be asked for permits")

// askGranter asks up to maxGranters nodes for permits, in their order, until one answers; if this
// node is next, it grants itself. The grant is nil if no node answers.
func (l *Limiter) askGranter(a PermitRequest) (granter string, g *Grant, err error) {
	for range maxGranters {
		l.mu.Lock()
		n, ok := l.broker.GranterFor(a.Key, time.Now())
		l.mu.Unlock()
		switch {
		case !ok:
			return "", nil, errNoGranter
		case n.Name == l.cfg.Self.Name:
			own := l.Grant(a)
			return n.Name, &own, nil
		}
		answer, askErr := l.askNode(n, a)
		if askErr == nil {
			return n.Name, &answer, nil
		}
		err = askErr
		l.cfg.Log.Info("node does not grant permits, passed over", "peer", n.Name, "addr", n.Addr, "key", a.Key, "err", err)
	}
	return "", nil, err
}

// askNode asks another node and records whether it answered.
func (l *Limiter) askNode(n Node, a PermitRequest) (Grant, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	g, err := l.cfg.AskPermits(ctx, n.Addr, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.RecordAnswer(n.Name, err, time.Now())
	return g, err
}

// Grant answers a permit request of another node or of this one, and starts the checks of other
// nodes that are due.
func (l *Limiter) Grant(a PermitRequest) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, toCheck := l.broker.Grant(a, time.Now())
	for _, n := range toCheck {
		go func() {
			if _, err := l.askNode(n, PermitRequest{}); err != nil {
				l.cfg.Log.Debug("check of another granter failed", "peer", n.Name, "err", err)
			}
		}()
	}
	return g
}

// Ended reports to the granter of the rate, in the background, that this node observed the end of
// the limit at observedAt, and drops this node's permits of the rate.
func (l *Limiter) Ended(key string, observedAt time.Time) {
	go func() {
		if _, _, err := l.askGranter(PermitRequest{Key: key, Asker: l.cfg.Self.Name, Ended: true, ConfirmedAge: time.Since(observedAt)}); err != nil {
			// The other nodes observe the end in answers of the target to their own requests.
			l.cfg.Log.Debug("report of an ended limit failed", "key", key, "err", err)
		}
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broker.Forget(key)
}
