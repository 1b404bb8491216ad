package rollout

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var oneOrder = Order{Service: "s", To: "v2", Lasts: 30 * time.Second}

// reportOf returns the report of a node that sent a number of calls: bad of them got bad answers, from
// the new version if isNew is set, the others got good answers from the old version.
func reportOf(node string, calls, bad int, isNew bool) Report {
	e := Evidence{Tallies: make(map[Source]Tally), Sent: uint64(calls)}
	source := Source{Route: "a", New: isNew}
	for range bad {
		e.Count(source, true, time.Millisecond)
	}
	for range calls - bad {
		e.Count(Source{Route: "a"}, false, time.Millisecond)
	}
	return Report{Node: node, Order: oneOrder, Evidence: e, Hold: minHold}
}

// The first report of a node counts calls from before: they give no rate.
func TestRateOfCallsIsNotKnownAtOnce(t *testing.T) {
	trial := NewTrial(oneOrder, Bounds{}, start)
	trial.AddReport(reportOf("a", 1000, 0, false), start)
	qt.Check(t, trial.Count(start).PerSecond, qt.Equals, 0.0)
	now := start.Add(100 * time.Millisecond)
	trial.AddReport(reportOf("a", 1100, 0, false), now)
	qt.Check(t, trial.Count(now).PerSecond, qt.Equals, 0.0)
	now = start.Add(2 * time.Second)
	trial.AddReport(reportOf("a", 1200, 0, false), now)
	qt.Check(t, trial.Count(now).PerSecond, qt.Equals, 100.0)
}

// Nodes report bad answers of the new version first. Until the other nodes have reported too, the new
// version gets no calls and the order isn't rolled back.
func TestVersionIsInDoubtUntilAllNodesHaveReported(t *testing.T) {
	for _, alike := range []bool{false, true} {
		trial := NewTrial(oneOrder, Bounds{Share: 0.1, Slack: 50}, start)
		view := View{Nodes: 2, Targets: Targets{New: 4, Warm: 4, Old: 4}}
		for _, node := range []string{"a", "b"} {
			trial.AddReport(reportOf(node, 100, 0, false), start)
		}
		qt.Assert(t, trial.Step(start, view).Share > 0, qt.IsTrue)
		now := start.Add(stepInterval)
		trial.AddReport(reportOf("a", 120, 20, true), now)
		for range 3 {
			step := trial.Step(now, view)
			qt.Check(t, step.Phase, qt.Equals, "doubt")
			qt.Check(t, step.Share, qt.Equals, 0.0)
			now = now.Add(stepInterval)
		}
		bad := 0
		if alike {
			bad = 200
		}
		trial.AddReport(reportOf("a", 120, 20, true), now)
		trial.AddReport(reportOf("b", 300, bad, false), now)
		want := RolledBack
		if alike {
			want = Running
		}
		qt.Check(t, trial.Step(now, view).State, qt.Equals, want, qt.Commentf("alike: %v", alike))
	}
}

// A node that stops reporting may report to another owner, which counts its calls. Its calls to the new
// version in excess of its own share are still counted here.
func TestCallsBeyondTheShareOfALostNodeStayCounted(t *testing.T) {
	trial := NewTrial(oneOrder, Bounds{Share: 0.1}, start)
	lost := reportOf("a", 100, 0, false)
	lost.Evidence.SentNew = 60
	trial.AddReport(lost, start)
	now := start.Add(LeaseOf(minHold) + time.Second)
	trial.AddReport(reportOf("b", 100, 0, false), now)
	n := trial.Count(now)
	qt.Check(t, n.Nodes, qt.Equals, 1)
	qt.Check(t, n.Sent, qt.Equals, uint64(100))
	qt.Check(t, n.SentNew, qt.Equals, uint64(50))
}

// Nodes with bad answers are the first that report to a new owner: it waits for the others.
func TestNewOwnerDoesNotJudgeByItsFirstReports(t *testing.T) {
	trial := NewTrial(oneOrder, Bounds{Share: 0.1, Slack: 50}, start)
	view := View{Nodes: 10, Targets: Targets{New: 4, Warm: 4, Old: 4}}
	now := start
	trial.AddReport(reportOf("a", 120, 20, true), now)
	trial.Step(now, view)
	now = now.Add(stepInterval)
	trial.AddReport(reportOf("a", 121, 20, true), now)
	qt.Assert(t, trial.Step(now, view).Phase, qt.Equals, "doubt")
	for i := range view.Nodes {
		trial.AddReport(reportOf(string(rune('a'+i)), 300, 60, false), now.Add(time.Millisecond))
	}
	trial.AddReport(reportOf("a", 121, 20, true), now.Add(time.Millisecond))
	step := trial.Step(now.Add(stepInterval), view)
	qt.Assert(t, step.State, qt.Equals, RolledBack, qt.Commentf("%+v", step))
}

// An owner that stopped the move may have been lost before all nodes heard of it.
func TestMoveIsOngoingWhereMostNodesAreInIt(t *testing.T) {
	for moving := range 5 {
		trial := NewTrial(Order{Service: "s", To: "v2", Lasts: 20 * time.Second}, Bounds{Share: 0.1, Slack: 50}, start)
		now := trial.control.deadline().Add(-decisionMargin)
		for i := range 4 {
			r := Report{Node: strconv.Itoa(i), Has: Answer{State: Running, Moving: i < moving}}
			trial.AddReport(r, now)
			r.Has = Answer{State: Running}
			trial.AddReport(r, now)
		}
		step := trial.Step(now, View{Nodes: 4, Targets: Targets{New: 4, Warm: 4}})
		qt.Check(t, step.State == Completed, qt.Equals, moving > 2, qt.Commentf("%d nodes", moving))
	}
}
