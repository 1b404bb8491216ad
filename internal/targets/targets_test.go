package targets

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/promptcache"
	"topazmoor/internal/region"
	_ "topazmoor/internal/standin/fixedseed"
)

// clock is the Table's clock, which tests set.
type clock struct{ at time.Time }

func newTable(list ...Target) (*Table, *clock) {
	c := &clock{at: time.Date(2026, 3, 5, 0, 0, 0, 0, time.UTC)}
	t := New("dc1")
	t.now = func() time.Time { return c.at }
	t.Replace(list, time.Time{})
	return t, c
}

func engine(i int, dc string) Target {
	return Target{ID: fmt.Sprint("e", i), Service: "engines", Addr: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: dc, Slots: 128}
}

// engines returns n engines spread over two data centres.
func engines(n int) []Target {
	var out []Target
	for i := range n {
		out = append(out, engine(i, fmt.Sprint("dc", i%2+1)))
	}
	return out
}

func TestDrainingTargetGetsNoCallFromTheMomentItIsListedSo(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(2)...)
	l := tb.Pick(Query{Service: "engines"})
	other := engines(2)[1-int(l.ID[1]-'0')]
	left := l.Target
	left.Draining = true
	tb.Replace([]Target{left, other}, time.Time{})
	// A call for which the target was chosen before must not be sent either.
	c.Assert(tb.MayCall(l.ID), qt.IsFalse)
	for range 20 {
		c.Assert(tb.Pick(Query{Service: "engines"}).ID, qt.Equals, other.ID)
	}
}

func TestTargetThatLapsedWhileTheStoreWasAwayIsKeptForAWhile(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(1)...)
	regained := now.at
	changes, gone := tb.Replace(nil, regained)
	c.Assert(changes, qt.HasLen, 1)
	c.Assert(changes[0].Kind, qt.Equals, "kept")
	c.Assert(gone, qt.HasLen, 0)
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNotNil)
	now.at = regained.Add(lapseGrace)
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
	_, gone = tb.Replace(nil, regained)
	c.Assert(gone, qt.DeepEquals, []string{"10.0.0.0:1"})
}

func TestTargetThatVanishesWhileTheStoreIsThereIsGone(t *testing.T) {
	c := qt.New(t)
	tb, now := newTable(engines(1)...)
	now.at = now.at.Add(time.Hour)
	_, gone := tb.Replace(nil, now.at.Add(-time.Minute))
	c.Assert(gone, qt.HasLen, 1)
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
}

func TestAddressOfAnotherProcessIsLeftAlone(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(1)...)
	tb.Pick(Query{Service: "engines"}).Done(Moved, 0)
	c.Assert(tb.Pick(Query{Service: "engines"}), qt.IsNil)
}

func TestFailingTargetIsAvoidedAndUsedWhenNoOtherIsLeft(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(2)...)
	for range 4 {
		l := tb.Pick(Query{Service: "engines", Exclude: []string{"e1"}})
		l.Done(Failed, 0)
	}
	for range 20 {
		l := tb.Pick(Query{Service: "engines"})
		c.Assert(l.ID, qt.Equals, "e1")
		l.Done(Served, time.Millisecond)
	}
	c.Assert(tb.Pick(Query{Service: "engines", Exclude: []string{"e1"}}).ID, qt.Equals, "e0")
}

func TestPromptGoesToItsEngineUnlessThatIsLoaded(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(12)...)
	q := Query{Service: "engines", Engine: &EngineQuery{Affinity: 7, Tokens: 9000, Shared: 6300}}
	first := tb.Pick(q)
	first.MarkPromptRead()
	for range 5 {
		l := tb.Pick(q)
		c.Assert(l.ID, qt.Equals, first.ID)
		l.MarkPromptRead()
		l.Done(Served, 0)
	}
	c.Assert(tb.PreferredDataCentre("engines", 7, 0, Exchange{}, region.Set{}), qt.Equals, first.DataCentre)
	// Many calls there cost more than to read the prompt elsewhere.
	for range 30 {
		first.s.inFlight++
	}
	second := tb.Pick(q)
	c.Assert(second.ID, qt.Not(qt.Equals), first.ID)
	// The calls that the first engine cannot take go to one other engine.
	second.MarkPromptRead()
	second.Done(Served, 0)
	c.Assert(tb.Pick(q).ID, qt.Equals, second.ID)
}

func TestEngineIsChosenNearBigInputs(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(12)...)
	for i := range 20 {
		q := &EngineQuery{Affinity: uint64(i), Tokens: 700, Shared: 170, InputBytes: map[string]int64{"dc2": 3 << 20}}
		l := tb.Pick(Query{Service: "engines", Engine: q})
		c.Assert(l.DataCentre, qt.Equals, "dc2")
		l.Done(Served, 0)
	}
}

// The chosen engine has the least cost, by a plain implementation of the cost function.
func TestEngineChoiceAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tb, now := newTable(engines(rapid.IntRange(1, 8).Draw(rt, "engines"))...)
		for _, s := range tb.byID {
			s.inFlight = rapid.IntRange(0, 40).Draw(rt, "calls")
			s.pending = rapid.IntRange(0, 20000).Draw(rt, "pending")
		}
		q := &EngineQuery{
			Affinity: rapid.Uint64Range(1, 50).Draw(rt, "affinity"), Shared: rapid.IntRange(0, 8000).Draw(rt, "shared"),
			InputBytes: map[string]int64{"dc1": rapid.Int64Range(0, 4<<20).Draw(rt, "here"), "dc2": rapid.Int64Range(0, 4<<20).Draw(rt, "there")},
		}
		cands, _ := tb.candidates(Query{Service: "engines"}, now.at)
		got := tb.bestEngine(Query{Engine: q}, cands, now.at, 0)
		first, second := preferred(q.Affinity, cands)
		cost := func(s *state) float64 {
			c := callTokens*float64(s.inFlight) + pendingShare*float64(s.pending)
			for dc, bytes := range q.InputBytes {
				if dc != s.DataCentre {
					c += float64(bytes) / bytesPerToken
				}
			}
			missing := float64(q.Shared)
			if s == first {
				missing = 0
			} else if s == second {
				missing *= secondMissingShare
			}
			return c + missing
		}
		for _, s := range cands {
			if cost(s) < cost(got)-1e-6 {
				rt.Fatalf("%s costs %.1f, the chosen %s %.1f", s.ID, cost(s), got.ID, cost(got))
			}
		}
	})
}

// promptOf returns a prompt of two shared parts and one that only this prompt has.
func promptOf(own uint64) []promptcache.Prefix {
	return promptcache.Prefixes("m", []promptcache.Part{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3800}, {ID: own, Tokens: 2900}})
}

func queryOf(own uint64) *EngineQuery {
	p := promptOf(own)
	return &EngineQuery{Affinity: p[1].Hash, Shared: p[1].Tokens, Tokens: p[2].Tokens, Prompt: p}
}

func TestPromptIsCopiedFromAnEngineThatReadItsBeginning(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(6)...)
	l := tb.Pick(Query{Service: "engines", Engine: queryOf(10)})
	l.MarkPromptRead()
	// The engine that read it has it in its cache: nothing is copied.
	again := tb.Pick(Query{Service: "engines", Engine: queryOf(11)})
	c.Assert(again.ID, qt.Equals, l.ID)
	c.Assert(again.CopyFrom, qt.Equals, "")
	// Another engine copies it, from an engine in its own data centre if there is one.
	other := tb.Pick(Query{Service: "engines", Exclude: []string{l.ID}, Engine: queryOf(12)})
	c.Assert(other.CopyFrom, qt.Equals, l.Addr)
	other.MarkPromptRead()
	third := tb.Pick(Query{Service: "engines", Exclude: []string{l.ID, other.ID}, Engine: queryOf(13)})
	c.Assert(third.CopyFrom, qt.Not(qt.Equals), "")
	if third.DataCentre == other.DataCentre {
		c.Assert(third.CopyFrom, qt.Equals, other.Addr)
	}
	// A stream that is resumed at another engine copies the whole prompt.
	resumed := tb.Pick(Query{Service: "engines", Exclude: []string{l.ID}, Engine: queryOf(10)})
	c.Assert(resumed.CopyFrom, qt.Equals, l.Addr)
}

func TestPromptIsNotCopiedFromAnEngineThatIsGone(t *testing.T) {
	c := qt.New(t)
	tb, _ := newTable(engines(4)...)
	l := tb.Pick(Query{Service: "engines", Engine: queryOf(10)})
	l.MarkPromptRead()
	l.Done(Unreachable, 0)
	left := slices.DeleteFunc(engines(4), func(e Target) bool { return e.ID == l.ID })
	tb.Replace(left, time.Time{})
	next := tb.Pick(Query{Service: "engines", Engine: queryOf(10)})
	c.Assert(next.CopyFrom, qt.Not(qt.Equals), l.Addr)
}

func BenchmarkPickEngine(b *testing.B) {
	for _, n := range []int{12, 100, 670} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			tb, _ := newTable(engines(n)...)
			q := Query{Service: "engines", Engine: &EngineQuery{Affinity: 7, Tokens: 9000, Shared: 6300, InputBytes: map[string]int64{"dc1": 3 << 20}}}
			b.ReportAllocs()
			for b.Loop() {
				tb.Pick(q).Done(Abandoned, 0)
			}
		})
	}
}
