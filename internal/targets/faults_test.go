package targets

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func plain(i int) Target {
	return Target{ID: fmt.Sprint("p", i), Service: "plain", Addr: fmt.Sprintf("10.0.1.%d:1", i), DataCentre: "dc1", Slots: 4}
}

// inFlight is how many calls callFaulty has at once: more than one target processes.
const inFlight = 6

// callFaulty plays n calls, some of them at once, of which those at a target fail with the share that faulty returns, and returns
// the calls by target.
func callFaulty(tb *Table, now *clock, n int, faulty func(id string) float64) map[string]int {
	rnd := rand.New(rand.NewPCG(1, 2))
	calls := make(map[string]int)
	var open []*Lease
	for range n {
		l := tb.Pick(Query{Service: "plain"})
		calls[l.ID]++
		now.at = now.at.Add(20 * time.Millisecond)
		if open = append(open, l); len(open) < inFlight {
			continue
		}
		if rnd.Float64() < faulty(open[0].ID) {
			open[0].MarkFaulty()
		}
		open[0].Done(Served, inFlight*20*time.Millisecond)
		open = open[1:]
	}
	for _, l := range open {
		l.Done(Abandoned, 0)
	}
	return calls
}

// TestTargetWhoseAnswersAreFailuresIsAvoided guards against a target that answers all requests with a failure of its own, and gets
// half of them: the budget of repeats does not make up for it.
func TestTargetWhoseAnswersAreFailuresIsAvoided(t *testing.T) {
	// budget is the share of requests that may be repeated.
	const budget = 0.2
	for _, share := range []float64{0.5, 1} {
		tb, now := newTable(plain(0), plain(1))
		calls := callFaulty(tb, now, 1000, func(id string) float64 {
			if id == "p0" {
				return share
			}
			return 0
		})
		failed := share * float64(calls["p0"])
		qt.Check(t, failed > 0 && failed <= budget*1000, qt.IsTrue, qt.Commentf("fails %v: %v", share, calls))
	}
}

func TestTargetIsUsedAgainOnceItsAnswersAreGood(t *testing.T) {
	tb, now := newTable(plain(0), plain(1))
	callFaulty(tb, now, 500, func(id string) float64 { return map[string]float64{"p0": 1}[id] })
	callFaulty(tb, now, 500, func(string) float64 { return 0 })
	calls := callFaulty(tb, now, 500, func(string) float64 { return 0 })
	qt.Check(t, calls["p0"] > 150, qt.IsTrue, qt.Commentf("%v", calls))
}

// The engine that the prompt would prefer is left as well.
func TestEngineWhoseAnswersAreFailuresIsAvoided(t *testing.T) {
	tb, now := newTable(engines(2)...)
	q := Query{Service: "engines", Engine: &EngineQuery{Affinity: 7, Tokens: 100, Shared: 50}}
	preferred := tb.Pick(q)
	preferred.Done(Abandoned, 0)
	calls := 0
	for range 100 {
		l := tb.Pick(q)
		now.at = now.at.Add(20 * time.Millisecond)
		if l.ID == preferred.ID {
			calls++
			l.MarkFaulty()
		}
		l.Done(Served, 0)
	}
	qt.Check(t, calls < 20, qt.IsTrue, qt.Commentf("%d of 100", calls))
}

// Requests that fail wherever they run say nothing about their targets.
func TestFailuresOfAllTargetsMoveNoCalls(t *testing.T) {
	tb, now := newTable(plain(0), plain(1), plain(2), plain(3))
	calls := callFaulty(tb, now, 2000, func(string) float64 { return 0.14 })
	for id, n := range calls {
		qt.Check(t, n > 350, qt.IsTrue, qt.Commentf("%s: %v", id, calls))
	}
}
