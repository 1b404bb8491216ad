package config

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"topazmoor/internal/blackboard"
	"topazmoor/internal/catalog"
	"topazmoor/internal/settings"
)

// Peers gives a follower access to other nodes.
type Peers interface {
	// Announce sends the revision in force on this node to other nodes.
	Announce(revision int64)
	// Snapshot returns the revision and the configuration of the peer with the
	// highest revision; revision 0 means that no peer has a configuration.
	Snapshot(ctx context.Context) (int64, []catalog.Item, error)
}

// Follower keeps a node's configuration at the highest revision that it received from
// the store or from peers. It never goes back to a lower one.
type Follower struct {
	store *Store
	cell  *blackboard.Cell[*catalog.Compiled]
	empty *catalog.Compiled
	peers Peers
	every time.Duration
	log   *slog.Logger
	wake  chan struct{}

	mu       sync.Mutex
	lastRead time.Time
	// failedRevision is the last revision that did not compile; it is logged once.
	failedRevision int64
	// recent are the latest changes that were applied, at most recentChanges, oldest first.
	recent []catalog.Change
}

// recentChanges is how many applied changes are kept for peers that are behind.
const recentChanges = 64

// NewFollower returns a follower that stores the configuration in cell and reads the head of s about
// each interval every. It first stores an empty configuration.
func NewFollower(s *Store, cell *blackboard.Cell[*catalog.Compiled], pools []settings.Pool, peers Peers, every time.Duration, log *slog.Logger) *Follower {
	empty := catalog.New(pools)
	cell.Store(empty)
	return &Follower{store: s, cell: cell, empty: empty, peers: peers, every: every, log: log, wake: make(chan struct{}, 1)}
}

// LastRead returns when the head was last read from the table service.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// Serve polls the head until ctx ends. The interval is random between half and one and a half
// of the configured one, so that the nodes' reads spread out, also after an outage.
func (f *Follower) Serve(ctx context.Context) error {
	for {
		f.poll(ctx)
		wait := f.every/2 + rand.N(f.every)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-f.wake:
		case <-time.After(wait):
		}
	}
}

// PollNow makes the follower read the configuration's current revision from the store now, without
// waiting for the next poll.
func (f *Follower) PollNow() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// poll reads the head and applies what this node lacks, or fetches from peers if the head
// cannot be read.
func (f *Follower) poll(ctx context.Context) {
	head, err := f.store.Head(ctx)
	if err != nil {
		f.log.Warn("configuration head not read; asking peers", "err", err)
		f.fetchFromPeers(ctx)
		return
	}
	f.mu.Lock()
	f.lastRead = time.Now()
	f.mu.Unlock()
	for f.cell.Get().Revision < head {
		if !f.catchUp(ctx) {
			return
		}
	}
}

// catchUp applies the stored changes, or loads the whole configuration if this node has
// none yet. It reports whether the revision rose.
func (f *Follower) catchUp(ctx context.Context) bool {
	have := f.cell.Get().Revision
	if have == 0 {
		rev, items, err := f.store.Load(ctx)
		if err != nil {
			f.log.Warn("configuration not loaded", "err", err)
			return false
		}
		return f.ApplySnapshot(rev, items)
	}
	changes, err := f.store.Changes(ctx, have, scanPage)
	if err != nil {
		f.log.Warn("configuration changes not read", "err", err)
		return false
	}
	for _, c := range changes {
		f.Offer(c)
	}
	return f.cell.Get().Revision > have
}

// fetchFromPeers adopts the configuration of the peer with the highest revision.
func (f *Follower) fetchFromPeers(ctx context.Context) {
	rev, items, err := f.peers.Snapshot(ctx)
	if err != nil {
		f.log.Warn("no configuration from peers", "err", err)
		return
	}
	f.ApplySnapshot(rev, items)
}

// ApplySnapshot replaces the configuration by a whole snapshot if the snapshot is newer, and
// announces the new revision to peers. It reports whether it replaced it.
func (f *Follower) ApplySnapshot(revision int64, items []catalog.Item) bool {
	f.mu.Lock()
	if revision <= f.cell.Get().Revision {
		f.mu.Unlock()
		return false
	}
	ok := f.apply(f.empty, revision, items)
	f.mu.Unlock()
	if ok {
		f.peers.Announce(revision)
	}
	return ok
}

// Offer applies a change if its revision is the next one, and announces the revision to
// peers. A later change is not applied but makes the follower read the store. Offer reports
// whether it applied the change or the change is a later one.
func (f *Follower) Offer(c catalog.Change) bool {
	f.mu.Lock()
	cur := f.cell.Get()
	if c.Revision <= cur.Revision {
		f.mu.Unlock()
		return false
	}
	if c.Revision > cur.Revision+1 {
		f.mu.Unlock()
		f.PollNow()
		return true
	}
	ok := f.apply(cur, c.Revision, c.Items)
	if ok {
		f.recent = append(f.recent, c)
		f.recent = f.recent[max(0, len(f.recent)-recentChanges):]
	}
	f.mu.Unlock()
	if ok {
		f.peers.Announce(c.Revision)
	}
	return ok
}

// Since returns the changes after a revision for a peer that is behind, or nil
// if they are no longer kept.
func (f *Follower) Since(after int64) []catalog.Change {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, c := range f.recent {
		if c.Revision == after+1 {
			return append([]catalog.Change(nil), f.recent[i:]...)
		}
	}
	return nil
}

// apply compiles the next configuration while the current one stays in use, and replaces it
// as a whole. If the next one does not compile, the current one stays. It reports whether it
// replaced it. The caller holds f.mu.
func (f *Follower) apply(base *catalog.Compiled, revision int64, items []catalog.Item) bool {
	next, err := base.Apply(revision, items)
	if err != nil {
		if f.failedRevision != revision {
			f.log.Error("accepted configuration does not compile here: compare the pools of this node's settings", "revision", revision, "err", err)
		}
		f.failedRevision = revision
		return false
	}
	f.cell.Store(next)
	f.log.Info("configuration in force", "revision", revision, "items", len(items))
	return true
}

// NoPeers is the Peers of a node without peers.
type NoPeers struct{}

// Announce implements Peers.
func (NoPeers) Announce(int64) {}

// Snapshot implements Peers.
func (NoPeers) Snapshot(context.Context) (int64, []catalog.Item, error) { return 0, nil, nil }
