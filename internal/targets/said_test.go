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

// What a process said of itself holds whatever lists say later, also where its entry was away for
// a while; another process, at its address or under its ID, inherits nothing.
func TestWordOfATargetGoesBeforeItsList(t *testing.T) {
	c := qt.New(t)
	e := engine(1, "dc1")
	e.Born = 1000
	tb, now := newTable(e)
	l := tb.Pick(Query{Service: "engines"})
	c.Assert(l.Heard(readiness.Notice{Leaving: true}, false), qt.Equals, readiness.BeganToLeave)
	l.Done(Served, 0)
	c.Assert(l.MaySend(), qt.IsFalse)
	for range 3 {
		now.at = now.at.Add(5 * time.Second)
		tb.Update([]Target{e}, time.Time{})
		c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
		c.Assert(tb.Usable("engines"), qt.HasLen, 0)
		tb.Update(nil, time.Time{})
	}
	_, ok := tb.Opens("engines", region.Set{})
	c.Assert(ok, qt.IsFalse)

	again := e
	again.Born = 2000
	other := engine(2, "dc1")
	other.Addr = e.Addr
	tb.Update([]Target{again, other}, time.Time{})
	c.Assert(tb.Usable("engines"), qt.HasLen, 2)
}

// The words of processes that are gone are forgotten.
func TestWordsOfProcessesThatAreGoneAreForgotten(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(3)...)
	tb.Heard(engine(0, "dc1").Process(), Answer{Notice: readiness.Notice{Leaving: true}})
	tb.Update(nil, time.Time{})
	c.Assert(tb.said, qt.HasLen, 1)
	now.at = now.at.Add(saidLife + time.Second)
	tb.Update(nil, time.Time{})
	c.Assert(tb.said, qt.HasLen, 0)
}

// Targets at rest get nothing, those whose rest is over one call until they take it. Requests
// that were turned away before don't serve as that call.
func TestTargetsAtRestAreLeftAlone(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(2)...)
	for range 2 {
		l := tb.Pick(Query{Service: "engines"})
		l.Heard(readiness.Notice{Rest: 3 * time.Second}, true)
		l.Done(Busy, 0)
		now.at = now.at.Add(time.Second)
	}
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
	at, ok := tb.Opens("engines", region.Set{})
	c.Assert(ok, qt.IsTrue)
	c.Assert(at.Sub(now.at), qt.Equals, time.Second)
	now.at = at
	trial := tb.Pick(Query{Service: "engines"})
	c.Assert(trial, qt.IsNotNil)
	c.Assert(trial.MaySend(), qt.IsTrue)
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
	trial.Heard(readiness.Notice{}, false)
	trial.Done(Served, 0)
	now.at = now.at.Add(2 * time.Second)
	for range 5 {
		l := tb.Pick(Query{Service: "engines", Again: true})
		c.Assert(l.ID, qt.Equals, trial.ID)
		l.Done(Abandoned, 0)
	}
	c.Assert(tb.RestAt(trial.Addr), qt.Equals, time.Duration(0))
}

// A call that was chosen before its target spoke is not sent after.
func TestChoiceIsLookedAtAgainAtTheSend(t *testing.T) {
	c := qt.New(t)
	for _, n := range []readiness.Notice{{Leaving: true}, {Rest: time.Second}} {
		tb, _ := newTable(engines(1)...)
		waits, speaks := tb.Pick(Query{Service: "engines"}), tb.Pick(Query{Service: "engines"})
		c.Assert(waits.MaySend(), qt.IsTrue)
		speaks.Heard(n, true)
		c.Assert(waits.MaySend(), qt.IsFalse)
		c.Assert(tb.MaySend(waits.Process(), waits.began, sharedrate.Permit{}), qt.IsFalse)
	}
}

// An entry of a store that came back from a copy does not undo a drain, also of a target that was
// gone by then; one that the target has written since does.
func TestCopyOfTheListDoesNotUndoADrain(t *testing.T) {
	c := qt.New(t)
	ready := engine(1, "dc1")
	ready.Revision = store.Version{Number: 5}
	tb, _ := newTable(ready)
	drains := ready
	drains.Draining, drains.Revision = true, store.Version{Number: 9}
	tb.Update([]Target{drains}, time.Time{})
	tb.Update(nil, time.Time{})
	copied := ready
	copied.Revision.Era = 1
	tb.Update([]Target{copied}, time.Time{})
	c.Assert(tb.MayCall(ready.ID), qt.IsFalse)
	written := ready
	written.Revision = store.Version{Era: 1, Number: 10}
	tb.Update([]Target{written}, time.Time{})
	c.Assert(tb.MayCall(ready.ID), qt.IsTrue)
}

// A request that was turned away before goes to targets that take calls, where there is one, and to
// the others only where there is none.
func TestRequestThatWasTurnedAwayTriesNobody(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(8)...)
	open := ""
	for range 7 {
		l := tb.Pick(Query{Service: "engines"})
		l.Heard(readiness.Notice{Rest: time.Second}, true)
		l.Done(Busy, 0)
	}
	l := tb.Pick(Query{Service: "engines"})
	open = l.ID
	l.Done(Abandoned, 0)
	now.at = now.at.Add(time.Second)
	for range 8 {
		c.Assert(tb.Pick(Query{Service: "engines", Again: true}).ID, qt.Equals, open)
	}
	c.Assert(tb.Pick(Query{Service: "engines", Again: true, Exclude: []string{open}}), qt.IsNotNil)
}

// A target that rests is not copied from either.
func TestPromptsAreNotCopiedFromATargetAtRest(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(3)...)
	prompt := []promptcache.Prefix{{Hash: 7, Tokens: 5000}, {Hash: 8, Tokens: 5100}}
	q := Query{Service: "engines", Engine: &EngineQuery{Affinity: 7, Tokens: 5100, Shared: 5000, Prompt: prompt}}
	first := tb.Pick(q)
	first.PromptRead()
	first.Done(Served, 0)
	q.Exclude = []string{first.ID}
	second := tb.Pick(q)
	c.Assert(second.CopyFrom, qt.Equals, first.Addr)
	second.Done(Abandoned, 0)
	tb.Heard(first.Process(), Answer{Notice: readiness.Notice{Rest: time.Second}, Rejected: true})
	c.Assert(tb.Pick(q).CopyFrom, qt.Not(qt.Equals), first.Addr)
}
