package stagebatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// share counts orders and how many of them were in time.
type share struct{ asked, inTime float64 }

// At twice its rate, a pool serves a small client account as often as a large one of the same
// rank, and orders that prefer a data centre without targets as often as others.
func TestBusyPoolServesAccountsAndDataCentresAlike(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, list := newFakePool(4)
		f := NewFormer(p, list, poolSpec, discardLog)
		var mu sync.Mutex
		shares := make(map[string]*share)
		note := func(key string, inTime bool) {
			mu.Lock()
			defer mu.Unlock()
			if shares[key] == nil {
				shares[key] = &share{}
			}
			shares[key].asked++
			if inTime {
				shares[key].inTime++
			}
		}
		var orders sync.WaitGroup
		// 200 orders a second with two pieces each; the four targets produce 89 pieces a second.
		for i := range 2000 {
			account := "large"
			if i%11 == 0 {
				account = "small"
			}
			place := []string{"dc", "elsewhere", ""}[i%3]
			orders.Go(func() {
				o := orderDueIn(fmt.Sprint(account, i), 2, 1, time.Second)
				o.Deadline = time.Now().Add(2 * time.Second)
				o.ResultBytes, o.DataCentre = 1, place
				res, err := f.Produce(t.Context(), o, nil)
				inTime := err == nil && time.Now().Before(o.Due)
				f.Free(o.Service, res.Handles)
				note("account "+account, inTime)
				note("data centre "+place, inTime)
			})
			time.Sleep(5 * time.Millisecond)
		}
		orders.Wait()
		time.Sleep(10 * time.Second)
		rate := func(key string) float64 { return shares[key].inTime / shares[key].asked }
		c := qt.New(t)
		c.Assert(rate("account large") > 0.1, qt.IsTrue, qt.Commentf("%.2f", rate("account large")))
		c.Assert(rate("account small") > 0.7*rate("account large"), qt.IsTrue,
			qt.Commentf("small %.2f, large %.2f", rate("account small"), rate("account large")))
		for _, key := range []string{"data centre elsewhere", "data centre "} {
			c.Assert(rate(key) > 0.5*rate("data centre dc"), qt.IsTrue, qt.Commentf("%s: %.2f, dc: %.2f", key, rate(key), rate("data centre dc")))
		}
		t.Logf("in time: large %.2f, small %.2f; dc %.2f, elsewhere %.2f, anywhere %.2f", rate("account large"), rate("account small"),
			rate("data centre dc"), rate("data centre elsewhere"), rate("data centre "))
	})
}
