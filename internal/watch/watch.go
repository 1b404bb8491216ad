// Package watch keeps a copy of a table up to date: it reads the table whole,
// follows its changes, and reads it whole again when changes may have been
// missed. Instead of asking the store, a copy can be kept by what another node tells of
// its own one. Versions only rise: an answer older than the copy is dropped. A store that came
// back from an older copy of itself begins another era, which is newer than all of the last one;
// what was seen of the last one leads nowhere, so that the table is read whole.
package watch

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
)

const (
	// ShortWait is how long one call waits for changes of a table that also serves
	// to notice a store that went silent, or that must be in force in time: near the time
	// after which a change must be in force once the store is back (3 s). One call may go
	// silent by itself, while those of all other tables are answered.
	ShortWait = 3 * time.Second
	// LongWait is the same for tables that are poked when another one notices.
	// Each call is paid for.
	LongWait = 20 * time.Second
	// SharedWait is the same where other nodes follow this one: what the store's silence
	// hides from one node is then hidden from all of them. With it they leave a node that
	// hears nothing of the store within 2 s, so that a drain or a configuration is in force
	// within 3 s also then. It costs a followed node 30 calls a minute more.
	SharedWait = 1200 * time.Millisecond
	// SharedLongWait is LongWait of a followed node for what must be in force in time: one
	// call may go silent by itself, and the table that pokes the others need not notice. It
	// is given up 0.7 s later, within 3 s.
	SharedLongWait = 2 * time.Second
	// answerSlack is how long beyond its waiting time a call may take.
	answerSlack = 3 * time.Second
	// firstRetry doubles up to maxRetry while the store does not answer. A
	// store call takes about 5 ms; many nodes retry at once after an outage.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 700 * time.Millisecond
	// followRetry is the pause of a table while its lead finds the store away. It only
	// bounds what a lost poke costs.
	followRetry = 10 * time.Second
	// rereadEvery is the time between two whole reads without any sign of a
	// missed change: a watch can stay silent although something changed.
	rereadEvery = 30 * time.Second
)

// View is a copy of a table.
type View struct {
	Rows map[string]store.Row
	// Changed are the keys of the rows that differ from the last view: changed, new or gone.
	Changed []string
	// Version is that of the copy.
	Version store.Version
	// Regained is when the store last came back after it was away; zero for
	// never. Rows may be missing shortly after it that their writers restore.
	Regained time.Time
}

// Table follows one table. It implements suture.Service.
type Table struct {
	// Name is the table's name.
	Name string
	From store.Watchable
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Pause tells the least time between two calls after a change, so that changes
	// that come one after the other are taken in together; nil for none.
	Pause func() time.Duration
	// Apply is called with each new view; it must not change it.
	Apply func(View)
	// Contact, when set, is called when the store stops or begins to answer.
	Contact func()
	// Lead, when set, is a table whose calls find out when the store is back and that
	// pokes this one then. Until then this one asks seldom: an outage must not cost
	// calls for each table of each node.
	Lead *Table
	// Shared, when set, reports whether other nodes follow this copy: calls wait for
	// SharedWait then, where that is set.
	Shared     func() bool
	SharedWait time.Duration
	Log        *slog.Logger

	mu sync.Mutex
	// cancel ends the call in progress; poked is closed by Poke, until the next call
	// takes that in.
	cancel context.CancelFunc
	poked  chan struct{}
	// waits says that the call in progress waits for changes, renewed that Renew ended it.
	waits, renewed bool
	// relayed is set while another node tells what the store has; turn is closed when
	// that changes.
	relayed bool
	turn    chan struct{}

	// byPoke says that the last call was made for a poke; only Serve uses it.
	byPoke bool

	copy Copy
	lost atomic.Bool
	// heard is when the store last answered; nil for never, or not since Distrust.
	heard atomic.Pointer[time.Time]

	// doubt counts the calls of Distrust, sure is how many of them the copy was confirmed after.
	doubt, sure atomic.Int64

	// taking holds one update of the copy at a time, with its Apply. It guards the
	// fields below.
	taking   sync.Mutex
	regained time.Time
	lastRead time.Time
	// gap is set while changes may be missing from the copy.
	gap bool
}

// Copy returns the copy that the table keeps.
func (t *Table) Copy() *Copy { return &t.copy }

// LastHeard returns when the store last answered; zero for never, or not since Distrust.
func (t *Table) LastHeard() time.Time {
	if at := t.heard.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Distrust forgets when the store last answered, as the host stood still meanwhile, and asks
// the store at once: what comes on calls that were open may be as old.
func (t *Table) Distrust() {
	t.doubt.Add(1)
	t.heard.Store(nil)
	t.Poke()
}

// Doubt returns what Confirm is given by who began to ask for the copy now.
func (t *Table) Doubt() int64 { return t.doubt.Load() }

// Confirm notes that the copy is as the store has it, by an answer that was asked for at a
// moment of Doubt.
func (t *Table) Confirm(doubt int64) {
	for {
		sure := t.sure.Load()
		if doubt <= sure || t.sure.CompareAndSwap(sure, doubt) {
			return
		}
	}
}

// Trusted reports whether the copy was confirmed since Distrust.
func (t *Table) Trusted() bool { return t.sure.Load() >= t.doubt.Load() }

// Connected reports whether the store answers: it did lately, and no call has failed
// since.
func (t *Table) Connected() bool {
	return !t.lost.Load() && time.Since(t.LastHeard()) < t.Wait+answerSlack
}

// Lost reports whether the store does not answer.
func (t *Table) Lost() bool { return t.lost.Load() }

// Poke ends the call or the pause in progress and asks the store at once: another call
// has shown that the store stopped, or began, to answer.
func (t *Table) Poke() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.poked == nil {
		t.poked = make(chan struct{})
	}
	if !closed(t.poked) {
		close(t.poked)
	}
	if t.cancel != nil {
		t.cancel()
	}
}

// Renew ends the call in progress if it waits for changes, so that the next one goes out on
// another connection. Unlike Poke it does not ask for an answer at once, which would be one
// more call; one that asks at once goes on.
func (t *Table) Renew() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cancel != nil && t.waits {
		t.renewed = true
		t.cancel()
	}
}

// setWaits notes whether the call that begins waits for changes.
func (t *Table) setWaits(waits bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits = waits
}

// wasRenewed reports whether Renew ended the last call, and forgets it.
func (t *Table) wasRenewed() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	renewed := t.renewed
	t.renewed = false
	return renewed
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// begin opens the context of one call and takes in a poke.
func (t *Table) begin(ctx context.Context) (call context.Context, end func(), poked bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	call, t.cancel = context.WithCancel(ctx)
	t.waits, t.renewed = false, false
	if t.poked != nil {
		poked = closed(t.poked)
	}
	if poked {
		t.poked = make(chan struct{})
	}
	return call, t.cancel, poked
}

// wasPoked reports whether there was a poke since the last call began.
func (t *Table) wasPoked() bool { return closed(t.pokes()) }

// pokes returns the channel that the next Poke closes; it is closed if there was one since
// the last call began.
func (t *Table) pokes() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.poked == nil {
		t.poked = make(chan struct{})
	}
	return t.poked
}

// Serve implements suture.Service.
func (t *Table) Serve(ctx context.Context) error {
	retry := firstRetry
	for t.awaitTurn(ctx) {
		err := t.step(ctx)
		if err == nil {
			retry = firstRetry
			continue
		}
		renewed := t.wasRenewed()
		switch {
		case t.wasPoked():
			// That ended the call, which says nothing of the store.
		case renewed:
			// So did that.
			continue
		case errors.Is(err, store.ErrCompacted):
			t.Log.Info("history of the table is gone, reading it whole", "table", t.Name, "version", t.copy.Position().Version)
			// The store answered: a long table takes long to read, and who follows this copy would
			// leave it meanwhile, all to read the table themselves.
			t.answered(time.Now())
			t.setGap()
		case errors.Is(err, store.ErrStale):
			t.Log.Info("old read of the table dropped", "table", t.Name, "version", t.copy.Position().Version)
			t.answered(time.Now())
		case t.isRelayed() && !t.byPoke:
			// A call that was begun before; the other node knows better now.
		default:
			t.away(err)
		}
		t.pause(ctx, retry)
		retry = min(2*retry, maxRetry)
	}
	return ctx.Err()
}

// pause waits after a call that failed, or for a poke. Half of the time is random, so
// that nodes don't come back in step.
func (t *Table) pause(ctx context.Context, retry time.Duration) {
	if t.Lead != nil && t.Lead.Lost() {
		retry = followRetry
	}
	timer := time.NewTimer(retry/2 + rand.N(retry/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.pokes():
	case <-timer.C:
	}
}

// away notes that the store does not answer.
func (t *Table) away(err error) {
	if t.lost.Swap(true) {
		return
	}
	t.contact()
	t.Log.Warn("store lost", "table", t.Name, "version", t.copy.Position().Version, "err", err)
}

func (t *Table) setGap() {
	t.taking.Lock()
	defer t.taking.Unlock()
	t.gap = true
}

func (t *Table) step(ctx context.Context) error {
	ctx, end, poked := t.begin(ctx)
	defer end()
	doubt := t.Doubt()
	t.byPoke = poked
	if t.wantsWhole() {
		err := t.readWhole(ctx)
		if err == nil {
			t.Confirm(doubt)
		}
		return err
	}
	patience := t.Wait
	if t.SharedWait > 0 && t.Shared() {
		// Counted from the last answer: while changes were gathered nothing was heard either,
		// and the followers leave a node by how old its word is.
		patience = max(t.SharedWait-time.Since(t.LastHeard()), 0)
	}
	if t.lost.Load() || poked {
		// Hear at once whether the store is back.
		patience = 0
	}
	t.setWaits(patience > 0)
	asked := t.copy.Position().Version
	changes, err := t.From.Changes(ctx, t.Name, asked, patience)
	if err != nil {
		return err
	}
	t.answered(time.Now())
	changed := t.takeChanges(asked, changes)
	t.Confirm(doubt)
	if !changed || t.Pause == nil {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(t.Pause()):
	}
	return nil
}

// wantsWhole reports whether the next call reads the table whole.
func (t *Table) wantsWhole() bool {
	t.taking.Lock()
	defer t.taking.Unlock()
	return t.gap || time.Since(t.lastRead) > rereadEvery
}

// takeChanges takes in an answer of the store to a call for what changed after a version, and
// reports whether anything did.
func (t *Table) takeChanges(asked store.Version, changes store.Changes) bool {
	t.taking.Lock()
	defer t.taking.Unlock()
	have := t.copy.Position().Version
	if changes.Version.Before(have) {
		return false
	}
	if !changes.Version.SameEra(asked) {
		// They begin at a number of another era, also where the copy has moved to this one
		// meanwhile.
		t.gap = t.gap || !changes.Version.SameEra(have)
		return false
	}
	if len(changes.Changes) == 0 {
		t.copy.advance(changes.Version)
		return false
	}
	// A row may have changed more than once.
	last := make(map[string]store.Change, len(changes.Changes))
	for _, c := range changes.Changes {
		last[c.Key] = c
	}
	var rows []store.Row
	var deleted []string
	for key, c := range last {
		if c.Deleted {
			deleted = append(deleted, key)
			continue
		}
		rows = append(rows, c.Row)
	}
	t.apply(t.copy.merge(rows, deleted, changes.Version))
	return true
}

// contact tells that the store stopped or began to answer.
func (t *Table) contact() {
	if t.Contact != nil {
		t.Contact()
	}
}

// apply hands the copy on, with the keys that changed. The caller holds t.taking.
func (t *Table) apply(changed []string) {
	t.Apply(View{Rows: t.copy.Rows(), Changed: changed, Version: t.copy.Position().Version, Regained: t.regained})
}

// least is the version before which a whole read does not complete the copy.
func (t *Table) least() store.Version {
	t.taking.Lock()
	defer t.taking.Unlock()
	if !t.gap {
		return store.Version{}
	}
	return t.copy.Position().Version
}

// readWhole replaces the copy, unless the answer is older than the copy.
func (t *Table) readWhole(ctx context.Context) error {
	snap, err := t.From.Snapshot(ctx, t.Name, t.least())
	if err != nil {
		return err
	}
	t.answered(time.Now())
	return t.takeWhole(snap)
}

// takeWhole takes in a whole read.
func (t *Table) takeWhole(snap store.Snapshot) error {
	t.taking.Lock()
	defer t.taking.Unlock()
	version := t.copy.Position().Version
	if snap.Version.Before(version) && t.gap {
		return store.ErrStale
	}
	t.lastRead = time.Now()
	if snap.Version.Before(version) {
		return nil
	}
	t.gap = false
	t.noteEra(snap.Version)
	t.apply(t.copy.replace(snap.Rows, snap.Version))
	return nil
}

// noteEra notes a copy of a store that came back from an older one, before it is taken over: as
// after an outage, rows may be missing that their writers write again. The caller holds t.taking.
func (t *Table) noteEra(next store.Version) {
	have := t.copy.Position().Version
	if have.IsZero() || next.SameEra(have) {
		return
	}
	t.regained = time.Now()
	t.Log.Warn("the store came back from a copy", "table", t.Name, "era", next.Era, "version", next.Number, "era_before", have.Era, "version_before", have.Number)
}

// answered notes that the store answered at a moment.
func (t *Table) answered(at time.Time) {
	for {
		last := t.heard.Load()
		if (last != nil && !at.After(*last)) || t.heard.CompareAndSwap(last, &at) {
			break
		}
	}
	if t.lost.Swap(false) {
		t.taking.Lock()
		t.regained = time.Now()
		t.taking.Unlock()
		t.contact()
		t.Log.Info("store regained", "table", t.Name, "version", t.copy.Position().Version)
	}
}
