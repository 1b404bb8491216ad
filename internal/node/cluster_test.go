package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/docs/examples"
	"topazmoor/internal/caller"
	"topazmoor/internal/catalog"
	"topazmoor/internal/config"
	"topazmoor/internal/membership"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/standin/memnet"
	"topazmoor/internal/store"
)

// cluster is a set of real nodes over an in-memory network, for use inside a
// synctest bubble.
type cluster struct {
	net   *memnet.Network
	world *standin.World
	// mu guards nodes and retired while failures run beside a test.
	mu    sync.Mutex
	nodes []*testNode
	// retired are the killed processes that restart replaced.
	retired []*testNode
	deadIPs sync.Map
	caller  *caller.Client
	ids     atomic.Int64
	ips     int
	log     *slog.Logger
	// bootLead is the lead of the hosts' boot clocks, in nanoseconds; it grows by a suspension.
	bootLead atomic.Int64
	adjust   func(*settings.Settings)
}

type testNode struct {
	*Node
	ip     string
	gate   *standin.StoreProxy
	cancel context.CancelFunc
	done   chan error
	dead   atomic.Bool
}

// operatorTokenSHA256 is the hash of the operator's token "op".
const operatorTokenSHA256 = "037aeaeaf4bbf26ddabe7256a8294dc52da48d575a1247b5c2598c47de7aebab"

const callerIP = "10.9.9.9"

func newCluster(nodes int) (*cluster, error) {
	return newClusterWith(nodes, standin.Harbour(), func(*settings.Settings) {})
}

// emptyPools empties all sync.Pools. yamux keeps timers in one, and a timer
// of an earlier synctest bubble must not be used in a later one; two garbage
// collections empty every pool.
func emptyPools() {
	runtime.GC()
	runtime.GC()
}

// readyCluster returns a cluster whose nodes are ready with the example
// configuration.
func readyCluster(nodes int) (*cluster, error) {
	cl, err := newCluster(nodes)
	if err != nil {
		return nil, err
	}
	if err := cl.apply(); err != nil {
		cl.close()
		return nil, err
	}
	if !cl.waitReady(1, time.Minute) {
		cl.close()
		return nil, eris.New("the nodes did not become ready")
	}
	return cl, nil
}

func newClusterWith(nodes int, specs []standin.PoolSpec, adjust func(*settings.Settings)) (*cluster, error) {
	emptyPools()
	c := &cluster{net: memnet.New(), log: slog.New(slog.NewTextHandler(io.Discard, nil)), adjust: adjust}
	world, err := standin.NewWorld(specs, c.net.Listen)
	if err != nil {
		return nil, err
	}
	c.world = world
	c.caller = caller.New(c.net.DialFrom(callerIP))
	for range nodes {
		if err := c.start(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) newID() string { return fmt.Sprintf("id%08d", c.ids.Add(1)) }

// start adds a node with a new name and address.
func (c *cluster) start() error {
	n, err := c.startAs(fmt.Sprintf("entry-%d", len(c.nodes)+1))
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, n)
	return nil
}

// restart replaces node i by a new process of the same name at a new address.
func (c *cluster) restart(i int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.nodes[i]
	c.killNode(old)
	n, err := c.startAs(old.s.Node.Name)
	if err != nil {
		return err
	}
	c.retired = append(c.retired, old)
	c.nodes[i] = n
	return nil
}

func (c *cluster) startAs(name string) (*testNode, error) {
	c.ips++
	ip := fmt.Sprintf("10.1.%d.%d", c.ips/250, c.ips%250+1)
	any := settings.Listener{Addr: ip + ":0"}
	s := settings.Settings{
		Node:      settings.Node{Name: name, DataCentre: fmt.Sprintf("dc-%d", c.ips%2+1)},
		Listen:    settings.Listen{Caller: any, Admin: any, Peer: any, Observe: any},
		Peers:     settings.Peers{KeyFile: "-"},
		Operators: []settings.Operator{{Name: "op", TokenSHA256: operatorTokenSHA256}},
		Pools:     c.world.Pools(),
	}
	c.adjust(&s)
	s.SetDefaults()
	gate := standin.NewStoreProxy(c.world.Store)
	n, err := Provision(s, Env{
		Dial:         c.net.DialFrom(ip),
		Listen:       c.net.Listen,
		ListenPacket: func(addr string) (membership.PacketConn, error) { return c.net.ListenPacket(addr) },
		Store:        gate, PeerKey: []byte("a key that all nodes share......"),
		BootLead: func() (time.Duration, error) { return time.Duration(c.bootLead.Load()), nil },
		NewID:    c.newID, Seed: uint64(c.ips), Log: c.log,
	})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	tn := &testNode{Node: n, ip: ip, gate: gate, cancel: cancel, done: make(chan error, 1)}
	go func() { tn.done <- n.Serve(ctx) }()
	return tn, nil
}

// kill simulates the crash of a node: it first cuts the node off from the network
// and the store, so that nothing that its goroutines still do has an effect.
func (c *cluster) kill(i int) { c.killNode(c.node(i)) }

func (c *cluster) killNode(n *testNode) {
	if n.dead.Swap(true) {
		return
	}
	c.deadIPs.Store(n.ip, true)
	n.gate.SetDisconnected(true)
	n.gate.Unfreeze()
	c.partition()
	c.net.Unfreeze(n.ip)
	n.cancel()
}

// partition cuts dead nodes off from the network, and also each connection for
// which an extra function returns true.
func (c *cluster) partition(extra ...func(from, to string) bool) {
	isDead := func(ip string) bool {
		_, ok := c.deadIPs.Load(ip)
		return ok
	}
	c.net.SetPartition(func(from, to string) bool {
		for _, f := range extra {
			if f(from, to) {
				return true
			}
		}
		return isDead(from) || isDead(to)
	})
}

// apply submits the example configuration directly to the store and waits
// until all nodes have it.
func (c *cluster) apply() error {
	m, err := catalog.ParseManifest([]byte(examples.Harbour))
	if err != nil {
		return err
	}
	items, err := m.Items()
	if err != nil {
		return err
	}
	return c.submit(items)
}

func (c *cluster) submit(items []catalog.Item) error {
	n := c.nodes[0]
	change := catalog.Change{ID: c.newID(), By: "test", Items: items}
	accepted, err := config.NewStore(n.gate).Submit(context.Background(), n.board.Catalog.Get().Revision, change)
	if err != nil {
		return err
	}
	n.follower.Offer(accepted)
	return nil
}

// waitReady waits until all live nodes are ready and have the revision. It returns
// false after the limit.
func (c *cluster) waitReady(revision int64, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		all := true
		for _, n := range c.all() {
			ready, _ := n.Ready()
			all = all && (n.dead.Load() || (ready && n.board.Catalog.Get().Revision >= revision))
		}
		if all {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}

// close stops all nodes and the stand-ins; the bubble can end afterwards.
func (c *cluster) close() {
	c.world.Store.SetFaults(store.Faults{})
	for i := range c.nodes {
		c.kill(i)
	}
	for _, n := range append(c.retired, c.nodes...) {
		<-n.done
	}
	c.caller.Close()
	c.world.Close()
	// Goroutines that still retry must reach their timeouts: a bubble must not
	// end while goroutines sleep.
	time.Sleep(settleTime)
}

// settleTime is longer than every timeout of a node.
const settleTime = 10 * time.Minute

func (c *cluster) addr(i int) string { return c.node(i).Addr(callerServer) }

// node returns the current process of node i.
func (c *cluster) node(i int) *testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[i]
}

// all returns the current process of each node of the cluster. If a node was killed and not
// started again, that is the killed process.
func (c *cluster) all() []*testNode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*testNode(nil), c.nodes...)
}

var tctx = context.Background()

func timeoutCtx(d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(tctx, d)
}

func seedWith(addr string) func(*settings.Settings) {
	return func(s *settings.Settings) { s.Peers.Seeds = []string{addr} }
}
