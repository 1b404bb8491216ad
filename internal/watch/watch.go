// Package watch keeps a copy of a table up to date: it reads the whole table, follows
// its changes, and reads the whole table again when changes may have been missed.
// Instead of polling the store, a copy can be updated from the copy of another node.
// Versions only rise: an answer older than the copy is dropped. A store that is restored
// from an older backup begins another era, which is newer than every version of the last
// one. Changes do not lead from one era to the next, so the whole table is read then.
package watch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
)

const (
	// ShortWait is how long one call waits for changes of a table whose calls also detect a
	// store that stopped answering, or whose changes must be in force in time. It is near the
	// limit within which a change must be in force after the store is back (3 s). A single
	// call may hang while the calls of all other tables are answered.
	ShortWait = 3 * time.Second
	// LongWait is the same for tables that are woken when another table detects a failure or
	// the return of the store. It is longer because each call is charged for.
	LongWait = 20 * time.Second
	// SharedWait replaces ShortWait while other nodes follow this one: if the store stops
	// answering this node, its followers get no changes either. With this wait they leave a
	// node without answers of the store within 2 s, so that a drain or a configuration is in
	// force within 3 s also then. It costs a followed node 30 more calls per minute.
	SharedWait = 1200 * time.Millisecond
	// SharedLongWait replaces LongWait on a followed node for tables whose changes must be in
	// force in time: a single call may hang without the table that wakes the others detecting
	// it. The call is abandoned 0.7 s after this wait, within 3 s.
	SharedLongWait = 2 * time.Second
	// answerSlack is how much older than Wait the last answer of a store may be that answers.
	answerSlack = 1500 * time.Millisecond
	// firstRetry is the pause before the first retry; it doubles up to maxRetry while the store
	// does not answer. A store call takes about 5 ms; many nodes retry at once after an outage.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 700 * time.Millisecond
	// followRetry is the retry pause of a table while its Primary finds the store unavailable. The
	// table is woken when the store is back; this pause only bounds the delay if that wake-up is lost.
	followRetry = 10 * time.Second
	// rereadEvery is the time between two reads of the whole table without any sign of a missed
	// change: calls for changes may return none although something changed.
	rereadEvery = 30 * time.Second
)

// View is one state of the copy of a table.
type View struct {
	Rows map[string]store.Row
	// Changed are the keys of the rows that differ from the last view: changed, new or deleted.
	Changed []string
	// Version is the version of the copy.
	Version store.Version
	// RestoredAt is when the store last became available again after an outage, or was restored
	// from a backup; zero for never. Shortly after it rows may be missing until their writers
	// write them again.
	RestoredAt time.Time
}

// Table keeps a copy of one table up to date. It implements suture.Service.
type Table struct {
	// Name is the table's name in From.
	Name string
	From store.Watchable
	// Wait is how long one call waits for changes.
	Wait time.Duration
	// Pause returns how long to wait after a change before the next call, so that changes in
	// quick succession are applied together; nil for no wait.
	Pause func() time.Duration
	// Apply is called with each new view, and must not modify it.
	Apply func(View)
	// OnAvailability, if set, is called when the store stops or resumes answering.
	OnAvailability func()
	// Primary, if set, is a table whose calls detect when the store is back; this table is woken
	// then. Until then this table retries at followRetry: an outage must not cost calls for
	// each table of each node.
	Primary *Table
	// HasFollowers reports whether other nodes follow this copy. It must be set if SharedWait is. If
	// it reports true, calls wait for at most SharedWait instead of Wait.
	HasFollowers func() bool
	SharedWait   time.Duration
	Log          *slog.Logger

	mu sync.Mutex
	// cancel ends the call in progress. PollNow closes wake; the next call replaces it.
	cancel context.CancelFunc
	wake   chan struct{}
	// waits is set if the call in progress waits for changes, renewed if Renew ended it, and receiving
	// if its answer has begun to arrive.
	waits, renewed, receiving bool
	// relayed is set while another node supplies the updates; sourceChanged is closed when that
	// changes.
	relayed       bool
	sourceChanged chan struct{}

	// forWake is set if the last call was made for a wake-up; only Serve and step use it.
	forWake bool

	copy Copy
	lost atomic.Bool
	// lostAt is when the store stopped answering; nil for never.
	lostAt atomic.Pointer[time.Time]
	// reported is the newest version of a row that other nodes reported; nil for none.
	reported atomic.Pointer[store.Version]
	// lastAnswer is when the store last answered; nil for never, or not since Invalidate.
	lastAnswer atomic.Pointer[time.Time]

	// invalidations counts the calls of Invalidate. confirmed is the value of that count at the start of
	// the latest call that confirmed the copy.
	invalidations, confirmed atomic.Int64

	// updateMu serializes updates of the copy and the calls of Apply. It guards the fields
	// below.
	updateMu sync.Mutex
	regained time.Time
	lastRead time.Time
	// gap is set while changes may be missing from the copy.
	gap bool
}

// Copy returns the copy that the table keeps.
func (t *Table) Copy() *Copy { return &t.copy }

// LastAnswer returns when the store last answered; zero for never, or not since Invalidate.
func (t *Table) LastAnswer() time.Time {
	if at := t.lastAnswer.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

// Invalidate discards the time of the store's last answer and calls the store at once. It is for a
// host that was suspended: answers on calls that were open then may be as old as the suspension.
func (t *Table) Invalidate() {
	t.invalidations.Add(1)
	t.lastAnswer.Store(nil)
	t.PollNow()
}

// Invalidations returns the number of calls of Invalidate so far. A caller that begins to fetch the copy
// passes it to Confirm when the fetch is complete.
func (t *Table) Invalidations() int64 { return t.invalidations.Load() }

// Confirm records that the copy matches the store, by an answer to a request that began when
// Invalidations returned invalidations.
func (t *Table) Confirm(invalidations int64) {
	for {
		confirmed := t.confirmed.Load()
		if invalidations <= confirmed || t.confirmed.CompareAndSwap(confirmed, invalidations) {
			return
		}
	}
}

// Confirmed reports whether the copy was confirmed since the last Invalidate.
func (t *Table) Confirmed() bool { return t.confirmed.Load() >= t.invalidations.Load() }

// Connected reports whether the store answers: the last answer is younger than Wait plus
// answerSlack, and no call has failed since.
func (t *Table) Connected() bool {
	return !t.lost.Load() && time.Since(t.LastAnswer()) < t.Wait+answerSlack
}

// Report records the version of a row of this table that another node has.
func (t *Table) Report(version store.Version) {
	for {
		known := t.reported.Load()
		if known != nil && !known.Before(version) || t.reported.CompareAndSwap(known, &version) {
			return
		}
	}
}

// Reported returns the newest version that other nodes reported; zero for none.
func (t *Table) Reported() store.Version {
	if v := t.reported.Load(); v != nil {
		return *v
	}
	return store.Version{}
}

// Lost reports whether the store has stopped answering.
func (t *Table) Lost() bool { return t.lost.Load() }

// setGap records that changes may be missing from the copy.
func (t *Table) setGap() {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	t.gap = true
}

// step makes one call to the store and applies its answer.
func (t *Table) step(ctx context.Context) error {
	ctx, end, woken := t.begin(ctx)
	defer end()
	invalidations := t.Invalidations()
	t.forWake = woken
	if t.needsSnapshot() {
		return t.readSnapshot(ctx, invalidations)
	}
	maxWait := t.Wait
	if t.SharedWait > 0 && t.HasFollowers() {
		// The wait counts from the last answer: no answer came during Pause either, and
		// followers leave a node by the age of its last answer.
		maxWait = max(t.SharedWait-time.Since(t.LastAnswer()), 0)
	}
	if t.lost.Load() || woken {
		// Ask without waiting, to detect at once whether the store is back.
		maxWait = 0
	}
	t.setWaits(maxWait > 0)
	asked := t.copy.Position().Version
	changes, err := t.From.Changes(ctx, t.Name, asked, maxWait)
	if err != nil {
		return err
	}
	if !changes.Late {
		t.recordAnswer(time.Now())
	}
	changed := t.applyChanges(asked, changes)
	if !changes.Late {
		t.Confirm(invalidations)
	}
	if !changed || t.Pause == nil {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(t.Pause()):
	}
	return nil
}

// needsSnapshot reports whether the next call reads the whole table.
func (t *Table) needsSnapshot() bool {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	return t.gap || time.Since(t.lastRead) > rereadEvery
}

// applyChanges applies the store's answer to a call for the changes after version asked. It reports
// whether the copy changed.
func (t *Table) applyChanges(asked store.Version, changes store.Changes) bool {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	have := t.copy.Position().Version
	if changes.Version.Before(have) {
		return false
	}
	if !changes.Version.SameEra(asked) {
		// The changes begin at a number of another era, even if the copy has moved to their era
		// since the call.
		t.gap = t.gap || !changes.Version.SameEra(have)
		return false
	}
	if len(changes.Changes) == 0 {
		t.copy.advance(changes.Version)
		return false
	}
	// A row may have changed more than once; the last change counts.
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

// notifyContact calls OnAvailability, as the store stopped or resumed answering.
func (t *Table) notifyContact() {
	if t.OnAvailability != nil {
		t.OnAvailability()
	}
}

// apply calls Apply with the copy and the changed keys. The caller holds t.updateMu.
func (t *Table) apply(changed []string) {
	t.Apply(View{Rows: t.copy.Rows(), Changed: changed, Version: t.copy.Position().Version, RestoredAt: t.regained})
}

// minVersion returns the version that a read of the whole table must reach to close a gap; zero if the
// copy has no gap.
func (t *Table) minVersion() store.Version {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	if !t.gap {
		return store.Version{}
	}
	return t.copy.Position().Version
}

// readSnapshot reads the whole table and replaces the copy, unless the answer is older than it.
// invalidations is the number of Invalidations when the call began.
func (t *Table) readSnapshot(ctx context.Context, invalidations int64) error {
	snap, err := t.From.Snapshot(ctx, t.Name, t.minVersion())
	if err != nil {
		return err
	}
	if !snap.Late {
		t.recordAnswer(time.Now())
	}
	if err := t.applySnapshot(snap); err != nil {
		return err
	}
	if !snap.Late {
		t.Confirm(invalidations)
	}
	return nil
}

// applySnapshot replaces the copy by a read of the whole table. It drops a read older than the copy,
// and fails with store.ErrStale if the copy has a gap then.
func (t *Table) applySnapshot(snap store.Snapshot) error {
	t.updateMu.Lock()
	defer t.updateMu.Unlock()
	version := t.copy.Position().Version
	if snap.Version.Before(version) && t.gap {
		return store.ErrStale
	}
	t.lastRead = time.Now()
	if snap.Version.Before(version) {
		return nil
	}
	t.gap = false
	t.recordEra(snap.Version)
	t.apply(t.copy.replace(snap.Rows, snap.Version))
	return nil
}

// recordEra records that the store was restored from a backup, if next is of another era than the
// copy, before the copy is replaced: as after an outage, rows may be missing until their writers
// write them again. The caller holds t.updateMu.
func (t *Table) recordEra(next store.Version) {
	have := t.copy.Position().Version
	if have.IsZero() || next.SameEra(have) {
		return
	}
	t.regained = time.Now()
	t.Log.Warn("the store came back from a copy", "table", t.Name, "era", next.Era, "version", next.Number, "era_before", have.Era, "version_before", have.Number)
}

// recordAnswer records that the store answered at the given time.
func (t *Table) recordAnswer(at time.Time) {
	for {
		last := t.lastAnswer.Load()
		if (last != nil && !at.After(*last)) || t.lastAnswer.CompareAndSwap(last, &at) {
			break
		}
	}
	if lostAt := t.lostAt.Load(); lostAt != nil && at.Before(*lostAt) {
		return
	}
	if t.lost.Swap(false) {
		t.updateMu.Lock()
		t.regained = time.Now()
		t.updateMu.Unlock()
		t.notifyContact()
		t.Log.Info("store available again", "table", t.Name, "version", t.copy.Position().Version)
	}
}
