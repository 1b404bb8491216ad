package poison

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"topazmoor/internal/restore"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// probeLasts is how long requests of the tests may run.
const probeLasts = 5 * time.Second

// fleet is a set of nodes, each with a Guard, that share one store and targets that can end.
type fleet struct {
	store   *store.Memory
	paths   []*path
	guards  []*Guard
	ctx     context.Context
	lastErr error
	stop    func()

	mu sync.Mutex
	// closed holds the addresses that accept no connections.
	closed map[string]bool
}

// path is one node's connection to the store.
type path struct {
	store.Store
	watched store.Watchable
	mu      sync.Mutex
	cut     bool
	// blind paths do not deliver what others write.
	blind bool
	// gets counts the calls of Get; each takes slowGets, and each report of changes slowChanges.
	gets                  int
	slowGets, slowChanges time.Duration
}

func (p *path) slowDown(gets, changes time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowGets, p.slowChanges = gets, changes
}

func (p *path) delays() (gets, changes time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.slowGets, p.slowChanges
}

func (p *path) countGet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gets++
}

func (p *path) setBlind(blind bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blind = blind
}

func (p *path) isBlind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut || p.blind
}

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *path) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	if p.isCut() {
		return store.Version{}, store.ErrUnavailable
	}
	return p.Store.Commit(ctx, tx)
}

func (p *path) Get(ctx context.Context, table, key string) (store.Row, error) {
	p.countGet()
	gets, _ := p.delays()
	time.Sleep(gets)
	if p.isCut() {
		return store.Row{}, store.ErrUnavailable
	}
	return p.Store.Get(ctx, table, key)
}

func (p *path) Snapshot(ctx context.Context, table string, least store.Version) (store.Snapshot, error) {
	if p.isBlind() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return p.watched.Snapshot(ctx, table, least)
}

func (p *path) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if p.isBlind() {
		return store.Changes{}, store.ErrUnavailable
	}
	changes, err := p.watched.Changes(ctx, table, after, wait)
	_, late := p.delays()
	time.Sleep(late)
	return changes, err
}

// newFleet starts the nodes. The caller must call stop.
func newFleet(nodes int) *fleet {
	return newFleetWith(nodes, func(s store.Store) store.Store { return s })
}

// newFleetWith does the same, with a wrapper around the store of each node.
func newFleetWith(nodes int, wrap func(store.Store) store.Store) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f := &fleet{ctx: ctx, store: store.NewMemory(), closed: make(map[string]bool)}
	f.stop = func() { cancel(); wg.Wait() }
	for i := range nodes {
		p := &path{Store: wrap(f.store), watched: f.store}
		g := New(Config{Node: fmt.Sprint("node-", i), Store: p, Dial: f.dial, Nodes: func() int { return nodes }, Log: slog.New(slog.DiscardHandler)})
		table := &watch.Table{Name: QuarantineTable, From: p, Wait: watch.LongWait, Apply: (&restore.Table{Apply: g.Apply, RewriteLost: g.RewriteLost, Log: slog.New(slog.DiscardHandler)}).Update, Log: slog.New(slog.DiscardHandler)}
		wg.Go(func() { _ = g.Serve(ctx) })
		wg.Go(func() { _ = table.Serve(ctx) })
		f.paths = append(f.paths, p)
		f.guards = append(f.guards, g)
	}
	time.Sleep(100 * time.Millisecond)
	return f
}

func (f *fleet) dial(_ context.Context, _, addr string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed[addr] {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	b.Close()
	return a, nil
}

// end ends the process at an address.
func (f *fleet) end(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[addr] = true
}

// run sends a request at a node; ends says whether the target ends under it. It reports whether the
// request was sent, and whether as a probe.
func (f *fleet) run(node int, d Digest, target string, ends bool) (sent, probe bool) {
	return f.runRequest(node, Request{Digest: d}, target, ends)
}

func (f *fleet) runRequest(node int, r Request, target string, ends bool) (sent, probe bool) {
	g := f.guards[node]
	p, err := g.Send(context.Background(), r, probeLasts)
	f.lastErr = err
	if err != nil {
		return false, false
	}
	if !ends {
		g.Answered(r)
		return true, p.Claimed()
	}
	began := time.Now()
	time.Sleep(time.Millisecond)
	f.end(target)
	<-g.Ended(Run{Request: r, Began: began, Process: target + "@0", Addr: target, Progress: Begun, Probe: p})
	return true, p.Claimed()
}

// quarantine lets two targets end under a request, and waits until all nodes have read the
// quarantine.
func (f *fleet) quarantine(d Digest) {
	f.run(0, d, "a", true)
	f.run(0, d, "b", true)
	time.Sleep(10 * time.Millisecond)
}

func digest(name string) Digest { return DigestOf("pilots", "POST", "port.example", "/"+name, nil) }
