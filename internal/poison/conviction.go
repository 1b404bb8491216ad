package poison

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/attribution"
	"topazmoor/internal/store"
)

const (
	// waitingDelay is how long a node waits before it reports runs whose answers had not begun: if
	// another node reports one that had, they are no evidence.
	waitingDelay = 100 * time.Millisecond
	// turnPerNode is the time for each node in which one of them writes what all of them know, at most
	// maxTurn for all. A commit is read by all nodes within some 20 ms.
	turnPerNode = time.Millisecond
	maxTurn     = 500 * time.Millisecond
	// othersDelay is how much later a node writes what another one is due to write.
	othersDelay = 500 * time.Millisecond
)

// recordRun records what a process that ended was doing for the request. The channel is closed once the
// store has it; it is nil if the request need not wait for that.
func (g *Guard) recordRun(r Run) <-chan struct{} {
	if r.Progress == Proven || r.Parts == nil || len(r.Parts) == 0 && r.Progress == Waiting {
		return nil
	}
	run := attribution.Run{Parts: r.Parts, Begun: r.Progress == Begun, Answering: r.Progress == Answering}
	g.mu.Lock()
	report, ok := g.parts.add(r.Process, run, time.Now())
	if ok {
		g.parts.evaluate(time.Now())
		g.review()
	}
	g.mu.Unlock()
	if !ok {
		g.cfg.Log.Info("end of a target not reported for parts of prompts, too many targets end", "process", r.Process)
		return nil
	}
	if r.Progress == Waiting {
		time.AfterFunc(waitingDelay, func() { g.reportWaiting(r.Process) })
		return nil
	}
	return g.queue.push(op{kind: opReport, report: report})
}

// reportWaiting writes this node's report on a process, unless a node has reported a run there whose answer
// had begun.
func (g *Guard) reportWaiting(process string) {
	g.mu.Lock()
	report, ok := g.parts.pending[reportKey(attribution.Report{Process: process, Node: g.cfg.Node})]
	needed := ok && !g.parts.begun(process)
	g.mu.Unlock()
	if needed {
		g.queue.push(op{kind: opReport, report: report})
	}
}

// endedByAnother reports, after waitingDelay, whether a node has reported a run whose answer had begun when the
// process ended. One that waited then is not the cause.
func (g *Guard) endedByAnother(process string) bool {
	time.Sleep(waitingDelay)
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.parts.begun(process)
}

// receiveReport records a report that another node could not write, and queues it to be written.
func (g *Guard) receiveReport(r attribution.Report) {
	r.Learned = time.Now()
	g.mu.Lock()
	if _, ok := g.parts.stored[reportKey(r)]; !ok {
		g.parts.pending[reportKey(r)] = r
		g.parts.evaluate(time.Now())
		g.review()
	}
	g.mu.Unlock()
	g.queue.push(op{kind: opReport, report: r, shared: true})
}

// PartsAnswered reports that the answer to a request with these parts of a prompt has come so far that
// they do not crash targets.
func (g *Guard) PartsAnswered(parts []Part) {
	if len(parts) == 0 {
		return
	}
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	counted := false
	for _, p := range parts {
		g.parts.proven.Add(p, now)
		counted = counted || g.parts.count(p) > 0 || g.isListed(p)
	}
	if counted {
		g.parts.evaluate(now)
		g.review()
	}
}

// review schedules what this node should write about parts: that they were answered, or that they crash
// targets. The caller holds g.mu.
func (g *Guard) review() {
	for p, ends := range g.parts.ends {
		switch {
		case g.isRefuted(p):
			g.schedule(p, 0)
		case ends.Convicted() && !g.isListed(p):
			g.schedule(p, g.convictDelay(p))
		}
	}
	for d := range g.stored {
		if p, ok := d.Part(); ok && g.isRefuted(p) {
			g.schedule(p, 0)
		}
	}
}

// convictDelay is how much longer this node waits to write that a part crashes targets: the nodes that reported a
// run with it go first.
func (g *Guard) convictDelay(p Part) time.Duration {
	for _, reports := range []map[string]attribution.Report{g.parts.pending, g.parts.stored} {
		for _, r := range reports {
			own := r.Node == g.cfg.Node
			if own && slices.ContainsFunc(r.Runs, func(run attribution.Run) bool { return slices.Contains(run.Parts, p) }) {
				return 0
			}
		}
	}
	return othersDelay
}

// isListed reports whether the store's list has a part in quarantine. The caller holds g.mu.
func (g *Guard) isListed(p Part) bool {
	_, ok := g.stored[PartDigest(p)]
	return ok
}

// isRefuted reports whether this node should write that a part was answered. The caller holds g.mu.
func (g *Guard) isRefuted(p Part) bool {
	return g.parts.refuted(p, g.stored[PartDigest(p)].since)
}

// schedule queues a write about a part after a delay and this node's turn, unless another node has written it by then.
// The caller holds g.mu.
func (g *Guard) schedule(p Part, delay time.Duration) {
	if g.parts.scheduled[p] {
		return
	}
	g.parts.scheduled[p] = true
	turns := min(time.Duration(max(g.cfg.Nodes(), 1))*turnPerNode, maxTurn)
	time.AfterFunc(delay+rand.N(turns), func() { g.writeDue(p) })
}

// writeDue queues what is due to be written about a part.
func (g *Guard) writeDue(p Part) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.parts.scheduled, p)
	d := PartDigest(p)
	switch {
	case g.isRefuted(p):
		g.queue.push(op{kind: opPartAnswered, digest: d})
	case g.parts.ends[p].Convicted() && !g.isListed(p):
		g.queue.push(op{kind: opConvict, digest: d, record: Record{Ended: g.parts.convictedBy(p)}, answeredAt: g.parts.answered[p].version})
	}
}

// writeReports writes reports in one transaction.
func (g *Guard) writeReports(ctx context.Context, ops []op) error {
	var tx store.Tx
	for _, o := range ops {
		value, err := json.Marshal(o.report)
		if err != nil {
			return eris.Wrap(err, "encode report")
		}
		tx.Writes = append(tx.Writes, store.Write{Table: QuarantineTable, Key: reportKey(o.report), Value: value})
	}
	if err := g.commit(ctx, tx); err != nil {
		return err
	}
	for _, o := range ops {
		close(o.written)
	}
	return nil
}

// partAnsweredTx returns the transaction that records that a part was answered, and ends its quarantine.
func partAnsweredTx(d Digest, by string) store.Tx {
	part, _ := d.Part()
	key := d.String()
	return store.Tx{Writes: []store.Write{
		{Table: QuarantineTable, Key: answeredKey(part), Value: []byte(by)},
		{Table: crashTable, Key: key, Delete: true}, {Table: QuarantineTable, Key: key, Delete: true},
	}}
}

// writePartAnswered records that a part was answered.
func (g *Guard) writePartAnswered(ctx context.Context, o op) error {
	part, _ := o.digest.Part()
	g.mu.Lock()
	needed, listed, ends := g.isRefuted(part), g.isListed(part), g.parts.ends[part].Stored
	g.mu.Unlock()
	if !needed {
		return nil
	}
	if err := g.commit(ctx, partAnsweredTx(o.digest, g.cfg.Node)); err != nil {
		return err
	}
	g.cfg.Log.Info("part of prompts was answered, ends of targets not counted against it", "name", o.digest.Name(), "quarantined", listed, "ends", ends)
	return nil
}

// writeConviction puts a part in quarantine, unless another node has done so, or recorded an answer meanwhile.
func (g *Guard) writeConviction(ctx context.Context, o op) error {
	part, _ := o.digest.Part()
	row, current, err := g.read(ctx, o.digest)
	if err != nil || current.Quarantined() {
		return err
	}
	tx := recordTx(o.digest, row.Version, change{record: o.record})
	tx.Conditions = append(tx.Conditions, store.Condition{Table: QuarantineTable, Key: answeredKey(part), Version: o.answeredAt})
	err = g.commit(ctx, tx)
	var conflict *store.ConflictError
	switch {
	case err == nil:
		g.cfg.Log.Warn("part of prompts quarantined: targets end under it", "name", o.digest.Name(), "ended", o.record.Ended)
		return nil
	case errors.As(err, &conflict):
		// Also if the reply to an earlier try was lost.
		return nil
	}
	return err
}

// HostResumed forgets which parts were answered before the host was suspended: the clock by which answers are recent
// stood still meanwhile.
func (g *Guard) HostResumed() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.parts.proven.Purge()
	g.parts.evaluate(time.Now())
}
