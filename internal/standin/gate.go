package standin

import (
	"context"
	"sync"
	"time"

	"topazmoor/internal/store"
)

// Gate stands between one node and the platform, so that tests can cut, freeze
// or kill the node alone. It implements store.Store.
type Gate struct {
	inner store.Store

	mu     sync.Mutex
	cut    bool
	frozen chan struct{}
}

// NewGate returns an open gate.
func NewGate(inner store.Store) *Gate { return &Gate{inner: inner} }

// SetCut refuses all calls while cut.
func (g *Gate) SetCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// Freeze holds all calls, and answers of calls, until Thaw.
func (g *Gate) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (g *Gate) Thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *Gate) wait() error {
	g.mu.Lock()
	frozen, cut := g.frozen, g.cut
	g.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
	if cut {
		return store.ErrUnavailable
	}
	return nil
}

// Commit implements store.Tables. A node that is cut off during the commit
// does not get its answer.
func (g *Gate) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	if err := g.wait(); err != nil {
		return store.Version{}, err
	}
	v, err := g.inner.Commit(ctx, tx)
	if g.wait() != nil {
		return store.Version{}, store.ErrUnknown
	}
	return v, err
}

// Get implements store.Tables.
func (g *Gate) Get(ctx context.Context, table, key string) (store.Row, error) {
	if err := g.wait(); err != nil {
		return store.Row{}, err
	}
	return g.inner.Get(ctx, table, key)
}

// Scan implements store.Tables.
func (g *Gate) Scan(ctx context.Context, table, prefix, after string, limit int) ([]store.Row, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.Scan(ctx, table, prefix, after, limit)
}

// Snapshot implements store.Watchable.
func (g *Gate) Snapshot(ctx context.Context, table string, least store.Version) (store.Snapshot, error) {
	if err := g.wait(); err != nil {
		return store.Snapshot{}, err
	}
	return g.inner.Snapshot(ctx, table, least)
}

// Changes implements store.Watchable.
func (g *Gate) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if err := g.wait(); err != nil {
		return store.Changes{}, err
	}
	out, err := g.inner.Changes(ctx, table, after, wait)
	if g.wait() != nil {
		return store.Changes{}, store.ErrUnavailable
	}
	return out, err
}

// Put implements store.Objects.
func (g *Gate) Put(ctx context.Context, key string, value []byte) error {
	if err := g.wait(); err != nil {
		return err
	}
	return g.inner.Put(ctx, key, value)
}

// GetObject implements store.Objects.
func (g *Gate) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.GetObject(ctx, key)
}
