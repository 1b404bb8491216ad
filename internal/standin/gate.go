package standin

import (
	"context"
	"sync"
	"time"

	"topazmoor/internal/store"
)

// StoreProxy forwards the store calls of one node to inner, so that tests can
// disconnect or freeze the node's access to the store without an effect on other
// nodes. It implements store.Store.
type StoreProxy struct {
	inner store.Store

	mu     sync.Mutex
	cut    bool
	frozen chan struct{}
}

// NewStoreProxy returns a StoreProxy that forwards all calls to inner.
func NewStoreProxy(inner store.Store) *StoreProxy { return &StoreProxy{inner: inner} }

// SetDisconnected disconnects the node from the store, or connects it again. While it is
// disconnected, calls fail with store.ErrUnavailable.
func (g *StoreProxy) SetDisconnected(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut = cut
}

// Freeze blocks new calls until Unfreeze, and also the answers of calls to Commit and
// Changes that are under way.
func (g *StoreProxy) Freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

// Unfreeze ends a freeze; it does nothing without one.
func (g *StoreProxy) Unfreeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// wait blocks while the gate is frozen. It returns store.ErrUnavailable if the
// node was disconnected when wait was called.
func (g *StoreProxy) wait() error {
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

// Commit implements store.Tables. If the node is disconnected during the commit,
// it gets store.ErrUnknown, whether or not the transaction was committed.
func (g *StoreProxy) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
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
func (g *StoreProxy) Get(ctx context.Context, table, key string) (store.Row, error) {
	if err := g.wait(); err != nil {
		return store.Row{}, err
	}
	return g.inner.Get(ctx, table, key)
}

// Scan implements store.Tables.
func (g *StoreProxy) Scan(ctx context.Context, table, prefix, after string, limit int) ([]store.Row, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.Scan(ctx, table, prefix, after, limit)
}

// Snapshot implements store.Watchable.
func (g *StoreProxy) Snapshot(ctx context.Context, table string, least store.Version) (store.Snapshot, error) {
	if err := g.wait(); err != nil {
		return store.Snapshot{}, err
	}
	return g.inner.Snapshot(ctx, table, least)
}

// Changes implements store.Watchable. If the node is disconnected during the
// call, it gets store.ErrUnavailable.
func (g *StoreProxy) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
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
func (g *StoreProxy) Put(ctx context.Context, key string, value []byte) error {
	if err := g.wait(); err != nil {
		return err
	}
	return g.inner.Put(ctx, key, value)
}

// GetObject implements store.Objects.
func (g *StoreProxy) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := g.wait(); err != nil {
		return nil, err
	}
	return g.inner.GetObject(ctx, key)
}
