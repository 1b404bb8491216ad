// Package fleet gives orders to model engines: which models each is to hold, so
// that a model whose queue grows gets engines from one that idles. Source:
// docs/design/011-stage-balance.md.
//
// Decide is pure. Controller applies it under a control shard: an order is made
// durable under the shard's fence before it is sent, states a desired state,
// and is read back and sent again until the engine has it. That makes it safe
// at engines that ignore fencing numbers: whatever a replaced controller still
// sends is corrected.
package fleet

import (
	"math"
	"slices"
	"sort"
	"time"
)

// Engine is one model engine as the host list shows it.
type Engine struct {
	ID, Addr, Pool string
	Models         []string
	Slots          int
	// HonoursFencing: the engine refuses orders with an old fencing number.
	HonoursFencing bool
}

// ModelKey names a model within a pool.
type ModelKey struct{ Pool, Model string }

// Demand is the number of calls that wait or run, by model, over all nodes.
type Demand map[ModelKey]float64

// Order is the desired state of an engine.
type Order struct {
	Engine string `json:"engine"`
	// Models is what the engine is to hold.
	Models []string `json:"models"`
	// Reason is for operators.
	Reason string `json:"reason"`
	// Fencing is the epoch of the controller that gave the order.
	Fencing int64     `json:"fencing"`
	At      time.Time `json:"at"`
}

// Limits of the decisions.
type Limits struct {
	// ShortAbove is the demand a slot above which a model is short of engines,
	// and IdleBelow the one below which it may give one up, counted after it
	// did. The gap between them is the hysteresis.
	ShortAbove, IdleBelow float64
	// Rounds is how many rounds in a row a model must be short.
	Rounds int
	// Cooldown is the least time between two orders to one engine: a load costs
	// the time to load and the cache.
	Cooldown time.Duration
	// Loading is how many loads may be under way at once; it holds the rate
	// limit of the weight store.
	Loading int
	// LoadTime is how long a load takes at most; an order older than that is
	// not counted as under way.
	LoadTime time.Duration
}

// DefaultLimits are the values used in production.
var DefaultLimits = Limits{
	ShortAbove: 1.25, IdleBelow: 0.6, Rounds: 3, Cooldown: 3 * time.Minute, Loading: 1, LoadTime: 2 * time.Minute,
}

// Memory is what Decide keeps between rounds.
type Memory struct {
	// Short counts the rounds in a row in which a model was short.
	Short map[ModelKey]int
}

// Decide returns the orders of one round. orders holds the last order of each
// engine.
func Decide(now time.Time, lim Limits, engines []Engine, demand Demand, orders map[string]Order, mem *Memory) []Order {
	slots, copies := capacity(engines, orders)
	short := mem.short(lim, demand, slots)
	free := lim.Loading - underWay(now, lim, engines, orders)
	// The shortest model first.
	sort.Slice(short, func(i, j int) bool { return load(demand, slots, short[i]) > load(demand, slots, short[j]) })
	var out []Order
	for _, k := range short {
		if len(out) >= free {
			break
		}
		if o, ok := give(now, lim, k, engines, demand, slots, copies, orders); ok {
			out = append(out, o)
			mem.Short[k] = 0
		}
	}
	return out
}

// short updates the counts and returns the models that were short for long
// enough.
func (mem *Memory) short(lim Limits, demand Demand, slots map[ModelKey]float64) []ModelKey {
	if mem.Short == nil {
		mem.Short = make(map[ModelKey]int)
	}
	var out []ModelKey
	for k, d := range demand {
		if d == 0 || load(demand, slots, k) <= lim.ShortAbove {
			delete(mem.Short, k)
			continue
		}
		mem.Short[k]++
		if mem.Short[k] >= lim.Rounds {
			out = append(out, k)
		}
	}
	return out
}

// capacity counts slots and copies by model. An engine whose last order takes a
// model away is no copy of it any more, however long the order takes.
func capacity(engines []Engine, orders map[string]Order) (slots map[ModelKey]float64, copies map[ModelKey]int) {
	slots, copies = make(map[ModelKey]float64), make(map[ModelKey]int)
	for _, e := range engines {
		o, ordered := orders[e.ID]
		for _, m := range e.Models {
			if ordered && !slices.Contains(o.Models, m) {
				continue
			}
			k := ModelKey{e.Pool, m}
			// An engine with several models shares its slots among them.
			slots[k] += float64(e.Slots) / float64(len(e.Models))
			copies[k]++
		}
	}
	return slots, copies
}

func load(d Demand, slots map[ModelKey]float64, k ModelKey) float64 {
	if slots[k] == 0 {
		return math.Inf(1)
	}
	return d[k] / slots[k]
}

// underWay counts the engines that have not done their last order yet.
func underWay(now time.Time, lim Limits, engines []Engine, orders map[string]Order) int {
	n := 0
	for _, e := range engines {
		if o, ok := orders[e.ID]; ok && !slices.Equal(o.Models, e.Models) && now.Sub(o.At) < lim.LoadTime {
			n++
		}
	}
	return n
}

// give chooses an engine for a model that is short: the one whose present model
// can spare it most. A model never gives its last copy.
func give(now time.Time, lim Limits, want ModelKey, engines []Engine, d Demand, slots map[ModelKey]float64, copies map[ModelKey]int, orders map[string]Order) (Order, bool) {
	best, bestLoad := -1, math.Inf(1)
	for i, e := range engines {
		if e.Pool != want.Pool || len(e.Models) != 1 || e.Models[0] == want.Model {
			continue
		}
		if o, ok := orders[e.ID]; ok && now.Sub(o.At) < lim.Cooldown {
			continue
		}
		from := ModelKey{e.Pool, e.Models[0]}
		left := slots[from] - float64(e.Slots)
		if copies[from] < 2 || left <= 0 {
			continue
		}
		if after := d[from] / left; after <= lim.IdleBelow && after < bestLoad {
			best, bestLoad = i, after
		}
	}
	if best < 0 {
		return Order{}, false
	}
	e := engines[best]
	from := ModelKey{e.Pool, e.Models[0]}
	slots[from] -= float64(e.Slots)
	copies[from]--
	return Order{
		Engine: e.ID, Models: []string{want.Model}, At: now,
		Reason: "model " + want.Model + " is short, " + from.Model + " has room",
	}, true
}
