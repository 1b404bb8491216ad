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

// callTimeout bounds one call whose context has no earlier deadline.
const callTimeout = 5 * time.Second

// idleTimeout is the time after which an unused connection is closed.
const idleTimeout = time.Minute

// Dial opens a connection, as net.Dialer.DialContext does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Client calls other nodes. It keeps one connection to each node that it called
// within idleTimeout. It is safe for concurrent use.
type Client struct {
	dial     Dial
	key      []byte
	node     string
	versions Versions

	mu       sync.Mutex
	sessions map[string]*session
}

// session holds the connection to one node.
type session struct {
	// lock guards the fields below. It is a channel of capacity 1, so that a
	// caller that waits for a connection to be established can stop waiting.
	lock chan struct{}
	// mux is nil until the first connection is established.
	mux *muxConn
	// used is the time of the last request for the connection.
	used time.Time
}

// NewClient returns a Client that sends node as its name. versions exchanges
// configuration versions along with orders; nil disables that.
func NewClient(dial Dial, key []byte, node string, versions Versions) *Client {
	if versions == nil {
		versions = noVersions{}
	}
	return &Client{dial: dial, key: key, node: node, versions: versions, sessions: make(map[string]*session)}
}

// Close closes all connections that are not being established.
func (c *Client) Close() { c.closeIf(func(*session) bool { return true }) }

// CloseIdle closes the connections without open streams that were not requested
// within idleTimeout.
func (c *Client) CloseIdle(now time.Time) {
	c.closeIf(func(s *session) bool { return now.Sub(s.used) > idleTimeout && s.mux.NumStreams() == 0 })
}

// closeIf closes the connections for which drop returns true. It skips sessions
// whose lock is held.
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

// connection returns the connection to the node at addr. It establishes one if
// there is none or the last one has ended.
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

// retire makes the next call to a node use a new connection: mux may be broken
// although new connections work. Calls in progress on mux continue. It is closed
// after the last of them, or when its keep-alives fail.
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
		// The session is locked: its connection is being replaced.
		return
	}
	defer func() { <-s.lock }()
	if s.mux != mux {
		return
	}
	delete(c.sessions, addr)
	go closeWhenUnused(mux)
}

// retiredPollInterval is the interval at which a retired connection is checked for open
// streams.
const retiredPollInterval = time.Second

// closeWhenUnused closes a connection once it has no open streams.
func closeWhenUnused(mux *muxConn) {
	for mux.NumStreams() > 0 && !mux.IsClosed() {
		time.Sleep(retiredPollInterval)
	}
	// The connection is retired, so an error of Close is of no use.
	_ = mux.Close()
}

// connect dials the node at addr and authenticates.
func (c *Client) connect(ctx context.Context, addr string) (*muxConn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	conn, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	// The host of a paused peer still accepts connections, but the handshake gets
	// no answer.
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

// call sends one request and returns its first answer. The error is a
// *verdict.Error if the peer refused the request, and another error if no answer
// arrived.
func (c *Client) call(ctx context.Context, addr string, req *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	x, err := c.request(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	return x.next()
}

// Changes requests the configuration changes after a revision from the node at
// addr. It returns nil if that node no longer has all of them.
func (c *Client) Changes(ctx context.Context, addr string, after int64) ([]catalog.Change, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Changes{Changes: &peerpb.Since{Revision: after}}})
	if err != nil {
		return nil, err
	}
	return changesFrom(resp.GetChanges())
}

// Snapshot requests the whole configuration of the node at addr, with its
// revision.
func (c *Client) Snapshot(ctx context.Context, addr string) (int64, []catalog.Item, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Snapshot{Snapshot: &peerpb.Empty{}}})
	if err != nil {
		return 0, nil, err
	}
	return snapshotFrom(resp.GetSnapshot())
}

// Demand requests the demand by model of the node at addr.
func (c *Client) Demand(ctx context.Context, addr string) ([]scheduler.ModelDemand, error) {
	resp, err := c.call(ctx, addr, &peerpb.Request{Call: &peerpb.Request_Demand{Demand: &peerpb.Empty{}}})
	if err != nil {
		return nil, err
	}
	return demandFrom(resp.GetDemand()), nil
}

// Registry returns a ledger.Registry that calls the node at addr.
func (c *Client) Registry(addr string) ledger.Registry { return remoteLedger{c: c, addr: addr} }

type remoteLedger struct {
	c    *Client
	addr string
}

// Claim implements ledger.Registry. A caller may send a claim again if its answer was
// lost: the same attempt is granted again.
func (b remoteLedger) Claim(ctx context.Context, cl ledger.Claim) (ledger.Grant, error) {
	resp, err := b.c.call(ctx, b.addr, &peerpb.Request{Call: &peerpb.Request_Claim{Claim: claimTo(cl)}})
	if err != nil {
		return ledger.Grant{}, err
	}
	return grantFrom(resp.GetGrant()), nil
}

// Finish implements ledger.Registry.
func (b remoteLedger) Finish(ctx context.Context, cl ledger.Claim, out *ledger.Outcome) error {
	msg := &peerpb.Finish{Claim: claimTo(cl), Outcome: outcomeTo(out)}
	_, err := b.c.call(ctx, b.addr, &peerpb.Request{Call: &peerpb.Request_Finish{Finish: msg}})
	return err
}

// Lookup implements ledger.Registry.
func (b remoteLedger) Lookup(ctx context.Context, k ledger.Key) (ledger.Record, bool, error) {
	resp, err := b.c.call(ctx, b.addr, &peerpb.Request{Call: &peerpb.Request_Lookup{Lookup: keyTo(k)}})
	if err != nil {
		return ledger.Record{}, false, err
	}
	f := resp.GetFound()
	return recordFrom(f.GetRecord()), f.GetFound(), nil
}
