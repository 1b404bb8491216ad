package fleet

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "topazmoor/internal/standin/fixedseed"
)

var (
	start = time.Unix(1000, 0)
	a     = ModelKey{"p", "a"}
	b     = ModelKey{"p", "b"}
)

func engine(id, model string) Engine {
	return Engine{ID: id, Pool: "p", Models: []string{model}, Slots: 10}
}

func decide(now time.Time, engines []Engine, d Demand, orders map[string]Order, mem *Memory) []Order {
	return Decide(now, DefaultLimits, engines, d, orders, mem)
}

func TestDecideMovesAnEngineFromIdleToShort(t *testing.T) {
	c := qt.New(t)
	engines := []Engine{engine("1", "a"), engine("2", "a"), engine("3", "a"), engine("4", "b")}
	d := Demand{a: 5, b: 30}
	mem := &Memory{}
	c.Assert(decide(start, engines, d, nil, mem), qt.HasLen, 0)
	c.Assert(decide(start, engines, d, nil, mem), qt.HasLen, 0)
	got := decide(start, engines, d, nil, mem)
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Models, qt.DeepEquals, []string{"b"})
	c.Assert(got[0].Engine, qt.Not(qt.Equals), "4")
}

func TestDecideHolds(t *testing.T) {
	tests := []struct {
		name    string
		engines []Engine
		demand  Demand
		orders  map[string]Order
	}{
		{"the last copy", []Engine{engine("1", "a"), engine("2", "b")}, Demand{b: 30}, nil},
		{"a busy donor", []Engine{engine("1", "a"), engine("2", "a"), engine("3", "b")}, Demand{a: 12, b: 30}, nil},
		{"in the gap", []Engine{engine("1", "a"), engine("2", "a"), engine("3", "b")}, Demand{b: 12}, nil},
		{"while a load is under way", []Engine{engine("1", "a"), engine("2", "a"), engine("3", "a"), engine("4", "b")}, Demand{b: 30},
			map[string]Order{"1": {Engine: "1", Models: []string{"b"}, At: start}}},
		{"the copy that a late order leaves", []Engine{engine("1", "a"), engine("2", "a"), engine("3", "b")}, Demand{b: 30},
			map[string]Order{"1": {Engine: "1", Models: []string{"b"}, At: start.Add(-time.Hour)}}},
		{"within the cooldown", []Engine{engine("1", "a"), engine("2", "a"), engine("4", "b")}, Demand{b: 30},
			map[string]Order{"1": {Models: []string{"a"}, At: start}, "2": {Models: []string{"a"}, At: start}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			mem := &Memory{}
			for range 5 {
				qt.Assert(t, decide(start, tt.engines, tt.demand, tt.orders, mem), qt.HasLen, 0)
			}
		})
	}
}

// TestOracleDecideNeverLosesAModel runs rounds of random demand with engines that
// carry out each order at once. No model may lose its last copy, and no round may
// give more orders than Limits.MaxConcurrentLoads allows.
func TestOracleDecideNeverLosesAModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		models := []string{"a", "b", "c"}
		var engines []Engine
		for i := range rapid.IntRange(3, 8).Draw(t, "engines") {
			engines = append(engines, engine(fmt.Sprint(i), models[i%len(models)]))
		}
		orders := make(map[string]Order)
		mem := &Memory{}
		now := start
		for range 60 {
			now = now.Add(10 * time.Second)
			d := make(Demand)
			for _, m := range models {
				d[ModelKey{"p", m}] = float64(rapid.IntRange(0, 40).Draw(t, m))
			}
			out := decide(now, engines, d, orders, mem)
			if len(out) > DefaultLimits.MaxConcurrentLoads {
				t.Fatalf("%d orders in one round", len(out))
			}
			for _, o := range out {
				orders[o.Engine] = o
				for i := range engines {
					if engines[i].ID == o.Engine {
						engines[i].Models = o.Models
					}
				}
			}
			_, copies := capacity(engines, orders)
			for _, m := range models {
				if copies[ModelKey{"p", m}] == 0 {
					t.Fatalf("model %s has no engine left", m)
				}
			}
		}
	})
}
