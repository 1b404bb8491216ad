package targets

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/promptcache"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/sharedrate"
	"topazmoor/internal/store"
)

// What a process reported holds whatever later lists contain, also if its entry was missing for a
// while. Another process, at the same address or under the same ID, does not inherit it.
func TestWordOfATargetGoesBeforeItsList(t *testing.T) {
	c := qt.New(t)
	e := engine(1, "dc1")
	e.Born = 1000
	tb, now := newTable(e)
	l := tb.Pick(Query{Service: "engines"})
	c.Assert(l.UpdateReadiness(readiness.Notice{Leaving: true}, false), qt.Equals, readiness.StartedLeaving)
	l.Done(Served, 0)
	c.Assert(l.MaySend(), qt.IsFalse)
	for range 3 {
		now.at = now.at.Add(5 * time.Second)
		tb.Replace([]Target{e}, time.Time{})
		c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
		c.Assert(tb.Usable("engines"), qt.HasLen, 0)
		tb.Replace(nil, time.Time{})
	}
	_, ok := tb.AvailableAt("engines", region.Set{})
	c.Assert(ok, qt.IsFalse)

	again := e
	again.Born = 2000
	other := engine(2, "dc1")
	other.Addr = e.Addr
	tb.Replace([]Target{again, other}, time.Time{})
	c.Assert(tb.Usable("engines"), qt.HasLen, 2)
}

// The reported state of a process that is not listed is dropped after reportedRetention.
func TestWordsOfProcessesThatAreGoneAreForgotten(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(3)...)
	tb.UpdateReadiness(engine(0, "dc1").Process(), Answer{Notice: readiness.Notice{Leaving: true}})
	tb.Replace(nil, time.Time{})
	c.Assert(tb.reported, qt.HasLen, 1)
	now.at = now.at.Add(reportedRetention + time.Second)
	tb.Replace(nil, time.Time{})
	c.Assert(tb.reported, qt.HasLen, 0)
}

// Resting targets get no calls. A target whose rest is over gets one trial call until it accepts
// it. Requests that were rejected before are not used as the trial call.
func TestTargetsAtRestAreLeftAlone(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(2)...)
	for range 2 {
		l := tb.Pick(Query{Service: "engines"})
		l.UpdateReadiness(readiness.Notice{Rest: 3 * time.Second}, true)
		l.Done(Busy, 0)
		now.at = now.at.Add(time.Second)
	}
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
	at, ok := tb.AvailableAt("engines", region.Set{})
	c.Assert(ok, qt.IsTrue)
	c.Assert(at.Sub(now.at), qt.Equals, time.Second)
	now.at = at
	trial := tb.Pick(Query{Service: "engines"})
	c.Assert(trial, qt.IsNotNil)
	c.Assert(trial.MaySend(), qt.IsTrue)
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
	trial.UpdateReadiness(readiness.Notice{}, false)
	trial.Done(Served, 0)
	now.at = now.at.Add(2 * time.Second)
	for range 5 {
		l := tb.Pick(Query{Service: "engines", Resent: true})
		c.Assert(l.ID, qt.Equals, trial.ID)
		l.Done(Abandoned, 0)
	}
	c.Assert(tb.RemainingRest(trial.Addr), qt.Equals, time.Duration(0))
}

// A call is not sent if its target reported, after it was chosen, that it leaves or rests.
func TestChoiceIsLookedAtAgainAtTheSend(t *testing.T) {
	c := qt.New(t)
	for _, n := range []readiness.Notice{{Leaving: true}, {Rest: time.Second}} {
		tb, _ := newTable(engines(1)...)
		waits, speaks := tb.Pick(Query{Service: "engines"}), tb.Pick(Query{Service: "engines"})
		c.Assert(waits.MaySend(), qt.IsTrue)
		speaks.UpdateReadiness(n, true)
		c.Assert(waits.MaySend(), qt.IsFalse)
		c.Assert(tb.MaySend(waits.Process(), waits.began, sharedrate.Permit{}), qt.IsFalse)
	}
}

// An entry of a store that was restored from a copy does not end a drain, also if the target was
// not listed meanwhile; an entry that the target writes afterwards does.
func TestCopyOfTheListDoesNotUndoADrain(t *testing.T) {
	c := qt.New(t)
	ready := engine(1, "dc1")
	ready.Revision = store.Version{Number: 5}
	tb, _ := newTable(ready)
	drains := ready
	drains.Draining, drains.Revision = true, store.Version{Number: 9}
	tb.Replace([]Target{drains}, time.Time{})
	tb.Replace(nil, time.Time{})
	copied := ready
	copied.Revision.Era = 1
	tb.Replace([]Target{copied}, time.Time{})
	c.Assert(tb.MayCall(ready.ID), qt.IsFalse)
	written := ready
	written.Revision = store.Version{Era: 1, Number: 10}
	tb.Replace([]Target{written}, time.Time{})
	c.Assert(tb.MayCall(ready.ID), qt.IsTrue)
}

// A request that was rejected before goes to a target that accepts calls if there is one, and else
// to a target that needs a trial call.
func TestRequestThatWasTurnedAwayTriesNobody(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(8)...)
	open := ""
	for range 7 {
		l := tb.Pick(Query{Service: "engines"})
		l.UpdateReadiness(readiness.Notice{Rest: time.Second}, true)
		l.Done(Busy, 0)
	}
	l := tb.Pick(Query{Service: "engines"})
	open = l.ID
	l.Done(Abandoned, 0)
	now.at = now.at.Add(time.Second)
	for range 8 {
		c.Assert(tb.Pick(Query{Service: "engines", Resent: true}).ID, qt.Equals, open)
	}
	c.Assert(tb.Pick(Query{Service: "engines", Resent: true, Exclude: []string{open}}), qt.IsNotNil)
}

// No prompt is copied from a resting target.
func TestPromptsAreNotCopiedFromATargetAtRest(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(3)...)
	prompt := []promptcache.Prefix{{Hash: 7, Tokens: 5000}, {Hash: 8, Tokens: 5100}}
	q := Query{Service: "engines", Engine: &EngineQuery{Affinity: 7, Tokens: 5100, Shared: 5000, Prompt: prompt}}
	first := tb.Pick(q)
	first.MarkPromptRead()
	first.Done(Served, 0)
	q.Exclude = []string{first.ID}
	second := tb.Pick(q)
	c.Assert(second.CopyFrom, qt.Equals, first.Addr)
	second.Done(Abandoned, 0)
	tb.UpdateReadiness(first.Process(), Answer{Notice: readiness.Notice{Rest: time.Second}, Rejected: true})
	c.Assert(tb.Pick(q).CopyFrom, qt.Not(qt.Equals), first.Addr)
}
