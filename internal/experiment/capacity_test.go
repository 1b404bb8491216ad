package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/membership"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
)

// The benchmarks of this file measure the slopes of docs/CAPACITY.md.

// heapOf returns the bytes that build keeps alive.
func heapOf[T any](build func() T) (T, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	v := build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return v, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// capacityTemplates is the number of pipelines at the size to design for.
const capacityTemplates = 21

func capacityItems(accounts int) []catalog.Item {
	var items []catalog.Item
	for i := range capacityTemplates {
		items = append(items, catalog.Item{Kind: catalog.TemplateItem, Name: fmt.Sprint("t", i), Value: fmt.Appendf(nil, `{"name":"t%d",
			"parameters":[{"name":"model","type":"string"},{"name":"tokens","type":"int","default":64}],
			"pipeline":{"class":"standard","deadline":"9s","idempotent":true,"stages":[
			{"name":"encode","pool":"e"},{"name":"retrieve","pool":"r"},{"name":"rerank","pool":"k"},
			{"name":"generate","pool":"g","model":"${model}","max_tokens":"${tokens}"}]}}`, i)})
	}
	for i := range accounts {
		items = append(items, accountItem(i, 0))
	}
	return items
}

func accountItem(i, change int) catalog.Item {
	return catalog.Item{Kind: catalog.AccountItem, Name: fmt.Sprintf("account-%06d", i), Value: fmt.Appendf(nil,
		`{"name":"account-%06d","tokens_sha256":["%064x"],"rate_per_second":%d,"pipelines":[
		{"name":"a","template":"t%d","parameters":{"model":"model-%d"}},{"name":"b","template":"t%d","parameters":{"model":"model-%d"}}]}`,
		i, i+1, 10+change, i%capacityTemplates, i%31, (i+7)%capacityTemplates, i%31)}
}

func capacityPools() []settings.Pool {
	return []settings.Pool{
		{Name: "e", Kind: settings.Encode}, {Name: "r", Kind: settings.Retrieve},
		{Name: "k", Kind: settings.Rerank}, {Name: "g", Kind: settings.Generate},
	}
}

// BenchmarkCapacityAccounts: the time is that of one change of one account.
func BenchmarkCapacityAccounts(b *testing.B) {
	for _, n := range []int{5, 1000, 33000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cfg, bytes := heapOf(func() *catalog.Compiled {
				cfg, err := catalog.New(capacityPools()).Apply(1, capacityItems(n))
				if err != nil {
					b.Fatal(err)
				}
				return cfg
			})
			rev := int64(1)
			for b.Loop() {
				rev++
				next, err := cfg.Apply(rev, []catalog.Item{accountItem(0, int(rev))})
				if err != nil {
					b.Fatal(err)
				}
				cfg = next
			}
			b.ReportMetric(bytes/float64(n), "B/account")
			b.ReportMetric(bytes/(1<<20), "MB")
		})
	}
}

// BenchmarkCapacityTargets: the time is that of one host list taken in.
func BenchmarkCapacityTargets(b *testing.B) {
	for _, n := range []int{12, 100, 670} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var hosts []store.Host
			for i := range n {
				hosts = append(hosts, store.Host{
					ID: fmt.Sprintf("host-%04d", i), Addr: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), Pool: fmt.Sprint("pool-", i%8),
					DataCentre: "dc", Models: []string{"a", "b"}, Slots: 8, State: store.Live,
				})
			}
			never := func(string) bool { return false }
			s, bytes := heapOf(func() *scheduler.Scheduler {
				s := scheduler.New(scheduler.DefaultConfig("dc", 1))
				s.SetHosts(hosts, never)
				return s
			})
			for b.Loop() {
				s.SetHosts(hosts, never)
			}
			b.ReportMetric(bytes/float64(n), "B/target")
		})
	}
}

// BenchmarkCapacityPeers: the time is that of one interval of a node: a tick,
// and a ping and an answer received.
func BenchmarkCapacityPeers(b *testing.B) {
	for _, n := range []int{8, 50, 400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			st, bytes := heapOf(func() *membership.State { return fullView(n, now) })
			for b.Loop() {
				now = now.Add(time.Second)
				for _, p := range st.Tick(now) {
					// As over the network: encoded, answered, decoded.
					if _, err := proto.Marshal(p.Msg); err != nil {
						b.Fatal(err)
					}
					if p.Msg.Seq == 0 {
						continue
					}
					ack := proto.CloneOf(p.Msg)
					ack.Kind, ack.From, ack.News = ackKind, p.Msg.Subject, nil
					st.Receive(now, p.Addr, ack)
				}
			}
			b.ReportMetric(bytes/float64(n), "B/peer")
		})
	}
}

// BenchmarkCapacityRequests: the time is that of one request of four stages
// through admission, queues, routing and the pipeline, without HTTP.
func BenchmarkCapacityRequests(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := &gatedCaller{gate: make(chan struct{})}
			s := scheduler.New(scheduler.DefaultConfig("dc", 1))
			var hosts []store.Host
			for _, p := range Harbour.Pools() {
				for i := range p.Targets {
					hosts = append(hosts, store.Host{ID: fmt.Sprint(p.Pool.Name, i), Pool: p.Pool.Name, Slots: 100_000, State: store.Live})
				}
			}
			s.SetHosts(hosts, func(string) bool { return false })
			var sets []settings.Pool
			for _, p := range Harbour.Pools() {
				sets = append(sets, p.Pool)
			}
			r := pipeline.NewRunner(s, g, sets, ignore{}, quiet)
			var wg sync.WaitGroup
			_, bytes := heapOf(func() struct{} {
				for i := range n {
					wg.Go(func() { runOne(b, r, i) })
				}
				for g.waiting() < n {
					time.Sleep(time.Millisecond)
				}
				return struct{}{}
			})
			close(g.gate)
			wg.Wait()
			for b.Loop() {
				runOne(b, r, 0)
			}
			b.ReportMetric(bytes/float64(n), "B/request")
		})
	}
}

func runOne(b *testing.B, r *pipeline.Runner, i int) {
	req := &pipeline.Request{
		ID: fmt.Sprint(i), Account: "a", Plan: answerPlan(catalog.Standard, time.Minute), Class: catalog.Standard,
		Deadline: time.Now().Add(time.Minute), Input: []byte(`"question"`),
	}
	if err := r.Admit(req); err != nil {
		b.Error(err)
	}
	if _, err := r.Run(context.Background(), req); err != nil {
		b.Error(err)
	}
}

// gatedCaller answers at once when its gate is open; until then generate calls
// wait.
type gatedCaller struct {
	gate chan struct{}
	mu   sync.Mutex
	n    int
}

func (g *gatedCaller) waiting() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}

func (g *gatedCaller) Do(_ context.Context, call dispatch.Call) ([]byte, error) {
	kinds := map[string]settings.PoolKind{"encode": settings.Encode, "retrieve": settings.Retrieve, "rerank": settings.Rerank}
	return stageAnswer(kinds[call.Identity.Stage]), nil
}

func (g *gatedCaller) Stream(_ context.Context, _ dispatch.Call, _ int, _ dispatch.Stall, emit func(dispatch.Token) error) error {
	g.mu.Lock()
	g.n++
	g.mu.Unlock()
	<-g.gate
	return emit(dispatch.Token{Text: "t"})
}

func fullView(n int, now time.Time) *membership.State {
	cfg := membership.Config{Interval: time.Second, SuspectFor: 5 * time.Second, ForgetAfter: time.Hour}
	st := membership.New(membership.Member{Name: memberName(0), Addr: memberAddr(0), Incarnation: 1}, nil, cfg, rand.New(rand.NewPCG(1, 1)))
	for i := 1; i < n; i++ {
		st.Receive(now, memberAddr(i), joinMessage(i))
	}
	// Let the news of the joins run out.
	for range 1000 {
		for _, p := range st.PingAll(now) {
			ack := proto.CloneOf(p.Msg)
			ack.Kind, ack.From, ack.News = ackKind, p.Msg.Subject, nil
			st.Receive(now, p.Addr, ack)
		}
		if st.PendingUpdates() == 0 {
			break
		}
	}
	return st
}

const ackKind = peerpb.Datagram_ACK

func joinMessage(i int) *peerpb.Datagram {
	m := &peerpb.Member{Name: memberName(i), Addr: memberAddr(i), DataCentre: "dc-1", Incarnation: 1}
	return &peerpb.Datagram{Kind: peerpb.Datagram_ANNOUNCE, From: memberName(i), News: []*peerpb.Member{m}}
}
