package rollouts

import (
	"math/rand/v2"
	"time"
)

const (
	// usual is how long the old version takes for most calls, spread the part by which it varies.
	usual  = 20 * time.Millisecond
	spread = 0.3
	// slower is how many times longer a slow answer takes.
	slower = 4
	// laterPart is the part of an order's time after which versions turn bad that do so later.
	laterPart = 0.3
	// fullLoad is the number of calls a second of one target from which a version fails that is
	// bad under load only, as a part of what a target gets when the version has all traffic.
	fullLoad = 0.6
)

// Call is a call as a version sees it.
type Call struct {
	// Part is the part of the order's time that has passed.
	Part   float64
	Route  int
	Target int
	New    bool
	// Load is the rate of calls at the target, as a part of its share of all traffic.
	Load float64
}

// Version is how a new version answers, and what else happens while it is tried.
type Version struct {
	Name string
	// Bad versions are to be rolled back, others to be completed.
	Bad bool
	// Fails is the chance that a call fails, Slow that its answer is slow.
	Fails, Slow func(c Call) float64
	Trouble     Trouble
}

// Trouble is what happens beside a trial.
type Trouble struct {
	// Restarts and Owners are the times between two restarts of a node, and between two changes of the
	// owner; 0 for never.
	Restarts, Owners time.Duration
	// Burst is by how much traffic rises for a fifth of the time; 0 for not.
	Burst float64
}

func never(Call) float64 { return 0 }

func always(chance float64) func(Call) float64 { return func(Call) float64 { return chance } }

// when limits a chance to some calls.
func when(applies func(Call) bool, chance func(Call) float64) func(Call) float64 {
	return func(c Call) float64 {
		if !applies(c) {
			return 0
		}
		return chance(c)
	}
}

// limits are the ways in which a fault of a version shows at some calls only.
var limits = []struct {
	name    string
	applies func(Call) bool
}{
	{"always", func(c Call) bool { return c.New }},
	{"later", func(c Call) bool { return c.New && c.Part > laterPart }},
	{"on one route", func(c Call) bool { return c.New && c.Route == 0 }},
	{"under load", func(c Call) bool { return c.New && c.Load > fullLoad }},
}

// BadVersions are versions that are to be rolled back.
func BadVersions() []Version {
	faults := []struct {
		name        string
		fails, slow float64
	}{
		{"a fifth fails", 0.2, 0}, {"half fails", 0.5, 0}, {"all fail", 1, 0}, {"a third is slow", 0, 0.33}, {"all are slow", 0, 1},
	}
	var out []Version
	for _, f := range faults {
		for _, l := range limits {
			out = append(out, Version{
				Name: f.name + ", " + l.name, Bad: true,
				Fails: when(l.applies, always(f.fails)), Slow: when(l.applies, always(f.slow)),
			})
		}
	}
	return out
}

// between applies to calls of a part of the order's time.
func between(from, to float64) func(Call) bool {
	return func(c Call) bool { return c.Part >= from && c.Part < to }
}

// GoodVersions are versions that are to be completed, with troubles that are none of theirs.
func GoodVersions() []Version {
	kinds := []Version{
		{Name: "as the old one", Fails: never, Slow: never},
		{Name: "one target fails", Fails: when(func(c Call) bool { return c.New && c.Target == 0 && c.Part > 0.2 }, always(1)), Slow: never},
		{Name: "both fail a while", Fails: when(between(0.3, 0.4), always(0.7)), Slow: never},
		{Name: "both are slow a while", Fails: never, Slow: when(between(0.3, 0.45), always(0.8))},
		{Name: "both fail now and then", Fails: always(0.05), Slow: always(0.05)},
	}
	troubles := []struct {
		name string
		t    Trouble
	}{
		{"calm", Trouble{}},
		{"nodes restart", Trouble{Restarts: 2 * time.Second}},
		{"owners change", Trouble{Owners: 4 * time.Second}},
		{"a burst", Trouble{Burst: 3}},
	}
	var out []Version
	for _, k := range kinds {
		for _, tr := range troubles {
			v := k
			v.Name, v.Trouble = k.Name+", "+tr.name, tr.t
			out = append(out, v)
		}
	}
	return out
}

// answer draws how a call ends.
func (v Version) answer(c Call, rnd *rand.Rand) (fails bool, took time.Duration) {
	took = time.Duration(float64(usual) * (1 + spread*(2*rnd.Float64()-1)))
	if rnd.Float64() < v.Slow(c) {
		took *= slower
	}
	return rnd.Float64() < v.Fails(c), took
}
