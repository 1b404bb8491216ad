package ownership_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/ownership"
)

func TestPlacesShareTheOwnersOfTheirLevel(t *testing.T) {
	c := qt.New(t)
	north1, north2 := ownership.Place{DataCentre: "n1", Region: "north"}, ownership.Place{DataCentre: "n2", Region: "north"}
	south := ownership.Place{DataCentre: "s1", Region: "south"}
	c.Assert(ownership.Same(ownership.StoreUpdates, north1, north2), qt.IsFalse)
	c.Assert(ownership.Same(ownership.StageBatches, north1, north2), qt.IsTrue)
	c.Assert(ownership.Same(ownership.StageBatches, north1, south), qt.IsFalse)
	c.Assert(ownership.Same(ownership.RolloutEvidence, north1, south), qt.IsTrue)
	c.Assert(ownership.Same(ownership.RolloutDecision, north1, south), qt.IsTrue)
	c.Assert(ownership.Same(ownership.RatePermits, north1, south), qt.IsTrue)
}

func TestEveryKindOfWorkHasALevel(t *testing.T) {
	for w := ownership.StoreUpdates; w <= ownership.RatePermits; w++ {
		qt.Check(t, ownership.LevelOf(w).String(), qt.Not(qt.Equals), "unknown")
	}
}
