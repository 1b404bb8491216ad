package promptcache

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestLongestPrefixComesFirst(t *testing.T) {
	c := qt.New(t)
	m := New(100)
	first := Prefixes("m", []Part{{1, 10}, {2, 20}, {3, 5}})
	m.RecordRead("e1", first)
	m.RecordRead("e2", first[:1])
	other := Prefixes("m", []Part{{1, 10}, {2, 20}, {4, 7}})
	c.Assert(m.Match(other), qt.DeepEquals, []Match{{"e1", 30}, {"e2", 10}})
	// The same parts for another model, or in another order, are different prefixes.
	c.Assert(m.Match(Prefixes("n", []Part{{1, 10}})), qt.HasLen, 0)
	c.Assert(m.Match(Prefixes("m", []Part{{2, 20}, {1, 10}})), qt.HasLen, 0)
}

// TestOracleMemory compares Index with a plain record of every read. The record applies the bound
// of engines for one prefix; the bound of prefixes is not reached.
func TestOracleMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const size = 1000
		m := New(size)
		reads := make(map[string][]string)
		key := func(parts []Part) string { return fmt.Sprint(parts) }
		prompt := rapid.Custom(func(t *rapid.T) []Part {
			return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Part {
				id := rapid.Uint64Range(0, 3).Draw(t, "id")
				return Part{ID: id, Tokens: int(id) + 1}
			}), 1, 4).Draw(t, "parts")
		})
		for range rapid.IntRange(1, 60).Draw(t, "reads") {
			parts := prompt.Draw(t, "prompt")
			engine := rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g", "h"}).Draw(t, "engine")
			m.RecordRead(engine, Prefixes("m", parts))
			for i := range parts {
				k := key(parts[:i+1])
				reads[k] = append(reads[k], engine)
			}
		}
		parts := prompt.Draw(t, "asked")
		want := make(map[string]int)
		for i, tokens := 0, 0; i < len(parts); i++ {
			tokens += parts[i].Tokens
			seen := make(map[string]bool)
			all := reads[key(parts[:i+1])]
			for j := len(all) - 1; j >= 0 && len(seen) < maxReaders; j-- {
				seen[all[j]] = true
			}
			for e := range seen {
				want[e] = tokens
			}
		}
		got := m.Match(Prefixes("m", parts))
		if len(got) != len(want) {
			t.Fatalf("%v, want %v", got, want)
		}
		for _, k := range got {
			if want[k.Engine] != k.Tokens {
				t.Fatalf("%v, want %v", got, want)
			}
		}
	})
}
