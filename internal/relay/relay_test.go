package relay

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "topazmoor/internal/standin/fixedseed"
)

// dataCentre returns n nodes of one data centre.
func dataCentre(n int) []Node {
	var out []Node
	for i := range n {
		out = append(out, Node{Name: fmt.Sprint("n", i), Addr: fmt.Sprintf("10.0.0.%d:1", i+1)})
	}
	return out
}

func TestAllNodesRankAlike(t *testing.T) {
	c := qt.New(t)
	nodes := dataCentre(9)
	want := Rank("hall", nodes)
	slices.Reverse(nodes)
	c.Assert(Rank("hall", nodes), qt.DeepEquals, want)
	c.Assert(Rank("yard", nodes)[0] == want[0] && Rank("yard", nodes)[1] == want[1], qt.IsFalse)
	nodes[4].Memory = 1 << 29
	c.Assert(Rank("hall", nodes)[0].Name, qt.Equals, nodes[4].Name)
}

func TestChoose(t *testing.T) {
	ranked := dataCentre(6)
	set := func(names ...string) map[string]bool {
		out := make(map[string]bool)
		for _, n := range names {
			out[n] = true
		}
		return out
	}
	for name, tc := range map[string]struct {
		s    ChoiceState
		want string
	}{
		"first":                          {ChoiceState{Self: "n0"}, ""},
		"others follow the first":        {ChoiceState{Self: "n3"}, "n0"},
		"the first is left":              {ChoiceState{Self: "n3", Skipped: set("n0")}, "n1"},
		"self is the next":               {ChoiceState{Self: "n1", Skipped: set("n0")}, ""},
		"followed":                       {ChoiceState{Self: "n3", Followed: true}, ""},
		"all that are asked were left":   {ChoiceState{Self: "n5", Skipped: set("n0", "n1", "n2", "n3")}, ""},
		"store away for both":            {ChoiceState{Self: "n3", Lost: true, Skipped: set("n0"), Away: set("n0")}, "n0"},
		"store away for that one":        {ChoiceState{Self: "n3", Skipped: set("n0"), Away: set("n0")}, "n1"},
		"first, turned away":             {ChoiceState{Self: "n0", Lost: true, Skipped: set("n0"), Away: set("n0")}, "n1"},
		"first, store away for all":      {ChoiceState{Self: "n0", Lost: true, Skipped: set("n0", "n1", "n2", "n3"), Away: set("n0", "n1", "n2", "n3")}, ""},
		"first, turned away a while ago": {ChoiceState{Self: "n0", Away: set("n0")}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			tc.s.Ranked = ranked
			n, ok := Choose(tc.s)
			qt.Assert(t, n.Name, qt.Equals, tc.want)
			qt.Assert(t, ok, qt.Equals, tc.want != "")
		})
	}
	_, ok := Choose(ChoiceState{Self: "n1", Ranked: ranked[:MinNodes-1]})
	qt.Assert(t, ok, qt.IsFalse)
}

// TestOracleWhereTheStoreAnswersNobodySomebodyAsks: whatever state nodes have recorded of each
// other in an outage, their choices must form no cycle of nodes that all follow each other.
// Otherwise no node of the cycle would detect the return of the store.
//
// It fails within its 100 scripts if nodes ranked behind self are chosen although the store does
// not answer them.
func TestOracleWhereTheStoreAnswersNobodySomebodyAsks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := Rank("hall", dataCentre(rapid.IntRange(MinNodes, 8).Draw(t, "nodes")))
		choice := make(map[string]string)
		for _, n := range nodes {
			s := ChoiceState{Self: n.Name, Ranked: nodes, Lost: true, Skipped: map[string]bool{}, Away: map[string]bool{}}
			for _, other := range nodes {
				// Each node has tried and skipped another node, or still treats it as usable.
				s.Away[other.Name] = true
				s.Skipped[other.Name] = rapid.Bool().Draw(t, "passed")
			}
			// The nodes from n on in rank order are skipped, as the store does not answer them.
			for _, other := range nodes[slices.IndexFunc(nodes, func(o Node) bool { return o.Name == n.Name }):] {
				s.Skipped[other.Name] = true
			}
			if publisher, ok := Choose(s); ok {
				choice[n.Name] = publisher.Name
			}
		}
		for _, n := range nodes {
			at := n.Name
			for range nodes {
				at = choice[at]
			}
			if at != "" {
				t.Fatalf("a ring from %s: %v", n.Name, choice)
			}
		}
	})
}
