// Package fleet decides which models each model engine loads and sends the orders:
// a model whose demand exceeds its slots gets an engine from a model with spare
// slots. Source:
// docs/design/011-stage-balance.md.
//
// Decide does no I/O. Controller runs it as a task of a control shard. An order
// states the desired state of an engine. It is committed to the store under the
// shard's fence before it is sent, then read back and sent again until the host
// list shows that the engine holds the models. So engines that ignore fencing
// numbers are safe too: the current order overrides a late one from a controller
// that was replaced.
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
	// HonoursFencing is set if the engine refuses orders with an old fencing
	// number.
	HonoursFencing bool
}

// ModelKey identifies a model within a pool.
type ModelKey struct{ Pool, Model string }

// Demand is the number of calls waiting or running on all nodes, by model.
type Demand map[ModelKey]float64

// Order is the desired state of an engine.
type Order struct {
	Engine string `json:"engine"`
	// Models lists the models that the engine must hold.
	Models []string `json:"models"`
	// Reason explains the order to operators.
	Reason string `json:"reason"`
	// Fencing is the epoch of the controller that issued the order.
	Fencing int64     `json:"fencing"`
	At      time.Time `json:"at"`
}

// Limits holds the thresholds and bounds of Decide.
type Limits struct {
	// A model is short of engines if its demand per slot exceeds ShortAbove. A
	// model may give up an engine if its demand per remaining slot is then at
	// most IdleBelow. The gap between the two is the hysteresis.
	ShortAbove, IdleBelow float64
	// MinShortRounds is the number of consecutive rounds in which a model must be
	// short before it gets an engine.
	MinShortRounds int
	// Cooldown is the minimum time between two orders to one engine: loading a
	// model takes time and discards the engine's cache.
	Cooldown time.Duration
	// MaxConcurrentLoads is the maximum number of concurrent loads of models; it
	// keeps them within the rate limit of the weight store.
	MaxConcurrentLoads int
	// MaxLoadTime is the longest time that a load takes. An older order does not
	// count against MaxConcurrentLoads.
	MaxLoadTime time.Duration
}

// DefaultLimits are the values used in production.
var DefaultLimits = Limits{
	ShortAbove: 1.25, IdleBelow: 0.6, MinShortRounds: 3, Cooldown: 3 * time.Minute, MaxConcurrentLoads: 1, MaxLoadTime: 2 * time.Minute,
}

// Memory is the state that Decide keeps between rounds.
type Memory struct {
	// Short is the number of consecutive rounds in which a model was short.
	Short map[ModelKey]int
}

// Decide returns the new orders of one round: at most one per short model, as long
// as MaxConcurrentLoads allows, starting with the model that has the highest demand
// per slot. orders holds the last order of each engine.
func Decide(now time.Time, lim Limits, engines []Engine, demand Demand, orders map[string]Order, mem *Memory) []Order {
	slots, copies := capacity(engines, orders)
	short := mem.short(lim, demand, slots)
	allowed := lim.MaxConcurrentLoads - pendingLoads(now, lim, engines, orders)
	// The model with the highest demand per slot first.
	sort.Slice(short, func(i, j int) bool { return slotLoad(demand, slots, short[i]) > slotLoad(demand, slots, short[j]) })
	var out []Order
	for _, k := range short {
		if len(out) >= allowed {
			break
		}
		if o, ok := reassign(now, lim, k, engines, demand, slots, copies, orders); ok {
			out = append(out, o)
			mem.Short[k] = 0
		}
	}
	return out
}

// short updates the counts in mem.Short and returns the models that were
// short for at least MinShortRounds rounds.
func (mem *Memory) short(lim Limits, demand Demand, slots map[ModelKey]float64) []ModelKey {
	if mem.Short == nil {
		mem.Short = make(map[ModelKey]int)
	}
	var out []ModelKey
	for k, d := range demand {
		if d == 0 || slotLoad(demand, slots, k) <= lim.ShortAbove {
			delete(mem.Short, k)
			continue
		}
		mem.Short[k]++
		if mem.Short[k] >= lim.MinShortRounds {
			out = append(out, k)
		}
	}
	return out
}

// capacity counts, by model, the engines that hold it (its copies) and the model's share of
// their call slots. An engine whose last order no longer lists a model does not count for
// it, even if the engine still holds it.
func capacity(engines []Engine, orders map[string]Order) (slots map[ModelKey]float64, copies map[ModelKey]int) {
	slots, copies = make(map[ModelKey]float64), make(map[ModelKey]int)
	for _, e := range engines {
		o, ordered := orders[e.ID]
		for _, m := range e.Models {
			if ordered && !slices.Contains(o.Models, m) {
				continue
			}
			k := ModelKey{e.Pool, m}
			// The slots of an engine are split evenly among its models.
			slots[k] += float64(e.Slots) / float64(len(e.Models))
			copies[k]++
		}
	}
	return slots, copies
}

// slotLoad returns the demand of a model per slot, or +Inf without slots.
func slotLoad(d Demand, slots map[ModelKey]float64, k ModelKey) float64 {
	if slots[k] == 0 {
		return math.Inf(1)
	}
	return d[k] / slots[k]
}

// pendingLoads counts the engines that don't hold the models of their last order
// yet, if that order is younger than MaxLoadTime.
func pendingLoads(now time.Time, lim Limits, engines []Engine, orders map[string]Order) int {
	n := 0
	for _, e := range engines {
		if o, ok := orders[e.ID]; ok && !slices.Equal(o.Models, e.Models) && now.Sub(o.At) < lim.MaxLoadTime {
			n++
		}
	}
	return n
}

// reassign chooses an engine for the short model want: the one whose current model
// has the lowest demand per slot without it. A model keeps at least one copy. It
// considers only engines of the same pool that hold a single model.
func reassign(now time.Time, lim Limits, want ModelKey, engines []Engine, d Demand, slots map[ModelKey]float64, copies map[ModelKey]int, orders map[string]Order) (Order, bool) {
	best, lowest := -1, math.Inf(1)
	for i, e := range engines {
		if e.Pool != want.Pool || len(e.Models) != 1 || e.Models[0] == want.Model {
			continue
		}
		if o, ok := orders[e.ID]; ok && now.Sub(o.At) < lim.Cooldown {
			continue
		}
		from := ModelKey{e.Pool, e.Models[0]}
		remaining := slots[from] - float64(e.Slots)
		if copies[from] < 2 || remaining <= 0 {
			continue
		}
		if after := d[from] / remaining; after <= lim.IdleBelow && after < lowest {
			best, lowest = i, after
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
