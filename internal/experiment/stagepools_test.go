package experiment

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/routes"
	"topazmoor/internal/standin/bubble"
)

// stageScenarios are a pool of today's deployments (calls of 200 ms, 8 ms a piece,
// 22 pieces a call), and of the size to design for.
func stageScenarios() []StageScenario {
	spec := routes.Batch{Slots: 1, Queue: 2, Items: 22, CallTime: 200 * time.Millisecond, ItemTime: 8 * time.Millisecond, ResultSpace: 1 << 30, Keep: 4 * time.Second}
	today := StageScenario{Hosts: 6, Targets: 5, Spec: spec, Orders: 24, Pieces: 6, Objective: time.Second, Burst: 1, Span: 30 * time.Second}
	with := func(name string, change func(*StageScenario)) StageScenario {
		sc := today
		sc.Name = name
		change(&sc)
		return sc
	}
	return []StageScenario{
		with("steady", func(*StageScenario) {}),
		with("burst", func(sc *StageScenario) { sc.Burst = 1.8 }),
		with("formerdies", func(sc *StageScenario) { sc.FormerDies = true }),
		with("slow", func(sc *StageScenario) { sc.Slow = 1 }),
		with("grey", func(sc *StageScenario) { sc.Grey = 1 }),
		with("hosts74", func(sc *StageScenario) { sc.Hosts, sc.Targets, sc.Orders = 74, 15, 72 }),
		with("hosts400", func(sc *StageScenario) { sc.Hosts, sc.Targets, sc.Orders, sc.Span = 400, 80, 400, 12*time.Second }),
	}
}

// BenchmarkStagePools compares who forms batches. 400 hosts that batch for
// themselves take five minutes of processor time.
//
//	go test -run xxx -bench StagePools -benchtime 1x ./internal/experiment
func BenchmarkStagePools(b *testing.B) {
	for _, sc := range stageScenarios() {
		for _, policy := range []StagePolicy{OwnBatches, DataCentreBatches, PoolBatches} {
			b.Run(fmt.Sprintf("%s/%s", sc.Name, policy), func(b *testing.B) {
				var r StageResult
				for b.Loop() {
					bubble.Run(b, func() { r = RunStages(sc, policy, 1) })
				}
				b.ReportMetric(r.Met, "met-%")
				b.ReportMetric(float64(r.P95.Milliseconds()), "p95-ms")
				b.ReportMetric(r.Batch, "batch")
				b.ReportMetric(r.Busy, "busy-%")
				b.ReportMetric(r.Again, "again-%")
			})
		}
	}
}

// One former for the pool is what the design rests on: it must not fall behind
// each host for itself.
func TestOneFormerBeatsEachHostForItself(t *testing.T) {
	sc := stageScenarios()[0]
	sc.Span = 10 * time.Second
	var own, pool StageResult
	synctest.Test(t, func(*testing.T) { own = RunStages(sc, OwnBatches, 1) })
	synctest.Test(t, func(*testing.T) { pool = RunStages(sc, PoolBatches, 1) })
	c := qt.New(t)
	c.Assert(pool.Met > own.Met, qt.IsTrue, qt.Commentf("own %.1f, pool %.1f", own.Met, pool.Met))
	c.Assert(pool.Met > 95, qt.IsTrue, qt.Commentf("pool %.1f", pool.Met))
}
