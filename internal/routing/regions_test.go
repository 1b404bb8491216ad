package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/region"
	"topazmoor/internal/store"
)

func TestPickStaysInTheRegionsAndPrefersTheOwnOne(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	at := func(id, dc, reg string, sent int) Candidate {
		load := Load{Sent: sent, Limit: 100, Service: 10 * time.Millisecond}
		return Candidate{Target{ID: id, DataCentre: dc, Region: reg, Slots: 4}, load}
	}
	list := []Candidate{at("own", "n1", "north", 4), at("near", "n2", "north", 4), at("far", "s1", "south", 0), at("unknown", "x", "", 0)}
	pick := func(q Query) string {
		i := Pick(&q, list, rng)
		if i < 0 {
			return ""
		}
		return list[i].ID
	}
	q := Query{DataCentre: "n1", Region: "north", RemoteCost: time.Millisecond, CrossingCost: 20 * time.Millisecond}
	q.Exclude = []string{"unknown"}
	c.Assert(pick(q), qt.Equals, "own")
	q.Exclude = []string{"unknown", "own"}
	c.Assert(pick(q), qt.Equals, "near")
	list[1].Sent = 30
	c.Assert(pick(q), qt.Equals, "far")
	for range 20 {
		c.Assert(pick(Query{Regions: region.Only("south")}), qt.Equals, "far")
	}
	c.Assert(pick(Query{Regions: region.Only("south"), Exclude: []string{"far"}}), qt.Equals, "")
	c.Assert(pick(Query{Regions: region.Only()}), qt.Equals, "")
}

// TestPrefixIsKeptWithinTheRegions: the target that is preferred for a prefix is one of the regions, so
// that all calls with the prefix go to the same one.
func TestPrefixIsKeptWithinTheRegions(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var list []Candidate
	for i, reg := range []string{"north", "north", "north", "south", "south"} {
		list = append(list, Candidate{Target{Region: reg, Slots: 4, Hash: uint64(i + 1)}, Load{Limit: 100, Service: time.Millisecond}})
	}
	for prefix := range uint64(20) {
		q := Query{Regions: region.Only("south"), Prefix: prefix + 1, PrefixGain: time.Second}
		first := Pick(&q, list, rng)
		for range 10 {
			qt.Assert(t, Pick(&q, list, rng), qt.Equals, first)
		}
	}
}

func TestSubsetCoversEveryGroup(t *testing.T) {
	c := qt.New(t)
	hosts := subsetHosts(300, 1)
	for i := range hosts {
		hosts[i].DataCentre = "n1"
		if i%50 == 0 {
			hosts[i].DataCentre = "s1"
		}
	}
	for n := range 50 {
		south := 0
		for _, h := range Subset(fmt.Sprint("node", n), hosts, func(h store.Host) string { return h.DataCentre }) {
			if h.DataCentre == "s1" {
				south++
			}
		}
		c.Assert(south, qt.Equals, minGroupSize)
	}
}
