package capacity

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/ownership"
)

// What is counted must not grow with the fleet; times are not asserted.
func TestCountsStayAsTheFleetGrows(t *testing.T) {
	small, large := Size{Hosts: 100, Targets: 1000}, Size{Hosts: 2000, Targets: 20_000}
	qt.Check(t, spaceQueriesAtStart(large).Value <= spaceQueriesAtStart(small).Value+dataCentres, qt.IsTrue)
	qt.Check(t, repeatedFailures(large).Value, qt.Equals, float64(failures))
	qt.Check(t, changeOfATarget(large).Allocations <= changeOfATarget(small).Allocations+5, qt.IsTrue)
	qt.Check(t, reportsOnARollout(large).Value <= 600, qt.IsTrue)
}

// With owners of a region, a node's traffic between regions keeps to its bound at any size; with one
// owner of the fleet it does not at the load that the fleet is designed for.
func TestTrafficBetweenRegionsKeepsToItsBoundWithOwnersOfARegion(t *testing.T) {
	const bound = 11_000
	for _, hosts := range []int{8, 76, 338, 985, 2000} {
		s := Size{Hosts: hosts, Targets: 10 * hosts}
		one, _ := betweenRegions(s, 1, ownership.Fleet, ownership.Fleet)
		qt.Check(t, one, qt.Equals, 0.0)
		near, _ := betweenRegions(s, 3, ownership.Region, ownership.Region)
		qt.Check(t, near < bound, qt.IsTrue)
		far, owner := betweenRegions(s, 3, ownership.Fleet, ownership.Fleet)
		qt.Check(t, far > bound, qt.IsTrue)
		qt.Check(t, owner > far, qt.IsTrue)
	}
}

func TestPowersAndPicture(t *testing.T) {
	done := 0
	costs := Measure([]Size{{Hosts: 10, Targets: 100}, {Hosts: 20, Targets: 200}}, func() { done++ })
	qt.Assert(t, done, qt.Equals, 2*Measures())
	qt.Assert(t, costs, qt.HasLen, Measures())
	var picture bytes.Buffer
	qt.Assert(t, Draw(&picture, costs), qt.IsNil)
	qt.Assert(t, strings.Contains(picture.String(), "</svg>"), qt.IsTrue)
	square := []Figure{{Size: Size{Hosts: 10}, Value: 3}, {Size: Size{Hosts: 100}, Value: 300}}
	qt.Assert(t, power(square) > 1.99 && power(square) < 2.01, qt.IsTrue)
}
