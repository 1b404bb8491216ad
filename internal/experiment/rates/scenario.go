// Package rates is a model of nodes that hold to a rate together. It drives package sharedrate,
// and two other ways to share a rate, in virtual time: the same seed gives the same run.
package rates

import (
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/strictjson"
)

// Scenario is a load on nodes that share the rates of some targets.
type Scenario struct {
	// Name names the scenario in results.
	Name string `json:"name"`
	// Nodes is the number of nodes, Targets that of targets with a limit.
	Nodes   int `json:"nodes"`
	Targets int `json:"targets"`
	// PerSecond is the rate of each target, in requests a second.
	PerSecond float64 `json:"per_second"`
	// Demand is how many times the rate callers ask for, Spread at which nodes: "even", "one",
	// "tenth" or "moving", which is a tenth of the nodes, others each second.
	Demand float64 `json:"demand"`
	Spread string  `json:"spread"`
	// WaitMS is how long requests wait for their turn, in milliseconds.
	WaitMS int `json:"wait_ms"`
	// Seconds is how long the run lasts.
	Seconds int `json:"seconds"`
	// Troubles happen on the way.
	Troubles []Trouble `json:"troubles"`
}

// Trouble is an event of a run.
type Trouble struct {
	// AtMS is when it begins, ForMS how long it lasts, in milliseconds.
	AtMS  int `json:"at_ms"`
	ForMS int `json:"for_ms"`
	// Kind is "stop" (planned, and started again), "kill" (and started again), "freeze", "cut"
	// (from all other nodes), "cut_one_way" (nothing of it arrives at other nodes), "halves" (the
	// nodes in two parts), "roll" (all are stopped one after the other, each for ForMS), "change" (of
	// the rate, by Times) or "end" (of all limits, for ForMS).
	Kind string `json:"kind"`
	// Share is the part of the nodes that it happens to; the granters of a target first.
	Share float64 `json:"share"`
	// Times is by how much the rate changes.
	Times float64 `json:"times"`
}

// Bounds of scenarios, so that a mistake in a file does not run for hours.
const (
	mostNodes   = 400
	mostTargets = 1000
	mostSeconds = 600
)

var (
	spreads = map[string]bool{"even": true, "one": true, "tenth": true, "moving": true}
	kinds   = map[string]bool{
		"stop": true, "kill": true, "freeze": true, "cut": true, "cut_one_way": true, "halves": true, "roll": true, "change": true, "end": true,
	}
)

// Parse reads scenarios, in JSON with comments.
func Parse(text []byte) ([]Scenario, error) {
	var file struct {
		Scenarios []Scenario `json:"scenarios"`
	}
	if err := strictjson.Decode(text, &file); err != nil {
		return nil, eris.Wrap(err, "scenarios")
	}
	for i := range file.Scenarios {
		if err := file.Scenarios[i].check(); err != nil {
			return nil, eris.Wrapf(err, "scenario %d (%q)", i+1, file.Scenarios[i].Name)
		}
	}
	return file.Scenarios, nil
}

func (s *Scenario) check() error {
	switch {
	case s.Name == "":
		return eris.New("name is missing")
	case s.Nodes < 1 || s.Nodes > mostNodes:
		return eris.Errorf("nodes is %d: write 1 to %d", s.Nodes, mostNodes)
	case s.Targets < 1 || s.Targets > mostTargets:
		return eris.Errorf("targets is %d: write 1 to %d", s.Targets, mostTargets)
	case !(s.PerSecond > 0):
		return eris.Errorf("per_second is %g: write a rate above 0", s.PerSecond)
	case !(s.Demand > 0):
		return eris.Errorf("demand is %g: write how many times the rate callers ask for", s.Demand)
	case !spreads[s.Spread]:
		return eris.Errorf("spread is %q: write even, one, tenth or moving", s.Spread)
	case s.Seconds < 1 || s.Seconds > mostSeconds:
		return eris.Errorf("seconds is %d: write 1 to %d", s.Seconds, mostSeconds)
	case s.WaitMS < 0:
		return eris.Errorf("wait_ms is %d: write 0 or more", s.WaitMS)
	}
	for i, t := range s.Troubles {
		if !kinds[t.Kind] {
			return eris.Errorf("trouble %d: %q is no kind", i+1, t.Kind)
		}
		if t.AtMS < 0 || t.ForMS < 0 || t.Share < 0 || t.Share > 1 || t.Times < 0 {
			return eris.Errorf("trouble %d: at_ms, for_ms and times are 0 or more, share is 0 to 1", i+1)
		}
	}
	return nil
}

func (s *Scenario) wait() time.Duration { return time.Duration(s.WaitMS) * time.Millisecond }
