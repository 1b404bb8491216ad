package standin

import (
	"context"
	"sync"

	"topazmoor/internal/platform"
)

// Gate stands between one node and the platform, so that tests can cut, freeze
// or kill the node alone. It implements platform.Store.
type Gate struct {
	inner platform.Store

	mu     sync.Mutex
	cut    bool
	frozen chan struct{}
}

// NewGate returns an open gate.
func NewGate(inner platform.Store) *Gate { return &Gate{inner: inner} }

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
		return platform.ErrUnavailable
	}
	return nil
}

// Commit implements platform.Tables. A node that is cut off during the commit
// does not get its answer.
func (g *Gate) Commit(ctx context.Context, tx platform.Tx) (int64, error) {
	if err := g.wait(); err != nil {
		return 0, err
	}
	v, err := g.inner.Commit(ctx, tx)
	if g.wait() != nil {
		return 0, platform.ErrUnknown
	}
	return v, err
}

// Get implements platform.Tables.
func (g *Gate) Get(ctx context.Context, table, key string) (platform.Row, error) {
	if err := g.wait(); err != nil {
		return platform.Row{}, err
	}
	return g.inner.Get(ctx, table, key)
}

// Scan implements platform.Tables.
func (g *Gate) Scan(ctx context.Context, table, prefix, after string, limit int) ([]platform.Row, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.Scan(ctx, table, prefix, after, limit)
}

// Put implements platform.Objects.
func (g *Gate) Put(ctx context.Context, key string, value []byte) error {
	if err := g.wait(); err != nil {
		return err
	}
	return g.inner.Put(ctx, key, value)
}

// GetObject implements platform.Objects.
func (g *Gate) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.GetObject(ctx, key)
}

// ListHosts implements platform.Hosts.
func (g *Gate) ListHosts(ctx context.Context) ([]platform.Host, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.ListHosts(ctx)
}
