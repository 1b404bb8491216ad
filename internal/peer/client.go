package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/ledger"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/scheduler"
)

// callTimeout bounds one call when its context has no earlier deadline.
const callTimeout = 5 * time.Second

// idleAfter is how long an unused connection is kept.
const idleAfter = time.Minute

// Dial opens a connection.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls other nodes. It keeps one connection to each node that it
// called lately. It is safe for concurrent use.
type Client struct {
	dial     Dial
	key      []byte
	node     string
	versions Versions

	mu       sync.Mutex
	sessions map[string]*session
}

// session is the connection to one node.
type session struct {
	// lock holds one token; a channel, so that who waits for a connection that
	// is being made can give up.
	lock chan struct{}
	mux  *muxConn
	used time.Time
}

// NewClient returns a Client that presents itself as node. versions exchanges
// configuration versions with orders; nil for not.
func NewClient(dial Dial, key []byte, node string, versions Versions) *Client {
	if versions == nil {
		versions = unversioned{}
	}
	return &Client{dial: dial, key: key, node: node, versions: versions, sessions: make(map[string]*session)}
}

// Close drops all connections.
func (c *Client) Close() { c.closeIf(func(*session) bool { return true }) }

// CloseIdle drops connections that were not used lately.
func (c *Client) CloseIdle(now time.Time) {
	c.closeIf(func(s *session) bool { return now.Sub(s.used) > idleAfter && s.mux.NumStreams() == 0 })
}

func (c *Client) closeIf(drop func(*session) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, s := range c.sessions {
		select {
		case s.lock <- struct{}{}:
		default:
			continue
		}
		if s.mux != nil && drop(s) {
			s.mux.Close()
			delete(c.sessions, addr)
		}
		<-s.lock
	}
}

// connection returns the connection to the node at addr, connecting if needed.
func (c *Client) connection(ctx context.Context, addr string) (*muxConn, error) {
	c.mu.Lock()
	s := c.sessions[addr]
	if s == nil {
		s = &session{lock: make(chan struct{}, 1)}
		c.sessions[addr] = s
	}
	c.mu.Unlock()
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "connect to peer")
	}
	defer func() { <-s.lock }()
	s.used = time.Now()
	if s.mux != nil && !s.mux.IsClosed() {
		return s.mux, nil
	}
	mux, err := c.connect(ctx, addr)
	if err != nil {
		return nil, err
	}
	s.mux = mux
	return mux, nil
}

// retire makes the next call to a node use a new connection: this one may have gone
// silent for good, while new ones work. Calls on it go on; it is closed after the
// last of them, or when its keep-alives fail.
func (c *Client) retire(addr string, mux *muxConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[addr]
	if s == nil {
		return
	}
	select {
	case s.lock <- struct{}{}:
	default:
		// It is being replaced.
		return
	}
	defer func() { <-s.lock }()
	if s.mux != mux {
		return
	}
	delete(c.sessions, addr)
	go closeWhenUnused(mux)
}

// unusedPoll is how often a retired connection is looked at.
const unusedPoll = time.Second

// closeWhenUnused closes a connection after its last call.
func closeWhenUnused(mux *muxConn) {
	for mux.NumStreams() > 0 && !mux.IsClosed() {
		time.Sleep(unusedPoll)
	}
	// Nobody is left to be told.
	_ = mux.Close()
}

func (c *Client) connect(ctx context.Context, addr string) (*muxConn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	// A peer that is frozen accepts connections and says nothing.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	if _, err := handshake(conn, c.key, c.node, true); err != nil {
		conn.Close()
		return nil, err
	}
	if !stop() {
		return nil, eris.Wrap(ctx.Err(), "connect to peer")
	}
	return newMux(conn, true)
}

// call sends one request. The error is a *verdict.Error when the peer refused,
// another error when no answer came.
func (c *Client) call(ctx context.Context, addr string, req *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x, err := c.ask(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	return x.next()
}

// Changes asks a node for the changes after a revision. It returns nil when
// the node does not remember them all.
func (c *Client) Changes(ctx context.Context, addr string, after int64) ([]catalog.Change, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Changes{Changes: &peerpb.Since{Revision: after}}})
	if err != nil {
		return nil, err
	}
	return changesFrom(resp.GetChanges())
}

// Snapshot asks a node for its whole configuration.
func (c *Client) Snapshot(ctx context.Context, addr string) (int64, []catalog.Item, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Snapshot{Snapshot: &peerpb.Empty{}}})
	if err != nil {
		return 0, nil, err
	}
	return snapshotFrom(resp.GetSnapshot())
}

// Demand asks a node for its demand by model.
func (c *Client) Demand(ctx context.Context, addr string) ([]scheduler.ModelDemand, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Demand{Demand: &peerpb.Empty{}}})
	if err != nil {
		return nil, err
	}
	return demandFrom(resp.GetDemand()), nil
}

// Book returns the books of the node at addr.
func (c *Client) Book(addr string) ledger.Book { return remoteBook{c: c, addr: addr} }

type remoteBook struct {
	c    *Client
	addr string
}

// Claim implements ledger.Book. A claim whose answer was lost is sent again:
// the same attempt is granted again.
func (b remoteBook) Claim(ctx context.Context, cl ledger.Claim) (ledger.Grant, error) {
	resp, err := b.c.call(ctx, b.addr, &peerpb.Request{Call: &peerpb.Request_Claim{Claim: claimTo(cl)}})
	if err != nil {
		return ledger.Grant{}, err
	}
	return grantFrom(resp.GetGrant()), nil
}

// Finish implements ledger.Book.
func (b remoteBook) Finish(ctx context.Context, cl ledger.Claim, out *ledger.Outcome) error {
	msg := &peerpb.Finish{Claim: claimTo(cl), Outcome: outcomeTo(out)}
	_, err := b.c.call(ctx, b.addr, &peerpb.Request{Call: &peerpb.Request_Finish{Finish: msg}})
	return err
}

// Lookup implements ledger.Book.
func (b remoteBook) Lookup(ctx context.Context, k ledger.Key) (ledger.Record, bool, error) {
	resp, err := b.c.call(ctx, b.addr, &peerpb.Request{Call: &peerpb.Request_Lookup{Lookup: keyTo(k)}})
	if err != nil {
		return ledger.Record{}, false, err
	}
	f := resp.GetFound()
	return recordFrom(f.GetRecord()), f.GetFound(), nil
}
