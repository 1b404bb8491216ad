package node

import (
	"context"
	"sort"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/ledger"
	"topazmoor/internal/routing"
)

// lateBooks resolves the ledger at the time of a call, because the ledger and
// the peers refer to each other.
type lateBooks struct{ n *Node }

// Claim implements ledger.Book.
func (b lateBooks) Claim(ctx context.Context, c ledger.Claim) (ledger.Grant, error) {
	return b.n.ledger.Local().Claim(ctx, c)
}

// Finish implements ledger.Book.
func (b lateBooks) Finish(ctx context.Context, c ledger.Claim, out *ledger.Outcome) error {
	return b.n.ledger.Local().Finish(ctx, c, out)
}

// Lookup implements ledger.Book.
func (b lateBooks) Lookup(ctx context.Context, k ledger.Key) (ledger.Record, bool, error) {
	return b.n.ledger.Local().Lookup(ctx, k)
}

// Book implements ledger.Remote. A node that is thought dead is tried all the
// same: the view may be wrong.
func (p *peers) Book(node string) ledger.Book {
	for _, m := range p.n.board.Members.Get() {
		if m.Name == node {
			return p.client.Book(m.Addr)
		}
	}
	return nil
}

// BookAt implements ledger.Remote.
func (p *peers) BookAt(addr string) ledger.Book { return p.client.Book(addr) }

// Committer implements ledger.Remote: while there are few nodes each commits
// its own claims, otherwise a few do for all.
func (p *peers) Committer(rowKey string) string {
	names := []string{p.n.s.Node.Name}
	for _, m := range p.live() {
		names = append(names, m.Name)
	}
	limit := p.n.s.Ledger.Committers
	if len(names) <= limit {
		return ""
	}
	sort.Slice(names, func(i, j int) bool { return xxhash.Sum64String(names[i]) < xxhash.Sum64String(names[j]) })
	return rendezvous(names[:limit], xxhash.Sum64String(rowKey))
}

// rendezvous returns the name with the highest hash for the key.
func rendezvous(names []string, key uint64) string {
	best, bestHash := "", uint64(0)
	for _, name := range names {
		if h := routing.Mix(key, xxhash.Sum64String(name)); best == "" || h > bestHash {
			best, bestHash = name, h
		}
	}
	return best
}

// firstChoice reports whether this node is the one that a batch, or another
// piece of control work, hashes to.
func (p *peers) firstChoice(id string) bool {
	names := []string{p.n.s.Node.Name}
	for _, m := range p.live() {
		names = append(names, m.Name)
	}
	return rendezvous(names, xxhash.Sum64String(id)) == p.n.s.Node.Name
}
