// Package relay lets the nodes of a data centre follow the store through a few of them, so
// that calls and bytes at the store do not grow with the nodes. Every node can tell others
// what it has, and whoever is followed asks the store by itself; nobody is elected, and
// nothing is agreed on. The store stays the only truth: what is told are rows with the
// store's versions, a copy never goes back, and a node whose teller is silent, slow, behind
// or without the store leaves it and asks the store. Source: docs/design/015-relays.md.
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

// Node is a node that may tell others what it has of the store.
type Node struct {
	// Name is unique, Addr is where the node takes calls.
	Name, Addr string
	// Memory is the process's limit in bytes; 0 for none. Nodes with more are asked first:
	// hosts with more memory have more of the rest.
	Memory int64
}

// Have is how far the asking node's copy of a table is; Nothing asks for the whole table.
type Have struct {
	Table   string
	Version store.Version
}

// Nothing is the version of a copy that lacks all rows.
var Nothing = store.Version{Number: -1}

// Told is one message of a node that is followed.
type Told struct {
	// Away says that the store does not answer that node.
	Away bool
	// Age is how long ago the store last answered it.
	Age time.Duration
	// Tables has an entry for each table asked for, in the order of the question.
	Tables []TableTold
}

// TableTold is what a message tells of one table.
type TableTold struct {
	// Position is where the teller's copy is. Everything up to there was told.
	Position watch.Position
	// News is what the asker lacks; nil for nothing.
	News *watch.News
}

// Remote asks other nodes; package peer has the real one.
type Remote interface {
	// Follow asks the node at addr for what the asker lacks of some tables, and for all that
	// changes. told is called with each message, one at a time; its error ends the call.
	Follow(ctx context.Context, addr string, have []Have, told func(Told) error) error
}

// Reasons to leave a node. Follow of a Remote returns other errors too.
var (
	// ErrSilent: the node said nothing for too long. It is the cause of the call's end.
	ErrSilent = errors.New("relay: the node fell silent")
	// ErrAway: the store does not answer the node.
	ErrAway = errors.New("relay: the node does not reach the store")
	// ErrEmpty: the node itself has no copy.
	ErrEmpty = errors.New("relay: the node has no copy")
	// ErrBehind: the node's copy is older than the own one.
	ErrBehind = errors.New("relay: the node's copy is behind")
	// ErrStopping: the node is about to end.
	ErrStopping = errors.New("relay: the node is stopping")
	// errMoved: another node is to be followed, or none.
	errMoved = errors.New("relay: the choice changed")
)

// Fewest is the least number of nodes of a data centre that follow through one of them. Worked
// out from the waits of package watch, a followed node makes 1.33 calls a second (targets and
// configuration), one that follows by itself 0.38: with two nodes relays cost 0.57 calls a
// second, with three 0.18, with four they save 0.2. Three pay that for being told by each other
// where the store turns one of them away.
const Fewest = 3

// depth is how far down the order nodes are asked before the store is: where the first ones
// are lost for good, the next are followed. Each try may take acceptTimeout.
const depth = 4

// Rank sorts the nodes of a data centre, self included, into the order in which they are
// asked. All nodes that know the same ones agree on it.
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

// Standing is what a node knows when it chooses whom to follow.
type Standing struct {
	Self string
	// Ranked are the nodes of the data centre in order, self included.
	Ranked []Node
	// Followed says that other nodes follow self.
	Followed bool
	// Lost says that the store does not answer self.
	Lost bool
	// Passed are the nodes that are not to be asked now. Away are those of them, or others,
	// that the store does not answer. Self is among Passed when it had better be told.
	Passed, Away map[string]bool
}

// Choose returns the node to follow; ok is false where self asks the store by itself.
//
// A node that is followed always asks the store: two nodes that follow each other could
// otherwise confirm to each other what neither has seen. A node that the store turns away is
// told by any other one that the store answers. Where the store answers nobody, those
// behind the first in order let that one find out when it is back.
func Choose(s Standing) (teller Node, ok bool) {
	if s.Followed || len(s.Ranked) < Fewest {
		return Node{}, false
	}
	behind := false
	for _, n := range s.Ranked[:min(len(s.Ranked), depth)] {
		switch {
		case n.Name == s.Self && !s.Passed[s.Self]:
			return Node{}, false
		case n.Name == s.Self:
			behind = true
		case !s.Passed[n.Name], s.Lost && s.Away[n.Name] && !behind:
			return n, true
		}
	}
	return Node{}, false
}
