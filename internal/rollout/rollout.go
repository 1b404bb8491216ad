// Package rollout moves the traffic of a service to targets of another version. All nodes
// together try the new version on a bounded share of the requests; one of them, the owner, sums up
// what they saw, compares the new version with the old one on the same routes, and decides whether
// it takes all traffic or none. Nodes act on the share that the owner last told them, and only
// while it answers. The store arbitrates where two nodes take themselves for the owner. Source:
// docs/design/021-rollouts.md.
package rollout

import (
	"slices"
	"time"

	"topazmoor/internal/store"
)

// Order asks that the traffic of a service be moved to targets of another version.
type Order struct {
	Service, To string
	// Revision is the version of the order's row. It tells orders apart, also such as ask for
	// the same version again.
	Revision store.Version
	// Lasts is the time in which the order is to be completed or rolled back.
	Lasts time.Duration
}

// State is how far an order is.
type State string

// The states. Completed and RolledBack are final.
const (
	// Unknown is the state of an order of which nothing was heard yet.
	Unknown    State = ""
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "reverted"
)

// Final reports whether a state does not change any more.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Record is what was decided of an order, as the store keeps it.
type Record struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Revision is that of the order.
	Revision store.Version `json:"revision"`
	State    State         `json:"state"`
	// Reason says why, for operators.
	Reason string `json:"reason"`
	// Began is when the order was first seen, Deadline when its time is over.
	Began    time.Time `json:"began"`
	Deadline time.Time `json:"deadline"`
}

// Lane is a group of targets of a service that a call may go to.
type Lane struct {
	// Only is the version of its targets; "" for any.
	Only string
	// Barred are versions that are not in the lane.
	Barred []string
	// Part is the part of the targets of the version that take its calls; 0 for all. A small
	// share of the traffic on a few targets shows how the version bears a load.
	Part float64
}

// Admits reports whether targets of a version are in the lane.
func (l Lane) Admits(version string) bool {
	return (l.Only == "" || version == l.Only) && !slices.Contains(l.Barred, version)
}
