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

// Pool is a service's pool in one region, as an order of the home region would meet it.
type Pool struct {
	Region string
	// Wait is the estimated wait of the order if it can meet its objective, Late its wait if it
	// cannot.
	Wait, Late time.Duration
	// Age is the time since the waits were reported; 0 for the pool that decides.
	Age time.Duration
}

// Order is an order that has arrived at its home region.
type Order struct {
	// Takes is the duration of its call.
	Takes time.Duration
	// UntilDue and UntilDeadline are the times left until the order misses its objective, and until
	// its results are useless.
	UntilDue, UntilDeadline time.Duration
	// Trip is the additional time until the results of another region can be read at home. Cost is
	// the time by which the order must end earlier there to be worth the crossing; it includes Trip.
	Trip, Cost time.Duration
}

// Action is what happens to an order.
type Action uint8

// The actions. An order that is sent runs in the other region only.
const (
	Keep Action = iota
	Send
	Refuse
)

// Decision is an Action with its inputs.
type Decision struct {
	Action Action
	// Region and Wait are those of the pool in which the order runs.
	Region string
	Wait   time.Duration
}

// Decide returns what happens to an order. It runs at home if it meets its objective there, else in
// the region where it meets it with the least wait. If it meets it nowhere, it runs at home if it ends
// by its deadline there, else where it does. Otherwise it is refused. Waits grow with the rank of an
// order, so the least urgent orders leave first.
func Decide(o Order, home Pool, others []Pool) Decision {
	others = fresh(others)
	keep := Decision{Action: Keep, Region: home.Region, Wait: home.Wait}
	if o.MeetsDue(home.Wait) {
		return keep
	}
	if p, ok := least(others, func(p Pool) time.Duration { return p.Wait }); ok && o.MeetsDue(p.Wait+o.Trip) && p.Wait+o.Cost < home.Wait {
		return Decision{Action: Send, Region: p.Region, Wait: p.Wait}
	}
	homeLate := max(home.Wait, home.Late)
	keep.Wait = homeLate
	if o.meetsDeadline(homeLate) {
		return keep
	}
	if p, ok := least(others, Pool.lateWait); ok && o.meetsDeadline(p.lateWait()+o.Trip) && p.lateWait()+o.Cost < homeLate {
		return Decision{Action: Send, Region: p.Region, Wait: p.lateWait()}
	}
	return Decision{Action: Refuse, Region: home.Region, Wait: homeLate}
}

// MeetsDue reports whether the order meets its objective with the given wait.
func (o Order) MeetsDue(wait time.Duration) bool { return wait+o.Takes <= o.UntilDue }

func (o Order) meetsDeadline(wait time.Duration) bool {
	return time.Duration(estimateShare*float64(wait))+o.Takes <= o.UntilDeadline
}

func (p Pool) lateWait() time.Duration { return max(p.Wait, p.Late) }

// fresh returns the pools whose waits are recent enough to be used.
func fresh(pools []Pool) []Pool {
	return slices.DeleteFunc(slices.Clone(pools), func(p Pool) bool { return p.Age > MaxAge })
}

// least returns the pool with the least wait, and the first by name of equal ones.
func least(pools []Pool, wait func(Pool) time.Duration) (Pool, bool) {
	if len(pools) == 0 {
		return Pool{}, false
	}
	return slices.MinFunc(pools, func(a, b Pool) int {
		return cmp.Or(cmp.Compare(wait(a), wait(b)), cmp.Compare(a.Region, b.Region))
	}), true
}
