package capacity

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync/atomic"
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/relay"
	"topazmoor/internal/rollout"
	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/store"
	"topazmoor/internal/targets"
	"topazmoor/internal/watch"
)

// measures are the decisions that a fleet makes for each request, change or failure, and whose cost
// may grow with it.
var measures = []measure{
	{"a change of a target, in the list", "us", "each node, each change", changeOfATarget},
	{"a change of a target, in the copy of the table", "us", "each node, each change", changeOfACopy},
	{"choice of an engine", "us", "each node, each request", choiceOfAnEngine},
	{"order at a former", "us", "former, each order", orderAtAFormer},
	{"targets asked by a former that begins", "targets", "former, at a start", spaceQueriesAtStart},
	{"choice of the former", "us", "each node, each order", chooseFormer},
	{"choice of the node to follow", "us", "each node, each second", chooseRelay},
	{"failures that are repeated, of 100 here and there", "requests", "all nodes", repeatedFailures},
	{"reports on a roll-out, a second", "reports", "owner", reportsOnARollout},
}

const (
	// enginePool has most of the targets, stagePool some.
	enginePool, stagePool = "engines", "stage"
	engineShare           = 0.56
	stageShare            = 0.14
)

// listOf is the list of targets of a fleet.
func listOf(s Size) []targets.Target {
	out := make([]targets.Target, s.Targets)
	for i := range out {
		service := "other"
		switch part := float64(i) / float64(s.Targets); {
		case part < engineShare:
			service = enginePool
		case part < engineShare+stageShare:
			service = stagePool
		}
		out[i] = targets.Target{
			ID: fmt.Sprint("t-", i), Service: service, Addr: fmt.Sprintf("10.%d.%d.%d:80", i/62500, i/250%250, i%250+1),
			DataCentre: fmt.Sprint("dc", i%dataCentres), Slots: 1, Revision: store.Version{Number: int64(i + 1)},
		}
	}
	return out
}

func tableOf(s Size) *targets.Table {
	t := targets.New("dc0")
	t.Change(targets.ListUpdate{Updated: listOf(s)}, time.Time{})
	return t
}

func changeOfATarget(s Size) Figure {
	t, changed, last := tableOf(s), listOf(s)[0], int64(s.Targets)
	return micros(func() {
		last++
		changed.Revision = store.Version{Number: last}
		t.Change(targets.ListUpdate{Updated: []targets.Target{changed}}, time.Time{})
	})
}

func changeOfACopy(s Size) Figure {
	t := &watch.Table{Name: "targets", Apply: func(watch.View) {}}
	whole := watch.News{Version: store.Version{Number: int64(s.Targets)}, Whole: true}
	for i := range s.Targets {
		whole.Rows = append(whole.Rows, store.Row{Key: fmt.Sprint("t-", i), Value: make([]byte, 300), Version: store.Version{Number: int64(i + 1)}})
	}
	at, last := whole.Version, int64(s.Targets)
	take := func(n watch.News) {
		if err := t.ApplyUpdate(n); err != nil {
			// The copy is only told what goes on where it ends.
			panic(err)
		}
	}
	take(whole)
	return micros(func() {
		last++
		next := store.Version{Number: last}
		row := whole.Rows[0]
		row.Version = next
		take(watch.News{Since: at, Version: next, Rows: []store.Row{row}})
		at = next
	})
}

func choiceOfAnEngine(s Size) Figure {
	t, affinity := tableOf(s), uint64(0)
	return micros(func() {
		affinity++
		l := t.Pick(targets.Query{Service: enginePool, Engine: &targets.EngineQuery{Affinity: affinity, Tokens: 9000, Shared: 6300}})
		l.Done(targets.Served, 0)
	})
}

// pool answers calls at once and counts the targets that were asked for their room.
type pool struct{ asked atomic.Int64 }

func (p *pool) Run(_ context.Context, t targets.Target, items []stagebatch.Item, _ func() bool) (stagebatch.Reply, error) {
	out := make([]stagebatch.ItemResult, len(items))
	for i, it := range items {
		out[i].Handle = fmt.Sprint(t.Addr, "/", it.Request, it.Piece)
	}
	return stagebatch.Reply{Results: out}, nil
}

func (p *pool) Free(context.Context, string, []string) error { return nil }

func (p *pool) Space(context.Context, string) (int64, error) {
	p.asked.Add(1)
	return 1 << 30, nil
}

func (p *pool) HolderAddr(handle string) string { return handle }

func formerOf(s Size) (*pool, *stagebatch.Former) {
	p := &pool{}
	spec := &routes.Batch{Slots: 1, Queue: 2, Items: 8, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond, ResultSpace: 1 << 30, Keep: time.Second}
	f := stagebatch.NewFormer(p, tableOf(s), func(string) *routes.Batch { return spec }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Name = "node-0"
	return p, f
}

func order(f *stagebatch.Former, id int) {
	now := time.Now()
	res, err := f.Produce(context.Background(), stagebatch.Order{
		Service: stagePool, Request: fmt.Sprint("r", id, "-"), Pieces: 4, Due: now.Add(time.Second), Deadline: now.Add(4 * time.Second),
	}, nil)
	if err == nil {
		f.Free(stagePool, res.Handles)
	}
}

// orderAtAFormer includes the calls that answer at once, and their goroutines.
func orderAtAFormer(s Size) Figure {
	_, f := formerOf(s)
	order(f, 0)
	// The rooms that are asked for at a start are another cost.
	time.Sleep(100 * time.Millisecond)
	id := 0
	return micros(func() {
		id++
		order(f, id)
	})
}

func spaceQueriesAtStart(s Size) Figure {
	p, f := formerOf(s)
	order(f, 0)
	asked := p.asked.Load()
	for {
		time.Sleep(settled)
		now := p.asked.Load()
		if now == asked {
			return Figure{Value: float64(asked)}
		}
		asked = now
	}
}

// settled is how long nothing is asked once all has been.
const settled = 50 * time.Millisecond

// nodesOf are the nodes of a fleet, of which each sixteenth is a strong one.
func nodesOf(s Size) []stagebatch.Node {
	out := make([]stagebatch.Node, s.Hosts)
	for i := range out {
		means := stagebatch.Capacity{LinkBytes: 2.5e6, Processors: 0.2}
		if i%16 == 0 {
			means = stagebatch.Capacity{LinkBytes: 125e6, Processors: 1.6}
		}
		out[i] = stagebatch.Node{Name: fmt.Sprint("node-", i), Addr: "10.0.0.1:1", DataCentre: fmt.Sprint("dc", i%dataCentres), Capacity: means}
	}
	return out
}

func chooseFormer(s Size) Figure {
	_, f := formerOf(Size{Hosts: 1, Targets: dataCentres})
	nodes := nodesOf(s)
	r := stagebatch.NewRouter(nodes[0], f, nil, func() []stagebatch.Node { return nodes[1:] }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	return micros(func() { r.FirstBatchNode(stagePool) })
}

func chooseRelay(s Size) Figure {
	var near []relay.Node
	for i := range max(s.Hosts/dataCentres, 1) {
		near = append(near, relay.Node{Name: fmt.Sprint("node-", i), Memory: 184 << 20})
	}
	return micros(func() { relay.Rank("dc0", near) })
}

const (
	repeatRatio, repeatFixed = 0.2, 1040
	repeatWindow             = 10 * time.Second
	failures                 = 100
)

// repeatedFailures lets nodes in turn repeat a failure; the permits that they share are as many as
// they ask for.
func repeatedFailures(s Size) Figure {
	repeated := 0
	for range failures {
		b := flow.NewRepeatBudgets(repeatRatio, repeatFixed, repeatWindow, func() int { return s.Hosts },
			func(context.Context, string, float64) bool { return true })
		// The node has its part by now.
		b.BackdateStart(repeatWindow)
		b.Request(enginePool)
		if b.Take(context.Background(), enginePool) {
			repeated++
		}
	}
	return Figure{Value: float64(repeated)}
}

func reportsOnARollout(s Size) Figure {
	return Figure{Value: float64(s.Hosts) / rollout.HoldOf(s.Hosts).Seconds()}
}
