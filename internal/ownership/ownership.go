// Package ownership defines at which level of the fleet shared work has its owner: one in each data
// centre, one in each region, or one in the whole fleet. In a fleet of one region the
// levels Region and Fleet are the same.
package ownership

// Level is a level of the fleet.
type Level uint8

// The levels, from the smallest to the largest.
const (
	DataCentre Level = iota + 1
	Region
	Fleet
)

// String returns the name of the level, as in log lines and metrics.
func (l Level) String() string {
	switch l {
	case DataCentre:
		return "data centre"
	case Region:
		return "region"
	case Fleet:
		return "fleet"
	}
	return "unknown"
}

// Work is a kind of work that nodes share and one of them owns.
type Work uint8

// The kinds of shared work.
const (
	// StoreUpdates is following the store's tables and sending their updates to other nodes.
	StoreUpdates Work = iota + 1
	// StageBatches is forming the batches of a stage pool.
	StageBatches
	// RolloutEvidence is adding up the reports of nodes on a roll-out.
	RolloutEvidence
	// RolloutDecision is deciding on a roll-out.
	RolloutDecision
	// RatePermits is granting permits of a rate.
	RatePermits
)

// levels gives the level of each kind of work. Work whose owner enforces a bound for all nodes
// together belongs to the fleet: two owners would each allow the whole bound. The evidence on a
// roll-out goes to the node that decides on it. Other work belongs to the smallest level whose nodes share its data.
var levels = map[Work]Level{
	StoreUpdates:    DataCentre,
	StageBatches:    Region,
	RolloutEvidence: Fleet,
	RolloutDecision: Fleet,
	RatePermits:     Fleet,
}

// LevelOf returns the level of a kind of work.
func LevelOf(w Work) Level { return levels[w] }

// Place is where a node or target is. A name is "" if it is not known.
type Place struct{ DataCentre, Region string }

// Same reports whether two places share the owner of some work.
func Same(w Work, a, b Place) bool {
	switch LevelOf(w) {
	case DataCentre:
		return a.DataCentre == b.DataCentre
	case Region:
		return a.Region == b.Region
	}
	return true
}
