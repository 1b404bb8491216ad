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
		Expired: func(r store.Row, now time.Time) bool {
			rec, err := decodeRecord(r)
			return err == nil && now.Sub(rec.Until) > window
		},
	}
}

func hexDigit(i int) string { return "0123456789abcdef"[i : i+1] }

const (
	// groupLimit is the maximum number of operations in one commit.
	groupLimit = 256
	// queueLimit is the maximum number of operations that wait for a commit.
	queueLimit = 8192
	// retryPause is the pause between attempts to resolve a lost reply, and
	// between attempts to record an outcome.
	retryPause = 200 * time.Millisecond
	// finishTimeout bounds one commit of an outcome.
	finishTimeout = time.Minute
	// unavailablePause is how long claims are refused at once after a commit failed
	// because the service was unavailable; later claims are sent again.
	unavailablePause = time.Second
)

// TableRegistry keeps claims in the table service. The claim of a key is the
// creation of its row, which the service allows once; no owner or lease is
// involved. Waiting operations share a commit of up to groupLimit operations,
// and commits run one at a time, so their number per second is bounded by the
// interval and not by the request rate.
type TableRegistry struct {
	tables   store.Tables
	interval time.Duration
	log      *slog.Logger
	// releaseCtx is the context of releases of abandoned claims; Close cancels it.
	releaseCtx     context.Context
	cancelReleases context.CancelFunc

	mu      sync.Mutex
	queue   []*op
	running bool
	// lastCommit is when the last group left the queue.
	lastCommit time.Time
	// refuseUntil is when claims are sent again after the service was unavailable.
	refuseUntil time.Time
	stats       TableStats
	// versions holds, by row key, the row versions of claims that this TableRegistry
	// granted, so that recording their outcomes needs no prior read.
	versions map[string]rowVersion
}

// rowVersion is the row version that the commit of an attempt's claim created.
type rowVersion struct {
	attempt string
	version store.Version
}

// versionsLimit is the maximum number of entries in TableRegistry.versions.
const versionsLimit = 50_000

// TableStats holds the counters of a TableRegistry.
type TableStats struct {
	// Commits is the number of transactions sent and Ops the operations in
	// them; Dropped counts operations rejected because the queue was full.
	Commits, Ops, Dropped int64
}

// NewTableRegistry returns a TableRegistry that takes at most one group from its queue
// per interval.
func NewTableRegistry(t store.Tables, interval time.Duration, log *slog.Logger) *TableRegistry {
	releaseCtx, cancelReleases := context.WithCancel(context.Background())
	return &TableRegistry{tables: t, interval: interval, log: log, releaseCtx: releaseCtx, cancelReleases: cancelReleases, versions: make(map[string]rowVersion)}
}

// Close stops retrying the release of abandoned claims. Without Close a release
// that the service rejects is retried for the life of the process, also through a
// long outage.
func (b *TableRegistry) Close() { b.cancelReleases() }

// Stats returns the counts so far.
func (b *TableRegistry) Stats() TableStats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.stats
}

var errStoreUnavailable = verdict.New(verdict.NotRun, verdict.StoreUnavailable,
	"the key cannot be claimed because the table service does not answer; a request ticket works without it").
	After(2 * time.Second)

// Claim implements Registry.
func (b *TableRegistry) Claim(ctx context.Context, c Claim) (Grant, error) {
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
		b.releaseAbandoned(o)
		return Grant{}, errStoreUnavailable
	}
}

// releaseAbandoned releases, in the background, a claim whose caller
// stopped waiting before the result.
func (b *TableRegistry) releaseAbandoned(o *op) {
	go func() {
		r := <-o.done
		if r.err == nil && r.grant.Granted {
			if err := b.Finish(b.releaseCtx, o.claim, nil); err != nil {
				b.log.Warn("abandoned claim not released: its key stays held", "account", o.claim.Key.Account, "err", err)
			}
		}
	}()
}

// Finish implements Registry. It retries until the outcome is recorded, the attempt
// no longer holds the key, or ctx ends.
func (b *TableRegistry) Finish(ctx context.Context, c Claim, out *Outcome) error {
	for {
		err := b.tryFinish(ctx, c, out)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryPause):
		}
	}
}

func (b *TableRegistry) tryFinish(ctx context.Context, c Claim, out *Outcome) error {
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
func (b *TableRegistry) heldVersion(ctx context.Context, c Claim) (version store.Version, held bool, err error) {
	b.mu.Lock()
	v, ok := b.versions[c.rowKey()]
	delete(b.versions, c.rowKey())
	b.mu.Unlock()
	if ok && v.attempt == c.Attempt {
		return v.version, true, nil
	}
	row, err := b.tables.Get(ctx, claimTable, c.rowKey())
	if errors.Is(err, store.ErrNotFound) {
		return store.Version{}, false, nil
	}
	if err != nil {
		return store.Version{}, false, err
	}
	rec, err := decodeRecord(row)
	if err != nil {
		return store.Version{}, false, err
	}
	return row.Version, rec.heldBy(c.Attempt), nil
}

// storeVersions stores the row versions of claims that a commit granted.
func (b *TableRegistry) storeVersions(group []*op, version store.Version) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.versions) >= versionsLimit {
		// Entries of claims that were never finished fill the map. Without an
		// entry, Finish reads the version from the row.
		clear(b.versions)
	}
	for _, o := range group {
		if o.kind == claimOp {
			b.versions[o.write.Key] = rowVersion{attempt: o.claim.Attempt, version: version}
		}
	}
}

// Lookup implements Registry.
func (b *TableRegistry) Lookup(ctx context.Context, k Key) (Record, bool, error) {
	row, err := b.tables.Get(ctx, claimTable, k.rowKey())
	if errors.Is(err, store.ErrNotFound) {
		return Record{}, false, nil
	}
	if err != nil {
		return Record{}, false, errStoreUnavailable
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
