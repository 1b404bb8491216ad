package entry

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/ownership"
	"topazmoor/internal/peer"
	"topazmoor/internal/relay"
	"topazmoor/internal/restore"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// Tables of the node's own in the store.
const (
	// memberTable has a row for each node, by name.
	memberTable = "members"
	// keyTable holds the secret that all nodes share.
	keyTable = "keys"
	peerKey  = "peer"
)

const (
	// handshakeDivisor is the part of the descriptors that connections to the port for nodes may use before they are
	// authenticated.
	handshakeDivisor = 16
	// keyBytes is the length of the shared secret.
	keyBytes = 32
	// storeRetry is the pause between attempts to reach the store, half of it random.
	storeRetry = 400 * time.Millisecond
	// maxRowRetry is the limit up to which that pause doubles for the write of this node's row:
	// the store takes some 200 writes a second of one table, and all nodes of a fleet may start at
	// once.
	maxRowRetry = 4 * time.Second
	// startupWait, half of it random, is how long the nodes of a new platform wait for each other
	// before they read the member table: they start within some 100 ms, slow ones take a second.
	startupWait = 2400 * time.Millisecond
	// rowCheckInterval is how often a node checks that its row still exists.
	rowCheckInterval = 5 * time.Second
	// memberPause is how long changes of the member table are collected, as nodes start together;
	// with many nodes it is up to maxMemberPause.
	memberPause    = time.Second
	maxMemberPause = 2500 * time.Millisecond
	// memberPausePerNode is the pause added for each node: 74 nodes collect for 2.2 s.
	memberPausePerNode = 30 * time.Millisecond
	// leaveTimeout bounds the removal of the row of a node that stops or has left.
	leaveTimeout = 2 * time.Second
)

// member is a row of the member table.
type member struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	// Memory is the memory limit of the process in bytes; 0 for none.
	Memory int64 `json:"memory,omitempty"`
	// Capacity is the capacity of the process for the batches that it forms.
	Capacity stagebatch.Capacity `json:"means,omitzero"`
}

// peers connects the node with the other nodes: its row in the member table, the shared
// secret, and the client and server for calls between nodes. It implements suture.Service.
type peers struct {
	n       *Node
	client  *deferredClient
	server  *deferredServer
	members *watch.Table
	row     []byte
	leaving atomic.Bool
	// rowLost reports that the store lost this node's row. repair wakes Serve to write again what
	// the store lost.
	rowLost atomic.Bool
	repair  chan struct{}
	// known is closed when the shared secret and the member table are known, so that a node to
	// follow can be chosen. missing counts those of the two that are not known yet.
	missing     atomic.Int32
	known       chan struct{}
	membersRead sync.Once
	// answered is closed when the store has answered this process, either with the secret or that
	// there is none.
	answered     chan struct{}
	answeredOnce sync.Once
	// noSecret is set while reads of the secret from the store fail.
	noSecret atomic.Bool
}

func (n *Node) provisionPeers() (*peers, error) {
	ln, err := n.env.Listen(n.set.ListenPeers)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	p := &peers{n: n, repair: make(chan struct{}, 1), client: newDeferredClient(), known: make(chan struct{}), answered: make(chan struct{}), server: &deferredServer{ln: ln, key: make(chan []byte, 1)}}
	p.missing.Store(2)
	p.server.start = func(key []byte) *peer.Server {
		return peer.NewServer(ln, key, n.set.Node, peer.Handler{Nodes: n.OtherNodes, Stages: n.former, Versions: n.versionTracker, Publisher: n.relayServer, Ends: n.guard, Permits: n.limiter, Rollouts: n.owner, Targets: n.env.Links, Streams: n.streams, Traffic: n.traffic, Handshakes: n.set.Descriptors / handshakeDivisor}, n.log)
	}
	p.row, err = json.Marshal(member{Addr: ln.Addr().String(), DataCentre: n.set.DataCentre, Memory: n.set.MemoryBytes, Capacity: n.set.Capacity})
	if err != nil {
		return nil, eris.Wrap(err, "encode member")
	}
	p.members = &watch.Table{Name: memberTable, From: n.env.Store, Wait: watch.LongWait, Pause: n.pause(memberPausePerNode, memberPause, maxMemberPause), Apply: (&restore.Table{Name: memberTable, Apply: p.apply, RewriteLost: p.repairStore, Log: n.log}).Update, Primary: n.targetTable, Log: n.log}
	return p, nil
}

// Serve implements suture.Service: it reads the shared secret and keeps this node's row in the
// member table.
func (p *peers) Serve(ctx context.Context) error {
	key, fresh, err := p.sharedKey(ctx)
	if err != nil {
		return err
	}
	p.client.set(peer.NewClient(peer.Dial(p.n.env.Dial), key, p.n.set.Node, p.n.versionTracker, p.n.traffic))
	p.server.key <- key
	if fresh {
		p.awaitOthers(ctx)
	}
	p.prerequisiteMet()
	retry := storeRetry
	for {
		wait := rowCheckInterval
		if p.n.targetTable.Lost() {
			// The watch of the target table detects when the store answers again.
			wait = storeRetry
		} else if err := p.ensureRow(ctx); errors.Is(err, errMembersUnknown) {
			wait = storeRetry
		} else if err != nil {
			wait, retry = retry, min(2*retry, maxRowRetry)
		} else {
			retry = storeRetry
		}
		if p.awaitRepair(ctx, wait) {
			p.restoreKey(ctx, key)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// awaitOthers is called in a new platform. It writes this node's row, waits until the other
// nodes have written theirs, and then has the member table read: once, instead of at each
// change while the table fills.
func (p *peers) awaitOthers(ctx context.Context) {
	// If the store accepts no write now, Serve repeats it; other nodes can be followed before
	// that.
	_ = p.writeRow(ctx)
	if sleep(ctx, startupWait) {
		p.members.PollNow()
	}
}

// awaitRepair waits for between half of d and d. It reports whether the store lost rows before
// the time was over.
func (p *peers) awaitRepair(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + mathrand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.repair:
		return true
	}
	return false
}

// repairStore restores what the store lost when it was recovered from a copy: this node's row
// and the secret, in Serve, and the removal of the rows of nodes that left.
func (p *peers) repairStore(kept restore.Result) {
	select {
	case p.repair <- struct{}{}:
	default:
	}
	for _, name := range kept.Reappeared {
		p.removeDeparted(name)
	}
}

// removeDeparted removes the row of a node that left, which the store has again since its
// recovery. A row that is written between the read and the removal stays.
func (p *peers) removeDeparted(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	row, err := p.n.env.Store.Get(ctx, memberTable, name)
	if err != nil {
		// Another node has removed the row, or the store does not answer. A row that stays takes
		// effect when its hold in package restore ends.
		return
	}
	_, err = p.n.env.Store.Commit(ctx, store.Tx{
		Conditions: []store.Condition{{Table: memberTable, Key: name, Version: row.Version}},
		Writes:     []store.Write{{Table: memberTable, Key: name, Delete: true}},
	})
	if err != nil {
		p.n.log.Info("row of a departed node not removed", "peer", name, "err", err)
	}
}

// restoreKey writes the shared secret again if the store lost it. Otherwise a node that starts
// would generate another one, and no other node could connect to it.
func (p *peers) restoreKey(ctx context.Context, key []byte) {
	row, err := p.n.env.Store.Get(ctx, keyTable, peerKey)
	if err == nil && !bytes.Equal(row.Value, key) {
		p.n.log.Error("the store holds another shared secret since its recovery: nodes that start now cannot connect to this one", "row_version", row.Version)
	}
	if !errors.Is(err, store.ErrNotFound) {
		return
	}
	_, err = p.n.env.Store.Commit(ctx, store.Tx{
		Conditions: []store.Condition{{Table: keyTable, Key: peerKey}},
		Writes:     []store.Write{{Table: keyTable, Key: peerKey, Value: key}},
	})
	var conflict *store.ConflictError
	if err != nil && !errors.As(err, &conflict) {
		p.n.log.Info("shared secret not restored to the store yet", "err", err)
	}
}

// sleep waits for between half of d and d, and reports whether ctx is still active.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d/2 + mathrand.N(d/2)):
		return true
	}
}

// sharedKey reads the secret that all nodes share, or generates it; the first commit wins.
// fresh reports that the store had none, so all nodes start now: sharedKey then looks a second
// time before it generates one, as most nodes find one by then. If the secret exists, one read
// of the member table is enough to choose a node to follow.
func (p *peers) sharedKey(ctx context.Context) (key []byte, fresh bool, err error) {
	for {
		r, err := p.n.env.Store.Get(ctx, keyTable, peerKey)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			p.answeredOnce.Do(func() { close(p.answered) })
		}
		p.noSecret.Store(err != nil && !errors.Is(err, store.ErrNotFound))
		if err == nil {
			if !fresh {
				p.members.PollNow()
			}
			return r.Value, fresh, nil
		}
		if errors.Is(err, store.ErrNotFound) && !fresh {
			fresh = true
			if !sleep(ctx, storeRetry) {
				return nil, fresh, ctx.Err()
			}
			continue
		}
		if errors.Is(err, store.ErrNotFound) {
			secret := make([]byte, keyBytes)
			// crypto/rand.Read never fails.
			_, _ = rand.Read(secret)
			_, err = p.n.env.Store.Commit(ctx, store.Tx{
				Conditions: []store.Condition{{Table: keyTable, Key: peerKey}},
				Writes:     []store.Write{{Table: keyTable, Key: peerKey, Value: secret}},
			})
			// Another node may have committed its own; the next read returns the one that is valid.
			if err == nil {
				continue
			}
		}
		p.n.log.Info("shared secret not read yet", "err", err)
		if !sleep(ctx, storeRetry) {
			return nil, fresh, ctx.Err()
		}
	}
}

var errMembersUnknown = eris.New("entry: the table of nodes is not read yet")

// ensureRow writes this node's row in the table of nodes, unless the table already contains the row as
// it should be.
func (p *peers) ensureRow(ctx context.Context) error {
	if p.leaving.Load() {
		return nil
	}
	if p.rows() == nil {
		// A process that restarts after a kill may find its row unchanged.
		return errMembersUnknown
	}
	r, ok := p.rows()[p.n.set.Node]
	if ok && string(r.Value) == string(p.row) && !p.rowLost.Load() {
		return nil
	}
	return p.writeRow(ctx)
}

// writeRow writes this node's row.
func (p *peers) writeRow(ctx context.Context) error {
	_, err := p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{{Table: memberTable, Key: p.n.set.Node, Value: p.row}}})
	if err != nil {
		p.n.log.Info("this node's entry not written yet", "err", err)
	}
	return err
}

// rows returns the member table as last received; nil before that.
func (p *peers) rows() map[string]store.Row {
	return p.n.memberRows.Get()
}

// apply applies a new view of the member table.
func (p *peers) apply(v watch.View, kept restore.Result) {
	started := startedNodes(p.rows(), v.Rows, p.n.set.Node)
	p.n.memberRows.Store(v.Rows)
	p.rowLost.Store(slices.Contains(kept.Lost, p.n.set.Node))
	var out []stagebatch.Node
	var local []relay.Node
	var sharing []sharedrate.Node
	own := p.n.place(p.n.set.DataCentre)
	places := make(map[string]ownership.Place, len(v.Rows))
	for name, r := range v.Rows {
		m, err := decodeMember(r.Value)
		if err != nil {
			p.n.log.Error("row of a node ignored: it cannot be decoded", "peer", name, "err", err)
			continue
		}
		place := p.n.place(m.DataCentre)
		if ownership.Same(ownership.StoreUpdates, own, place) {
			local = append(local, relay.Node{Name: name, Addr: m.Addr, Memory: m.Memory})
		}
		if name != p.n.set.Node {
			places[name] = place
			out = append(out, stagebatch.Node{Name: name, Addr: m.Addr, DataCentre: m.DataCentre, Capacity: m.Capacity})
			if ownership.Same(ownership.RatePermits, own, place) {
				sharing = append(sharing, sharedrate.Node{Name: name, Addr: m.Addr})
			}
		}
	}
	p.n.state.Members.Store(out)
	p.n.state.LocalNodes.Store(local)
	p.n.limiter.SetNodes(sharing)
	p.n.traffic.Set(places)
	p.membersRead.Do(p.prerequisiteMet)
	p.n.relayServer.Wake()
	if len(started) > 0 {
		p.n.streams.NodesStarted(started)
	}
	p.n.log.Info("member table applied", "others", len(out), "started", len(started), "row_version", v.Version)
}

// startedNodes returns the names of the other nodes that have written their rows since before: each does so when it
// starts.
func startedNodes(before, now map[string]store.Row, self string) []string {
	var out []string
	for name, row := range now {
		if name != self && row.Version != before[name].Version {
			out = append(out, name)
		}
	}
	return out
}

// decodeMember decodes a row of the member table.
func decodeMember(value []byte) (member, error) {
	var m member
	if err := json.Unmarshal(value, &m); err != nil {
		return m, eris.Wrap(err, "decode row of a node")
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil {
		return m, eris.Wrap(err, "decode row of a node")
	}
	return m, nil
}

// prerequisiteMet records that the secret, or the member table, is known. Both are needed to
// follow another node.
func (p *peers) prerequisiteMet() {
	if p.missing.Add(-1) == 0 {
		close(p.known)
	}
}

// leave removes the row at a planned stop, so that other nodes stop ordering batches from this
// node.
func (p *peers) leave(ctx context.Context) {
	p.leaving.Store(true)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{{Table: memberTable, Key: p.n.set.Node, Delete: true}}})
	if err != nil {
		p.n.log.Warn("this node's entry not removed", "err", err)
	}
}

func (p *peers) close() {
	p.server.close()
	p.client.close()
}
