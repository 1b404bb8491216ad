package routing

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

func subsetHosts(n, models int) []store.Host {
	var hosts []store.Host
	for i := range n {
		hosts = append(hosts, store.Host{ID: fmt.Sprintf("h%03d", i), Pool: "p", Models: []string{fmt.Sprint("m", i%models)}})
	}
	return hosts
}

func TestSubsetKeepsSmallPoolsWhole(t *testing.T) {
	qt.Assert(t, Subset("n", subsetHosts(18, 3), nil), qt.HasLen, 18)
}

func TestSubsetCoversEveryHostAndModel(t *testing.T) {
	c := qt.New(t)
	hosts := subsetHosts(300, 10)
	seen := make(map[string]int)
	for n := range 400 {
		models := make(map[string]int)
		sub := Subset(fmt.Sprint("node", n), hosts, nil)
		c.Assert(len(sub) < 100, qt.IsTrue)
		for _, h := range sub {
			seen[h.ID]++
			models[h.Models[0]]++
		}
		c.Assert(models, qt.HasLen, 10)
	}
	mean := 0
	for _, n := range seen {
		mean += n
	}
	mean /= len(hosts)
	for _, h := range hosts {
		c.Assert(seen[h.ID] > mean/2 && seen[h.ID] < 2*mean, qt.IsTrue, qt.Commentf("%s has %d nodes, mean %d", h.ID, seen[h.ID], mean))
	}
}

func TestSubsetMovesLittle(t *testing.T) {
	c := qt.New(t)
	hosts := subsetHosts(100, 1)
	before := Subset("n", hosts, nil)
	after := Subset("n", hosts[1:], nil)
	kept := make(map[string]bool)
	for _, h := range after {
		kept[h.ID] = true
	}
	moved := 0
	for _, h := range before {
		if !kept[h.ID] {
			moved++
		}
	}
	c.Assert(moved <= 1, qt.IsTrue)
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{12, 100, 670} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			hosts := subsetHosts(n, 10)
			for b.Loop() {
				Subset("node", hosts, nil)
			}
		})
	}
}
