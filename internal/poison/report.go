package poison

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"topazmoor/internal/store"
)

// Tables in the store. All nodes follow QuarantineTable; crashTable has every request under
// which a target ended, most of them once and innocent, and is only read for one request.
const (
	QuarantineTable = "quarantine"
	crashTable      = "crashes"
)

const (
	// mostAtOnce is the most ends in one transaction, well below the store's 100 entries: a
	// target has up to 50 requests in progress, and each is a condition and a write.
	mostAtOnce = 40
	// maxQueued bounds what is to be written while the store is away.
	maxQueued = 1024
	// retryStore is the pause after a call that the store did not take, half of it random.
	retryStore = 400 * time.Millisecond
	// maxRaces is how often a row is read again that others changed meanwhile.
	maxRaces = 5
	// claimTimeout bounds the claim of a probe.
	claimTimeout = 500 * time.Millisecond
	// callTimeout bounds one call of the store.
	callTimeout = 2 * time.Second
)

type opKind uint8

const (
	opEnd opKind = iota
	opAnswered
	opAbandoned
	// opKept has a record that the store lost.
	opKept
)

// op is something to be written.
type op struct {
	kind           opKind
	digest         Digest
	process, probe string
	record         Record
	// told says that other nodes were told of it, or that this one was.
	told    bool
	written chan struct{}
}

// queue holds what is to be written, oldest first.
type queue struct {
	mu  sync.Mutex
	ops []op
	// writing are those that were taken and are not written yet.
	writing []op
	dropped int64
	wake    chan struct{}
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1)} }

// push adds an op and returns a channel that is closed once it is written, or dropped.
func (q *queue) push(o op) <-chan struct{} {
	o.written = make(chan struct{})
	q.mu.Lock()
	if len(q.ops) >= maxQueued {
		close(q.ops[0].written)
		q.ops = q.ops[1:]
		q.dropped++
	}
	q.ops = append(q.ops, o)
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return o.written
}

// take removes the ops that go into one call: ends together, others by themselves.
func (q *queue) take() []op {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	named := make(map[Digest]bool)
	for n < len(q.ops) && n < mostAtOnce && (n == 0 || q.ops[n].kind == opEnd && q.ops[0].kind == opEnd && !named[q.ops[n].digest]) {
		named[q.ops[n].digest] = true
		n++
	}
	q.writing = q.ops[:n:n]
	q.ops = q.ops[n:]
	return q.writing
}

// holds reports whether something about a request is still to be written.
func (q *queue) holds(d Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	about := func(o op) bool { return o.digest == d }
	return slices.ContainsFunc(q.ops, about) || slices.ContainsFunc(q.writing, about)
}

// putBack returns ops that could not be written.
func (q *queue) putBack(ops []op) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ops = append(ops, q.ops...)
	q.writing = nil
}

// untold returns the ends that other nodes were not told of, which they now are.
func (q *queue) untold() []End {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []End
	for i := range q.ops {
		if o := &q.ops[i]; o.kind == opEnd && !o.told {
			o.told = true
			out = append(out, End{Digest: o.digest, Process: o.process, Probe: o.probe})
		}
	}
	return out
}

// wrote notes that what was taken is written.
func (q *queue) wrote() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = nil
}

// Serve implements suture.Service: it writes what was told, and removes old rows.
func (g *Guard) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
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
		}
	}
	return ctx.Err()
}

// write writes ops; those that the store does not take go back.
func (g *Guard) write(ctx context.Context, ops []op) {
	left, err := g.writeAll(ctx, ops)
	if err == nil {
		g.queue.wrote()
		return
	}
	g.queue.putBack(left)
	g.cfg.Log.Info("ends under requests not written yet", "waiting", len(left), "err", err)
	g.pause(ctx)
}

// pause waits until the store is asked again, and tells other nodes what comes meanwhile.
func (g *Guard) pause(ctx context.Context) {
	timer := time.NewTimer(retryStore/2 + rand.N(retryStore/2))
	defer timer.Stop()
	for {
		g.tell(ctx, g.queue.untold())
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-g.queue.wake:
		}
	}
}

// writeAll writes ops and returns those that are left.
func (g *Guard) writeAll(ctx context.Context, ops []op) (left []op, err error) {
	if len(ops) > 1 {
		if ops, err = g.writeFirst(ctx, ops); err != nil {
			return ops, err
		}
	}
	for i, o := range ops {
		if err := g.writeOne(ctx, o); err != nil {
			return ops[i:], err
		}
		close(o.written)
	}
	return nil, nil
}

// writeFirst writes the ends of requests under which none is known yet, in one transaction,
// and returns the ops that are left.
func (g *Guard) writeFirst(ctx context.Context, ops []op) ([]op, error) {
	var tx store.Tx
	for _, o := range ops {
		tx.Conditions = append(tx.Conditions, store.Condition{Table: crashTable, Key: o.digest.String()})
		tx.Writes = append(tx.Writes, store.Write{Table: crashTable, Key: o.digest.String(), Value: Record{}.withEnd(o.process, "").encode()})
	}
	err := g.commit(ctx, tx)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) || errors.Is(err, store.ErrUnknown) {
		// Some are known already; one by one it is found out which.
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

// change is what an op makes of a record; remove takes the request's rows away, none leaves
// them.
type change struct {
	record       Record
	remove, none bool
}

func (o op) apply(r Record) change {
	switch o.kind {
	case opEnd:
		next := r.withEnd(o.process, o.probe)
		return change{record: next, none: len(next.Ended) == len(r.Ended) && next.Probe == r.Probe}
	case opAbandoned:
		if r.Probe != o.probe {
			return change{none: true}
		}
		r.Probe = ""
		r.Probes--
		return change{record: r}
	case opKept:
		next := r.merged(o.record)
		return change{record: next, none: len(next.Ended) == len(r.Ended) && next.Probes == r.Probes}
	}
	return change{remove: true, none: len(r.Ended) == 0}
}

// writeOne writes one op. A row that others keep changing is given up, as they tell the same.
func (g *Guard) writeOne(ctx context.Context, o op) error {
	for range maxRaces {
		row, r, err := g.read(ctx, o.digest)
		if err != nil {
			return err
		}
		c := o.apply(r)
		if c.none {
			return nil
		}
		err = g.commit(ctx, rows(o.digest, row.Version, c))
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
	g.cfg.Log.Warn("record of a request not changed: others change it all the time", "digest", o.digest)
	return nil
}

func (g *Guard) logChange(o op, before Record, c change) {
	switch {
	case c.remove && before.Quarantined():
		g.cfg.Log.Info("request in quarantine was answered, it is let through again", "digest", o.digest, "ends", len(before.Ended))
	case !before.Quarantined() && c.record.Quarantined():
		g.cfg.Log.Warn("request quarantined: targets end under it", "digest", o.digest, "ended", c.record.Ended)
	case len(c.record.Ended) > len(before.Ended):
		g.cfg.Log.Info("one more target ended under the request", "digest", o.digest, "ended", c.record.Ended, "probes", c.record.Probes)
	}
}

// rows is the transaction that changes a request's rows.
func rows(d Digest, version store.Version, c change) store.Tx {
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

// read returns the record of a request as the store has it now; an empty one for none, with the
// store's era.
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
		// Written over: it tells nothing.
		g.cfg.Log.Error("record of a request cannot be read", "digest", d, "err", err)
		return row, Record{}, nil
	}
	return row, r, nil
}

// claim claims the probe of a quarantined request, which may take so long. unchanged is for how
// long this node has seen its record as it is.
func (g *Guard) claim(ctx context.Context, d Digest, lasts, unchanged time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	probe := fmt.Sprintf("%s/%x", g.cfg.Node, rand.Uint64())
	for range maxRaces {
		row, r, err := g.read(ctx, d)
		if err != nil {
			return g.claimAlone(d, probe)
		}
		if r.Probe == probe {
			return probe, nil
		}
		r = g.withLost(d, row.Version, r)
		if !r.Quarantined() {
			return "", g.unlisted(d, r)
		}
		if decision, after := r.Decide(g.sinceChange(d, row.Version, unchanged)); decision != MayProbe {
			return "", g.refuse(r, after)
		}
		err = g.commit(ctx, rows(d, row.Version, change{record: r.withProbe(probe, lasts)}))
		if err == nil {
			return probe, nil
		}
	}
	return "", &Refused{After: retryWithoutStore}
}

// withLost returns the store's record, read at a version, with what this node has seen of it in an
// earlier era: a store that came back from a copy has lost that. No record does not mean then that
// the request was answered.
func (g *Guard) withLost(d Digest, at store.Version, r Record) Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, ok := g.fleet[d]
	if !ok || f.version.SameEra(at) {
		return r
	}
	return r.merged(f.Record)
}

// unlisted decides on a request that only this node takes for quarantined: its ends are still
// to be written, or it was answered meanwhile.
func (g *Guard) unlisted(d Digest, r Record) error {
	if g.queue.holds(d) {
		return &Refused{Ends: len(r.Ended), After: retryProbing}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.own.Remove(d)
	return nil
}

// sinceChange is for how long the store's record has been as it is: as long as this node has
// seen it so, which is not at all where it is another one.
func (g *Guard) sinceChange(d Digest, version store.Version, unchanged time.Duration) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fleet[d].version.Before(version) {
		// The quarantine's row is written in the same transaction.
		return 0
	}
	return unchanged
}

// claimAlone allows one probe of this node's own while the store does not answer: nobody can
// tell whether others make one, and without any the innocent are refused until it is back.
func (g *Guard) claimAlone(d Digest, probe string) (string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own, _ := g.own.Get(d)
	own.since = time.Now()
	if f, ok := g.fleet[d]; (ok && f.Probes > 0) || own.Probes > 0 {
		g.own.Add(d, own)
		return "", &Refused{Ends: len(own.Ended), After: retryWithoutStore}
	}
	own.Probes++
	own.Probe = probe
	g.own.Add(d, own)
	return probe, nil
}
