package stagebatch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/routes"
	"topazmoor/internal/targets"
)

// manyTargets is a Worker that counts the queries of free space and records the targets that
// were called.
type manyTargets struct {
	spec  *routes.Batch
	rooms atomic.Int64

	mu     sync.Mutex
	called map[string]bool
}

func (w *manyTargets) Run(_ context.Context, t targets.Target, items []Item, _ func() bool) (Reply, error) {
	w.mu.Lock()
	w.called[t.ID] = true
	w.mu.Unlock()
	time.Sleep(expected(w.spec, len(items)))
	out := make([]ItemResult, len(items))
	for i, it := range items {
		out[i].Handle = fmt.Sprint(t.Addr, "/", it.Request, it.Piece)
	}
	return Reply{Results: out}, nil
}

func (w *manyTargets) Free(context.Context, string, []string) error { return nil }

func (w *manyTargets) Space(context.Context, string) (int64, error) {
	w.rooms.Add(1)
	time.Sleep(2 * time.Millisecond)
	return w.spec.ResultSpace, nil
}

func (w *manyTargets) HolderAddr(handle string) string { return handle }

// newManyTargets returns a Worker and a former of a pool with n targets in six data centres.
func newManyTargets(n int) (*manyTargets, *Former) {
	spec := &routes.Batch{Slots: 1, Queue: 2, Items: 8, CallTime: 200 * time.Millisecond, ItemTime: 20 * time.Millisecond, ResultSpace: 100 << 20, Keep: 10 * time.Second}
	w := &manyTargets{spec: spec, called: make(map[string]bool)}
	list := targets.New("d0")
	var all []targets.Target
	for i := range n {
		all = append(all, targets.Target{ID: fmt.Sprint("t", i), Service: "pool", Addr: fmt.Sprint("a", i), DataCentre: fmt.Sprint("d", i%6), Slots: 1})
	}
	list.Replace(all, time.Time{})
	f := NewFormer(w, list, func(string) *routes.Batch { return spec }, discardLog)
	f.Name = "node"
	return w, f
}

// produceMany starts n orders, one after each interval, and returns how many were completed in
// time.
func produceMany(t *testing.T, f *Former, n int, each time.Duration, due time.Duration) int {
	var wg sync.WaitGroup
	var inTime atomic.Int64
	for i := range n {
		wg.Go(func() {
			now := time.Now()
			o := Order{Service: "pool", Request: fmt.Sprint("r", i, "-"), Pieces: 4, Due: now.Add(due), Deadline: now.Add(4 * due)}
			res, err := f.Produce(t.Context(), o, nil)
			if err == nil && time.Since(now) <= due {
				inTime.Add(1)
			}
			f.Free("pool", res.Handles)
		})
		time.Sleep(each)
	}
	wg.Wait()
	return int(inTime.Load())
}

// A new former queries no more targets than it needs, however many there are, because it must
// accept its first orders meanwhile.
func TestFormerThatBeginsAsksFewTargets(t *testing.T) {
	asked := func(n int) (rooms int64) {
		synctest.Test(t, func(t *testing.T) {
			w, f := newManyTargets(n)
			qt.Assert(t, produceMany(t, f, 20, 50*time.Millisecond, time.Second), qt.Equals, 20)
			rooms = w.rooms.Load()
		})
		return rooms
	}
	few, many := asked(minWorkingSet), asked(3000)
	qt.Assert(t, many <= few+6, qt.IsTrue, qt.Commentf("%d of %d targets asked, %d of 3000", few, minWorkingSet, many))
}

// A burst that needs more targets than the working set has gets them in time.
func TestBurstGetsAllTheTargetsThatItNeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, f := newManyTargets(600)
		qt.Assert(t, produceMany(t, f, 20, 50*time.Millisecond, time.Second), qt.Equals, 20)
		// 800 orders at once take 400 calls of 0.36 s.
		qt.Assert(t, produceMany(t, f, 800, 0, time.Second), qt.Equals, 800)
		qt.Assert(t, len(w.called) >= 300, qt.IsTrue, qt.Commentf("%d targets", len(w.called)))
	})
}
