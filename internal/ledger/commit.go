package ledger

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// opKind is what an operation does.
type opKind uint8

const (
	claimOp opKind = iota
	finishOp
)

// op is one operation of a group, a set of operations committed in one
// transaction. A claim op creates a row, or replaces that of a released claim; a
// finish op replaces the row of a granted claim.
type op struct {
	kind    opKind
	ctx     context.Context
	claim   Claim
	write   store.Write
	version store.Version // expected version of the row; zero for none
	until   time.Time
	done    chan opResult
}

type opResult struct {
	grant Grant
	err   error
}

func (b *TableRegistry) enqueue(o *op) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.kind == claimOp && time.Now().Before(b.refuseUntil) {
		return errStoreUnavailable
	}
	if len(b.queue) >= queueLimit {
		b.stats.Dropped++
		return verdict.New(verdict.NotRun, verdict.Overloaded, "too many keys wait to be claimed").After(time.Second)
	}
	b.queue = append(b.queue, o)
	if !b.running {
		b.running = true
		go b.commitQueue()
	}
	return nil
}

// commitQueue commits the queued operations, which claim keys or finish claims, one group of them per
// transaction, until the queue is empty.
func (b *TableRegistry) commitQueue() {
	for {
		b.waitInterval()
		group := b.nextGroup()
		if group == nil {
			return
		}
		b.commit(group)
	}
}

// waitInterval waits until the interval since the last commit has passed.
func (b *TableRegistry) waitInterval() {
	b.mu.Lock()
	wait := time.Until(b.lastCommit.Add(b.interval))
	b.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// nextGroup removes a group from the queue in which each row occurs once. Without
// one it returns nil and marks the committing goroutine as ended.
func (b *TableRegistry) nextGroup() []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make(map[string]bool)
	var group, rest []*op
	for _, o := range b.queue {
		if o.ctx.Err() != nil {
			o.done <- opResult{err: errStoreUnavailable}
			continue
		}
		if len(group) == groupLimit || rows[o.write.Key] {
			rest = append(rest, o)
			continue
		}
		rows[o.write.Key] = true
		group = append(group, o)
	}
	b.queue = rest
	if len(group) == 0 {
		b.running = false
		return nil
	}
	b.lastCommit = time.Now()
	return group
}

// commit commits the group and sends every op its result. It retries what a
// conflict or a lost reply left unapplied.
func (b *TableRegistry) commit(group []*op) {
	for len(group) > 0 {
		ctx, cancel := context.WithDeadline(context.Background(), latestDeadline(group))
		version, err := b.tables.Commit(ctx, newTx(group))
		cancel()
		b.countCommit(len(group))
		var conflict *store.ConflictError
		switch {
		case err == nil:
			b.storeVersions(group, version)
			replyGranted(group)
			return
		case errors.As(err, &conflict):
			group = b.resolve(group, conflict.Failed)
		case errors.Is(err, store.ErrUnknown):
			group = b.resolveLostReply(group)
		default:
			b.markUnavailable()
			replyError(group, errStoreUnavailable)
			return
		}
	}
}

func (b *TableRegistry) markUnavailable() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refuseUntil = time.Now().Add(unavailablePause)
}

func (b *TableRegistry) countCommit(ops int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Commits++
	b.stats.Ops += int64(ops)
}

func newTx(group []*op) store.Tx {
	var tx store.Tx
	for _, o := range group {
		tx.Conditions = append(tx.Conditions, store.Condition{Table: claimTable, Key: o.write.Key, Version: o.version})
		tx.Writes = append(tx.Writes, o.write)
	}
	return tx
}

func latestDeadline(group []*op) time.Time {
	t := group[0].until
	for _, o := range group {
		if o.until.After(t) {
			t = o.until
		}
	}
	return t
}

func replyGranted(group []*op) {
	for _, o := range group {
		o.done <- opResult{grant: Grant{Granted: true}}
	}
}

func replyError(group []*op, err error) {
	for _, o := range group {
		o.done <- opResult{err: err}
	}
}

// resolve handles the ops whose conditions failed by reading their rows. It
// returns the ops to commit again: those whose conditions held, which were not
// applied, and those that may replace a released claim.
func (b *TableRegistry) resolve(group []*op, failed []int) []*op {
	conflicting := make(map[int]bool, len(failed))
	for _, i := range failed {
		conflicting[i] = true
	}
	var rest []*op
	for i, o := range group {
		if !conflicting[i] || b.readBack(o) {
			rest = append(rest, o)
		}
	}
	return rest
}

// readBack sends an op its result from the row that its condition conflicts
// with. It returns true instead if the row is that of a released claim, which
// the op may replace: the condition on the row's version fails if another
// attempt claims the key in between.
func (b *TableRegistry) readBack(o *op) (retry bool) {
	if o.kind == finishOp {
		// Another commit, possibly an earlier one of this node, changed the row;
		// Finish reads it again and decides.
		o.done <- opResult{err: eris.New("ledger: row changed")}
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), o.until)
	defer cancel()
	row, err := b.tables.Get(ctx, claimTable, o.claim.rowKey())
	if err != nil {
		// The service is unavailable, or the sweep deleted the row after the
		// conflict; the caller may try again.
		o.done <- opResult{err: errStoreUnavailable}
		return false
	}
	rec, err := decodeRecord(row)
	if err != nil {
		o.done <- opResult{err: err}
		return false
	}
	if rec.Released {
		o.version = row.Version
		return true
	}
	o.done <- opResult{grant: Grant{Granted: rec.heldBy(o.claim.Attempt), Existing: rec}}
	return false
}

// resolveLostReply determines whether a commit whose reply was lost was applied. A
// transaction is atomic, so one row shows it for the group. If it was not,
// resolveLostReply returns the group for another commit; the conditions make
// that commit safe even if the lost one is applied late.
func (b *TableRegistry) resolveLostReply(group []*op) []*op {
	for {
		ctx, cancel := context.WithDeadline(context.Background(), latestDeadline(group))
		applied, err := b.applied(ctx, group[0])
		cancel()
		if err == nil && applied {
			replyGranted(group)
			return nil
		}
		if err == nil {
			return group
		}
		if !time.Now().Before(latestDeadline(group)) {
			replyError(group, errStoreUnavailable)
			return nil
		}
		time.Sleep(retryPause)
	}
}

func (b *TableRegistry) applied(ctx context.Context, o *op) (bool, error) {
	return store.Applied(ctx, b.tables, claimTable, o.write.Key, o.write.Value)
}
