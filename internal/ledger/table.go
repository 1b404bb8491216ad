package ledger

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/control"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// claimTable is the table of claims.
const claimTable = "claim"

// SweepShards is the number of shards in which old claims are deleted; their
// prefixes are the first hex digits of row keys.
const SweepShards = 8

// Sweep returns the task of sweep shard i: it deletes claims whose attempt
// ended longer ago than the repeat window. A key is not protected after that.
func Sweep(t store.Tables, i int, window time.Duration) *control.Sweep {
	return &control.Sweep{
		Tables: t, Table: claimTable, Prefixes: []string{hexDigit(2 * i), hexDigit(2*i + 1)},
		Old: func(r store.Row, now time.Time) bool {
			rec, err := decodeRecord(r)
			return err == nil && now.Sub(rec.Until) > window
		},
	}
}

func hexDigit(i int) string { return "0123456789abcdef"[i : i+1] }

const (
	// groupLimit is the most operations of one commit.
	groupLimit = 256
	// queueLimit is the most operations that wait for a commit.
	queueLimit = 8192
	// settlePause is the pause between tries to settle a lost reply or to
	// record an outcome while the service is down.
	settlePause = 200 * time.Millisecond
	// finishTimeout bounds one try to record an outcome.
	finishTimeout = time.Minute
	// downPause is how long claims are refused at once after the service was
	// found down; the first claim after it tries again.
	downPause = time.Second
)

// TableBook keeps claims in the table service. The claim of a key is the
// creation of its row, which the service lets happen once; no owner or lease
// is involved. All operations that wait share one commit, and there is one
// commit at a time, so the writes a second do not grow with the requests.
type TableBook struct {
	tables   store.Tables
	interval time.Duration
	log      *slog.Logger

	mu      sync.Mutex
	queue   []*op
	running bool
	last    time.Time
	down    time.Time
	stats   TableStats
	// versions holds the row versions of claims granted here, so that their
	// outcomes need no read first.
	versions map[string]rowVersion
}

// rowVersion is the version that an attempt's claim gave its row.
type rowVersion struct {
	attempt string
	version int64
}

// versionsLimit bounds the versions held.
const versionsLimit = 50_000

// TableStats counts the work of a TableBook.
type TableStats struct {
	// Commits is the number of transactions sent and Ops the operations in
	// them; Dropped counts outcomes that could not be recorded.
	Commits, Ops, Dropped int64
}

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
	version int64 // expected version of the row; 0 for none
	until   time.Time
	done    chan opResult
}

type opResult struct {
	grant Grant
	err   error
}

// NewTableBook returns a TableBook that starts at most one commit an interval.
func NewTableBook(t store.Tables, interval time.Duration, log *slog.Logger) *TableBook {
	return &TableBook{tables: t, interval: interval, log: log, versions: make(map[string]rowVersion)}
}

// Stats returns the counts so far.
func (b *TableBook) Stats() TableStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

var errStoreDown = verdict.New(verdict.NotRun, verdict.StoreUnavailable,
	"the key cannot be claimed because the table service does not answer; a request ticket works without it").
	After(2 * time.Second)

// Claim implements Book.
func (b *TableBook) Claim(ctx context.Context, c Claim) (Grant, error) {
	value, err := json.Marshal(Record{Claim: c})
	if err != nil {
		return Grant{}, eris.Wrap(err, "encode claim")
	}
	o := &op{
		kind: claimOp, ctx: ctx, claim: c, until: c.Until, done: make(chan opResult, 1),
		write: store.Write{Table: claimTable, Key: c.rowKey(), Value: value},
	}
	if err := b.enqueue(o); err != nil {
		return Grant{}, err
	}
	select {
	case r := <-o.done:
		return r.grant, r.err
	case <-ctx.Done():
		b.abandon(o)
		return Grant{}, errStoreDown
	}
}

// abandon releases a claim whose caller left before it was settled.
func (b *TableBook) abandon(o *op) {
	go func() {
		r := <-o.done
		if r.err == nil && r.grant.Granted {
			_ = b.Finish(context.Background(), o.claim, nil)
		}
	}()
}

// Finish implements Book. It returns when the outcome is recorded or cannot
// be: outcomes are retried through an outage until ctx ends.
func (b *TableBook) Finish(ctx context.Context, c Claim, out *Outcome) error {
	for {
		err := b.tryFinish(ctx, c, out)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(settlePause):
		}
	}
}

func (b *TableBook) tryFinish(ctx context.Context, c Claim, out *Outcome) error {
	version, held, err := b.heldVersion(ctx, c)
	if err != nil || !held {
		return err
	}
	value, err := json.Marshal(Record{Claim: c, Outcome: out, Released: out == nil})
	if err != nil {
		return eris.Wrap(err, "encode outcome")
	}
	o := &op{
		kind: finishOp, ctx: ctx, claim: c, version: version,
		write: store.Write{Table: claimTable, Key: c.rowKey(), Value: value},
		until: time.Now().Add(finishTimeout), done: make(chan opResult, 1),
	}
	if err := b.enqueue(o); err != nil {
		return err
	}
	return (<-o.done).err
}

// heldVersion returns the version of the row if the attempt still holds it
// without an outcome.
func (b *TableBook) heldVersion(ctx context.Context, c Claim) (version int64, held bool, err error) {
	b.mu.Lock()
	v, ok := b.versions[c.rowKey()]
	delete(b.versions, c.rowKey())
	b.mu.Unlock()
	if ok && v.attempt == c.Attempt {
		return v.version, true, nil
	}
	row, err := b.tables.Get(ctx, claimTable, c.rowKey())
	if errors.Is(err, store.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	rec, err := decodeRecord(row)
	if err != nil {
		return 0, false, err
	}
	return row.Version, rec.heldBy(c.Attempt), nil
}

// remember notes the versions of claims that a commit granted.
func (b *TableBook) remember(group []*op, version int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.versions) >= versionsLimit {
		// Claims that were never finished; outcomes read the row instead.
		clear(b.versions)
	}
	for _, o := range group {
		if o.kind == claimOp {
			b.versions[o.write.Key] = rowVersion{attempt: o.claim.Attempt, version: version}
		}
	}
}

// Lookup implements Book.
func (b *TableBook) Lookup(ctx context.Context, k Key) (Record, bool, error) {
	row, err := b.tables.Get(ctx, claimTable, k.rowKey())
	if errors.Is(err, store.ErrNotFound) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, errStoreDown
	}
	rec, err := decodeRecord(row)
	if rec.Released {
		return Record{}, false, err
	}
	return rec, err == nil, err
}

func decodeRecord(row store.Row) (Record, error) {
	var rec Record
	err := json.Unmarshal(row.Value, &rec)
	return rec, eris.Wrap(err, "decode claim")
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
