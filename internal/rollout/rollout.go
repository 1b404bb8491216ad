// Package rollout moves the traffic of a service to targets of another version. All nodes
// together send a bounded share of the requests to the new version. One of them, the owner, aggregates
// the reports of the nodes, compares the new version with the old one on the same routes, and decides
// whether it gets all traffic or none. Nodes act on the share in the owner's last answer, and only
// while the owner answers. If two nodes act as owner, the store arbitrates. Source:
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
	// Revision is the version of the order's row. It distinguishes orders, including those for
	// the same service and version.
	Revision store.Version
	// Lasts is the time within which the order must be completed or rolled back.
	Lasts time.Duration
}

// State is the state of an order.
type State string

// The states. Completed and RolledBack are final.
const (
	// Unknown is the state of an order before the first answer of an owner.
	Unknown    State = ""
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "reverted"
)

// Final reports whether a state does not change any more.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Record is the state of an order as stored.
type Record struct {
	Service string `json:"service"`
	To      string `json:"to"`
	// Revision is the order's Revision.
	Revision store.Version `json:"revision"`
	State    State         `json:"state"`
	// Reason explains the state to operators.
	Reason string `json:"reason"`
	// Began is when the first owner received the order, Deadline when its time is over.
	Began    time.Time `json:"began"`
	Deadline time.Time `json:"deadline"`
	// Remembered says that nodes know the state from before the store was restored.
	Remembered bool `json:"-"`
}

// TargetGroup is the group of targets of a service, selected by their versions, that a call may go to.
type TargetGroup struct {
	// Version is the version of its targets; "" for any.
	Version string
	// Excluded lists versions whose targets are not in the group.
	Excluded []string
	// Fraction is the part of the version's targets that take its calls; 0 means all. A small share
	// of the traffic, sent to a few targets, shows how the version performs under load.
	Fraction float64
	// Why says in few words why the call may go to the group, for logs.
	Why string
	// Share is the share of the calls that the version of the order had, for logs.
	Share float64
}

// Admits reports whether targets of a version are in the group.
func (l TargetGroup) Admits(version string) bool {
	return (l.Version == "" || version == l.Version) && !slices.Contains(l.Excluded, version)
}

// LastInPart returns the largest hash among the targets that take calls, where only the given fraction of
// a group does, from 0 to 1: those with the smallest hashes, at least one. hashes are those of the whole
// group; they get sorted. The result is 0 if there are none.
func LastInPart(hashes []uint64, fraction float64) uint64 {
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	return hashes[min(int(fraction*float64(len(hashes))), len(hashes)-1)]
}
