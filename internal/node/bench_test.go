package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"topazmoor/docs/examples"
	"topazmoor/internal/caller"
	"topazmoor/internal/catalog"
	"topazmoor/internal/config"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/intake"
	"topazmoor/internal/ledger"
	"topazmoor/internal/membership"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/standin/bubble"
	"topazmoor/internal/store"
)

// startOnLoopback runs one node with a stand-in platform and targets over real
// TCP.
func startOnLoopback(b *testing.B, specs []standin.PoolSpec) (*Node, *standin.World) {
	b.Helper()
	emptyPools()
	listen := func(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }
	world, err := standin.NewWorld(specs, listen)
	if err != nil {
		b.Fatal(err)
	}
	free := settings.Listener{Addr: "127.0.0.1:0"}
	s := settings.Settings{
		Node:   settings.Node{Name: "entry-1", DataCentre: "dc-1"},
		Listen: settings.Listen{Caller: free, Admin: free, Peer: free, Observe: free},
		Pools:  world.Pools(),
	}
	s.SetDefaults()
	var ids atomic.Int64
	n, err := Provision(s, Env{
		Dial: (&net.Dialer{}).DialContext, Listen: listen,
		ListenPacket: func(addr string) (membership.PacketConn, error) { return net.ListenPacket("udp", addr) },
		Store:        world.Store, PeerKey: []byte("key"), NewID: func() string { return fmt.Sprint(ids.Add(1)) },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx) }()
	b.Cleanup(func() {
		cancel()
		<-done
		world.Close()
	})
	submitExample(b, n, world.Store)
	for ready, _ := n.Ready(); !ready; ready, _ = n.Ready() {
		time.Sleep(10 * time.Millisecond)
	}
	return n, world
}

func submitExample(b *testing.B, n *Node, store store.Store) {
	b.Helper()
	m, err := catalog.ParseManifest([]byte(examples.Harbour))
	if err != nil {
		b.Fatal(err)
	}
	items, err := m.Items()
	if err != nil {
		b.Fatal(err)
	}
	change, err := config.NewStore(store).Submit(context.Background(), 0, catalog.Change{ID: "bench", Items: items})
	if err != nil {
		b.Fatal(err)
	}
	n.follower.Offer(change)
}

// BenchmarkPath compares a call of a plain service through a node with the
// same call made directly.
func BenchmarkPath(b *testing.B) {
	specs := standin.Harbour()
	for i := range specs {
		specs[i].Service = 0
		specs[i].Slots = 64
	}
	n, world := startOnLoopback(b, specs)
	b.Run("direct", func(b *testing.B) {
		cl := dispatch.New((&net.Dialer{}).DialContext, 1<<20, intake.NewBudget(0))
		defer cl.Close()
		b.ReportAllocs()
		for b.Loop() {
			_, err := cl.Do(context.Background(), dispatch.Call{
				Identity: dispatch.Identity{Request: "r", Stage: "s"}, Addr: world.Addrs["pilot-confirmation-1"],
				Path: "/v1/call", Body: []byte(`{"input":"x"}`), Echoes: true,
			})
			if err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("topazmoor", func(b *testing.B) {
		url := "http://" + n.Addr(callerServer) + "/v1/pipelines/berth-confirmation"
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(`{"input":"x"}`)))
			if err != nil {
				b.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer pilots-token")
			resp, err := client.Do(req)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				b.Fatal(resp.Status)
			}
		}
	})
}

// BenchmarkTokens measures one streamed token from a stand-in engine through a
// node to a caller, all in this process; the engine takes no time of its own.
func BenchmarkTokens(b *testing.B) {
	specs := standin.Harbour()
	for i := range specs {
		specs[i].Service = 0
	}
	n, _ := startOnLoopback(b, specs)
	cl := caller.New((&net.Dialer{}).DialContext)
	defer cl.Close()
	tokens := 0
	start := time.Now()
	for b.Loop() {
		res, err := cl.Run(context.Background(), caller.Request{
			Addr: n.Addr(callerServer), Token: "dispatch-desk-token", Pipeline: "radio-desk", Input: "x", Stream: true,
		})
		if err != nil || res.Problem != nil {
			b.Fatal(err, res)
		}
		tokens += len(res.Tokens)
	}
	b.ReportMetric(float64(time.Since(start).Nanoseconds())/float64(tokens), "ns/token")
}

// BenchmarkClaims measures, in virtual time over a store that takes 5 ms a
// call, how many commits a second claims need and what they add to a request.
func BenchmarkClaims(b *testing.B) {
	const span = 20 * time.Second
	for _, rate := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(rate), func(b *testing.B) {
			var commits, reads int64
			var added time.Duration
			for b.Loop() {
				bubble.Run(b, func() { commits, reads, added = claimAtRate(rate, span) })
			}
			b.ReportMetric(float64(commits)/span.Seconds(), "commits/s")
			b.ReportMetric(float64(reads)/span.Seconds(), "reads/s")
			b.ReportMetric(float64(added.Microseconds())/1000, "added-ms")
		})
	}
}

func claimAtRate(rate int, span time.Duration) (commits, reads int64, added time.Duration) {
	mem := store.NewMemory()
	mem.SetFaults(store.Faults{Delay: 5 * time.Millisecond})
	book := ledger.NewTableRegistry(mem, 40*time.Millisecond, slog.New(slog.NewTextHandler(io.Discard, nil)))
	var wg sync.WaitGroup
	var total atomic.Int64
	n := rate * int(span.Seconds())
	for i := range n {
		wg.Go(func() {
			start := time.Now()
			c := ledger.Claim{Key: ledger.Key{Account: "a", Key: fmt.Sprint(i)}, Attempt: fmt.Sprint(i), Until: start.Add(time.Minute)}
			if _, err := book.Claim(context.Background(), c); err != nil {
				panic(err)
			}
			total.Add(int64(time.Since(start)))
			if err := book.Finish(context.Background(), c, &ledger.Outcome{Status: 200}); err != nil {
				panic(err)
			}
		})
		time.Sleep(span / time.Duration(n))
	}
	wg.Wait()
	counts := mem.Counts()
	// The goroutine of the table registry must end before the bubble does.
	time.Sleep(time.Second)
	return counts.Commits, counts.Reads, time.Duration(total.Load() / int64(n))
}

// BenchmarkBatch runs, in virtual time, a batch of n items whose pipeline may not
// be repeated. It reports the commits to the store per item, those for the claims
// of the items included, and the size of the batch's row in the store per item.
func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{32, 320, 3200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var writes, bytes float64
			var err error
			for b.Loop() {
				bubble.Run(b, func() { writes, bytes, err = batchWrites(n) })
			}
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(writes, "commits/item")
			b.ReportMetric(bytes, "row-B/item")
		})
	}
}

func batchWrites(n int) (commits, rowBytes float64, err error) {
	cl, err := readyCluster(1)
	if err != nil {
		return 0, 0, err
	}
	defer cl.close()
	before := cl.world.Store.Counts()
	st, err := cl.submitBatch(0, "pilots-token", "berth-confirmation", "bench", n)
	if err != nil {
		return 0, 0, err
	}
	if _, err := cl.results(0, "pilots-token", st.ID, time.Hour); err != nil {
		return 0, 0, err
	}
	after := cl.world.Store.Counts()
	row, err := cl.world.Store.Get(tctx, "batch", st.ID)
	return float64(after.Commits-before.Commits) / float64(n), float64(len(row.Value)) / float64(n), err
}

// BenchmarkConfigSpread measures, with whole nodes in virtual time, how long an
// accepted change takes to be in force at every live node while one node crashes,
// and the membership traffic per node afterwards. The simulated network adds no
// latency: the figure is that of the protocol alone.
func BenchmarkConfigSpread(b *testing.B) {
	for _, n := range []int{8, 100, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var res spreadResult
			for b.Loop() {
				bubble.Run(b, func() { res = spread(n) })
			}
			if res.err != nil {
				b.Fatal(res.err)
			}
			b.ReportMetric(res.effect.Seconds(), "effect-s")
			b.ReportMetric(res.down.Seconds(), "effect-storedown-s")
			b.ReportMetric(res.bytes, "bytes/s/node")
			b.ReportMetric(res.reads, "store-reads/s")
			b.ReportMetric(res.writes, "store-writes/s")
		})
	}
}

type spreadResult struct {
	effect, down         time.Duration
	bytes, reads, writes float64
	err                  error
}

func spread(n int) (res spreadResult) {
	cl, err := newCluster(n)
	if err != nil {
		return spreadResult{err: err}
	}
	defer cl.close()
	const settle = 2 * time.Minute
	time.Sleep(settle)
	if res.err = cl.apply(); res.err != nil {
		return res
	}
	start := time.Now()
	cl.kill(n / 2)
	for !cl.allHaveRevision(1) {
		time.Sleep(10 * time.Millisecond)
	}
	res.effect = time.Since(start)
	before, counts := cl.traffic(), cl.world.Store.Counts()
	time.Sleep(settle)
	after, later := cl.traffic(), cl.world.Store.Counts()
	res.bytes = float64(after-before) / settle.Seconds() / float64(n)
	res.reads = float64(later.Reads-counts.Reads) / settle.Seconds()
	res.writes = float64(later.Commits-counts.Commits) / settle.Seconds()
	res.down, res.err = cl.spreadWithoutStore()
	return res
}

// spreadWithoutStore measures the spread of a change while only one node reaches
// the store, so that the others receive the change from their peers.
func (c *cluster) spreadWithoutStore() (time.Duration, error) {
	for _, n := range c.all()[1:] {
		n.gate.SetDisconnected(true)
	}
	start := time.Now()
	err := c.submit([]catalog.Item{{Kind: catalog.DrainItem, Name: "x", Value: []byte(`{"host":"x"}`)}})
	if err != nil {
		return 0, err
	}
	for !c.allHaveRevision(2) {
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(start), nil
}

// allHaveRevision reports whether all live nodes have the revision.
func (c *cluster) allHaveRevision(rev int64) bool {
	for _, n := range c.all() {
		if !n.dead.Load() && n.board.Catalog.Get().Revision < rev {
			return false
		}
	}
	return true
}

// traffic returns the bytes of membership datagrams that all nodes sent and
// received.
func (c *cluster) traffic() int64 {
	var sum int64
	for _, n := range c.all() {
		t := n.peers.runner.Traffic()
		sum += t.InBytes + t.OutBytes
	}
	return sum
}
