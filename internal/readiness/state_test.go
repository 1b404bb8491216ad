package readiness

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "topazmoor/internal/standin/fixedseed"
)

var start = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func TestTargetThatLeavesStaysSo(t *testing.T) {
	c := qt.New(t)
	var s State
	c.Assert(s.Status(start), qt.Equals, Open)
	c.Assert(s.Update(Notice{Leaving: true}, false, start), qt.Equals, StartedLeaving)
	c.Assert(s.Update(Notice{Leaving: true}, false, start), qt.Equals, Unchanged)
	s.Accepted(start)
	// An answer to an older call may arrive later, without a notice.
	s.Update(Notice{}, false, start.Add(time.Second))
	c.Assert(s.Status(start.Add(time.Hour)), qt.Equals, Leaving)
	c.Assert(s.MaySend(start, start), qt.IsFalse)
}

func TestRestEndsWithOneCallThatIsTaken(t *testing.T) {
	c := qt.New(t)
	var s State
	before := start
	s.CallStarted(before)
	now := start.Add(time.Second)
	c.Assert(s.Update(Notice{Rest: 3 * time.Second}, true, now), qt.Equals, StartedResting)
	c.Assert(s.AvailableAt(now), qt.Equals, now.Add(3*time.Second))
	c.Assert(s.MaySend(before, now), qt.IsFalse)
	// An answer to a call from before the rest does not end the rest.
	s.Accepted(before)
	c.Assert(s.Status(now.Add(2*time.Second)), qt.Equals, Resting)

	trial := now.Add(3 * time.Second)
	c.Assert(s.Status(trial), qt.Equals, OnTrial)
	s.CallStarted(trial)
	c.Assert(s.Status(trial), qt.Equals, Resting)
	c.Assert(s.AvailableAt(trial).IsZero(), qt.IsTrue)
	c.Assert(s.MaySend(trial, trial), qt.IsTrue)
	c.Assert(s.MaySend(before, trial), qt.IsFalse)
	s.Accepted(trial)
	c.Assert(s.Status(trial), qt.Equals, Open)
	c.Assert(s.HasReported(), qt.IsFalse)
}

func TestTrialThatIsTurnedAwayOrLostIsRepeated(t *testing.T) {
	c := qt.New(t)
	var s State
	s.Update(Notice{Rest: time.Second}, true, start)
	trial := start.Add(time.Second)
	s.CallStarted(trial)
	s.Unanswered(trial)
	c.Assert(s.Status(trial), qt.Equals, OnTrial)
	s.CallStarted(trial)
	s.Update(Notice{}, true, trial)
	c.Assert(s.Status(trial), qt.Equals, Avoided)
	again := trial.Add(initialAvoidTime)
	c.Assert(s.Status(again), qt.Equals, OnTrial)
	s.CallStarted(again)
	// The trial call gets no answer.
	c.Assert(s.Status(again.Add(trialTimeout-1)), qt.Equals, Avoided)
	c.Assert(s.Status(again.Add(trialTimeout)), qt.Equals, OnTrial)
}

// A target that rejects calls without asking for rest is avoided, for longer each time.
func TestTargetThatTurnsEverythingAwayIsAvoided(t *testing.T) {
	c := qt.New(t)
	var s State
	now := start
	for _, avoided := range []time.Duration{initialAvoidTime, 2 * initialAvoidTime, 4 * initialAvoidTime, maxAvoidTime, maxAvoidTime} {
		s.CallStarted(now)
		c.Assert(s.Update(Notice{}, true, now), qt.Equals, Unchanged)
		// Rejections of other calls that were in progress change nothing.
		s.Update(Notice{}, true, now)
		c.Assert(s.Status(now.Add(avoided-1)), qt.Equals, Avoided)
		c.Assert(s.AvailableAt(now).IsZero(), qt.IsTrue)
		c.Assert(s.MaySend(now, now), qt.IsTrue)
		now = now.Add(avoided)
		c.Assert(s.Status(now), qt.Equals, OnTrial)
	}
	s.CallStarted(now)
	s.Accepted(now)
	c.Assert(s.Status(now), qt.Equals, Open)
	s.Update(Notice{}, true, now)
	c.Assert(s.Status(now.Add(initialAvoidTime)), qt.Equals, OnTrial)
	// A rest that the target asks for meanwhile is not shortened.
	s.Update(Notice{Rest: 3 * time.Second}, true, now)
	s.Update(Notice{}, true, now)
	c.Assert(s.Status(now.Add(3*time.Second-1)), qt.Equals, Resting)
}

func TestRestOfHoursIsTriedAfterOne(t *testing.T) {
	c := qt.New(t)
	var s State
	s.Update(Notice{Rest: 1000 * time.Hour}, true, start)
	c.Assert(s.Status(start.Add(MaxRest-1)), qt.Equals, Resting)
	c.Assert(s.Status(start.Add(MaxRest)), qt.Equals, OnTrial)
}

// call is one call of TestOracleRests.
type call struct {
	began, sent time.Time
}

// TestOracleRests drives a State with calls that wait before they are sent, and are rejected,
// accepted or lost, in any order. At most two calls may be sent during a rest, the time for which the
// target asked to get no calls; those of its first half second are not counted, as in the tests of the
// platform (restAfter), where calls on their way when the target asks still arrive. No call may be sent
// after the target reported that it leaves, and a target that asks for no further rest is called again.
func TestOracleRests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now := start
		var waiting, open []*call
		var sends []time.Time
		type rest struct{ from, until time.Time }
		var rests []rest
		var left time.Time
		take := func(list *[]*call, label string) *call {
			i := rapid.IntRange(0, len(*list)-1).Draw(t, label)
			c := (*list)[i]
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return c
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "s")) * time.Second)
			case 2:
				if s.Status(now) < Resting {
					s.CallStarted(now)
					waiting = append(waiting, &call{began: now})
				}
			case 3:
				if len(waiting) > 0 {
					c := take(&waiting, "sent")
					if !s.MaySend(c.began, now) {
						s.Unanswered(c.began)
						continue
					}
					if !left.IsZero() {
						t.Fatalf("call sent %v after the target reported that it leaves", now.Sub(left))
					}
					c.sent = now
					sends = append(sends, now)
					open = append(open, c)
				}
			case 4:
				if len(open) > 0 {
					c := take(&open, "rejected")
					ms := rapid.SampledFrom([]int{0, 0, 700, 3000, 90000, 3600000}).Draw(t, "rest")
					n := Notice{Rest: time.Duration(ms) * time.Millisecond}
					if n.Rest > 0 {
						rests = append(rests, rest{now.Add(500 * time.Millisecond), now.Add(n.Rest)})
					}
					s.Update(n, true, now)
					s.Unanswered(c.began)
				}
			case 5:
				if len(open) > 0 {
					c := take(&open, "taken")
					s.Update(Notice{}, false, now)
					s.Accepted(c.began)
					s.Unanswered(c.began)
				}
			case 6:
				if len(open) > 0 && rapid.IntRange(0, 20).Draw(t, "leaves") == 0 {
					s.Update(Notice{Leaving: true}, false, now)
					left = now
				}
			}
		}
		for _, r := range rests {
			in := 0
			for _, at := range sends {
				if at.After(r.from) && at.Before(r.until) {
					in++
				}
			}
			if in > 2 {
				t.Fatalf("%d calls in a rest", in)
			}
		}
		if left.IsZero() && s.Status(now.Add(MaxRest+trialTimeout)) == Resting {
			t.Fatalf("the target still rests after the longest rest and trial")
		}
	})
}
