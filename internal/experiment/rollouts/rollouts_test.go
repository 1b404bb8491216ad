package rollouts

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/rollout"
)

func noSize(rollout.Report) int { return 0 }

func scenarioOf(nodes int) Scenario {
	return Scenario{Nodes: nodes, PerSecond: 130, Lasts: 30 * time.Second, Bounds: rollout.Bounds{Share: 0.1, Slack: 50}}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	v := BadVersions()[0]
	qt.Assert(t, Play(scenarioOf(30), v, 1, noSize), qt.Equals, Play(scenarioOf(30), v, 1, noSize))
}

func TestBadVersionsAreFoundWithinTheirBound(t *testing.T) {
	for _, v := range BadVersions() {
		r := Play(scenarioOf(76), v, 1, noSize)
		qt.Check(t, r.State, qt.Equals, rollout.RolledBack, qt.Commentf("%s", v.Name))
		qt.Check(t, r.Exposure <= 1, qt.IsTrue, qt.Commentf("%s: %.2f", v.Name, r.Exposure))
		qt.Check(t, r.Late, qt.Equals, 0, qt.Commentf("%s", v.Name))
	}
}

// TestTroubleOfBothVersionsRollsNoneBackInALargeFleet guards against a judge that hears of the new
// version's bad answers before those of the old one: the latter are reported seconds later where
// there are many nodes.
func TestTroubleOfBothVersionsRollsNoneBackInALargeFleet(t *testing.T) {
	for _, v := range GoodVersions() {
		if v.Trouble == (Trouble{}) {
			r := Play(scenarioOf(985), v, 1, noSize)
			qt.Check(t, r.State, qt.Equals, rollout.Completed, qt.Commentf("%s", v.Name))
		}
	}
}
