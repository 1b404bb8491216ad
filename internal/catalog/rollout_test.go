package catalog

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/strictjson"
)

// TestRolloutTimeIsOneThatReportsCarry: reports between nodes have the time of an order in whole
// milliseconds; an order with another time would be unknown to its owner.
func TestRolloutTimeIsOneThatReportsCarry(t *testing.T) {
	for extra, want := range map[time.Duration]int{0: 0, time.Millisecond: 0, time.Microsecond: 1} {
		var probs strictjson.Problems
		Rollout{Pool: "p", To: "v2", Within: strictjson.Duration(10*time.Second + extra), Share: 0.1}.Check(&probs, "p")
		qt.Check(t, probs, qt.HasLen, want)
	}
}
