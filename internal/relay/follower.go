package relay

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/watch"
)

const (
	// acceptTimeout is how long a node may take until its first message: a connection and its
	// handshake take 3 round trips of 1 to 3 ms, and a busy node some tens of ms.
	acceptTimeout = 400 * time.Millisecond
	// silenceTimeout is how long a node may send no message after that: it sends one every
	// heartbeat, and a slow host may miss one.
	silenceTimeout = 2*heartbeat + 300*time.Millisecond
	// emptyTimeout is how long a node may have no copy to send. After a start of all nodes it
	// reads 60 pages of 5 ms for 3,000 targets.
	emptyTimeout = 1500 * time.Millisecond
	// maxAge is the greatest allowed age of the store's last answer to the node: its calls wait
	// for watch.SharedWait, and its client abandons a call 0.7 s after that.
	maxAge = watch.SharedWait + time.Second
	// behindTimeout is how long its copy may be older than that of the follower: it gathers
	// changes for up to 0.8 s.
	behindTimeout = 1500 * time.Millisecond
	// repeatInterval is the least time between two immediate retries at a node because its
	// update did not fit the follower's copy; a node whose updates never fit would otherwise be
	// called in an endless loop.
	repeatInterval = 5 * time.Second
	// minSkip is how long a node is skipped after it was left; it doubles up to maxSkip each time
	// the node is left again without having been followed.
	minSkip = 2 * time.Second
	maxSkip = 30 * time.Second
	// recheckInterval is the interval between evaluations of the choice of the node to follow.
	recheckInterval = time.Second
	// probeInterval is the mean time between two calls of a node to a store that answers
	// neither it nor the node that it follows; each pause is random between half and one and a
	// half of it. The store may refuse only that node, and this one must have the store again
	// within 3 s.
	probeInterval = 2 * time.Second
	// ownAnswerTimeout is how long the store may take to answer this node's own call while the
	// node that it follows gets no answer; after it this node leaves that node.
	ownAnswerTimeout = 800 * time.Millisecond
	// listTimeout is how long a starting node waits for the list of nodes, with its tables held,
	// after the store's first answer: nodes that never ran before first add themselves to the
	// list, and wait for each other.
	listTimeout = 4 * time.Second
	// startGrace is how long a node without a copy keeps trying other nodes before it reads the
	// store: if all nodes start at once, the first in rank order may be up some 100 ms later.
	startGrace = 800 * time.Millisecond
	// startSkip is how long a node is skipped during that time.
	startSkip = 150 * time.Millisecond
)

// Follower updates this node's tables from another node, or lets the tables poll the store. It
// implements suture.Service.
type Follower struct {
	// Self is the name of this node, DataCentre the name of its data centre.
	Self, DataCentre string
	// Nodes lists the nodes of the data centre that can be followed. NodesKnown is closed when that
	// list is known and the nodes can be called.
	Nodes      func() []Node
	NodesKnown <-chan struct{}
	// StoreAnswered is closed when the store has answered this process for the first time.
	StoreAnswered <-chan struct{}
	Remote        Remote
	// Tables are the tables to update; the calls of the first determine whether the store answers.
	Tables    []*watch.Table
	Publisher *Publisher
	Log       *slog.Logger

	// following is set while another node supplies the updates of the tables.
	following atomic.Bool

	// mu guards leaving, which ends the call to the node that is followed; nil if there is none.
	mu      sync.Mutex
	leaving context.CancelCauseFunc

	skipped map[string]skipped
	// publisher is the name of the node that is followed, selfFollows if the tables poll the store,
	// and empty while neither is decided.
	publisher string
	// whole is set if the next call requests whole tables, as the copies differed.
	whole bool
	// repeated is when a node was last called again at once because its update did not fit.
	repeated time.Time
	// graceEnds is when startGrace ends.
	graceEnds time.Time
}

// skipped is the state of a node that is skipped for a while.
type skipped struct {
	until time.Time
	pause time.Duration
	// away is set if the node was left because the store did not answer it.
	away bool
}

// PollsStore reports whether the tables poll the store.
func (f *Follower) PollsStore() bool { return !f.following.Load() }

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	f.skipped = make(map[string]skipped)
	f.awaitKnown(ctx)
	f.graceEnds = time.Now().Add(startGrace)
	for ctx.Err() == nil {
		n, ok := f.choose()
		switch {
		case ok:
			f.leave(n, f.follow(ctx, n))
		case f.starting() && len(f.skipped) > 0:
			f.pause(ctx, startSkip/2)
		default:
			f.pollStore(ctx)
		}
	}
	return ctx.Err()
}

// starting reports whether this node has no copy yet and startGrace has not ended.
func (f *Follower) starting() bool { return f.empty() && time.Now().Before(f.graceEnds) }

// empty reports whether this node has no copy of the first table yet.
func (f *Follower) empty() bool { return f.Tables[0].Copy().Rows() == nil }

// pause waits for a random time between d/2 and 3d/2.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitKnown waits until other nodes can be followed. It waits for the store's first answer without a
// limit, since the tables cannot be read without one either, and then for NodesKnown up to listTimeout.
func (f *Follower) awaitKnown(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.StoreAnswered:
	}
	timer := time.NewTimer(listTimeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.NodesKnown:
	case <-timer.C:
	}
}

// choose calls Choose with the current state.
func (f *Follower) choose() (Node, bool) {
	now := time.Now()
	st := ChoiceState{
		Self: f.Self, Ranked: Rank(f.DataCentre, f.Nodes()), Followed: f.Publisher.Followers() > 0, Lost: f.Tables[0].Lost(),
		Skipped: make(map[string]bool), Away: make(map[string]bool),
	}
	for name, p := range f.skipped {
		st.Skipped[name] = now.Before(p.until)
		st.Away[name] = p.away
	}
	return Choose(st)
}

// pollStore lets the tables poll the store for about recheckInterval, and skips this node in the
// choice if the store does not answer it.
func (f *Follower) pollStore(ctx context.Context) {
	if f.publisher != selfFollows {
		f.publisher = selfFollows
		f.Log.Info("following the store by itself", "data_centre_nodes", len(f.Nodes()), "followers", f.Publisher.Followers())
	}
	f.release()
	f.pause(ctx, recheckInterval)
	if f.Tables[0].Lost() {
		f.skip(f.Self, true)
		return
	}
	delete(f.skipped, f.Self)
}

// skip skips a node for a while and returns for how long.
func (f *Follower) skip(name string, away bool) time.Duration {
	p := f.skipped[name]
	p.pause = min(max(2*p.pause, minSkip), maxSkip)
	if f.starting() {
		p.pause = startSkip
	}
	p.until = time.Now().Add(p.pause)
	p.away = away
	f.skipped[name] = p
	return p.pause
}

// release makes the tables poll the store.
func (f *Follower) release() {
	f.following.Store(false)
	for _, t := range f.Tables {
		t.ResumePolling()
	}
}

// selfFollows is the value of Follower.publisher if the tables poll the store.
const selfFollows = "(none)"

// leave skips a node after its call ended with err, unless it is to be called again at once.
func (f *Follower) leave(n Node, err error) {
	again := errors.Is(err, watch.ErrGap) || errors.Is(err, watch.ErrCopiesDiffer)
	if errors.Is(err, errMoved) || again && time.Since(f.repeated) > repeatInterval {
		if again {
			f.repeated = time.Now()
		}
		f.Log.Info("call to the followed node ended, choosing again", "peer", n.Name, "err", err)
		return
	}
	pause := f.skip(n.Name, errors.Is(err, ErrStoreUnavailable))
	f.publisher = ""
	f.Log.Warn("following a node failed, skipping it", "peer", n.Name, "addr", n.Addr, "for_ms", pause.Milliseconds(), "err", err)
}

// follow updates the tables from a node until the call ends, and returns why it ended.
func (f *Follower) follow(ctx context.Context, n Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setLeaving(cancel)
	defer f.setLeaving(nil)
	watchdog := time.AfterFunc(acceptTimeout, func() { cancel(ErrNoMessage) })
	defer watchdog.Stop()
	now := time.Now()
	s := &session{f: f, node: n, began: now, choiceChecked: now, invalidations: f.invalidations()}
	err := f.Remote.Follow(ctx, n.Addr, f.have(), func(m Message) error {
		watchdog.Reset(silenceTimeout)
		return s.handle(m, time.Now())
	})
	if errors.Is(context.Cause(ctx), ErrNoMessage) {
		return fmt.Errorf("%w: %w", ErrNoMessage, err)
	}
	if errors.Is(context.Cause(ctx), errMoved) {
		return errMoved
	}
	if errors.Is(err, watch.ErrCopiesDiffer) {
		f.whole = true
	}
	return err
}

func (f *Follower) setLeaving(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = cancel
}

// Renew ends the call to the node that is followed, so that a new one begins. It is for a host that
// was suspended: messages on the old call may be as old as the suspension.
func (f *Follower) Renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving != nil {
		f.leaving(errMoved)
	}
}

// have returns the versions to request updates from.
func (f *Follower) have() []KnownVersion {
	out := make([]KnownVersion, len(f.Tables))
	for i, t := range f.Tables {
		out[i] = KnownVersion{Table: t.Name, Version: t.Copy().Position().Version}
		switch {
		case t.Copy().Rows() == nil:
			out[i].Version = NoVersion
		case f.whole:
			out[i].Version = watch.ResetVersion
		}
	}
	f.whole = false
	return out
}

// invalidations returns the values of Invalidations of the tables.
func (f *Follower) invalidations() []int64 {
	out := make([]int64, len(f.Tables))
	for i, t := range f.Tables {
		out[i] = t.Invalidations()
	}
	return out
}

// ranksBefore reports whether self is ranked before another node.
func (f *Follower) ranksBefore(other string) bool {
	for _, n := range Rank(f.DataCentre, f.Nodes()) {
		if n.Name == f.Self || n.Name == other {
			return n.Name == f.Self
		}
	}
	return false
}

// recordFollowed records that a node is followed now.
func (f *Follower) recordFollowed(n Node) {
	delete(f.skipped, n.Name)
	if f.publisher == n.Name {
		return
	}
	f.publisher = n.Name
	f.Log.Info("following the store through another node", "peer", n.Name, "addr", n.Addr)
}

// hold stops the tables from polling the store.
func (f *Follower) hold() {
	f.following.Store(true)
	for _, t := range f.Tables {
		t.StopPolling()
	}
}
