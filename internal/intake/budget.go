// Package intake bounds the memory that callers make a process hold: bodies and heads of requests, answers that are
// not read, and what the kernel keeps for their connections. A caller that stalls gives way to others.
package intake

import (
	"sync"
	"time"

	"topazmoor/internal/verdict"
)

const (
	// SmallBytes is the size up to which a Hold may use the whole budget. Larger ones leave a reserve, so that small
	// bodies are read while many large ones are open.
	SmallBytes = 64 << 10
	// reserveDivisor is the part of the budget that only small holds may use.
	reserveDivisor = 4
	// patience is how long a reader is safe from giving way to another one.
	patience = 500 * time.Millisecond
	// minRetryAfter is the shortest delay that a refusal names; busyRetryAfter is the delay if all room is taken by
	// requests that are being served.
	minRetryAfter  = 20 * time.Millisecond
	busyRetryAfter = 500 * time.Millisecond
)

// Budget bounds the bytes of all holds together. It is safe for concurrent use.
type Budget struct {
	// limit is in bytes; 0 for none.
	limit int64

	mu sync.Mutex
	// used are the bytes of all holds, ending those of holds that were told to end.
	used, ending int64
	// reading are the holds that can be told to end.
	reading map[*Hold]struct{}
	// changed is closed and replaced when bytes are released or a hold is told to end.
	changed chan struct{}
	counts  Counts
}

// Counts describes a Budget.
type Counts struct {
	// Used and Limit are in bytes.
	Used, Limit int64
	// Refused counts the requests for bytes that got none, Ended the readers that gave way to others.
	Refused, Ended int64
}

// NewBudget returns a Budget of limit bytes; 0 for no limit.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, reading: make(map[*Hold]struct{}), changed: make(chan struct{})}
}

// Counts returns the state of the budget.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.counts
	c.Used, c.Limit = b.used, b.limit
	return c
}

// largest returns the size of the largest hold that fits, in bytes. There must be a limit.
func (b *Budget) largest() int64 { return b.limit - b.limit/reserveDivisor }

// BodyLimit returns the largest body that is read where limit bytes are allowed: no body may be larger than what all
// together may hold.
func (b *Budget) BodyLimit(limit int64) int64 {
	if b.limit == 0 {
		return limit
	}
	return min(limit, b.largest())
}

// room returns how many bytes all holds may use after one of them has grown to size.
func (b *Budget) room(size int64) int64 {
	if size <= SmallBytes {
		return b.limit
	}
	return b.largest()
}

// broadcast wakes all that wait for a change. The lock must be held.
func (b *Budget) broadcast() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Hold is the part of a Budget that one request or connection uses. It is safe for concurrent use.
type Hold struct {
	b     *Budget
	began time.Time
	// end makes the reader of the bytes give up.
	end func()

	// The lock of the budget guards the fields below.
	bytes           int64
	ended, released bool
}

// NewHold returns an empty hold. Until Settle is called, end may be called once, so that the reader of the bytes gives up
// in favour of others; it must not block. If end is nil, the hold never gives way.
func (b *Budget) NewHold(end func()) *Hold {
	h := &Hold{b: b, began: time.Now(), end: end}
	if end == nil {
		return h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reading[h] = struct{}{}
	return h
}

// Grow takes n more bytes. If they do not fit, readers that have occupied more for longer are told to end, and Grow
// waits for their bytes until a time. The error is a refusal: there is no room, or the hold itself was told to end.
func (h *Hold) Grow(n int64, until time.Time) error {
	for {
		changed, err := h.tryGrow(n)
		if changed == nil {
			return err
		}
		timer := time.NewTimer(time.Until(until))
		select {
		case <-changed:
			timer.Stop()
		case <-timer.C:
			return h.b.refuse()
		}
	}
}

// tryGrow takes n more bytes, or returns a channel that is closed when there may be room for them.
func (h *Hold) tryGrow(n int64) (changed <-chan struct{}, err error) {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended || h.released {
		return nil, b.noRoom(time.Now())
	}
	if h.take(n) {
		return nil, nil
	}
	if !h.makeRoom(n, time.Now()) {
		b.counts.Refused++
		return nil, b.noRoom(time.Now())
	}
	return b.changed, nil
}

// TryGrow takes n more bytes if they fit, and reports whether it did.
func (h *Hold) TryGrow(n int64) bool {
	h.b.mu.Lock()
	defer h.b.mu.Unlock()
	return !h.released && h.take(n)
}

// take takes n more bytes if they fit. The lock must be held.
func (h *Hold) take(n int64) bool {
	if n > 0 && h.b.limit > 0 && h.b.used+n > h.b.room(h.bytes+n) {
		return false
	}
	h.b.used += n
	h.bytes += n
	return true
}

// makeRoom tells readers to end until n more bytes of h fit once they have. It returns false if there are none whose
// bytes h is entitled to. The lock must be held.
func (h *Hold) makeRoom(n int64, now time.Time) bool {
	b := h.b
	room := b.room(h.bytes + n)
	if h.bytes+n > room {
		return false
	}
	for b.used-b.ending+n > room {
		heaviest := b.heaviest(now)
		if heaviest == nil || heaviest.occupied(now) <= h.occupied(now) {
			return false
		}
		heaviest.tellToEnd()
	}
	return true
}

// heaviest returns the reader that has occupied most for longest, or nil. The lock must be held.
func (b *Budget) heaviest(now time.Time) *Hold {
	var best *Hold
	most := 0.0
	for h := range b.reading {
		if o := h.occupied(now); o > most && now.Sub(h.began) >= patience {
			best, most = h, o
		}
	}
	return best
}

// occupied returns the product of the bytes and the age of the hold, in byte seconds.
func (h *Hold) occupied(now time.Time) float64 { return float64(h.bytes) * now.Sub(h.began).Seconds() }

// tellToEnd makes the reader of the hold give up. The lock must be held.
func (h *Hold) tellToEnd() {
	delete(h.b.reading, h)
	h.ended = true
	h.b.ending += h.bytes
	h.b.counts.Ended++
	h.b.broadcast()
	h.end()
}

// Settle ends the time in which the hold may be told to end, and gives back all but the first n bytes. It returns a
// refusal if the hold was told to end.
func (h *Hold) Settle(n int64) error {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.ended {
		return b.noRoom(time.Now())
	}
	delete(b.reading, h)
	if !h.released && n < h.bytes {
		b.used -= h.bytes - n
		h.bytes = n
		b.broadcast()
	}
	return nil
}

// Release gives all bytes back. Further calls have no effect.
func (h *Hold) Release() {
	b := h.b
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	delete(b.reading, h)
	b.used -= h.bytes
	if h.ended {
		b.ending -= h.bytes
	}
	if h.bytes > 0 {
		b.broadcast()
	}
}

// refuse counts a refusal and returns it.
func (b *Budget) refuse() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counts.Refused++
	return b.noRoom(time.Now())
}

// noRoom returns the refusal of a request whose bytes do not fit. The lock must be held.
func (b *Budget) noRoom(now time.Time) error {
	return verdict.New(verdict.NotRun, verdict.Overloaded, "the node holds as many bytes of its callers as it may").After(b.retryAfter(now))
}

// retryAfter returns when a reader can be told to end, or how long requests that are being served may take. The lock
// must be held.
func (b *Budget) retryAfter(now time.Time) time.Duration {
	after := busyRetryAfter
	for h := range b.reading {
		if h.bytes > 0 {
			after = min(after, patience-now.Sub(h.began))
		}
	}
	return max(after, minRetryAfter)
}
