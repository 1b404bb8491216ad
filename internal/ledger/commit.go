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

// op is one operation of a group. A claim op creates a row, or replaces that of
// a released claim; a finish op replaces the row of a granted claim.
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

func (b *TableBook) enqueue(o *op) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if o.kind == claimOp && time.Now().Before(b.down) {
		return errStoreDown
	}
	if len(b.queue) >= queueLimit {
		b.stats.Dropped++
		return verdict.New(verdict.NotRun, verdict.Overloaded, "too many keys wait to be claimed").After(time.Second)
	}
	b.queue = append(b.queue, o)
	if !b.running {
		b.running = true
		go b.drain()
	}
	return nil
}

// drain commits groups until the queue is empty.
func (b *TableBook) drain() {
	for {
		b.pace()
		group := b.next()
		if group == nil {
			return
		}
		b.commit(group)
	}
}

// pace waits until the interval since the last commit has passed.
func (b *TableBook) pace() {
	b.mu.Lock()
	wait := time.Until(b.last.Add(b.interval))
	b.mu.Unlock()
	if wait > 0 {
		time.Sleep(wait)
	}
}

// next takes a group in which each row stands once.
func (b *TableBook) next() []*op {
	b.mu.Lock()
	defer b.mu.Unlock()
	rows := make(map[string]bool)
	var group, rest []*op
	for _, o := range b.queue {
		if o.ctx.Err() != nil {
			o.done <- opResult{err: errStoreDown}
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
	b.last = time.Now()
	return group
}

// commit settles every op of the group.
func (b *TableBook) commit(group []*op) {
	for len(group) > 0 {
		ctx, cancel := context.WithDeadline(context.Background(), latest(group))
		version, err := b.tables.Commit(ctx, transaction(group))
		cancel()
		b.count(len(group))
		var conflict *store.ConflictError
		switch {
		case err == nil:
			b.remember(group, version)
			succeed(group)
			return
		case errors.As(err, &conflict):
			group = b.resolve(group, conflict.Failed)
		case errors.Is(err, store.ErrUnknown):
			group = b.settle(group)
		default:
			b.markDown()
			fail(group, errStoreDown)
			return
		}
	}
}

func (b *TableBook) markDown() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = time.Now().Add(downPause)
}

func (b *TableBook) count(ops int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Commits++
	b.stats.Ops += int64(ops)
}

func transaction(group []*op) store.Tx {
	var tx store.Tx
	for _, o := range group {
		tx.Conditions = append(tx.Conditions, store.Condition{Table: claimTable, Key: o.write.Key, Version: o.version})
		tx.Writes = append(tx.Writes, o.write)
	}
	return tx
}

func latest(group []*op) time.Time {
	t := group[0].until
	for _, o := range group {
		if o.until.After(t) {
			t = o.until
		}
	}
	return t
}

func succeed(group []*op) {
	for _, o := range group {
		o.done <- opResult{grant: Grant{Granted: true}}
	}
}

func fail(group []*op, err error) {
	for _, o := range group {
		o.done <- opResult{err: err}
	}
}

// resolve answers the ops whose conditions failed by what their rows hold, and
// returns the others, which were not applied.
func (b *TableBook) resolve(group []*op, failed []int) []*op {
	bad := make(map[int]bool, len(failed))
	for _, i := range failed {
		bad[i] = true
	}
	var rest []*op
	for i, o := range group {
		if !bad[i] || b.readBack(o) {
			rest = append(rest, o)
		}
	}
	return rest
}

// readBack answers an op by the row that stands in its way. It reports true
// when the row is that of a released claim, which the op may replace: nobody
// may run the key meanwhile, as the condition on the row's version shows.
func (b *TableBook) readBack(o *op) (again bool) {
	if o.kind == finishOp {
		// Somebody, or our own earlier commit, changed the row; Finish reads it
		// again and decides.
		o.done <- opResult{err: eris.New("ledger: row changed")}
		return false
	}
	ctx, cancel := context.WithDeadline(context.Background(), o.until)
	defer cancel()
	row, err := b.tables.Get(ctx, claimTable, o.claim.rowKey())
	if err != nil {
		// Down, or swept in between; the caller may try again.
		o.done <- opResult{err: errStoreDown}
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

// settle finds out whether a commit whose reply was lost took effect. A
// transaction is atomic, so one row tells for all. It returns the group for
// another commit if it did not; the conditions make that commit safe even if
// the lost one arrives late.
func (b *TableBook) settle(group []*op) []*op {
	for {
		ctx, cancel := context.WithDeadline(context.Background(), latest(group))
		applied, err := b.applied(ctx, group[0])
		cancel()
		if err == nil && applied {
			succeed(group)
			return nil
		}
		if err == nil {
			return group
		}
		if !time.Now().Before(latest(group)) {
			fail(group, errStoreDown)
			return nil
		}
		time.Sleep(settlePause)
	}
}

func (b *TableBook) applied(ctx context.Context, o *op) (bool, error) {
	return store.Applied(ctx, b.tables, claimTable, o.write.Key, o.write.Value)
}
