package stagebatch

import (
	"context"
	"fmt"
	"testing"
	"time"

	"topazmoor/internal/targets"
)

// blockedWorker is a worker whose calls end only with their context, so that benchmarks measure
// only the former.
type blockedWorker struct{ fixedTimeWorker }

func (blockedWorker) Run(ctx context.Context, _ targets.Target, _ []Item, _ func() bool) (Reply, error) {
	<-ctx.Done()
	return Reply{}, ctx.Err()
}

// BenchmarkTake forms one batch from a queue that holds an order of six pieces for each target,
// and puts the pieces back.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{12, 100, 670} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			spec := poolSpec("")
			now := time.Now()
			var queue []*piece
			for i := range n {
				o := &order{Order: orderOf(6), seq: uint64(i), queuedAt: now}
				o.Priority, o.Due = i%6, now.Add(time.Duration(1000+i*37%1000)*time.Millisecond)
				for p := range 6 {
					queue = append(queue, &piece{order: o, index: p, queued: true})
				}
			}
			pl := placement{dataCentre: "dc", working: map[string]bool{"dc": true}}
			b.ReportAllocs()
			for b.Loop() {
				batch, rest := take(queue, spec, spec.ResultSpace, now, pl)
				queue = append(rest, batch...)
			}
		})
	}
}

// BenchmarkWaits computes the waits of all ranks of a pool after three orders for each target.
func BenchmarkWaits(b *testing.B) {
	for _, n := range []int{12, 100, 670} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			list := targets.New("dc")
			var all []targets.Target
			for i := range n {
				all = append(all, targets.Target{ID: fmt.Sprint("t", i), Service: "pool", Addr: fmt.Sprint("a:", i+1), DataCentre: "dc", Slots: 1})
			}
			list.Replace(all, time.Time{})
			f := NewFormer(blockedWorker{}, list, poolSpec, discardLog)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			for i := range 3 * n {
				o := orderOf(6)
				o.Priority = i % 6
				go func() { _, _ = f.Produce(ctx, o, nil) }()
			}
			for ordered := 0; ordered < 3*n; time.Sleep(time.Millisecond) {
				f.mu.Lock()
				ordered = int(f.orders)
				f.mu.Unlock()
			}
			spec := poolSpec("")
			b.ReportAllocs()
			for b.Loop() {
				f.mu.Lock()
				p := f.pool(poolKey{service: "pool"})
				p.waitsAt = time.Time{}
				p.wait(spec, time.Now())
				f.mu.Unlock()
			}
		})
	}
}
