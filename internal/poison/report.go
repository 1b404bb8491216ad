package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"topazmoor/internal/store"
)

// Tables in the store. All nodes follow QuarantineTable. crashTable has all requests under which a
// target ended, most of them once and innocent. It is not followed: it is read for single requests,
// by List and by the removal of old rows.
const (
	QuarantineTable = "quarantine"
	crashTable      = "crashes"
)

const (
	// maxBatch bounds the ends in one transaction, well below the store's limit of 100 entries: a
	// target has up to 50 requests in progress, and each takes a condition and a write.
	maxBatch = 40
	// maxQueued bounds the ops that wait while the store is unavailable.
	maxQueued = 1024
	// storeRetryPause is the longest pause after a failed call of the store; half of it is random.
	storeRetryPause = 400 * time.Millisecond
	// maxConflicts bounds the attempts to change a row that others change concurrently.
	maxConflicts = 5
	// claimTimeout bounds the claim of a probe.
	claimTimeout = 500 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
)

// Serve implements suture.Service. It writes the queued ops, and removes old rows.
func (g *Guard) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	evidence := time.NewTicker(evidenceSweepInterval)
	defer evidence.Stop()
	for ctx.Err() == nil {
		ops := g.queue.take()
		if len(ops) > 0 {
			g.write(ctx, ops)
			continue
		}
		select {
		case <-ctx.Done():
		case <-g.queue.wake:
		case <-tick.C:
			g.sweep(ctx)
		case <-evidence.C:
			g.sweepEvidence(ctx)
		}
	}
	return ctx.Err()
}

// write writes ops, and requeues those that the store did not accept.
func (g *Guard) write(ctx context.Context, ops []op) {
	left, err := g.writeAll(ctx, ops)
	if err == nil {
		g.queue.finishWrite()
		return
	}
	g.queue.requeue(left)
	g.cfg.Log.Info("write of ends under requests failed, to be retried", "waiting", len(left), "err", err)
	g.pause(ctx)
}

// pause waits before the next call of the store, and sends ends that are queued meanwhile to other
// nodes.
func (g *Guard) pause(ctx context.Context) {
	timer := time.NewTimer(storeRetryPause/2 + rand.N(storeRetryPause/2))
	defer timer.Stop()
	for {
		g.shareEnds(ctx, g.queue.takeUnshared())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-g.queue.wake:
		}
	}
}

// writeAll writes ops of one call of queue.take and returns those that are left after an error.
func (g *Guard) writeAll(ctx context.Context, ops []op) (left []op, err error) {
	if ops[0].kind == opReport {
		return ops, g.writeReports(ctx, ops)
	}
	if len(ops) > 1 {
		if ops, err = g.writeFirstEnds(ctx, ops); err != nil {
			return ops, err
		}
	}
	for i, o := range ops {
		if err := g.writeOp(ctx, o); err != nil {
			return ops[i:], err
		}
		close(o.written)
	}
	return nil, nil
}

// writeFirstEnds writes the ends of requests without a record, in one transaction, and returns the
// ops that are left to write one by one.
func (g *Guard) writeFirstEnds(ctx context.Context, ops []op) ([]op, error) {
	var tx store.Tx
	for _, o := range ops {
		tx.Conditions = append(tx.Conditions, store.Condition{Table: crashTable, Key: o.digest.String()})
		tx.Writes = append(tx.Writes, store.Write{Table: crashTable, Key: o.digest.String(), Value: Record{}.withEnd(o.process, "").encode()})
	}
	err := g.commit(ctx, tx)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrUnknown) {
		// Some requests have a record already, or the outcome is unknown: writing one by one
		// resolves it.
		return ops, nil
	}
	if err != nil {
		return ops, err
	}
	for _, o := range ops {
		close(o.written)
	}
	return nil, nil
}

func (g *Guard) commit(ctx context.Context, tx store.Tx) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := g.cfg.Store.Commit(ctx, tx)
	return err
}

// writeOp writes one op.
func (g *Guard) writeOp(ctx context.Context, o op) error {
	switch o.kind {
	case opPartAnswered:
		return g.writePartAnswered(ctx, o)
	case opConvict:
		return g.writeConviction(ctx, o)
	}
	return g.changeRecord(ctx, o)
}

// changeRecord applies an op to the record of its request or part. It gives up on a row that others keep changing, as they write the same
// information.
func (g *Guard) changeRecord(ctx context.Context, o op) error {
	for range maxConflicts {
		row, r, err := g.read(ctx, o.digest)
		if err != nil {
			return err
		}
		c := o.apply(r)
		if c.none || o.isOfEndedQuarantine(r) {
			return nil
		}
		err = g.commit(ctx, recordTx(o.digest, row.Version, c))
		var conflict *store.ConflictError
		switch {
		case err == nil:
			g.logChange(o, r, c)
			return nil
		case errors.As(err, &conflict), errors.Is(err, store.ErrUnknown):
			continue
		default:
			return err
		}
	}
	g.cfg.Log.Warn("update of request record abandoned after repeated conflicts", "digest", o.digest)
	return nil
}

func (g *Guard) logChange(o op, before Record, c change) {
	switch {
	case c.remove && before.Quarantined():
		g.cfg.Log.Info("quarantined request was answered, quarantine ended", "digest", o.digest, "ends", len(before.Ended))
	case !before.Quarantined() && c.record.Quarantined():
		g.cfg.Log.Warn("request quarantined: targets end under it", "digest", o.digest, "name", o.digest.Name(), "ended", c.record.Ended)
	case len(c.record.Ended) > len(before.Ended):
		g.cfg.Log.Info("one more target ended under the request", "digest", o.digest, "name", o.digest.Name(), "ended", c.record.Ended, "probes", c.record.Probes)
	}
}

// recordTx returns the transaction that changes a request's rows.
func recordTx(d Digest, version store.Version, c change) store.Tx {
	key := d.String()
	tx := store.Tx{Conditions: []store.Condition{{Table: crashTable, Key: key, Version: version}}}
	if c.remove {
		tx.Writes = []store.Write{{Table: crashTable, Key: key, Delete: true}, {Table: QuarantineTable, Key: key, Delete: true}}
		return tx
	}
	value := c.record.encode()
	tx.Writes = []store.Write{{Table: crashTable, Key: key, Value: value}}
	if c.record.Quarantined() {
		tx.Writes = append(tx.Writes, store.Write{Table: QuarantineTable, Key: key, Value: value})
	}
	return tx
}

// read returns the current record of a request from the store. If there is none, the record is
// empty and the row has only the store's era.
func (g *Guard) read(ctx context.Context, d Digest) (store.Row, Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := g.cfg.Store.Get(ctx, crashTable, d.String())
	var none *store.NotFoundError
	if errors.As(err, &none) {
		return store.Row{Version: store.Version{Era: none.Era}}, Record{}, nil
	}
	if err != nil {
		return store.Row{}, Record{}, err
	}
	r, err := decodeRecord(row.Value)
	if err != nil {
		// An invalid record carries no information, and is overwritten.
		g.cfg.Log.Error("invalid request record ignored", "digest", d, "err", err)
		return row, Record{}, nil
	}
	return row, r, nil
}
