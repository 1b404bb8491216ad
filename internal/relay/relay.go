// Package relay lets the nodes of a data centre follow the store through a few of them, so
// that calls and bytes at the store do not grow with the number of nodes. Every node can send
// its copies of tables to others, and a node that is followed polls the store itself. There is
// no election and no consensus. The store stays the only source of truth: messages carry rows
// with the store's versions, and the version of a copy never falls. A node leaves a followed
// node that is silent, slow, behind or cut off from the store, and polls the store itself. Source:
// docs/design/015-relays.md.
package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/routing"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// Node is a node that other nodes may follow.
type Node struct {
	// Name is unique, Addr is the address at which the node accepts calls.
	Name, Addr string
	// Memory is the memory limit of the process in bytes; 0 for none. Nodes with a higher limit
	// are preferred: hosts with more memory also have more of the other resources.
	Memory int64
}

// KnownVersion is the version of a table that the requesting node has; NoVersion requests the whole
// table.
type KnownVersion struct {
	Table   string
	Version store.Version
}

// NoVersion is the version of a copy that has not been read yet.
var NoVersion = store.Version{Number: -1}

// Message is one message from a node that is followed to a follower.
type Message struct {
	// Away is set if the store does not answer the sending node.
	Away bool
	// AnswerAge is the time since the store last answered the sending node for the first table; 0 also
	// if it never did.
	AnswerAge time.Duration
	// Tables has an entry for each requested table, in the order of the request.
	Tables []TableMessage
}

// TableMessage is the part of a message for one table.
type TableMessage struct {
	// Position is that of the sender's copy. All changes up to it have been sent.
	Position watch.Position
	// News is the update for the follower; nil if it lacks nothing.
	News *watch.News
	// Partial is set while an update is being received in parts. Position is that of the update, and
	// does not apply to the follower's copy yet.
	Partial bool
	// AnswerAge is the time since the store last answered the sending node for this table;
	// NeverAnswered if it has not.
	AnswerAge time.Duration
}

// NeverAnswered is the AnswerAge of a table for which the store has not answered.
const NeverAnswered time.Duration = -1

// Remote makes calls to other nodes; package peer implements it.
type Remote interface {
	// Follow requests from the node at addr what the caller lacks of some tables, and all later
	// changes. It calls handle with each message, one at a time; an error of handle ends the call.
	Follow(ctx context.Context, addr string, have []KnownVersion, handle func(Message) error) error
}

// Reasons to leave a node. Follow of a Remote also returns other errors.
var (
	// ErrNoMessage: the node sent no message for too long. It is the cancellation cause of the call.
	ErrNoMessage = errors.New("relay: the node stopped sending messages")
	// ErrStoreUnavailable: the store does not answer the node.
	ErrStoreUnavailable = errors.New("relay: the store does not answer the node")
	// ErrEmpty: the node has no copy, or sends another number of tables than requested.
	ErrEmpty = errors.New("relay: the node has no copy")
	// ErrBehind: the node's copy has been older than the follower's for too long.
	ErrBehind = errors.New("relay: the node's copy is behind")
	// ErrStopping: the node is shutting down.
	ErrStopping = errors.New("relay: the node is stopping")
	// errMoved: another node or none is to be followed, or the call is to be renewed.
	errMoved = errors.New("relay: the node to follow changed or the call was renewed")
)

// MinNodes is the least number of nodes in a data centre at which relays are used. By the waits of
// package watch, a followed node makes 1.33 calls per second to the store (targets and
// configuration), and a node that polls the store itself 0.38. So with two nodes relays cost 0.57
// calls per second more, with three 0.18 more, and with four they save 0.2. With three nodes that
// cost is accepted, since a node that the store refuses can then get updates from another one.
const MinNodes = 3

// maxCandidates is how many nodes, in rank order, are tried before the node polls the store itself:
// if the first ones are lost for good, the next are followed. Each try may take acceptTimeout.
const maxCandidates = 4

// Rank sorts the nodes of a data centre, including this one, into the order in which they are
// tried. Nodes with the same list of nodes get the same order.
func Rank(dataCentre string, nodes []Node) []Node {
	key := xxhash.Sum64String(dataCentre)
	out := slices.Clone(nodes)
	slices.SortFunc(out, func(a, b Node) int {
		if a.Memory != b.Memory {
			if a.Memory > b.Memory {
				return -1
			}
			return 1
		}
		if routing.Mix(key, xxhash.Sum64String(a.Name)) > routing.Mix(key, xxhash.Sum64String(b.Name)) {
			return -1
		}
		return 1
	})
	return out
}

// ChoiceState is the input of Choose: the state of the choosing node and its view of the others.
type ChoiceState struct {
	// Self is the name of the choosing node.
	Self string
	// Ranked are the nodes of the data centre in the order of Rank, self included.
	Ranked []Node
	// Followed is set if other nodes follow self.
	Followed bool
	// Lost is set if the store does not answer self.
	Lost bool
	// Skipped are the nodes that are skipped now. Away are the nodes, skipped or not, that the
	// store did not answer when they were last left. Self is in Skipped if it should rather
	// follow another node than poll the store.
	Skipped, Away map[string]bool
}

// Choose returns the node to follow; ok is false if self is to poll the store itself.
//
// A node that is followed always polls the store: otherwise two nodes that follow each other could
// confirm a state to each other that neither has read from the store. A node that the store refuses
// may follow any other node that the store answers. If the store answers no node, the nodes ranked
// behind the first one follow it, and that one detects when the store is back.
func Choose(s ChoiceState) (publisher Node, ok bool) {
	if s.Followed || len(s.Ranked) < MinNodes {
		return Node{}, false
	}
	behind := false
	for _, n := range s.Ranked[:min(len(s.Ranked), maxCandidates)] {
		switch {
		case n.Name == s.Self && !s.Skipped[s.Self]:
			return Node{}, false
		case n.Name == s.Self:
			behind = true
		case !s.Skipped[n.Name], s.Lost && s.Away[n.Name] && !behind:
			return n, true
		}
	}
	return Node{}, false
}
