// Package spill decides whether an order for stage results runs in its home region, in another region
// or not at all. It compares the estimated waits of the regions' pools; waits of other regions are
// used only while they are fresh, so regions that lose each other keep their orders.
package spill

import (
	"cmp"
	"slices"
	"time"
)

// MaxAge is how long the waits that another region reported are used.
const MaxAge = time.Second

// estimateShare is the share of an estimated wait that must fit before the deadline. The estimate
// counts queued work that will itself be abandoned.
const estimateShare = 0.9

// margin is how long before its objective an order must end at home, by the estimate, to stay there
// without a comparison with other regions. Estimates err by about that.
const margin = 250 * time.Millisecond

// Pool is a service's pool in one region, with the waits that an order of the home region has there.
type Pool struct {
	Region string
	// Wait is the estimated wait of the order if it can meet its objective, Late its wait if it
	// cannot.
	Wait, Late time.Duration
	// Takes is the duration of the call that produces the order's results.
	Takes time.Duration
	// Age is the time since the waits were reported; 0 for the pool that decides.
	Age time.Duration
}

// onTime returns the time until the order's call ends if the order can meet its objective.
func (p Pool) onTime() time.Duration { return p.Wait + p.Takes }

// late returns the time until the order's call ends if the order cannot meet its objective.
func (p Pool) late() time.Duration { return max(p.Wait, p.Late) + p.Takes }

// Order is an order that has arrived at its home region.
type Order struct {
	// UntilDue and UntilDeadline are the times left until the order misses its objective, and until
	// its results are useless.
	UntilDue, UntilDeadline time.Duration
	// Trip is the additional time until the results of another region can be read at home. Cost is
	// the time by which the order must end earlier there to be worth the crossing; it includes Trip.
	Trip, Cost time.Duration
}

// Safe reports whether the order meets its objective at home, with a margin for the error of the
// estimate.
func (o Order) Safe(home Pool) bool { return home.onTime()+margin <= o.UntilDue }

// meetsDeadline reports whether the order ends by its deadline in a pool in which it cannot meet its
// objective. trip is the additional time until the results can be read at home.
func (o Order) meetsDeadline(p Pool, trip time.Duration) bool {
	wait := p.late() - p.Takes
	return time.Duration(estimateShare*float64(wait))+p.Takes+trip <= o.UntilDeadline
}

// Action is what happens to an order.
type Action uint8

// The actions. An order that is sent runs in the other region only.
const (
	Keep Action = iota
	Send
	Refuse
)

// Decision is an Action, and where the order runs.
type Decision struct {
	Action Action
	// Region and Wait are those of the pool in which the order runs, or of the home region's if it is
	// refused.
	Region string
	Wait   time.Duration
}

// Decide returns what happens to an order. It runs at home if it safely meets its objective there, else
// in the region where it meets it soonest, if that is sooner by the cost of the crossing. Else it runs
// at home if it ends by its deadline there, else where it does. Otherwise it is refused. Waits grow with
// the rank of an order, so the least urgent orders leave first.
func Decide(o Order, home Pool, others []Pool) Decision {
	others = fresh(others)
	if o.Safe(home) {
		return Decision{Action: Keep, Region: home.Region, Wait: home.Wait}
	}
	if p, ok := soonest(others, Pool.onTime); ok && p.onTime()+o.Trip <= o.UntilDue && p.onTime()+o.Cost < home.onTime() {
		return Decision{Action: Send, Region: p.Region, Wait: p.Wait}
	}
	if home.onTime() <= o.UntilDue {
		return Decision{Action: Keep, Region: home.Region, Wait: home.Wait}
	}
	late := Decision{Region: home.Region, Wait: max(home.Wait, home.Late)}
	if o.meetsDeadline(home, 0) {
		late.Action = Keep
		return late
	}
	if p, ok := soonest(others, Pool.late); ok && o.meetsDeadline(p, o.Trip) && p.late()+o.Cost < home.late() {
		return Decision{Action: Send, Region: p.Region, Wait: max(p.Wait, p.Late)}
	}
	late.Action = Refuse
	return late
}

// fresh returns the pools whose waits are recent enough to be used.
func fresh(pools []Pool) []Pool {
	return slices.DeleteFunc(slices.Clone(pools), func(p Pool) bool { return p.Age > MaxAge })
}

// soonest returns the pool in which an order ends first, by the given estimate; of equal ones the first
// by region name. ok is false if there are no pools.
func soonest(pools []Pool, ends func(Pool) time.Duration) (p Pool, ok bool) {
	if len(pools) == 0 {
		return Pool{}, false
	}
	return slices.MinFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(ends(a), ends(b)), cmp.Compare(a.Region, b.Region))
	}), true
}
