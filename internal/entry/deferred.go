package entry

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"topazmoor/internal/peer"
	"topazmoor/internal/poison"
	"topazmoor/internal/region"
	"topazmoor/internal/relay"
	"topazmoor/internal/resume"
	"topazmoor/internal/rollout"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
)

// deferredClient is a peer client that is created when the shared secret is known. Its calls
// fail until then, except for Follow, which waits. It implements stagebatch.Remote.
type deferredClient struct {
	c     atomic.Pointer[peer.Client]
	ready chan struct{}

	mu     sync.Mutex
	closed bool
}

// newDeferredClient returns a client without a peer client.
func newDeferredClient() *deferredClient { return &deferredClient{ready: make(chan struct{})} }

// errNoKey is the error of calls before the shared secret is known.
var errNoKey = eris.New("entry: the shared secret is not known yet")

// set replaces the client and closes the previous one; after close it closes c instead.
func (l *deferredClient) set(c *peer.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
		return
	}
	last := l.c.Swap(c)
	if last == nil {
		close(l.ready)
		return
	}
	last.Close()
}

// Follow implements relay.Remote. It waits for the secret: a node that starts needs the tables
// of the store before anything else.
func (l *deferredClient) Follow(ctx context.Context, addr string, have []relay.KnownVersion, handle func(relay.Message) error) error {
	select {
	case <-ctx.Done():
		return errNoKey
	case <-l.ready:
	}
	return l.c.Load().Follow(ctx, addr, have, handle)
}

// Produce implements stagebatch.Remote.
func (l *deferredClient) Produce(ctx context.Context, addr string, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error) {
	c := l.c.Load()
	if c == nil {
		return stagebatch.Result{}, errNoKey
	}
	return c.Produce(ctx, addr, o, accepted)
}

// Free implements stagebatch.Remote.
func (l *deferredClient) Free(ctx context.Context, addr, service string, handles []string, ifTight bool) error {
	c := l.c.Load()
	if c == nil {
		return errNoKey
	}
	return c.Free(ctx, addr, service, handles, ifTight)
}

// Waits implements stagebatch.WaitsExchange.
func (l *deferredClient) Waits(ctx context.Context, addr, service string, in region.Set) (stagebatch.Waits, error) {
	c := l.c.Load()
	if c == nil {
		return stagebatch.Waits{}, errNoKey
	}
	return c.Waits(ctx, addr, service, in)
}

// SendEnds reports to another node which targets ended during requests.
func (l *deferredClient) SendEnds(ctx context.Context, addr string, ends poison.Ends) error {
	c := l.c.Load()
	if c == nil {
		return errNoKey
	}
	return c.SendEnds(ctx, addr, ends)
}

// ReportRollout sends this node's observations of a roll-out to the node that decides on it.
func (l *deferredClient) ReportRollout(ctx context.Context, addr string, r rollout.Report) (rollout.Answer, error) {
	c := l.c.Load()
	if c == nil {
		return rollout.Answer{}, errNoKey
	}
	return c.ReportRollout(ctx, addr, r)
}

// AskPermits requests permits of a rate from another node.
func (l *deferredClient) AskPermits(ctx context.Context, addr string, a sharedrate.PermitRequest) (sharedrate.Grant, error) {
	c := l.c.Load()
	if c == nil {
		return sharedrate.Grant{}, sharedrate.ErrNotReady
	}
	return c.AskPermits(ctx, addr, a)
}

// SendStreams implements resume.Remote.
func (l *deferredClient) SendStreams(ctx context.Context, addr string, records []resume.Record) error {
	c := l.c.Load()
	if c == nil {
		return errNoKey
	}
	return c.SendStreams(ctx, addr, records)
}

// FindStream implements resume.Remote.
func (l *deferredClient) FindStream(ctx context.Context, addr, id, service string) (resume.Answer, error) {
	c := l.c.Load()
	if c == nil {
		return resume.Answer{}, errNoKey
	}
	return c.FindStream(ctx, addr, id, service)
}

// Connect has another node connect to a target.
func (l *deferredClient) Connect(ctx context.Context, addr, target string) (net.Conn, error) {
	c := l.c.Load()
	if c == nil {
		return nil, errNoKey
	}
	return c.Connect(ctx, addr, target)
}

// close closes the client, or the one that is set later.
func (l *deferredClient) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if c := l.c.Load(); c != nil {
		c.Close()
	}
}

// deferredServer serves other nodes as soon as the shared secret is known. It implements
// suture.Service.
type deferredServer struct {
	ln    interface{ Close() error }
	key   chan []byte
	start func(key []byte) *peer.Server
}

// Serve implements suture.Service.
func (l *deferredServer) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case key := <-l.key:
		return l.start(key).Serve(ctx)
	}
}

// close closes the listener.
func (l *deferredServer) close() { l.ln.Close() }
