package relay

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/watch"
)

// heartbeat is the longest interval between two messages of a node that is followed: a follower that
// receives none for silenceTimeout treats the node as hung or cut off.
const heartbeat = 400 * time.Millisecond

// Publisher sends this node's copies of tables to the nodes that follow it. It is safe for concurrent
// use. It implements suture.Service.
type Publisher struct {
	tables []*watch.Table

	followers atomic.Int64
	// refreshed is when refresh last ended the calls that wait for changes, in Unix nanoseconds.
	refreshed atomic.Int64
	stopping  atomic.Bool

	mu   sync.Mutex
	wake chan struct{}
}

// NewPublisher returns a Publisher of these tables. The calls of the first table determine whether the
// store answers.
func NewPublisher(tables ...*watch.Table) *Publisher {
	return &Publisher{tables: tables, wake: make(chan struct{})}
}

// Tables returns the tables whose copies are sent.
func (p *Publisher) Tables() []*watch.Table { return p.tables }

// Followers returns how many nodes follow this one.
func (p *Publisher) Followers() int { return int(p.followers.Load()) }

// Wake sends the next message to each follower now, as a copy changed, or the store stopped or
// resumed answering.
func (p *Publisher) Wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.wake)
	p.wake = make(chan struct{})
}

// Stop ends all calls of followers with ErrStopping, also later ones.
func (p *Publisher) Stop() {
	p.stopping.Store(true)
	p.Wake()
}

// woken returns the channel that the next Wake closes.
func (p *Publisher) woken() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wake
}

// Send sends a message to a follower. It may send long updates in parts, one with each message. It
// returns for each table whether parts remain; nil for none. The next message has no update for such a
// table.
type Send func(Message) (unfinished []bool, err error)

// Follow sends a follower what it lacks and all later changes, until ctx ends, send fails or Stop is
// called. It updates the versions in have to what was sent.
func (p *Publisher) Follow(ctx context.Context, have []KnownVersion, send Send) error {
	p.followers.Add(1)
	p.refresh()
	defer p.followers.Add(-1)
	var unfinished []bool
	for {
		woken := p.woken()
		if p.stopping.Load() {
			return ErrStopping
		}
		var err error
		if unfinished, err = send(p.buildMessage(have, unfinished)); err != nil {
			return err
		}
		if slices.Contains(unfinished, true) || p.lacks(have) {
			continue
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-woken:
		}
	}
}

// lacks reports whether a follower at the versions in have lacks changes: a cached update with a whole
// table may be older than the copy.
func (p *Publisher) lacks(have []KnownVersion) bool {
	for _, h := range have {
		if table := p.table(h.Table); table != nil && h.Version.Before(table.Copy().Position().Version) {
			return true
		}
	}
	return false
}

// Serve implements suture.Service: it sends a message to each follower every heartbeat.
func (p *Publisher) Serve(ctx context.Context) error {
	tick := time.NewTicker(heartbeat)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			if p.Followers() > 0 {
				p.Wake()
			}
		}
	}
}

// refresh ends the calls to the store that began before the first follower came: they may wait so
// long that the last answer is too old for a follower. It does so at most once per maxAge, however
// often followers come and go. It ends the calls of all tables, not only the first one's: usually the
// first table's call in progress detects that another call hangs, but that one ends here.
func (p *Publisher) refresh() {
	last := p.refreshed.Load()
	now := time.Now().UnixNano()
	if p.followers.Load() > 1 || now-last < int64(maxAge) || !p.refreshed.CompareAndSwap(last, now) {
		return
	}
	p.tables[0].PollNow()
	for _, table := range p.tables[1:] {
		if table.Copy().Rows() == nil {
			table.PollNow()
			continue
		}
		table.Renew()
	}
}

// buildMessage builds one message and records in have the versions that it brings a follower to. It has
// no updates for tables with an unfinished one.
func (p *Publisher) buildMessage(have []KnownVersion, unfinished []bool) Message {
	lead := p.tables[0]
	// Before the first answer, and after the host was suspended, the copies may be old.
	message := Message{Away: lead.Lost() || lead.LastAnswer().IsZero(), Tables: make([]TableMessage, len(have))}
	if answered := lead.LastAnswer(); !answered.IsZero() {
		message.AnswerAge = time.Since(answered)
	}
	for i := range have {
		table := p.table(have[i].Table)
		if table == nil {
			continue
		}
		out := &message.Tables[i]
		out.AnswerAge = NeverAnswered
		if answered := table.LastAnswer(); !answered.IsZero() {
			out.AnswerAge = time.Since(answered)
		}
		if unfinished != nil && unfinished[i] {
			out.Position = table.Copy().Position()
			continue
		}
		out.News, out.Position = table.Copy().CachedSince(have[i].Version)
		have[i].Version = have[i].Version.Max(out.Position.Version)
	}
	return message
}

func (p *Publisher) table(name string) *watch.Table {
	for _, table := range p.tables {
		if table.Name == name {
			return table
		}
	}
	return nil
}
