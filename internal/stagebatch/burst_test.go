package stagebatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/routes"
	"topazmoor/internal/standin/bubble"
	"topazmoor/internal/targets"
)

// healthyTargets are targets of a pool that take the nominal time for each call, have space for all
// results, and never fail. It implements Worker.
type healthyTargets struct{ spec *routes.Batch }

// Run implements Worker.
func (s healthyTargets) Run(_ context.Context, t targets.Target, items []Item, _ func() bool) (Reply, error) {
	time.Sleep(expected(s.spec, len(items)))
	out := make([]ItemResult, len(items))
	for i, it := range items {
		out[i].Handle = fmt.Sprint(t.Addr, "/", it.Request, it.Piece)
	}
	return Reply{Results: out}, nil
}

// Free implements Worker.
func (healthyTargets) Free(context.Context, string, []string) error { return nil }

// Space implements Worker.
func (s healthyTargets) Space(context.Context, string) (int64, error) { return s.spec.ResultSpace, nil }

// HolderAddr implements Worker.
func (healthyTargets) HolderAddr(handle string) string { return handle }

// orderKind is one kind of order in a burst.
type orderKind struct {
	rank      int
	perSecond float64
	deadline  time.Duration
	// asked is the number of orders of this kind that have ended, inTime the number of those that
	// succeeded by their due time.
	asked, inTime int
}

// share returns the fraction of the orders of this kind that succeeded by their due time.
func (k *orderKind) share() float64 { return float64(k.inTime) / float64(k.asked) }

// playBurst simulates 12 of the 15 targets of the middle pool of a chain (one data centre is
// drained) with 50 pieces a call, 200 ms a call and 3.4 ms a piece. The orders of the urgent kind
// arrive at 2.6 times their usual rate for 5.4 s. An order has six pieces and is due within 2.4 s. The
// pool produces 1,620 pieces a second, and 2,480 pieces a second are ordered.
func playBurst(t testing.TB, off mechanism.Set) (urgent, other *orderKind) {
	spec := &routes.Batch{Slots: 1, Queue: 2, Items: 50, CallTime: 200 * time.Millisecond, ItemTime: 3400 * time.Microsecond, ResultSpace: 1 << 30, Keep: 4 * time.Second}
	list := targets.New("dc")
	var all []targets.Target
	for i := range 12 {
		all = append(all, targets.Target{ID: fmt.Sprint("t", i), Service: "pool", Addr: fmt.Sprint("t", i), DataCentre: "dc", Slots: 1})
	}
	list.Replace(all, time.Time{})
	f := NewFormer(healthyTargets{spec}, list, func(string) *routes.Batch { return spec }, discardLog)
	f.Off = off
	urgent = &orderKind{rank: 4, perSecond: 143 * 2.6, deadline: 6 * time.Second}
	other = &orderKind{rank: 5, perSecond: 41.6, deadline: 20 * time.Second}
	var mu sync.Mutex
	var orders sync.WaitGroup
	order := func(k *orderKind, n int) {
		now := time.Now()
		o := Order{
			Service: "pool", Request: fmt.Sprint(k.rank, "-", n), Stage: 1, Pieces: 6, Priority: k.rank, ResultBytes: 60000,
			Inputs: []string{"in"}, Due: now.Add(2400 * time.Millisecond), Deadline: now.Add(k.deadline),
		}
		_, err := f.Produce(context.Background(), o, nil)
		mu.Lock()
		defer mu.Unlock()
		k.asked++
		if err == nil && !time.Now().After(o.Due) {
			k.inTime++
		}
	}
	for _, k := range []*orderKind{urgent, other} {
		orders.Go(func() {
			for n := range int(5.4 * k.perSecond) {
				orders.Go(func() { order(k, n) })
				time.Sleep(time.Duration(float64(time.Second) / k.perSecond))
			}
		})
	}
	orders.Wait()
	return urgent, other
}

// In a burst of orders of the more urgent kind, most orders of the less urgent kind must still be
// completed by their due time, and orders of the more urgent kind about as often or more often.
func TestBurstOfOneKindLeavesNobodyBehind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		urgent, other := playBurst(t, 0)
		t.Logf("in time: %.2f of the urgent kind, %.2f of the other", urgent.share(), other.share())
		qt.Check(t, other.share() > 0.6, qt.IsTrue, qt.Commentf("%.2f", other.share()))
		qt.Check(t, urgent.share() > 0.75, qt.IsTrue, qt.Commentf("%.2f", urgent.share()))
		qt.Check(t, urgent.share() > other.share()-0.05, qt.IsTrue, qt.Commentf("%.2f, %.2f", urgent.share(), other.share()))
	})
}

// BenchmarkBurstOfOneKind reports, for the same burst, the fractions of the urgent and of the other
// orders that were completed by their due time. The fractions are 0.97 and 0.12 with strict ranks, and
// 0.91 and 0.71 with rank steps of 150 ms.
func BenchmarkBurstOfOneKind(b *testing.B) {
	var urgent, other *orderKind
	for b.Loop() {
		bubble.Run(b, func() { urgent, other = playBurst(b, 0) })
	}
	b.ReportMetric(urgent.share(), "urgent-in-time")
	b.ReportMetric(other.share(), "other-in-time")
}
