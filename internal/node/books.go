package node

import (
	"context"
	"sort"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/ledger"
	"topazmoor/internal/routing"
)

// localLedger is the ledger.Registry of this node's local claims. It looks up n.ledger
// at each call because the ledger and the peers refer to each other, and the
// peers are built first.
type localLedger struct{ n *Node }

// Claim implements ledger.Registry.
func (b localLedger) Claim(ctx context.Context, c ledger.Claim) (ledger.Grant, error) {
	return b.n.ledger.Local().Claim(ctx, c)
}

// Finish implements ledger.Registry.
func (b localLedger) Finish(ctx context.Context, c ledger.Claim, out *ledger.Outcome) error {
	return b.n.ledger.Local().Finish(ctx, c, out)
}

// Lookup implements ledger.Registry.
func (b localLedger) Lookup(ctx context.Context, k ledger.Key) (ledger.Record, bool, error) {
	return b.n.ledger.Local().Lookup(ctx, k)
}

// Registry implements ledger.Remote. It also returns the registry of a member marked
// dead, because the membership view may be wrong. It returns nil for a node that
// is not a member.
func (p *peers) Registry(node string) ledger.Registry {
	for _, m := range p.n.board.Members.Get() {
		if m.Name == node {
			return p.client.Registry(m.Addr)
		}
	}
	return nil
}

// RegistryAt implements ledger.Remote.
func (p *peers) RegistryAt(addr string) ledger.Registry { return p.client.Registry(addr) }

// Committer implements ledger.Remote. Up to Ledger.Committers live nodes, each
// node commits its own claims and Committer returns "". Above that number, the
// same Ledger.Committers nodes commit for all, and rendezvous hashing of the row
// key selects one of them.
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

// rendezvous returns the name with the highest combined hash of name and key
// (rendezvous hashing). It returns "" if names is empty.
func rendezvous(names []string, key uint64) string {
	best, bestHash := "", uint64(0)
	for _, name := range names {
		if h := routing.Mix(key, xxhash.Sum64String(name)); best == "" || h > bestHash {
			best, bestHash = name, h
		}
	}
	return best
}

// isPreferredNode reports whether rendezvous hashing over the live nodes assigns the
// ID, of a batch or of a control shard, to this node.
func (p *peers) isPreferredNode(id string) bool {
	names := []string{p.n.s.Node.Name}
	for _, m := range p.live() {
		names = append(names, m.Name)
	}
	return rendezvous(names, xxhash.Sum64String(id)) == p.n.s.Node.Name
}
