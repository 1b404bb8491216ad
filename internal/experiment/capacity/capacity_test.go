package capacity

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// What is counted must not grow with the fleet; times are not asserted.
func TestCountsStayAsTheFleetGrows(t *testing.T) {
	small, large := Size{Hosts: 100, Targets: 1000}, Size{Hosts: 2000, Targets: 20_000}
	qt.Check(t, spaceQueriesAtStart(large).Value <= spaceQueriesAtStart(small).Value+dataCentres, qt.IsTrue)
	qt.Check(t, repeatedFailures(large).Value, qt.Equals, float64(failures))
	qt.Check(t, changeOfATarget(large).Allocations <= changeOfATarget(small).Allocations+5, qt.IsTrue)
	qt.Check(t, reportsOnARollout(large).Value <= 600, qt.IsTrue)
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
