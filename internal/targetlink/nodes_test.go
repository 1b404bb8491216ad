package targetlink

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// inDataCentres returns n nodes in each of two data centres, and a target in the first.
func inDataCentres(n int) Others {
	var nodes []Node
	for i := range n {
		nodes = append(nodes, Node{Name: fmt.Sprint("hall-", i), DataCentre: "hall"}, Node{Name: fmt.Sprint("dock-", i), DataCentre: "dock"})
	}
	return Others{Nodes: func() []Node { return nodes }, DataCentre: "dock", DataCentreOf: func(string) string { return "hall" }}
}

func TestNodesNearTheTargetComeFirstAndOthersAfterThem(t *testing.T) {
	c := qt.New(t)
	var choice nodeChoice
	for range 20 {
		var centres []string
		for _, n := range choice.choose(inDataCentres(10), "a", 4, time.Now()) {
			centres = append(centres, n.DataCentre)
		}
		c.Assert(centres, qt.DeepEquals, []string{"hall", "hall", "dock", "dock"})
	}
	c.Assert(choice.choose(inDataCentres(1), "a", 4, time.Now()), qt.HasLen, 2)
}

func TestNodesThatFailedAreAvoidedForAWhile(t *testing.T) {
	c := qt.New(t)
	var choice nodeChoice
	now := time.Now()
	for i := range 10 {
		choice.failed(Node{Name: fmt.Sprint("hall-", i)}, now)
	}
	first := func(at time.Time) string { return choice.choose(inDataCentres(10), "a", 4, at)[0].DataCentre }
	c.Assert(first(now), qt.Equals, "dock")
	c.Assert(first(now.Add(avoidFor)), qt.Equals, "hall")
}
