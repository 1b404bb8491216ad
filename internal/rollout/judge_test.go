package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// answersOf draws the answers of one step: those of the old version by its rate of failures, those
// of the new one by its rate of failures for each route and target.
func answersOf(rnd *rand.Rand, oldRate float64, newRate func(route, target int) float64, newAnswers int) map[Source]Tally {
	out := make(map[Source]Tally)
	for route := range 12 {
		old := Source{Route: fmt.Sprint("route", route)}
		out[old] = drawAnswers(rnd, out[old], oldRate, 8)
	}
	for range newAnswers {
		route, target := rnd.IntN(12), rnd.IntN(6)
		source := Source{Route: fmt.Sprint("route", route), New: true, Target: fmt.Sprint("t", target)}
		out[source] = drawAnswers(rnd, out[source], newRate(route, target), 1)
	}
	return out
}

// drawAnswers adds n answers with a rate of bad ones to a Tally.
func drawAnswers(rnd *rand.Rand, t Tally, rate float64, n int) Tally {
	for range n {
		if rnd.Float64() < rate {
			t.Bad++
			continue
		}
		t.Took[bucketOf(time.Duration(10+rnd.IntN(20))*time.Millisecond)]++
	}
	return t
}

// runJudge runs steps until the judge reports that the version is bad, and returns how many bad
// answers the version had by then.
func runJudge(seed uint64, oldRate float64, newRate func(route, target int) float64, steps int) (bad bool, badAnswers uint32) {
	rnd := rand.New(rand.NewPCG(seed, 3))
	j := NewJudge()
	for range steps {
		delta := answersOf(rnd, oldRate, newRate, 8)
		badAnswers += Evidence{Tallies: delta}.newBad()
		j.Add(delta)
		if _, bad = j.Bad(); bad {
			return true, badAnswers
		}
	}
	return false, badAnswers
}

func TestBadVersionIsFoundBeforeItsFiftiethBadAnswer(t *testing.T) {
	for name, rate := range map[string]func(route, target int) float64{
		"all fail":                 func(int, int) float64 { return 1 },
		"a fifth fails":            func(int, int) float64 { return 0.2 },
		"a fifth fails on a route": func(route, _ int) float64 { return map[bool]float64{true: 0.2}[route == 5] },
		"a route fails":            func(route, _ int) float64 { return map[bool]float64{true: 1}[route == 5] },
	} {
		for seed := range uint64(20) {
			bad, answers := runJudge(seed, 0.01, rate, 400)
			qt.Check(t, bad, qt.IsTrue, qt.Commentf("%s, seed %d", name, seed))
			qt.Check(t, answers < 50, qt.IsTrue, qt.Commentf("%s, seed %d: %d bad answers", name, seed, answers))
		}
	}
}

func TestGoodVersionIsNotHeldToBeBad(t *testing.T) {
	for name, rates := range map[string]struct {
		old float64
		new func(route, target int) float64
	}{
		"nothing fails":      {0, func(int, int) float64 { return 0 }},
		"both fail alike":    {0.05, func(int, int) float64 { return 0.05 }},
		"a target is faulty": {0.01, func(_, target int) float64 { return map[bool]float64{true: 0.3, false: 0.01}[target == 2] }},
	} {
		for seed := range uint64(20) {
			bad, _ := runJudge(seed, rates.old, rates.new, 120)
			qt.Check(t, bad, qt.IsFalse, qt.Commentf("%s, seed %d", name, seed))
		}
	}
}

func TestSlowAnswersCountAsBad(t *testing.T) {
	j := NewJudge()
	var old, slow, same Tally
	old.Took[bucketOf(20*time.Millisecond)] = 100
	slow.Took[bucketOf(80*time.Millisecond)] = 4
	slow.Left[bucketOf(2*time.Second)] = 4
	same.Took[bucketOf(25*time.Millisecond)] = 8
	j.Add(map[Source]Tally{{Route: "a"}: old, {Route: "a", New: true, Target: "t"}: same})
	_, bad := j.Bad()
	qt.Assert(t, bad, qt.IsFalse)
	j.Add(map[Source]Tally{{Route: "a", New: true, Target: "t"}: slow})
	_, bad = j.Bad()
	qt.Assert(t, bad, qt.IsTrue)
}

func TestEvidenceOfANodeThatBeganAnewCountsWhole(t *testing.T) {
	c := qt.New(t)
	source := Source{Route: "a", New: true, Target: "t"}
	before := Evidence{Tallies: map[Source]Tally{source: {Bad: 5}}, Sent: 100, SentNew: 9}
	after := Evidence{Tallies: map[Source]Tally{source: {Bad: 7}}, Sent: 130, SentNew: 12}
	c.Assert(after.since(before), qt.DeepEquals, Evidence{Tallies: map[Source]Tally{source: {Bad: 2}}, Sent: 30, SentNew: 3})
	c.Assert(before.since(after), qt.DeepEquals, before)
}

// The gaps of streams are compared with those of the old version on the same route.
func TestLongGapsBetweenEventsAreBad(t *testing.T) {
	for _, alike := range []bool{false, true} {
		j := NewJudge()
		stream := func(gap time.Duration) Tally {
			var t Tally
			t.Took[bucketOf(50*time.Millisecond)] = 20
			t.Gaps[bucketOf(gap)] = 20
			return t
		}
		short, long := stream(20*time.Millisecond), stream(200*time.Millisecond)
		old := short
		if alike {
			old = long
		}
		for range 10 {
			j.Add(map[Source]Tally{{Route: "a"}: old, {Route: "a", New: true, Target: "t"}: long, {Route: "b"}: short})
		}
		_, bad := j.Bad()
		qt.Check(t, bad, qt.Equals, !alike)
	}
}

// A trial begins with few targets. If it began with one that fails later, most answers since then come
// from the others, and show that the version is good.
func TestFaultOfTheFirstTargetIsNotOneOfTheVersion(t *testing.T) {
	for _, othersFail := range []bool{false, true} {
		j := NewJudge()
		var old, good, first, others Tally
		old.Took[bucketOf(20*time.Millisecond)] = 400
		good.Took[bucketOf(20*time.Millisecond)] = 60
		first.Bad = 1
		others.Took[bucketOf(20*time.Millisecond)] = 3
		if othersFail {
			others = Tally{Bad: 3}
		}
		j.Add(map[Source]Tally{{Route: "a"}: old, {Route: "a", New: true, Target: "t0"}: good})
		for range 10 {
			j.Add(map[Source]Tally{{Route: "a", New: true, Target: "t0"}: first, {Route: "a", New: true, Target: "t1"}: others})
		}
		_, bad := j.Bad()
		qt.Check(t, bad, qt.Equals, othersFail)
	}
}
