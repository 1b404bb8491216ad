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

	"topazmoor/internal/peer"
	"topazmoor/internal/poison"
	"topazmoor/internal/relay"
	"topazmoor/internal/restore"
	"topazmoor/internal/rollout"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// Tables of the node's own in the store.
const (
	// memberTable has a row a node, by name.
	memberTable = "members"
	// keyTable holds the secret that all nodes share.
	keyTable = "keys"
	peerKey  = "peer"
)

const (
	// keyBytes is the length of the shared secret.
	keyBytes = 32
	// enterRetry is the pause between tries to reach the store, half random.
	enterRetry = 400 * time.Millisecond
	// maxEnterRetry is up to where that doubles for this node's row: the store takes some 200 writes a
	// second of one table, and all nodes of a fleet may start at once.
	maxEnterRetry = 4 * time.Second
	// freshGather, half of it random, is how long nodes that all start now wait for each other
	// before they read who is there: they start within some 100 ms, weak ones take a second.
	freshGather = 2400 * time.Millisecond
	// enterAgain is how often a node looks whether its row still stands.
	enterAgain = 5 * time.Second
	// memberPause gathers the entries of nodes that start together, up to
	// maxMemberPause where there are many.
	memberPause    = time.Second
	maxMemberPause = 2500 * time.Millisecond
	// memberPausePerNode is what each node adds: 74 nodes gather for 2.2 s.
	memberPausePerNode = 30 * time.Millisecond
	// leaveTimeout bounds the removal of the row at a stop.
	leaveTimeout = 2 * time.Second
)

// member is a row of the member table.
type member struct {
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	// Memory is the process's limit in bytes; 0 for none.
	Memory int64 `json:"memory,omitempty"`
	// Means is what it has for the batches that it forms.
	Means stagebatch.Means `json:"means,omitzero"`
}

// peers is the node's side of the other nodes. It implements suture.Service.
type peers struct {
	n       *Node
	client  *lateClient
	server  *lateServer
	members *watch.Table
	row     []byte
	left    atomic.Bool
	// lost says that the store lost this node's row, mended wakes Serve for what it lost.
	lost   atomic.Bool
	mended chan struct{}
	// known is closed when the secret and the nodes are known, so that one to follow can be
	// chosen.
	missing atomic.Int32
	known   chan struct{}
	read    sync.Once
	// answered is closed when the store has answered this process, with the secret or that
	// there is none.
	answered     chan struct{}
	answeredOnce sync.Once
	// refused is set while the store does not answer with the secret.
	refused atomic.Bool
}

func (n *Node) provisionPeers() (*peers, error) {
	ln, err := n.env.Listen(n.set.ListenPeers)
	if err != nil {
		return nil, eris.Wrap(err, "listen for peers")
	}
	p := &peers{n: n, mended: make(chan struct{}, 1), client: newLateClient(), known: make(chan struct{}), answered: make(chan struct{}), server: &lateServer{ln: ln, key: make(chan []byte, 1)}}
	p.missing.Store(2)
	p.server.start = func(key []byte) *peer.Server {
		return peer.NewServer(ln, key, n.set.Node, peer.Handler{Nodes: n.Others, Stages: n.former, Versions: n.versions, Teller: n.teller, Ends: n.guard, Permits: n.limiter, Rollouts: n.owner}, n.log)
	}
	p.row, err = json.Marshal(member{Addr: ln.Addr().String(), DataCentre: n.set.DataCentre, Memory: n.set.MemoryBytes, Means: n.set.Means})
	if err != nil {
		return nil, eris.Wrap(err, "encode member")
	}
	p.members = &watch.Table{Name: memberTable, From: n.env.Store, Wait: watch.LongWait, Pause: n.pause(memberPausePerNode, memberPause, maxMemberPause), Apply: (&restore.Table{Name: memberTable, Apply: p.apply, Mend: p.mend, Log: n.log}).Take, Lead: n.servers, Log: n.log}
	return p, nil
}

// Serve implements suture.Service: it fetches the shared secret and keeps this
// node's row in the member table.
func (p *peers) Serve(ctx context.Context) error {
	key, fresh, err := p.sharedKey(ctx)
	if err != nil {
		return err
	}
	p.client.set(peer.NewClient(peer.Dial(p.n.env.Dial), key, p.n.set.Node, p.n.versions))
	p.server.key <- key
	if fresh {
		p.gather(ctx)
	}
	p.learned()
	retry := enterRetry
	for {
		wait := enterAgain
		if p.n.servers.Lost() {
			// The list of targets finds out when the store is back.
			wait = enterRetry
		} else if err := p.enter(ctx); errors.Is(err, errMembersUnknown) {
			wait = enterRetry
		} else if err != nil {
			wait, retry = retry, min(2*retry, maxEnterRetry)
		} else {
			retry = enterRetry
		}
		if p.sleepOrMend(ctx, wait) {
			p.keepKey(ctx, key)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// gather enters this node in a platform that no node knew before, waits until the others did as
// well, and has the table of nodes read: once, instead of at each change while it fills.
func (p *peers) gather(ctx context.Context) {
	// Where the store takes no more writes now, Serve goes on; others can be followed before.
	_ = p.write(ctx)
	if sleep(ctx, freshGather) {
		p.members.Poke()
	}
}

// sleepOrMend waits for about d, or until the store has lost something, which it reports.
func (p *peers) sleepOrMend(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + mathrand.N(d/2))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.mended:
		return true
	}
	return false
}

// mend writes again what the store lost when it came back from a copy: this node's row, in
// Serve, and that rows of nodes that left were removed.
func (p *peers) mend(kept restore.Result) {
	select {
	case p.mended <- struct{}{}:
	default:
	}
	for _, name := range kept.Undone {
		p.forget(name)
	}
}

// forget removes the row of a node that left, unless it was written since the store came back.
func (p *peers) forget(name string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	row, err := p.n.env.Store.Get(ctx, memberTable, name)
	if err != nil {
		// Another node was sooner, or the row lapses after its hold.
		return
	}
	_, err = p.n.env.Store.Commit(ctx, store.Tx{
		Conditions: []store.Condition{{Table: memberTable, Key: name, Version: row.Version}},
		Writes:     []store.Write{{Table: memberTable, Key: name, Delete: true}},
	})
	if err != nil {
		p.n.log.Info("entry of a node that left not removed again", "peer", name, "err", err)
	}
}

// keepKey writes the secret of all nodes again where the store lost it: a node that starts would
// make another one, and nobody could talk to it.
func (p *peers) keepKey(ctx context.Context, key []byte) {
	row, err := p.n.env.Store.Get(ctx, keyTable, peerKey)
	if err == nil && !bytes.Equal(row.Value, key) {
		p.n.log.Error("the store has another shared secret since it came back: nodes that start now cannot talk to this one", "row_version", row.Version)
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
		p.n.log.Info("shared secret not written again yet", "err", err)
	}
}

// sleep waits for about d and reports whether ctx still lasts.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d/2 + mathrand.N(d/2)):
		return true
	}
}

// sharedKey reads the secret of all nodes, or makes it: the first commit wins. fresh says
// that there was none: all nodes start now, look twice before they make one (most of them
// need not then). Otherwise one read of the nodes is enough to choose one to follow.
func (p *peers) sharedKey(ctx context.Context) (key []byte, fresh bool, err error) {
	for {
		r, err := p.n.env.Store.Get(ctx, keyTable, peerKey)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			p.answeredOnce.Do(func() { close(p.answered) })
		}
		p.refused.Store(err != nil && !errors.Is(err, store.ErrNotFound))
		if err == nil {
			if !fresh {
				p.members.Poke()
			}
			return r.Value, fresh, nil
		}
		if errors.Is(err, store.ErrNotFound) && !fresh {
			fresh = true
			if !sleep(ctx, enterRetry) {
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
			// Whoever wrote it: the next read tells.
			if err == nil {
				continue
			}
		}
		p.n.log.Info("shared secret not read yet", "err", err)
		if !sleep(ctx, enterRetry) {
			return nil, fresh, ctx.Err()
		}
	}
}

var errMembersUnknown = eris.New("entry: the table of nodes is not read yet")

// enter writes this node's row unless it stands.
func (p *peers) enter(ctx context.Context) error {
	if p.left.Load() {
		return nil
	}
	if p.rows() == nil {
		// A process that was killed finds its row as it left it.
		return errMembersUnknown
	}
	r, ok := p.rows()[p.n.set.Node]
	if ok && string(r.Value) == string(p.row) && !p.lost.Load() {
		return nil
	}
	return p.write(ctx)
}

// write writes this node's row.
func (p *peers) write(ctx context.Context) error {
	_, err := p.n.env.Store.Commit(ctx, store.Tx{Writes: []store.Write{{Table: memberTable, Key: p.n.set.Node, Value: p.row}}})
	if err != nil {
		p.n.log.Info("this node's entry not written yet", "err", err)
	}
	return err
}

// rows returns the member table as it was last seen.
func (p *peers) rows() map[string]store.Row {
	return p.n.memberRows.Get()
}

// apply takes in what is in force of the member table.
func (p *peers) apply(v watch.View, kept restore.Result) {
	p.n.memberRows.Store(v.Rows)
	p.lost.Store(slices.Contains(kept.Lost, p.n.set.Node))
	var out []stagebatch.Node
	var near []relay.Node
	var sharing []sharedrate.Node
	for name, r := range v.Rows {
		m, err := decodeMember(r.Value)
		if err != nil {
			p.n.log.Error("entry of a node left out", "peer", name, "err", err)
			continue
		}
		if m.DataCentre == p.n.set.DataCentre {
			near = append(near, relay.Node{Name: name, Addr: m.Addr, Memory: m.Memory})
		}
		if name != p.n.set.Node {
			sharing = append(sharing, sharedrate.Node{Name: name, Addr: m.Addr})
			out = append(out, stagebatch.Node{Name: name, Addr: m.Addr, DataCentre: m.DataCentre, Means: m.Means})
		}
	}
	p.n.board.Members.Store(out)
	p.n.board.Near.Store(near)
	p.n.limiter.SetNodes(sharing)
	p.read.Do(p.learned)
	p.n.teller.Wake()
	p.n.log.Info("nodes known", "others", len(out), "row_version", v.Version)
}

// decodeMember reads a row of the member table.
func decodeMember(value []byte) (member, error) {
	var m member
	if err := json.Unmarshal(value, &m); err != nil {
		return m, eris.Wrap(err, "entry of a node")
	}
	if _, err := netip.ParseAddrPort(m.Addr); err != nil {
		return m, eris.Wrap(err, "entry of a node")
	}
	return m, nil
}

// learned notes that one of the two things is known that it takes to follow another node.
func (p *peers) learned() {
	if p.missing.Add(-1) == 0 {
		close(p.known)
	}
}

// leave removes the row at a planned stop, so that others stop ordering
// batches here.
func (p *peers) leave(ctx context.Context) {
	p.left.Store(true)
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

// lateClient is a peer client that exists once the shared secret is known. It
// implements stagebatch.Remote.
type lateClient struct {
	c     atomic.Pointer[peer.Client]
	ready chan struct{}
}

func newLateClient() *lateClient { return &lateClient{ready: make(chan struct{})} }

var errNoKey = eris.New("entry: the shared secret is not known yet")

func (l *lateClient) set(c *peer.Client) {
	if l.c.Swap(c) == nil {
		close(l.ready)
	}
}

// Follow implements relay.Remote. It waits for the secret: a node that starts wants the
// store's tables before anything else.
func (l *lateClient) Follow(ctx context.Context, addr string, have []relay.Have, told func(relay.Told) error) error {
	select {
	case <-ctx.Done():
		return errNoKey
	case <-l.ready:
	}
	return l.c.Load().Follow(ctx, addr, have, told)
}

// Produce implements stagebatch.Remote.
func (l *lateClient) Produce(ctx context.Context, addr string, o stagebatch.Order, accepted func(stagebatch.Waits)) (stagebatch.Result, error) {
	c := l.c.Load()
	if c == nil {
		return stagebatch.Result{}, errNoKey
	}
	return c.Produce(ctx, addr, o, accepted)
}

// Free implements stagebatch.Remote.
func (l *lateClient) Free(ctx context.Context, addr, service string, handles []string, ifTight bool) error {
	c := l.c.Load()
	if c == nil {
		return errNoKey
	}
	return c.Free(ctx, addr, service, handles, ifTight)
}

// TellEnds tells another node of ends of targets under requests.
func (l *lateClient) TellEnds(ctx context.Context, addr string, ends []poison.End) error {
	c := l.c.Load()
	if c == nil {
		return errNoKey
	}
	return c.TellEnds(ctx, addr, ends)
}

// ReportRollout tells the node that decides on a roll-out what this one saw of it.
func (l *lateClient) ReportRollout(ctx context.Context, addr string, r rollout.Report) (rollout.Answer, error) {
	c := l.c.Load()
	if c == nil {
		return rollout.Answer{}, errNoKey
	}
	return c.ReportRollout(ctx, addr, r)
}

// AskPermits asks another node for permits of a rate.
func (l *lateClient) AskPermits(ctx context.Context, addr string, a sharedrate.Ask) (sharedrate.Grant, error) {
	c := l.c.Load()
	if c == nil {
		return sharedrate.Grant{}, sharedrate.ErrNotReady
	}
	return c.AskPermits(ctx, addr, a)
}

func (l *lateClient) close() {
	if c := l.c.Load(); c != nil {
		c.Close()
	}
}

// lateServer serves peers once the shared secret is known. It implements
// suture.Service.
type lateServer struct {
	ln    interface{ Close() error }
	key   chan []byte
	start func(key []byte) *peer.Server
}

// Serve implements suture.Service.
func (l *lateServer) Serve(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case key := <-l.key:
		return l.start(key).Serve(ctx)
	}
}

func (l *lateServer) close() { l.ln.Close() }
