package experiment

import (
	"fmt"
	"sort"
	"testing"
	"testing/synctest"

	"topazmoor/internal/standin/bubble"
)

const benchSeed = 1

// BenchmarkAttainment runs every scenario under both policies. The figures are
// in virtual time; ns/op is the cost of the experiment itself.
func BenchmarkAttainment(b *testing.B) {
	for _, d := range []Deployment{Harbour, Utility} {
		for _, sc := range Scenarios {
			for _, policy := range []string{"topazmoor", "naive"} {
				b.Run(d.Name+"/"+sc.Name+"/"+policy, func(b *testing.B) {
					var res Result
					for b.Loop() {
						bubble.Run(b, func() { res = Run(d, sc, policy, benchSeed) })
					}
					report(b, res)
				})
			}
		}
	}
}

func report(b *testing.B, res Result) {
	b.Logf("not met: %v", res.Failed)
	b.ReportMetric(res.Attainment, "attainment%")
	b.ReportMetric(res.Urgent, "urgent-attainment%")
	b.ReportMetric(res.Bound, "bound%")
	b.ReportMetric(res.Wasted, "wasted%")
	stages := make([]string, 0, len(res.CostMS))
	for s := range res.CostMS {
		stages = append(stages, s)
	}
	sort.Strings(stages)
	for _, s := range stages {
		b.ReportMetric(res.CostMS[s], "cost-"+s)
	}
}

// TestAttainmentNoWorseThanNaive keeps the promise that measurements rest on:
// under a slow stage urgent requests fare at least as well as under the naive
// policy, and less is wasted.
func TestAttainmentNoWorseThanNaive(t *testing.T) {
	for _, sc := range Scenarios {
		if sc.Name != "slowstage" {
			continue
		}
		var ours, base Result
		synctest.Test(t, func(*testing.T) { ours = Run(Harbour, sc, "topazmoor", benchSeed) })
		synctest.Test(t, func(*testing.T) { base = Run(Harbour, sc, "naive", benchSeed) })
		if ours.Urgent < base.Urgent {
			t.Errorf("%s: urgent attainment %.1f%%, naive %.1f%%", sc.Name, ours.Urgent, base.Urgent)
		}
		if ours.Wasted > base.Wasted {
			t.Errorf("%s: wasted %.1f%%, naive %.1f%%", sc.Name, ours.Wasted, base.Wasted)
		}
	}
}

// BenchmarkMembership compares the ways to keep membership; see
// docs/design/008-membership.md.
func BenchmarkMembership(b *testing.B) {
	for _, way := range []string{"swim", "digest", "table"} {
		for _, n := range []int{8, 100, 400} {
			b.Run(fmt.Sprintf("%s/%d", way, n), func(b *testing.B) {
				var res MembershipResult
				for b.Loop() {
					res = RunMembership(way, n, benchSeed)
				}
				b.ReportMetric(res.BytesPerSecond, "bytes/s/node")
				b.ReportMetric(res.Detect.Seconds(), "detect-s")
				b.ReportMetric(res.False, "false%")
				b.ReportMetric(res.StoreOps, "store-ops/s")
			})
		}
	}
}
