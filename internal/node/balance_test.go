package node

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/caller"
	"topazmoor/internal/catalog"
	"topazmoor/internal/control"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/standin/bubble"
)

// balanceResult is the outcome of one run of runDemandShift.
type balanceResult struct {
	attainment float64
	// copies is the number of engines with the short model at the end.
	copies int
	// orders is the number of recorded orders to engines.
	orders int
	err    error
}

// runDemandShift runs a cluster for four minutes in which one model has five engines
// and hardly any requests, and another has one engine and twice the load that the
// engine can serve.
func runDemandShift(balance bool) (res balanceResult) {
	specs := standin.Harbour()
	for i := range specs {
		if specs[i].Pool.Kind != settings.Generate {
			continue
		}
		specs[i].Pool.Balance = balance
		specs[i].Targets, specs[i].Slots, specs[i].Service = 6, 2, 10*time.Millisecond
		specs[i].ModelsByTarget = [][]string{{"atlas-7b"}, {"atlas-7b"}, {"atlas-7b"}, {"atlas-7b"}, {"atlas-7b"}, {"brook-7b"}}
	}
	cl, err := newClusterWith(2, specs, func(*settings.Settings) {})
	if err != nil {
		return balanceResult{err: err}
	}
	defer cl.close()
	if err := cl.apply(); err != nil {
		return balanceResult{err: err}
	}
	change := strings.ReplaceAll(string(cl.node(0).board.Catalog.Get().Object(catalog.AccountItem, "dispatch-desk")), "atlas-7b", "brook-7b")
	if err := cl.submit([]catalog.Item{{Kind: catalog.AccountItem, Name: "dispatch-desk", Value: []byte(change)}}); err != nil {
		return balanceResult{err: err}
	}
	if !cl.waitReady(2, time.Minute) {
		return balanceResult{err: fmt.Errorf("not ready")}
	}
	const rate, span = 6, 4 * time.Minute
	var mu sync.Mutex
	var wg sync.WaitGroup
	met, sent := 0, 0
	for start := time.Now(); time.Since(start) < span; time.Sleep(time.Second / rate) {
		sent++
		node := cl.addr(sent % 2)
		wg.Go(func() {
			r, err := cl.caller.Run(tctx, caller.Request{Addr: node, Token: "dispatch-desk-token", Pipeline: "radio-desk", Input: "x"})
			mu.Lock()
			defer mu.Unlock()
			if err == nil && r.Reply != nil && r.Reply.DeadlineMet {
				met++
			}
		})
	}
	wg.Wait()
	hosts, err := cl.world.Store.ListHosts(tctx)
	if err != nil {
		return balanceResult{err: err}
	}
	for _, h := range hosts {
		if slices.Contains(h.Models, "brook-7b") {
			res.copies++
		}
	}
	events, err := control.Events(tctx, cl.world.Store, time.Time{}, 1000)
	for _, e := range events {
		if e.Kind == control.Ordered {
			res.orders++
		}
	}
	res.attainment, res.err = 100*float64(met)/float64(sent), err
	return res
}

func TestBalanceGivesTheShortModelEngines(t *testing.T) {
	var on balanceResult
	synctest.Test(t, func(*testing.T) { on = runDemandShift(true) })
	qt.Assert(t, on.err, qt.IsNil)
	qt.Assert(t, on.orders, qt.Equals, on.copies-1, qt.Commentf("each order is in the audit trail"))
	qt.Assert(t, on.copies >= 2, qt.IsTrue, qt.Commentf("%d copies", on.copies))
	qt.Assert(t, on.copies < 6, qt.IsTrue, qt.Commentf("no engine is left for the other model"))
}

// BenchmarkStageBalance reports the attainment over the four minutes with and
// without orders to engines.
func BenchmarkStageBalance(b *testing.B) {
	for name, balance := range map[string]bool{"on": true, "off": false} {
		b.Run(name, func(b *testing.B) {
			var res balanceResult
			for b.Loop() {
				bubble.Run(b, func() { res = runDemandShift(balance) })
			}
			if res.err != nil {
				b.Fatal(res.err)
			}
			b.ReportMetric(res.attainment, "attainment%")
			b.ReportMetric(float64(res.copies), "copies")
		})
	}
}
