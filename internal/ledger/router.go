package ledger

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/verdict"
)

// Remote gives access to the registries of other nodes, which record the claims of idempotency keys
// by attempts to run a request.
type Remote interface {
	// Registry returns the registry of a node, or nil if the node is not known.
	Registry(node string) Registry
	// RegistryAt returns the registry of the node at a peer address, or nil if this
	// node has no peers.
	RegistryAt(addr string) Registry
	// Committer returns the node that commits claims of this row key, or ""
	// for this node.
	Committer(rowKey string) string
}

// Router forwards each call to the registry responsible for the key: the
// process that issued it for a ticket, otherwise the table service. It
// implements Registry.
type Router struct {
	node    string
	tickets *TicketIssuer
	issued  *TicketRegistry
	table   *TableRegistry
	remote  Remote
}

// NewRouter returns the router of a node.
func NewRouter(node string, t *TicketIssuer, issued *TicketRegistry, table *TableRegistry, remote Remote) *Router {
	return &Router{node: node, tickets: t, issued: issued, table: table, remote: remote}
}

// Issue returns a new ticket of this node.
func (r *Router) Issue(account string) string { return r.tickets.Issue(account, time.Now()) }

// Local returns the registries of this node for calls from other nodes. It
// forwards nothing, so a call crosses nodes at most once.
func (r *Router) Local() Registry { return localRegistry{r} }

type localRegistry struct{ r *Router }

func (l localRegistry) forKey(k Key) Registry {
	if IsTicket(k.Key) {
		return l.r.issued
	}
	return l.r.table
}

// Claim implements Registry.
func (l localRegistry) Claim(ctx context.Context, c Claim) (Grant, error) {
	return l.forKey(c.Key).Claim(ctx, c)
}

// Finish implements Registry.
func (l localRegistry) Finish(ctx context.Context, c Claim, out *Outcome) error {
	return l.forKey(c.Key).Finish(ctx, c, out)
}

// Lookup implements Registry.
func (l localRegistry) Lookup(ctx context.Context, k Key) (Record, bool, error) {
	return l.forKey(k).Lookup(ctx, k)
}

// issuer returns the registry of the process that issued a ticket.
func (r *Router) issuer(k Key) (Registry, error) {
	t, err := r.tickets.Parse(k.Account, k.Key)
	if err != nil {
		return nil, err
	}
	if t.Addr == r.tickets.addr {
		return r.issued, nil
	}
	b := r.remote.RegistryAt(t.Addr)
	if b == nil {
		return nil, errIssuerGone()
	}
	return b, nil
}

// Claim implements Registry. If the remote committer fails without a refusal, this
// node commits the claim itself. That is safe: the condition on the row grants
// a key once, whichever nodes commit.
func (r *Router) Claim(ctx context.Context, c Claim) (Grant, error) {
	if IsTicket(c.Key.Key) {
		b, err := r.issuer(c.Key)
		if err != nil {
			return Grant{}, err
		}
		g, err := b.Claim(ctx, c)
		return g, r.releaseLostGrant(b, c, err)
	}
	if b := r.committer(c); b != nil {
		g, err := b.Claim(ctx, c)
		if err == nil || isRefusal(err) {
			return g, err
		}
	}
	return r.table.Claim(ctx, c)
}

// isRefusal reports whether the registry refused the call; otherwise its
// response may have been lost in transit.
func isRefusal(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code != verdict.Internal
}

// releaseLostGrant releases, in the background, a ticket whose grant may have
// been lost in transit, so that a repeat with the ticket can be granted. The
// attempt does not run, since Claim returns an error.
func (r *Router) releaseLostGrant(b Registry, c Claim, err error) error {
	if err == nil || isRefusal(err) {
		return err
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		_ = b.Finish(ctx, c, nil)
	}()
	return errIssuerGone()
}

// releaseTimeout bounds the release of a ticket whose grant was lost.
const releaseTimeout = 10 * time.Second

// Finish implements Registry.
func (r *Router) Finish(ctx context.Context, c Claim, out *Outcome) error {
	if IsTicket(c.Key.Key) {
		b, err := r.issuer(c.Key)
		if err != nil {
			return err
		}
		return b.Finish(ctx, c, out)
	}
	if b := r.committer(c); b != nil && b.Finish(ctx, c, out) == nil {
		return nil
	}
	return r.table.Finish(ctx, c, out)
}

// committer returns the remote registry that commits c, or nil for this node.
func (r *Router) committer(c Claim) Registry {
	node := r.remote.Committer(c.rowKey())
	if node == "" || node == r.node {
		return nil
	}
	return r.remote.Registry(node)
}

// Lookup implements Registry.
func (r *Router) Lookup(ctx context.Context, k Key) (Record, bool, error) {
	if !IsTicket(k.Key) {
		return r.table.Lookup(ctx, k)
	}
	b, err := r.issuer(k)
	if err != nil {
		return Record{}, false, err
	}
	rec, found, err := b.Lookup(ctx, k)
	if err != nil && !isRefusal(err) {
		err = errIssuerGone()
	}
	return rec, found, err
}

// NoPeers is the Remote of a node without peers.
type NoPeers struct{}

// Registry implements Remote.
func (NoPeers) Registry(string) Registry { return nil }

// RegistryAt implements Remote.
func (NoPeers) RegistryAt(string) Registry { return nil }

// Committer implements Remote.
func (NoPeers) Committer(string) string { return "" }
