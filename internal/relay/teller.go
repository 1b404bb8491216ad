package relay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/watch"
)

// beat is the longest pause between two messages of a node that is followed: whoever hears
// nothing for silence takes it for frozen or cut off.
const beat = 400 * time.Millisecond

// Teller answers the nodes that follow this one. It is safe for concurrent use. It implements
// suture.Service.
type Teller struct {
	tables []*watch.Table

	followers atomic.Int64
	// refreshed is when a call was last ended for a first follower, in Unix nanoseconds.
	refreshed atomic.Int64
	stopping  atomic.Bool

	mu   sync.Mutex
	wake chan struct{}
}

// NewTeller returns a Teller of these tables. The first one's calls find out whether the
// store answers.
func NewTeller(tables ...*watch.Table) *Teller {
	return &Teller{tables: tables, wake: make(chan struct{})}
}

// Tables returns the tables that are told.
func (t *Teller) Tables() []*watch.Table { return t.tables }

// Followers returns how many nodes follow this one.
func (t *Teller) Followers() int { return int(t.followers.Load()) }

// Wake makes the next message go out now: a copy changed, or the store stopped or began to
// answer.
func (t *Teller) Wake() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.wake)
	t.wake = make(chan struct{})
}

// Stop sends all followers elsewhere.
func (t *Teller) Stop() {
	t.stopping.Store(true)
	t.Wake()
}

func (t *Teller) woken() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wake
}

// Follow tells a node what it lacks, and all that changes, until ctx ends, send fails or this
// node stops.
func (t *Teller) Follow(ctx context.Context, have []Have, send func(Told) error) error {
	t.followers.Add(1)
	t.refresh()
	defer t.followers.Add(-1)
	for {
		woken := t.woken()
		if t.stopping.Load() {
			return ErrStopping
		}
		if err := send(t.tell(have)); err != nil {
			return err
		}
		if t.lacks(have) {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-woken:
		}
	}
}

// lacks reports whether a table was told as it was a moment ago.
func (t *Teller) lacks(have []Have) bool {
	for _, h := range have {
		if table := t.table(h.Table); table != nil && h.Version.Before(table.Copy().Position().Version) {
			return true
		}
	}
	return false
}

// Serve implements suture.Service: it makes a message go out each beat.
func (t *Teller) Serve(ctx context.Context) error {
	tick := time.NewTicker(beat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if t.Followers() > 0 {
				t.Wake()
			}
		}
	}
}

// refresh ends the calls of the store that wait for as long as one node for itself may: with
// them this node's word would be too old. It does so once a maxAge, however nodes come and go.
// All calls end: one that has gone silent is noticed by the first table's only, which is then
// no longer in progress.
func (t *Teller) refresh() {
	last := t.refreshed.Load()
	now := time.Now().UnixNano()
	if t.followers.Load() > 1 || now-last < int64(maxAge) || !t.refreshed.CompareAndSwap(last, now) {
		return
	}
	t.tables[0].Poke()
	for _, table := range t.tables[1:] {
		if table.Copy().Rows() == nil {
			table.Poke()
			continue
		}
		table.Renew()
	}
}

// tell makes one message and notes in have what it tells.
func (t *Teller) tell(have []Have) Told {
	lead := t.tables[0]
	// Before a first answer, and after the host stood still, what is here may be old.
	told := Told{Away: lead.Lost() || lead.LastHeard().IsZero(), Tables: make([]TableTold, len(have))}
	if heard := lead.LastHeard(); !heard.IsZero() {
		told.Age = time.Since(heard)
	}
	for i := range have {
		table := t.table(have[i].Table)
		if table == nil {
			continue
		}
		told.Tables[i].News, told.Tables[i].Position = table.Copy().Tell(have[i].Version)
		have[i].Version = have[i].Version.Max(told.Tables[i].Position.Version)
	}
	return told
}

func (t *Teller) table(name string) *watch.Table {
	for _, table := range t.tables {
		if table.Name == name {
			return table
		}
	}
	return nil
}
