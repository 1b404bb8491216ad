package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"topazmoor/internal/store"
)

// evidenceSweepInterval is the time between two occasions at which a node may remove old evidence. At each
// occasion one node of the fleet does so on average.
const evidenceSweepInterval = time.Minute

// sweepEvidence removes reports that have grown old, and records of answers without any older report.
func (g *Guard) sweepEvidence(ctx context.Context) {
	if n := g.cfg.Nodes(); n > 1 && rand.IntN(n) > 0 {
		return
	}
	tx := g.oldEvidence(time.Now())
	if len(tx.Writes) == 0 {
		return
	}
	err := g.commit(ctx, tx)
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		g.cfg.Log.Info("removal of old evidence on parts of prompts failed", "err", err)
		return
	}
	g.cfg.Log.Info("old evidence on parts of prompts removed", "rows", len(tx.Writes), "conflict", conflict != nil)
}

// oldEvidence returns the transaction that removes old evidence, at most maxBatch rows.
func (g *Guard) oldEvidence(now time.Time) store.Tx {
	var tx store.Tx
	remove := func(key string, version store.Version, since time.Time) {
		if now.Sub(since) <= evidenceTTL || len(tx.Writes) >= maxBatch {
			return
		}
		tx.Conditions = append(tx.Conditions, store.Condition{Table: QuarantineTable, Key: key, Version: version})
		tx.Writes = append(tx.Writes, store.Write{Table: QuarantineTable, Key: key, Delete: true})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, r := range g.parts.stored {
		remove(key, r.At, r.Learned)
	}
	if len(tx.Writes) > 0 {
		// Reports go before the answers that refute them.
		return tx
	}
	for p, a := range g.parts.answered {
		remove(answeredKey(p), a.version, a.since)
	}
	return tx
}
