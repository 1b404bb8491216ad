package rollout

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC)

func newController(lasts time.Duration) *Controller {
	return &Controller{Order: Order{Service: "s", To: "v2", Lasts: lasts}, Bounds: Bounds{Share: 0.1, Slack: 50}, Began: start, Judge: NewJudge()}
}

// addGoodAnswers gives the judge the same number of good answers of both versions.
func addGoodAnswers(c *Controller, answers int) {
	var t Tally
	t.Took[bucketOf(20*time.Millisecond)] = uint32(answers)
	c.Judge.Add(map[Source]Tally{{Route: "a"}: t, {Route: "a", New: true, Target: "t"}: t})
}

func TestTrialKeepsToItsBoundWhateverTheLoad(t *testing.T) {
	for _, perStep := range []float64{0.2, 2, 20, 400} {
		c := newController(30 * time.Second)
		var sent, sentNew float64
		for now := start; c.moving.IsZero() && now.Before(c.deadline()); now = now.Add(stepInterval) {
			step := c.Step(Situation{Now: now, Targets: Targets{New: 4, Warm: 4, Old: 4}, Part: 1, Sent: uint64(sent), SentNew: uint64(sentNew), PerSecond: perStep / stepInterval.Seconds()})
			if !c.moving.IsZero() {
				break
			}
			sent += perStep
			sentNew += step.Share * perStep
			addGoodAnswers(c, max(int(step.Share*perStep), 0))
		}
		qt.Check(t, sentNew <= c.Bounds.Share*sent+c.Bounds.Slack, qt.IsTrue, qt.Commentf("%v a step: %v of %v", perStep, sentNew, sent))
	}
}

func TestOrderIsCompletedOnceNothingIsLeftAtTheOldVersion(t *testing.T) {
	c := newController(20 * time.Second)
	s := Situation{Now: start, Targets: Targets{New: 4, Warm: 4, Old: 4}, Part: 1, Sent: 1000, SentNew: 50, PerSecond: 200, OldInFlight: 3}
	addGoodAnswers(c, 200)
	for s.Now.Before(c.at(moveUntil)) {
		qt.Assert(t, c.Step(s).State, qt.Equals, Running)
		s.Now = s.Now.Add(stepInterval)
		s.Sent += 40
	}
	step := c.Step(s)
	qt.Assert(t, step.State, qt.Equals, Running)
	qt.Assert(t, step.Share, qt.Equals, 1.0)
	s.Now, s.OldInFlight = s.Now.Add(settleTime), 0
	qt.Assert(t, c.Step(s).State, qt.Equals, Completed)
}

func TestOrderWithoutAnswersIsRolledBack(t *testing.T) {
	c := newController(20 * time.Second)
	s := Situation{Now: c.deadline().Add(-decisionMargin), Targets: Targets{New: 4, Warm: 4}, Part: 1, Sent: 3, SentNew: 1, PerSecond: 1}
	qt.Assert(t, c.Step(s).State, qt.Equals, RolledBack)
	s.Targets = Targets{}
	qt.Assert(t, c.Step(s).Reason, qt.Equals, "no target of the version came")
}

// An owner with a part of the nodes has that part of the slack. With a minority of the nodes it
// decides one step after other owners would.
func TestOwnerOfAPartOfTheNodesMayDoLess(t *testing.T) {
	c := newController(20 * time.Second)
	s := Situation{Now: start, Targets: Targets{New: 4, Warm: 4}, Part: 1, SentNew: 10}
	qt.Check(t, c.Step(s).Share > 0, qt.IsTrue)
	s.Part = 0.4
	qt.Check(t, c.Step(s).Share, qt.Equals, 0.0)

	s.Now = c.deadline().Add(-decisionMargin)
	qt.Check(t, c.Step(s).State, qt.Equals, Running)
	s.Now = s.Now.Add(stepInterval)
	qt.Check(t, c.Step(s).State, qt.Equals, RolledBack)
}

// Shortly before the deadline a doubt may end before the order must be decided.
func TestDoubtBeforeTheDeadlineWaitsForOneMoreStep(t *testing.T) {
	c := newController(20 * time.Second)
	addGoodAnswers(c, 200)
	c.Judge.Add(map[Source]Tally{{Route: "a", New: true, Target: "t"}: {Bad: 50}})
	s := Situation{Now: c.deadline().Add(-decisionMargin), Targets: Targets{New: 4, Warm: 4}, Part: 1}
	step := c.Step(s)
	qt.Check(t, step.State, qt.Equals, Running)
	qt.Check(t, step.Share, qt.Equals, 0.0)
	s.Now = s.Now.Add(stepInterval)
	qt.Check(t, c.Step(s).State, qt.Equals, RolledBack)
}

// An owner that begins shortly before the deadline goes by what an earlier one found.
func TestLateOwnerCompletesWhatAnEarlierOneMoved(t *testing.T) {
	for _, moving := range []bool{false, true} {
		c := newController(20 * time.Second)
		s := Situation{Now: c.deadline().Add(-decisionMargin), Targets: Targets{New: 4, Warm: 4}, Part: 1, Moving: moving}
		qt.Check(t, c.Step(s).State == Completed, qt.Equals, moving)
	}
}
