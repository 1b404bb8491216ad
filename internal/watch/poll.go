package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"topazmoor/internal/store"
)

// PollNow ends the call or the pause in progress and calls the store at once, or after the answer that is
// being received. It is for a caller that found out that the store stopped or resumed answering.
func (t *Table) PollNow() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil {
		t.wake = make(chan struct{})
	}
	if !closed(t.wake) {
		close(t.wake)
	}
	if t.cancel != nil && !t.receiving {
		t.cancel()
	}
}

// Renew ends the call in progress if it waits for changes, so that the next call uses another
// connection. Unlike PollNow it does not add a call that returns at once. A call that does not wait
// for changes continues.
func (t *Table) Renew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil && t.waits {
		t.renewed = true
		t.cancel()
	}
}

// setWaits records whether the call that begins waits for changes.
func (t *Table) setWaits(waits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits = waits
}

// answerBegan records that the answer of the call in progress has begun to arrive.
func (t *Table) answerBegan() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits, t.receiving = false, true
}

// wasRenewed reports whether Renew ended the last call, and resets that.
func (t *Table) wasRenewed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	renewed := t.renewed
	t.renewed = false
	return renewed
}

// closed reports whether c is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// begin creates the context of one call, and reports and resets a pending wake-up.
func (t *Table) begin(ctx context.Context) (call context.Context, end func(), woken bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call, t.cancel = context.WithCancel(store.WithAnswerHook(ctx, t.answerBegan))
	t.waits, t.renewed, t.receiving = false, false, false
	if t.wake != nil {
		woken = closed(t.wake)
	}
	if woken {
		t.wake = make(chan struct{})
	}
	return call, t.cancel, woken
}

// wakePending reports whether there was a wake-up since the last call began.
func (t *Table) wakePending() bool { return closed(t.woken()) }

// woken returns the channel that the next PollNow closes; it is closed if there was one since
// the last call began.
func (t *Table) woken() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.wake == nil {
		t.wake = make(chan struct{})
	}
	return t.wake
}

// Serve implements suture.Service.
func (t *Table) Serve(ctx context.Context) error {
	retry := firstRetry
	for t.awaitDirect(ctx) {
		err := t.step(ctx)
		if err == nil {
			retry = firstRetry
			continue
		}
		renewed := t.wasRenewed()
		switch {
		case t.wakePending():
			// The wake-up ended the call; its error does not mean that the store is unavailable.
		case renewed:
			// Renew ended the call; its error does not mean that the store is unavailable.
			continue
		case errors.Is(err, store.ErrCompacted):
			t.Log.Info("table history compacted, reading the whole table", "table", t.Name, "version", t.copy.Position().Version)
			// The store answered. Without this, the followers of this copy would leave while a long
			// table is read, and would all read it from the store themselves.
			t.recordAnswer(time.Now())
			t.setGap()
		case errors.Is(err, store.ErrStale):
			t.Log.Info("stale read of the table dropped", "table", t.Name, "version", t.copy.Position().Version)
			t.recordAnswer(time.Now())
		case t.isRelayed() && !t.forWake:
			// The call began before the table was relayed; the other node supplies newer updates.
		default:
			t.recordLoss(err)
		}
		t.pause(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

// pause waits after a failed call until the retry time or a wake-up. Half of the time is random,
// so that nodes do not retry in step.
func (t *Table) pause(ctx context.Context, retry time.Duration) {
	if t.Primary != nil && t.Primary.Lost() {
		retry = followRetry
	}
	timer := time.NewTimer(retry/2 + rand.N(retry/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.woken():
	case <-timer.C:
	}
}

// recordLoss records that the store does not answer.
func (t *Table) recordLoss(err error) {
	now := time.Now()
	t.lostAt.Store(&now)
	if t.lost.Swap(true) {
		return
	}
	t.notifyContact()
	t.Log.Warn("store unavailable", "table", t.Name, "version", t.copy.Position().Version, "err", err)
}
