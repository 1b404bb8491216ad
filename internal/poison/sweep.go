package poison

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"topazmoor/internal/store"
)

// sweepInterval is the time between two occasions at which a node may start a removal of old rows. At
// each occasion a node does so with a probability of one divided by the number of nodes, so that on
// average one node of the fleet does.
const sweepInterval = recordTTL / 4

// sweep removes rows that have been unchanged for recordTTL, as observed by this node: the store
// keeps no times, but the version of a row changes with each write.
func (g *Guard) sweep(ctx context.Context) {
	if n := g.cfg.Nodes(); n > 1 && rand.IntN(n) > 0 {
		return
	}
	before, err := g.versions(ctx)
	if err != nil {
		g.cfg.Log.Info("scan for old request records failed", "err", err)
		return
	}
	timer := time.NewTimer(recordTTL)
	go func() {
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
			g.removeOld(ctx, before)
		}
	}()
}

// versions returns the versions of the rows of all requests under which a target ended, by key.
func (g *Guard) versions(ctx context.Context) (map[string]store.Version, error) {
	out := make(map[string]store.Version)
	for after := ""; ; {
		page, err := g.cfg.Store.Scan(ctx, crashTable, "", after, sweepPage)
		if err != nil {
			return nil, err
		}
		for _, r := range page {
			out[r.Key] = r.Version
			after = r.Key
		}
		if len(page) < sweepPage {
			return out, nil
		}
	}
}

// sweepPage is the number of rows that one call reads.
const sweepPage = 500

// removeOld removes the rows that still have the versions of before.
func (g *Guard) removeOld(ctx context.Context, before map[string]store.Version) {
	now, err := g.versions(ctx)
	if err != nil {
		g.cfg.Log.Info("removal of old request records failed", "err", err)
		return
	}
	removed := 0
	for key, version := range now {
		if before[key] != version {
			continue
		}
		d, err := ParseDigest(key)
		if err != nil {
			g.cfg.Log.Error("request record with invalid key skipped", "err", err)
			continue
		}
		err = g.commit(ctx, recordTx(d, version, change{remove: true}))
		var conflict *store.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			g.cfg.Log.Info("removal of old request records failed", "err", err)
			return
		}
		removed++
	}
	g.cfg.Log.Info("old records of requests removed", "removed", removed, "kept", len(now)-removed)
}
