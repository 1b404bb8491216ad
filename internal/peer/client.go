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
	"topazmoor/internal/traffic"
)

// callTimeout bounds the time in which nothing arrives of the answer to a call.
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
	meter    *traffic.Meter

	// closing ends when the client is closed; close ends it.
	closing context.Context
	close   context.CancelFunc

	mu       sync.Mutex
	sessions map[string]*session
	// retired are the connections that were retired and still have open streams.
	retired map[*muxConn]bool
}

// errClientClosed is the error of calls of a closed Client.
var errClientClosed = eris.New("peer: the client is closed")

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
// configuration versions along with orders; nil disables that. meter counts what is exchanged with
// other nodes; nil for nothing.
func NewClient(dial Dial, key []byte, node string, versions Versions, meter *traffic.Meter) *Client {
	if versions == nil {
		versions = noVersions{}
	}
	closing, closeClient := context.WithCancel(context.Background())
	return &Client{
		dial: dial, key: key, node: node, versions: versions, meter: meter, closing: closing, close: closeClient,
		sessions: make(map[string]*session), retired: make(map[*muxConn]bool),
	}
}

// Close closes all connections, and those that are being established as soon as they are ready.
// Later calls fail.
func (c *Client) Close() {
	c.close()
	c.closeIf(func(*session) bool { return true })
	c.mu.Lock()
	defer c.mu.Unlock()
	for mux := range c.retired {
		// The client drops the connection, so an error of Close is of no use.
		_ = mux.Close()
	}
}

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
// there is none, the last one has ended or it was retired.
func (c *Client) connection(ctx context.Context, addr string) (*muxConn, error) {
	if c.closing.Err() != nil {
		return nil, errClientClosed
	}
	mux, err := c.lockedConnection(ctx, c.session(addr), addr)
	if err != nil {
		return nil, err
	}
	// Close skips sessions that are locked. The session was locked until now, so either Close finds
	// the connection, or the client counts as closed here.
	if c.closing.Err() != nil {
		_ = mux.Close()
		return nil, errClientClosed
	}
	return mux, nil
}

// session returns the session of the node at addr.
func (c *Client) session(addr string) *session {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[addr]
	if s == nil {
		s = &session{lock: make(chan struct{}, 1)}
		c.sessions[addr] = s
	}
	return s
}

// lockedConnection locks a session, and returns its connection or establishes a new one. It fails if
// ctx ends before the session is free.
func (c *Client) lockedConnection(ctx context.Context, s *session, addr string) (*muxConn, error) {
	select {
	case s.lock <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "connect to peer")
	}
	defer func() { <-s.lock }()
	s.used = time.Now()
	if s.mux != nil && !s.mux.IsClosed() && !c.isRetired(s.mux) {
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
func (c *Client) retire(mux *muxConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retired[mux] || mux.IsClosed() {
		return
	}
	c.retired[mux] = true
	go c.closeWhenUnused(mux)
}

func (c *Client) isRetired(mux *muxConn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retired[mux]
}

// retiredPollInterval is the interval at which a retired connection is checked for open
// streams.
const retiredPollInterval = time.Second

// closeWhenUnused closes a retired connection once it has no open streams or the client is closed.
func (c *Client) closeWhenUnused(mux *muxConn) {
	tick := time.NewTicker(retiredPollInterval)
	defer tick.Stop()
	for mux.NumStreams() > 0 && !mux.IsClosed() && c.closing.Err() == nil {
		select {
		case <-tick.C:
		case <-c.closing.Done():
		}
	}
	// The connection is retired, so an error of Close is of no use.
	_ = mux.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.retired, mux)
}

// connect dials the node at addr and authenticates.
func (c *Client) connect(ctx context.Context, addr string) (*muxConn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	defer context.AfterFunc(c.closing, cancel)()
	dialed, err := c.dial(ctx, "tcp", addr)
	if err != nil {
		return nil, eris.Wrap(err, "connect to peer")
	}
	link := c.meter.Link()
	conn := link.Conn(dialed)
	// The host of a paused peer still accepts connections, but the handshake gets
	// no answer.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	peer, err := handshake(conn, c.key, c.node, true)
	if err != nil {
		conn.Close()
		return nil, err
	}
	link.SetNode(peer)
	if !stop() {
		return nil, eris.Wrap(ctx.Err(), "connect to peer")
	}
	return newMux(conn, true, link)
}

// call sends one request and returns its first answer. The error is a
// *verdict.Error if the peer refused the request, and another error if no answer
// arrived.
func (c *Client) call(ctx context.Context, addr string, req *peerpb.Request) (*peerpb.Response, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	x, err := c.request(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	defer x.incoming.onSilence(callTimeout, func() { cancel(context.DeadlineExceeded) })()
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
