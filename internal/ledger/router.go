package ledger

import (
	"context"
	"errors"
	"time"

	"topazmoor/internal/verdict"
)

// Remote reaches the books of other nodes.
type Remote interface {
	// Book returns the book of a node, or nil when the node is not known.
	Book(node string) Book
	// BookAt returns the book of the node at a peer address, or nil without
	// peers.
	BookAt(addr string) Book
	// Committer returns the node that commits claims of this row key, or ""
	// for this node.
	Committer(rowKey string) string
}

// Router sends each key to the book that keeps it. It implements Book.
type Router struct {
	node    string
	tickets *Tickets
	own     *TicketBook
	table   *TableBook
	remote  Remote
}

// NewRouter returns the router of a node.
func NewRouter(node string, t *Tickets, own *TicketBook, table *TableBook, remote Remote) *Router {
	return &Router{node: node, tickets: t, own: own, table: table, remote: remote}
}

// Issue returns a new ticket of this node.
func (r *Router) Issue(account string) string { return r.tickets.Issue(account, time.Now()) }

// Local returns the books of this node for calls from other nodes: a call is
// never sent on twice.
func (r *Router) Local() Book { return localBooks{r} }

type localBooks struct{ r *Router }

func (l localBooks) book(k Key) Book {
	if IsTicket(k.Key) {
		return l.r.own
	}
	return l.r.table
}

// Claim implements Book.
func (l localBooks) Claim(ctx context.Context, c Claim) (Grant, error) {
	return l.book(c.Key).Claim(ctx, c)
}

// Finish implements Book.
func (l localBooks) Finish(ctx context.Context, c Claim, out *Outcome) error {
	return l.book(c.Key).Finish(ctx, c, out)
}

// Lookup implements Book.
func (l localBooks) Lookup(ctx context.Context, k Key) (Record, bool, error) {
	return l.book(k).Lookup(ctx, k)
}

// issuer returns the book of the process that issued a ticket.
func (r *Router) issuer(k Key) (Book, error) {
	t, err := r.tickets.Parse(k.Account, k.Key)
	if err != nil {
		return nil, err
	}
	if t.Addr == r.tickets.addr {
		return r.own, nil
	}
	b := r.remote.BookAt(t.Addr)
	if b == nil {
		return nil, errIssuerGone()
	}
	return b, nil
}

// Claim implements Book. A claim that a remote committer does not answer is
// committed by this node: the row decides, not the committer.
func (r *Router) Claim(ctx context.Context, c Claim) (Grant, error) {
	if IsTicket(c.Key.Key) {
		b, err := r.issuer(c.Key)
		if err != nil {
			return Grant{}, err
		}
		g, err := b.Claim(ctx, c)
		return g, r.settle(b, c, err)
	}
	if b := r.committer(c); b != nil {
		g, err := b.Claim(ctx, c)
		if err == nil || refusedByBook(err) {
			return g, err
		}
	}
	return r.table.Claim(ctx, c)
}

// refusedByBook reports whether the book itself refused; otherwise its answer
// may have been lost on the way.
func refusedByBook(err error) bool {
	var e *verdict.Error
	return errors.As(err, &e) && e.Code != verdict.Internal
}

// settle releases a ticket whose grant may have been lost on the way, so that
// a repeat is not told that it may have run. The attempt will not run: the
// error says so.
func (r *Router) settle(b Book, c Claim, err error) error {
	if err == nil || refusedByBook(err) {
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

// Finish implements Book.
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

// committer returns the remote book that commits c, or nil for this node.
func (r *Router) committer(c Claim) Book {
	node := r.remote.Committer(c.rowKey())
	if node == "" || node == r.node {
		return nil
	}
	return r.remote.Book(node)
}

// Lookup implements Book.
func (r *Router) Lookup(ctx context.Context, k Key) (Record, bool, error) {
	if !IsTicket(k.Key) {
		return r.table.Lookup(ctx, k)
	}
	b, err := r.issuer(k)
	if err != nil {
		return Record{}, false, err
	}
	rec, found, err := b.Lookup(ctx, k)
	if err != nil && !refusedByBook(err) {
		err = errIssuerGone()
	}
	return rec, found, err
}

// Alone is the Remote of a node without peers.
type Alone struct{}

// Book implements Remote.
func (Alone) Book(string) Book { return nil }

// BookAt implements Remote.
func (Alone) BookAt(string) Book { return nil }

// Committer implements Remote.
func (Alone) Committer(string) string { return "" }
