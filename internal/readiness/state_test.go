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
	c.Assert(s.Standing(start), qt.Equals, Open)
	c.Assert(s.Hear(Notice{Leaving: true}, false, start), qt.Equals, BeganToLeave)
	c.Assert(s.Hear(Notice{Leaving: true}, false, start), qt.Equals, Unchanged)
	s.Took(start)
	// An answer to an older call may arrive later, without a notice.
	s.Hear(Notice{}, false, start.Add(time.Second))
	c.Assert(s.Standing(start.Add(time.Hour)), qt.Equals, Leaving)
	c.Assert(s.Admits(start, start), qt.IsFalse)
}

func TestRestEndsWithOneCallThatIsTaken(t *testing.T) {
	c := qt.New(t)
	var s State
	before := start
	s.Begin(before)
	now := start.Add(time.Second)
	c.Assert(s.Hear(Notice{Rest: 3 * time.Second}, true, now), qt.Equals, BeganToRest)
	c.Assert(s.Opens(now), qt.Equals, now.Add(3*time.Second))
	c.Assert(s.Admits(before, now), qt.IsFalse)
	// An answer to a call from before the rest does not end the rest.
	s.Took(before)
	c.Assert(s.Standing(now.Add(2*time.Second)), qt.Equals, Resting)

	trial := now.Add(3 * time.Second)
	c.Assert(s.Standing(trial), qt.Equals, OnTrial)
	s.Begin(trial)
	c.Assert(s.Standing(trial), qt.Equals, Resting)
	c.Assert(s.Opens(trial).IsZero(), qt.IsTrue)
	c.Assert(s.Admits(trial, trial), qt.IsTrue)
	c.Assert(s.Admits(before, trial), qt.IsFalse)
	s.Took(trial)
	c.Assert(s.Standing(trial), qt.Equals, Open)
	c.Assert(s.Said(), qt.IsFalse)
}

func TestTrialThatIsTurnedAwayOrLostIsRepeated(t *testing.T) {
	c := qt.New(t)
	var s State
	s.Hear(Notice{Rest: time.Second}, true, start)
	trial := start.Add(time.Second)
	s.Begin(trial)
	s.Lost(trial)
	c.Assert(s.Standing(trial), qt.Equals, OnTrial)
	s.Begin(trial)
	s.Hear(Notice{}, true, trial)
	c.Assert(s.Standing(trial), qt.Equals, Avoided)
	again := trial.Add(initialAvoidTime)
	c.Assert(s.Standing(again), qt.Equals, OnTrial)
	s.Begin(again)
	// The trial call gets no answer.
	c.Assert(s.Standing(again.Add(trialTimeout-1)), qt.Equals, Avoided)
	c.Assert(s.Standing(again.Add(trialTimeout)), qt.Equals, OnTrial)
}

// A target that rejects calls without asking for rest is avoided, for longer each time.
func TestTargetThatTurnsEverythingAwayIsAvoided(t *testing.T) {
	c := qt.New(t)
	var s State
	now := start
	for _, avoided := range []time.Duration{initialAvoidTime, 2 * initialAvoidTime, 4 * initialAvoidTime, maxAvoidTime, maxAvoidTime} {
		s.Begin(now)
		c.Assert(s.Hear(Notice{}, true, now), qt.Equals, Unchanged)
		// Rejections of other calls that were in progress change nothing.
		s.Hear(Notice{}, true, now)
		c.Assert(s.Standing(now.Add(avoided-1)), qt.Equals, Avoided)
		c.Assert(s.Opens(now).IsZero(), qt.IsTrue)
		c.Assert(s.Admits(now, now), qt.IsTrue)
		now = now.Add(avoided)
		c.Assert(s.Standing(now), qt.Equals, OnTrial)
	}
	s.Begin(now)
	s.Took(now)
	c.Assert(s.Standing(now), qt.Equals, Open)
	s.Hear(Notice{}, true, now)
	c.Assert(s.Standing(now.Add(initialAvoidTime)), qt.Equals, OnTrial)
	// A rest that the target asks for meanwhile is not shortened.
	s.Hear(Notice{Rest: 3 * time.Second}, true, now)
	s.Hear(Notice{}, true, now)
	c.Assert(s.Standing(now.Add(3*time.Second-1)), qt.Equals, Resting)
}

func TestRestOfHoursIsTriedAfterOne(t *testing.T) {
	c := qt.New(t)
	var s State
	s.Hear(Notice{Rest: 1000 * time.Hour}, true, start)
	c.Assert(s.Standing(start.Add(Longest-1)), qt.Equals, Resting)
	c.Assert(s.Standing(start.Add(Longest)), qt.Equals, OnTrial)
}

// call is one call of TestOracleRests.
type call struct {
	began, sent time.Time
}

// TestOracleRests drives a State with calls that wait before they are sent, and are rejected,
// accepted or lost, in any order. In any order, at most two calls are sent in a rest after its first
// half second, none is sent after the target reported that it leaves, and a target that asks for no
// further rest is called again.
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
				if s.Standing(now) < Resting {
					s.Begin(now)
					waiting = append(waiting, &call{began: now})
				}
			case 3:
				if len(waiting) > 0 {
					c := take(&waiting, "sent")
					if !s.Admits(c.began, now) {
						s.Lost(c.began)
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
					s.Hear(n, true, now)
					s.Lost(c.began)
				}
			case 5:
				if len(open) > 0 {
					c := take(&open, "taken")
					s.Hear(Notice{}, false, now)
					s.Took(c.began)
					s.Lost(c.began)
				}
			case 6:
				if len(open) > 0 && rapid.IntRange(0, 20).Draw(t, "leaves") == 0 {
					s.Hear(Notice{Leaving: true}, false, now)
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
		if left.IsZero() && s.Standing(now.Add(Longest+trialTimeout)) == Resting {
			t.Fatalf("the target still rests after the longest rest and trial")
		}
	})
}
