package catalog

import (
	"maps"
	"time"

	"topazmoor/internal/strictjson"
)

// Rollout is an operator's order that the calls of a pool move to targets of another version.
type Rollout struct {
	// Pool is the pool; there is at most one order for each.
	Pool string `json:"pool" need:"true"`
	// To is the version that the calls move to, as in the host list.
	To string `json:"to" need:"true"`
	// Within is the time in which the order is completed or rolled back.
	Within strictjson.Duration `json:"within" need:"true"`
	// Share is the largest share of the calls that the version may get while it is not known to be
	// good, above 0 and at most 1. Slack is a number of calls that it may get in addition.
	Share float64 `json:"share" need:"true"`
	Slack float64 `json:"slack"`
	// Revision is the revision of the configuration that has the order first. It tells orders of a
	// pool apart.
	Revision int64 `json:"revision" need:"true"`
	// Stopped is set when an operator stops the roll-out: the version gets no more calls until
	// another order names it. A stopped order is kept, so that nodes that start later know of it.
	Stopped bool `json:"stopped,omitempty"`
}

// MinRolloutTime is the shortest time of an order: in less no trial comes to an end.
const MinRolloutTime = strictjson.Duration(5 * time.Second)

// Check adds a problem for each invalid value of the order.
func (r Rollout) Check(probs *strictjson.Problems, path string) {
	if r.To == "" {
		probs.Add(path+".to", "is empty: write a version")
	}
	if r.Within < MinRolloutTime {
		probs.Add(path+".within", "is under %v: write a longer time", MinRolloutTime.Std())
	}
	if r.Within.Std()%time.Millisecond != 0 {
		// Reports between nodes carry it in milliseconds.
		probs.Add(path+".within", "is not a whole number of milliseconds: round it")
	}
	if r.Share <= 0 || r.Share > 1 {
		probs.Add(path+".share", "is %g: write a share above 0 and up to 1", r.Share)
	}
	if r.Slack < 0 {
		probs.Add(path+".slack", "is below zero: write a number of calls")
	}
}

// checkRollouts checks the orders among the items.
func (c *Compiled) checkRollouts(items []Item, probs *strictjson.Problems) {
	for _, it := range items {
		if r, ok := c.rollouts[it.Name]; ok && it.Kind == RolloutItem && it.Value != nil {
			r.Check(probs, it.Key())
			checkName(probs, it, r.Pool)
		}
	}
}

// Rollouts returns the orders by pool.
func (c *Compiled) Rollouts() map[string]Rollout { return maps.Clone(c.rollouts) }

// HasPool reports whether the settings have a pool of that name.
func (c *Compiled) HasPool(name string) bool {
	_, ok := c.pools[name]
	return ok
}
