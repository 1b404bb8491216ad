package routes

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "topazmoor/internal/standin/fixedseed"
)

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	c := qt.New(t)
	a, b := &Route{Host: "Port.example", Prefix: "/a/"}, &Route{Host: "port.example", Prefix: "/a/b/"}
	cfg := New(1, []*Route{a, b, {Host: "other.example", Prefix: "/a/b/c/"}}, nil, nil, false, Limits{})
	c.Assert(cfg.Match("port.example:80", "/a/b/c/d"), qt.Equals, b)
	c.Assert(cfg.Match("PORT.example", "/a/x"), qt.Equals, a)
	c.Assert(cfg.Match("port.example", "/a"), qt.IsNil)
	c.Assert(cfg.Match("nowhere.example", "/a/"), qt.IsNil)
}

func TestMatchAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		segment := rapid.SampledFrom([]string{"a/", "b/", "a/b/", ""})
		var all []*Route
		for i := range rapid.IntRange(0, 12).Draw(rt, "routes") {
			prefix := "/" + segment.Draw(rt, "1") + segment.Draw(rt, "2")
			all = append(all, &Route{Name: fmt.Sprint(i), Host: rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "host"), Prefix: prefix})
		}
		cfg := New(1, all, nil, nil, false, Limits{})
		path := "/" + segment.Draw(rt, "p1") + segment.Draw(rt, "p2") + "z"
		var want *Route
		for _, r := range all {
			if r.Host == "x" && strings.HasPrefix(path, r.Prefix) && (want == nil || len(r.Prefix) > len(want.Prefix)) {
				want = r
			}
		}
		if got := cfg.Match("x", path); got != want {
			rt.Fatalf("%s: got %+v, want %+v", path, got, want)
		}
	})
}

func TestSharesOfASplitAreKept(t *testing.T) {
	c := qt.New(t)
	r := &Route{Split: []Share{{"a", 90}, {"none", 0}, {"b", 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[r.Choose(float64(i)/1000)]++
	}
	c.Assert(count, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}

func TestKeysAreDemandedWhereThereAreAccounts(t *testing.T) {
	c := qt.New(t)
	acct := &Account{Name: "pilots"}
	cfg := New(1, nil, nil, []Key{{"k", acct}}, true, Limits{})
	c.Assert(cfg.Account("k"), qt.Equals, acct)
	c.Assert(cfg.Account(""), qt.IsNil)
	c.Assert(cfg.NeedsKey(&Route{}), qt.IsTrue)
	c.Assert(cfg.NeedsKey(&Route{Public: true}), qt.IsFalse)
	// No key is left, but keys are still required.
	c.Assert(New(2, nil, nil, nil, true, Limits{}).NeedsKey(&Route{}), qt.IsTrue)
	c.Assert(New(2, nil, nil, nil, false, Limits{}).NeedsKey(&Route{}), qt.IsFalse)
}

// The route's priority decides between requests of one account. The test guards
// against an account's priority that replaces the route's, so that urgent requests wait
// behind the others of their account.
func TestRankIsTheAccountsThenTheRoutes(t *testing.T) {
	c := qt.New(t)
	urgent, lax := &Route{Priority: 0}, &Route{Priority: 2}
	high, low := 0, 1
	gold, plain, none := &Account{Priority: &high}, &Account{Priority: &low}, &Account{}
	cfg := New(1, []*Route{urgent, lax}, nil, nil, true, Limits{})
	order := []int{cfg.Rank(urgent, gold), cfg.Rank(lax, gold), cfg.Rank(urgent, plain), cfg.Rank(lax, plain)}
	c.Assert(order, qt.DeepEquals, []int{0, 2, 3, 5})
	c.Assert(cfg.Rank(urgent, none), qt.Equals, cfg.Rank(urgent, nil))
	c.Assert(cfg.Rank(urgent, none) < cfg.Rank(lax, none), qt.IsTrue)
}
