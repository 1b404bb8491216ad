package rollout

import (
	"math"
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

// runMove steps a controller whose version is held to be good through the rest of its time, and
// returns the largest share, whether it announced that the old version stops, and the last step.
func runMove(c *Controller, s Situation, targets func(now time.Time) Targets) (most float64, stops bool, last Step) {
	addGoodAnswers(c, 200)
	for s.Now = c.at(maxTrialUntil); ; s.Now = s.Now.Add(stepInterval) {
		s.Targets = targets(s.Now)
		last = c.Step(s)
		stops = stops || last.OldStops
		if last.State.Final() {
			return most, stops, last
		}
		most = max(most, last.Share)
	}
}

func TestShareStaysWithinTheCapacityOfWarmTargets(t *testing.T) {
	s := Situation{Part: 1, Sent: 1000, SentNew: 50, PerSecond: 200}
	oneWarm := Targets{New: 20, Warm: 1, ColdRate: 19 * 0.5, Old: 20}
	most, _, last := runMove(newController(60*time.Second), s, func(time.Time) Targets { return oneWarm })
	qt.Check(t, most <= 1.0/20+oneWarm.ColdRate/200, qt.IsTrue, qt.Commentf("%v", most))
	qt.Check(t, last.State, qt.Equals, RolledBack)

	c := newController(60 * time.Second)
	most, _, last = runMove(c, s, func(now time.Time) Targets {
		if now.Before(c.at(0.9)) {
			return oneWarm
		}
		return Targets{New: 20, Warm: 20, Old: 20}
	})
	qt.Check(t, most, qt.Equals, 1.0)
	qt.Check(t, last.State, qt.Equals, Completed)
}

// With fewer targets than the old version, warm ones bear all calls.
func TestFewerTargetsMayReplaceMore(t *testing.T) {
	qt.Check(t, Targets{New: 4, Warm: 4, Old: 8}.capacity(100), qt.Equals, 1.0)
	qt.Check(t, Targets{New: 4, Warm: 1, Old: 8}.capacity(100), qt.Equals, 0.25)
	qt.Check(t, Targets{New: 8, Warm: 2, Old: 4}.capacity(100), qt.Equals, 0.5)
	qt.Check(t, Targets{New: 4, ColdRate: 5, Old: 4}.capacity(100), qt.Equals, 0.05)
}

func TestOrderIsNotCompletedWhileARegionDependsOnTheOldVersion(t *testing.T) {
	s := Situation{Part: 1, Sent: 1000, SentNew: 50, PerSecond: 200}
	most, stops, last := runMove(newController(30*time.Second), s, func(time.Time) Targets {
		return Targets{New: 4, Warm: 4, Old: 4, Uncovered: []string{"south"}}
	})
	qt.Check(t, most, qt.Equals, maxUncoveredShare)
	qt.Check(t, stops, qt.IsFalse)
	qt.Check(t, last.State, qt.Equals, RolledBack)
	qt.Check(t, last.Reason, qt.Equals, "no warm target of the version in south")
}

func TestStreamsAreHandedOverBeforeTheLastMoment(t *testing.T) {
	c := newController(30 * time.Second)
	s := Situation{Part: 1, Sent: 1000, SentNew: 50, PerSecond: 200, OldInFlight: 7}
	targets := Targets{New: 4, Warm: 4, Old: 4}
	addGoodAnswers(c, 200)
	s.Now, s.Targets = c.at(maxTrialUntil).Add(stepInterval), targets
	first := c.Step(s)
	qt.Check(t, first.LongFrom >= c.deadline().Sub(c.at(0.9))-decisionMargin, qt.IsTrue, qt.Commentf("%v", first.LongFrom))
	qt.Check(t, first.OldStops, qt.IsFalse)
	_, stops, last := runMove(c, s, func(time.Time) Targets { return targets })
	qt.Check(t, stops, qt.IsTrue)
	qt.Check(t, last.State, qt.Equals, Completed)
}

// With few answers a bad version may not be found for certain, all the more where the old version fails
// too; its traffic does not move.
func TestVersionInDoubtIsNotMovedTo(t *testing.T) {
	for _, answers := range [][2]uint32{{10, 8}, {27, 13}} {
		c := newController(30 * time.Second)
		var old, fresh Tally
		old.Took[0], old.Bad = 850, 150
		fresh.Took[0], fresh.Bad = answers[0], answers[1]
		c.Judge.Add(map[Source]Tally{{Route: "a"}: old, {Route: "a", New: true, Target: "t"}: fresh})
		_, bad := c.Judge.Bad()
		qt.Assert(t, bad, qt.IsFalse)
		s := Situation{Now: c.at(maxTrialUntil).Add(stepInterval), Targets: Targets{New: 4, Warm: 4, Old: 4}, Part: 1, Sent: 1000, SentNew: 40, PerSecond: 30}
		qt.Check(t, c.Step(s).Share < 1, qt.IsTrue)
		qt.Check(t, c.moving.IsZero(), qt.IsTrue)
		s.Now = c.deadline().Add(-decisionMargin)
		qt.Check(t, c.Step(s).State, qt.Equals, RolledBack)
	}
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
		// A few bad answers among the first ones leave it in doubt.
		addGoodAnswers(c, 5)
		c.Judge.Add(map[Source]Tally{{Route: "a", New: true, Target: "t"}: {Bad: 3}})
		qt.Assert(t, c.Judge.InDoubt(), qt.IsTrue)
		qt.Check(t, c.Step(s).State == Completed, qt.Equals, moving)
		c.Judge.Add(map[Source]Tally{{Route: "a", New: true, Target: "t"}: {Bad: 30}})
		qt.Check(t, c.Step(s).State == Completed, qt.IsFalse)
	}
}

// An order is decided in its time too if the version has lost its warm targets.
func TestOrderWithoutWarmTargetsIsDecidedInTime(t *testing.T) {
	for _, targets := range []Targets{{New: 4, Old: 4}, {New: 4, Old: 4, ColdRate: math.Inf(1)}} {
		c := newController(20 * time.Second)
		addGoodAnswers(c, 200)
		s := Situation{Now: c.deadline().Add(-decisionMargin), Targets: targets, Part: 1, Sent: 1000, SentNew: 50, PerSecond: 200}
		qt.Check(t, c.Step(s).State, qt.Equals, RolledBack)
	}
}

// Each change of the share is sent to all nodes at once.
func TestShareRarelyFollowsTheRateOfCalls(t *testing.T) {
	for name, tc := range map[string]struct {
		targets   Targets
		answers   int
		perSecond float64
	}{
		"few calls in the trial":    {Targets{New: 4, Warm: 4, Old: 4}, 0, 5},
		"cold targets in the trial": {Targets{New: 40, Warm: 1, ColdRate: 5, Old: 40}, 0, 200},
		"cold targets in the move":  {Targets{New: 40, Warm: 1, ColdRate: 100, Old: 40}, 200, 200},
	} {
		c := newController(60 * time.Second)
		addGoodAnswers(c, tc.answers)
		began, ends := c.Began, c.at(spreadUntil)
		if tc.answers > 0 {
			began, ends = c.at(maxTrialUntil), c.at(moveUntil)
		}
		changes, last, steps := 0, -1.0, 0
		var sent, sentNew float64
		for now := began.Add(stepInterval); now.Before(ends); now = now.Add(stepInterval) {
			rate := tc.perSecond * (1 + 0.02*math.Sin(float64(steps)))
			step := c.Step(Situation{Now: now, Targets: tc.targets, Part: 1, Sent: uint64(sent), SentNew: uint64(sentNew), PerSecond: rate})
			qt.Assert(t, step.State, qt.Equals, Running, qt.Commentf("%s", name))
			sent += rate * stepInterval.Seconds()
			sentNew += step.Share * rate * stepInterval.Seconds()
			if step.Share != last {
				changes++
			}
			last = step.Share
			steps++
		}
		qt.Check(t, changes <= steps/4, qt.IsTrue, qt.Commentf("%s: %d changes in %d steps", name, changes, steps))
	}
}
