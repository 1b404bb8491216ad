package ledger

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazmoor/internal/verdict"
)

// ticketPrefix marks idempotency keys that are tickets.
const ticketPrefix = "tk1."

// ticketRecordLimit is the maximum number of records in a TicketRegistry.
const ticketRecordLimit = 200_000

// Ticket is a decoded request ticket: an idempotency key that only the process
// that issued it can grant.
type Ticket struct {
	// Node and Incarnation identify the process that issued the ticket; Addr is the
	// address at which other nodes reach that process, so that no membership lookup is
	// needed.
	Node, Incarnation, Addr string
	Nonce                   string
	Expires                 time.Time
}

// IsTicket reports whether an idempotency key is a ticket.
func IsTicket(key string) bool { return strings.HasPrefix(key, ticketPrefix) }

// TicketIssuer issues and verifies tickets. Every node can verify them because the
// secret is shared; only the issuing process can grant them.
type TicketIssuer struct {
	secret      []byte
	node        string
	addr        string
	incarnation string
	life        time.Duration
	nonce       func() string
}

// NewTicketIssuer returns the issuer of one process. addr is its peer address, the
// incarnation must be unique to the process, and nonce must not repeat.
func NewTicketIssuer(secret []byte, node, addr, incarnation string, life time.Duration, nonce func() string) *TicketIssuer {
	return &TicketIssuer{secret: secret, node: node, addr: addr, incarnation: incarnation, life: life, nonce: nonce}
}

// Issue returns a new ticket for an account. Nothing is stored until it is
// redeemed.
func (t *TicketIssuer) Issue(account string, now time.Time) string {
	expires := strconv.FormatInt(now.Add(t.life).Unix(), 36)
	node := base64.RawURLEncoding.EncodeToString([]byte(t.node + "\x00" + t.addr))
	payload := ticketPrefix + strings.Join([]string{node, t.incarnation, t.nonce(), expires}, ".")
	return payload + "." + t.mac(account, payload)
}

func (t *TicketIssuer) mac(account, payload string) string {
	m := hmac.New(sha256.New, t.secret)
	m.Write([]byte("ticket\x00" + account + "\x00" + payload))
	return base64.RawURLEncoding.EncodeToString(m.Sum(nil)[:16])
}

// Parse checks that key is a ticket of this account. It does not check the
// expiry: an expired ticket may still be looked up.
func (t *TicketIssuer) Parse(account, key string) (Ticket, error) {
	bad := verdict.New(verdict.NotRun, verdict.InvalidRequest, "the ticket is not one of this account: get one by POST /v1/tickets")
	parts := strings.Split(key, ".")
	if len(parts) != 6 || !IsTicket(key) {
		return Ticket{}, bad
	}
	payload := strings.Join(parts[:5], ".")
	if !hmac.Equal([]byte(t.mac(account, payload)), []byte(parts[5])) {
		return Ticket{}, bad
	}
	issuer, err := base64.RawURLEncoding.DecodeString(parts[1])
	if err != nil {
		return Ticket{}, bad
	}
	expires, err := strconv.ParseInt(parts[4], 36, 64)
	if err != nil {
		return Ticket{}, bad
	}
	node, addr, _ := strings.Cut(string(issuer), "\x00")
	return Ticket{Node: node, Addr: addr, Incarnation: parts[2], Nonce: parts[3], Expires: time.Unix(expires, 0)}, nil
}

// TicketRegistry stores in memory the claims of the tickets that this process
// issued. It needs neither the table service nor other nodes: no other process
// can grant these tickets, whichever processes are paused, disconnected or dead.
type TicketRegistry struct {
	tickets *TicketIssuer

	mu        sync.Mutex
	records   map[Key]*ticketRecord
	nextSweep time.Time
}

type ticketRecord struct {
	Record
	expires time.Time
}

// sweepInterval is the time between removals of expired records.
const sweepInterval = 10 * time.Second

// NewTicketRegistry returns a TicketRegistry without records.
func NewTicketRegistry(t *TicketIssuer) *TicketRegistry {
	return &TicketRegistry{tickets: t, records: make(map[Key]*ticketRecord)}
}

// errIssuerGone is returned for tickets whose issuing process has ended or is
// not reachable. The verdict is MayHaveRun because that process may have
// granted the ticket.
func errIssuerGone() error {
	return verdict.New(verdict.MayHaveRun, verdict.KeyOutcomeUnknown,
		"the node that issued the ticket is gone; if you have not sent the ticket before, get a new one")
}

// parseOwn returns the decoded ticket if this process issued it.
func (b *TicketRegistry) parseOwn(k Key) (Ticket, error) {
	t, err := b.tickets.Parse(k.Account, k.Key)
	if err != nil {
		return Ticket{}, err
	}
	if t.Node != b.tickets.node || t.Incarnation != b.tickets.incarnation {
		return Ticket{}, errIssuerGone()
	}
	return t, nil
}

// Claim implements Registry.
func (b *TicketRegistry) Claim(_ context.Context, c Claim) (Grant, error) {
	t, err := b.parseOwn(c.Key)
	if err != nil {
		return Grant{}, err
	}
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.removeExpired(now)
	if rec := b.records[c.Key]; rec != nil {
		return Grant{Granted: rec.Attempt == c.Attempt && rec.Outcome == nil, Existing: rec.Record}, nil
	}
	if !now.Before(t.Expires) {
		return Grant{}, verdict.New(verdict.MayHaveRun, verdict.KeyOutcomeUnknown,
			"the ticket expired; if you have not sent it before, get a new one")
	}
	if len(b.records) >= ticketRecordLimit {
		return Grant{}, verdict.New(verdict.NotRun, verdict.Overloaded, "too many tickets are in use").After(sweepInterval)
	}
	// Records outlive their tickets by the lifetime of a ticket, so that a
	// redeemed ticket is not granted again if the clock is set back.
	removeAt := laterOf(t.Expires, c.Until).Add(b.tickets.life)
	b.records[c.Key] = &ticketRecord{Record: Record{Claim: c}, expires: removeAt}
	return Grant{Granted: true}, nil
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Finish implements Registry.
func (b *TicketRegistry) Finish(_ context.Context, c Claim, out *Outcome) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.records[c.Key]
	if rec == nil || rec.Attempt != c.Attempt || rec.Outcome != nil {
		return nil
	}
	if out == nil {
		delete(b.records, c.Key)
		return nil
	}
	rec.Outcome = out
	return nil
}

// Lookup implements Registry.
func (b *TicketRegistry) Lookup(_ context.Context, k Key) (Record, bool, error) {
	if _, err := b.parseOwn(k); err != nil {
		return Record{}, false, err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	rec := b.records[k]
	if rec == nil {
		return Record{}, false, nil
	}
	return rec.Record, true, nil
}

// removeExpired drops records past their expiry, at most once a sweepInterval.
func (b *TicketRegistry) removeExpired(now time.Time) {
	if now.Before(b.nextSweep) {
		return
	}
	b.nextSweep = now.Add(sweepInterval)
	for k, rec := range b.records {
		if now.After(rec.expires) {
			delete(b.records, k)
		}
	}
}
