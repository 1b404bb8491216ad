package region_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
)

func TestCrossingCostsRoundTripsAndBytes(t *testing.T) {
	c := qt.New(t)
	x := region.Crossing{RoundTrip: 24 * time.Millisecond, PerMB: 100 * time.Millisecond, PerResultMB: 10 * time.Millisecond}
	c.Assert(x.Cost(2, 1_500_000), qt.Equals, 198*time.Millisecond)
	c.Assert(x.ResultCost(1, 1_500_000), qt.Equals, 39*time.Millisecond)
	c.Assert(region.Crossing{}.Cost(2, 1_500_000), qt.Equals, time.Duration(0))
}
