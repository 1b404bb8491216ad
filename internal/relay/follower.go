package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/watch"
)

const (
	// acceptTimeout is how long a node may take to tell something first: a connection and
	// its handshake take 3 round trips of 1 to 3 ms, and a busy node some tens of ms.
	acceptTimeout = 400 * time.Millisecond
	// silence is how long a node may say nothing after that: it says something each beat,
	// and a slow host may miss one.
	silence = 2*beat + 300*time.Millisecond
	// copyPatience is how long a node may have no copy to tell of. After a start of all
	// nodes it reads 60 pages of 5 ms for 3,000 targets.
	copyPatience = 1500 * time.Millisecond
	// maxAge is how long ago the store may have answered the node: it asks each
	// watch.SharedWait, and its client gives a call up 0.7 s after that.
	maxAge = watch.SharedWait + time.Second
	// behindPatience is how long its copy may be older than the own one: it gathers changes
	// for up to 0.8 s.
	behindPatience = 1500 * time.Millisecond
	// repeatPause is how seldom a node is asked again at once because its news did not fit
	// the own copy; one that never fit would otherwise be asked without an end.
	repeatPause = 5 * time.Second
	// firstPass is how long a node that was left is not asked again; it doubles up to
	// maxPass while that goes on.
	firstPass = 2 * time.Second
	maxPass   = 30 * time.Second
	// lookAgain is how often the choice is looked at.
	lookAgain = time.Second
	// probePause is how often, half of it random, a node asks a store by itself that
	// answers neither it nor the node that it follows: that node may have been turned away
	// alone, and this one is to be back within 3 s.
	probePause = 2 * time.Second
	// askPatience is how long the store may take to answer this node, before it counts as
	// one that no other asks for.
	askPatience = 800 * time.Millisecond
	// startPatience is how long the tables are held at a start for the list of nodes: nodes that
	// never ran before enter themselves, and wait for each other, first.
	startPatience = 4 * time.Second
	// startGrace is how long a node without a copy goes on looking for one that has some:
	// where all nodes start at once the first in order may be up some 100 ms later.
	startGrace = 800 * time.Millisecond
	// startPass is firstPass in that time.
	startPass = 150 * time.Millisecond
)

// Follower keeps this node's tables by what other nodes tell, or lets the tables ask the
// store. It implements suture.Service.
type Follower struct {
	Self, DataCentre string
	// Nodes lists the nodes of the data centre that can be followed. Known is closed when they can
	// be chosen from and asked.
	Nodes func() []Node
	Known <-chan struct{}
	// Answered is closed when the store answered this process for the first time.
	Answered <-chan struct{}
	Remote   Remote
	// Tables are kept; the first one's calls find out whether the store answers.
	Tables []*watch.Table
	Teller *Teller
	Log    *slog.Logger

	// following is set while the tables are kept by what another node tells.
	following atomic.Bool

	// leaving ends the call at the node that is followed.
	mu      sync.Mutex
	leaving context.CancelCauseFunc

	passed map[string]passed
	// teller is the node that is followed, selfFollows for none; "" while that is open.
	teller string
	// whole asks for whole tables next, as the copies differed.
	whole bool
	// repeated is when a node was last asked again as its news did not fit.
	repeated time.Time
	// graceEnds is when a node without a copy reads the store by itself.
	graceEnds time.Time
}

// passed is a node that is not asked for a while.
type passed struct {
	until time.Time
	pause time.Duration
	// away says that it was left because the store did not answer it.
	away bool
}

// Alone reports whether the tables ask the store by themselves.
func (f *Follower) Alone() bool { return !f.following.Load() }

// Serve implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	f.passed = make(map[string]passed)
	f.awaitKnown(ctx)
	f.graceEnds = time.Now().Add(startGrace)
	for ctx.Err() == nil {
		n, ok := f.choose()
		switch {
		case ok:
			f.leave(n, f.follow(ctx, n))
		case f.starting() && len(f.passed) > 0:
			f.pause(ctx, startPass/2)
		default:
			f.alone(ctx)
		}
	}
	return ctx.Err()
}

// starting reports whether this node has no copy yet and may still wait for another's.
func (f *Follower) starting() bool { return f.empty() && time.Now().Before(f.graceEnds) }

func (f *Follower) empty() bool { return f.Tables[0].Copy().Rows() == nil }

// pause waits for about d.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// awaitKnown waits until other nodes can be followed: for the store's first answer as long as
// it takes, since without one the tables cannot be read either, and then not for long.
func (f *Follower) awaitKnown(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.Answered:
	}
	timer := time.NewTimer(startPatience)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-f.Known:
	case <-timer.C:
	}
}

// choose applies Choose to what is known now.
func (f *Follower) choose() (Node, bool) {
	now := time.Now()
	st := Standing{
		Self: f.Self, Ranked: Rank(f.DataCentre, f.Nodes()), Followed: f.Teller.Followers() > 0, Lost: f.Tables[0].Lost(),
		Passed: make(map[string]bool), Away: make(map[string]bool),
	}
	for name, p := range f.passed {
		st.Passed[name] = now.Before(p.until)
		st.Away[name] = p.away
	}
	return Choose(st)
}

// alone lets the tables ask the store for a while.
func (f *Follower) alone(ctx context.Context) {
	if f.teller != selfFollows {
		f.teller = selfFollows
		f.Log.Info("following the store by itself", "data_centre_nodes", len(f.Nodes()), "followers", f.Teller.Followers())
	}
	f.release()
	f.pause(ctx, lookAgain)
	if f.Tables[0].Lost() {
		f.pass(f.Self, true)
		return
	}
	delete(f.passed, f.Self)
}

// pass keeps a node from being asked for a while and returns how long.
func (f *Follower) pass(name string, away bool) time.Duration {
	p := f.passed[name]
	p.pause = min(max(2*p.pause, firstPass), maxPass)
	if f.starting() {
		p.pause = startPass
	}
	p.until = time.Now().Add(p.pause)
	p.away = away
	f.passed[name] = p
	return p.pause
}

// release lets the tables ask the store.
func (f *Follower) release() {
	f.following.Store(false)
	for _, t := range f.Tables {
		t.Release()
	}
}

// selfFollows stands for no teller.
const selfFollows = "(none)"

// leave notes why a node was left.
func (f *Follower) leave(n Node, err error) {
	again := errors.Is(err, watch.ErrGap) || errors.Is(err, watch.ErrDiffers)
	if errors.Is(err, errMoved) || again && time.Since(f.repeated) > repeatPause {
		if again {
			f.repeated = time.Now()
		}
		f.Log.Info("asking again what the store has", "peer", n.Name, "err", err)
		return
	}
	pause := f.pass(n.Name, errors.Is(err, ErrAway))
	f.teller = ""
	f.Log.Warn("node does not tell what the store has, leaving it", "peer", n.Name, "addr", n.Addr, "for_ms", pause.Milliseconds(), "err", err)
}

// session is one call at a node that is followed.
type session struct {
	f    *Follower
	node Node
	// began is the start of the call, told the first message with a copy.
	began time.Time
	told  bool
	// behind is since when the node's copy has been older than the own one.
	behind time.Time
	// asked is when the store was last asked by itself as the node does not reach it, probe
	// when it is next.
	asked, probe time.Time
	// looked is when the choice was last looked at.
	looked time.Time
	// doubts are those of the tables when the call began.
	doubts []int64
}

// follow keeps the tables by what a node tells until it is to be left.
func (f *Follower) follow(ctx context.Context, n Node) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.setLeaving(cancel)
	defer f.setLeaving(nil)
	watchdog := time.AfterFunc(acceptTimeout, func() { cancel(ErrSilent) })
	defer watchdog.Stop()
	now := time.Now()
	s := &session{f: f, node: n, began: now, looked: now, doubts: f.doubts()}
	err := f.Remote.Follow(ctx, n.Addr, f.have(), func(t Told) error {
		watchdog.Reset(silence)
		return s.take(t, time.Now())
	})
	if errors.Is(context.Cause(ctx), ErrSilent) {
		return ErrSilent
	}
	if errors.Is(context.Cause(ctx), errMoved) {
		return errMoved
	}
	if errors.Is(err, watch.ErrDiffers) {
		f.whole = true
	}
	return err
}

func (f *Follower) setLeaving(cancel context.CancelCauseFunc) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = cancel
}

// Renew ends the call at the node that is followed, so that a new one begins: the host stood
// still, and what comes on the old one may be as old.
func (f *Follower) Renew() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving != nil {
		f.leaving(errMoved)
	}
}

// have is how far the tables are.
func (f *Follower) have() []Have {
	out := make([]Have, len(f.Tables))
	for i, t := range f.Tables {
		out[i] = Have{Table: t.Name, Version: t.Copy().Position().Version}
		switch {
		case t.Copy().Rows() == nil:
			out[i].Version = Nothing
		case f.whole:
			out[i].Version = watch.Anew
		}
	}
	f.whole = false
	return out
}

// doubts returns those of the tables.
func (f *Follower) doubts() []int64 {
	out := make([]int64, len(f.Tables))
	for i, t := range f.Tables {
		out[i] = t.Doubt()
	}
	return out
}

// take takes one message in; its error is why the node is left.
func (s *session) take(t Told, now time.Time) error {
	if now.Sub(s.looked) > lookAgain {
		s.looked = now
		if n, ok := s.f.choose(); !ok || n.Name != s.node.Name {
			return errMoved
		}
	}
	if len(t.Tables) != len(s.f.Tables) {
		return ErrEmpty
	}
	if !t.Tables[0].Position.Version.IsZero() && !t.Away && t.Age <= maxAge {
		// Before the rows: some may be missing shortly after the store's return.
		s.heard(now.Add(-t.Age))
	}
	// What is told once is not told again, so that it is taken in any case.
	if err := s.copy(t); err != nil {
		return err
	}
	if t.Tables[0].Position.Version.IsZero() {
		return s.empty(now)
	}
	if t.Away || t.Age > maxAge {
		return s.away(now)
	}
	if !s.told {
		s.told = true
		s.f.begin(s.node)
	}
	s.f.hold()
	for i, table := range s.f.Tables {
		table.Confirm(s.doubts[i])
	}
	return s.keepsUp(t, now)
}

// heard notes that the store answered the node at a moment.
func (s *session) heard(at time.Time) {
	for _, table := range s.f.Tables {
		table.Heard(at)
	}
}

// away decides what to do while the store does not answer the node: ask the store once; leave
// the node if the store answers this one, else let it find out for both when the store is
// back. An outage costs a node that follows one call, and one each probePause.
func (s *session) away(now time.Time) error {
	lead := s.f.Tables[0]
	if s.f.ranksBefore(s.node.Name) {
		return ErrAway
	}
	s.f.hold()
	switch {
	case s.asked.IsZero(), lead.Lost() && now.After(s.probe):
		s.asked = now
		s.probe = now.Add(probePause/2 + rand.N(probePause))
		lead.Poke()
	case lead.Lost():
	case lead.LastHeard().After(s.asked), now.Sub(s.asked) > askPatience:
		return ErrAway
	}
	return nil
}

// ranksBefore reports whether self comes before another node in the order.
func (f *Follower) ranksBefore(other string) bool {
	for _, n := range Rank(f.DataCentre, f.Nodes()) {
		if n.Name == f.Self || n.Name == other {
			return n.Name == f.Self
		}
	}
	return false
}

// empty decides how long to wait for a node that has no copy yet.
func (s *session) empty(now time.Time) error {
	if now.Sub(s.began) > copyPatience {
		return ErrEmpty
	}
	return nil
}

// copy takes the node's copy over.
func (s *session) copy(t Told) error {
	for i, table := range s.f.Tables {
		theirs := t.Tables[i]
		if theirs.Position.Version.IsZero() {
			continue
		}
		if theirs.News != nil {
			if err := table.Take(*theirs.News); err != nil {
				return eris.Wrapf(err, "table %s at version %s", table.Name, theirs.Position.Version)
			}
		}
		if err := table.Compare(theirs.Position); err != nil {
			return eris.Wrapf(err, "table %s at version %s", table.Name, theirs.Position.Version)
		}
	}
	return nil
}

// keepsUp fails when the node's copy has long been older than the own one. Only the first
// table tells: the version of a copy rises with each answer of the store, and the others'
// calls wait long for one.
func (s *session) keepsUp(t Told, now time.Time) error {
	if !t.Tables[0].Position.Version.Before(s.f.Tables[0].Copy().Position().Version) {
		s.behind = time.Time{}
		return nil
	}
	if s.behind.IsZero() {
		s.behind = now
	}
	if now.Sub(s.behind) > behindPatience {
		return ErrBehind
	}
	return nil
}

// begin notes that a node is followed.
func (f *Follower) begin(n Node) {
	delete(f.passed, n.Name)
	if f.teller == n.Name {
		return
	}
	f.teller = n.Name
	f.Log.Info("following the store through another node", "peer", n.Name, "addr", n.Addr)
}

// hold keeps the tables from asking the store.
func (f *Follower) hold() {
	f.following.Store(true)
	for _, t := range f.Tables {
		t.Hold()
	}
}
