package peer

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"topazmoor/internal/catalog"
	"topazmoor/internal/ledger"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/traffic"
	"topazmoor/internal/verdict"
)

// serveTimeout bounds the handling of one call from a peer, except Follow and Connect.
const serveTimeout = 30 * time.Second

const (
	// minSessionLimit is the minimum of the connection limit. After its start a server receives
	// connections from nodes that it does not know yet.
	minSessionLimit = 1024
	// sessionsPerNode is the number of connections in the limit for each known node: one in use
	// and one that is being replaced.
	sessionsPerNode = 2
)

// Handler holds the functions and services that answer the calls of other nodes.
type Handler struct {
	// Nodes returns the number of known nodes. If it is nil, the connection limit is
	// minSessionLimit.
	Nodes func() int
	// Registries is the ledger of this node. If it is nil, the server refuses the calls for
	// claims, changes, snapshots and demand.
	Registries ledger.Registry
	// Changes returns the accepted changes after a revision, or nil if this node no
	// longer has all of them.
	Changes func(after int64) []catalog.Change
	// Snapshot returns the configuration in force.
	Snapshot func() (int64, []catalog.Item)
	// Demand returns the demand at this node by model.
	Demand func() []scheduler.ModelDemand
	// Stages handles orders for stage results. If it is nil, orders are refused.
	Stages Stages
	// Publisher sends updates to nodes that follow this one. If it is nil, Follow is refused.
	Publisher Publisher
	// Ends receives ends of target processes that other nodes could not write to the store.
	// If it is nil, they are dropped.
	Ends Ends
	// Permits grants permits of rate limits that nodes share. If it is nil, requests for
	// permits are refused.
	Permits Permits
	// Rollouts decides on roll-outs of versions. If it is nil, reports are refused.
	Rollouts Rollouts
	// Streams keeps records of streams for other nodes. If it is nil, they are refused.
	Streams Streams
	// Targets connects to targets on behalf of other nodes. If it is nil, Connect is refused.
	Targets Targets
	// Versions exchanges configuration versions along with orders; nil disables that.
	Versions Versions
	// Traffic counts what is exchanged with other nodes; nil for nothing.
	Traffic *traffic.Meter
	// Handshakes bounds the connections that are not authenticated yet; 0 for minSessionLimit.
	Handshakes int
}

// Server accepts connections of other nodes. It implements suture.Service.
type Server struct {
	listener net.Listener
	key      []byte
	node     string
	h        Handler
	log      *slog.Logger

	packer packer

	mu       sync.Mutex
	sessions map[*muxConn]bool
	// conns are the connections of the sessions, and those whose handshake is in progress.
	conns  map[net.Conn]bool
	closed bool
	// handshakes are the connections whose handshake is in progress.
	handshakes handshakes
}

// NewServer returns a server that accepts connections from l and sends node as its name.
func NewServer(l net.Listener, key []byte, node string, h Handler, log *slog.Logger) *Server {
	if h.Versions == nil {
		h.Versions = noVersions{}
	}
	return &Server{listener: l, key: key, node: node, h: h, log: log, sessions: make(map[*muxConn]bool), conns: make(map[net.Conn]bool)}
}

// Addr returns the address on which the server listens.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections, also those whose handshake is in progress.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for sess := range s.sessions {
		sess.Close()
	}
	for c := range s.conns {
		c.Close()
	}
}

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	// The listener may also be closed by its owner.
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return suture.ErrDoNotRestart
		}
		if err != nil {
			s.log.Warn("peer connection not accepted", "err", err)
			return err
		}
		go s.session(ctx, c)
	}
}

// session authenticates a connection and handles the calls on it until it ends.
func (s *Server) session(ctx context.Context, c net.Conn) {
	if !s.track(c) {
		c.Close()
		return
	}
	defer s.untrack(c)
	defer s.handshakeEnded(c)
	link := s.h.Traffic.Link()
	counted := link.Conn(c)
	defer counted.Close()
	peer, err := handshake(counted, s.key, s.node, false)
	if err != nil {
		s.log.Warn("peer handshake failed", "remote", c.RemoteAddr().String(), "err", err)
		return
	}
	s.handshakeEnded(c)
	link.SetNode(peer)
	sess, err := newMux(counted, false, link)
	if err != nil {
		s.log.Warn("peer connection failed", "peer", peer, "err", err)
		return
	}
	defer sess.Close()
	if !s.add(sess) {
		s.log.Warn("peer connection refused: too many connections", "peer", peer)
		return
	}
	defer s.remove(sess)
	for {
		st, err := sess.AcceptStream()
		if err != nil {
			return
		}
		go s.call(ctx, st)
	}
}

// track records a connection that Close must close. It returns false if the server is closed, or has as many handshakes
// in progress as it may.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || !s.handshakes.add(c, s.handshakeLimit(), time.Now()) {
		return false
	}
	s.conns[c] = true
	return true
}

// handshakeLimit returns the limit of connections that are not authenticated yet.
func (s *Server) handshakeLimit() int {
	if s.h.Handshakes == 0 {
		return minSessionLimit
	}
	return s.h.Handshakes
}

// handshakeEnded removes a connection from those whose handshake is in progress.
func (s *Server) handshakeEnded(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handshakes.remove(c)
}

// untrack removes a connection that has ended.
func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// add registers a session. It returns false if that would exceed the limit.
func (s *Server) add(sess *muxConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.sessionLimit() {
		return false
	}
	s.sessions[sess] = true
	return true
}

// sessionLimit returns the limit of connections. It keeps peers that do not close their connections
// from exhausting this process, and lets all known nodes connect at the same time.
func (s *Server) sessionLimit() int {
	if s.h.Nodes == nil {
		return minSessionLimit
	}
	return max(minSessionLimit, sessionsPerNode*s.h.Nodes())
}

// remove removes a session that has ended.
func (s *Server) remove(sess *muxConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

// call handles one call: it reads the request from the stream and writes the answers.
func (s *Server) call(serverCtx context.Context, st *stream) {
	defer st.Close()
	ctx, cancel := context.WithTimeout(serverCtx, serveTimeout)
	defer cancel()
	st.SetDeadline(time.Now().Add(serveTimeout))
	req := &peerpb.Request{}
	if err := st.receiveRequest(req); err != nil {
		return
	}
	if f := req.GetFollow(); f != nil {
		s.serveFollow(serverCtx, st, f)
		return
	}
	if m := req.GetConnect(); m != nil {
		s.serveConnect(serverCtx, st, m)
		return
	}
	resp, err := s.answer(ctx, st, req)
	if err != nil {
		resp = &peerpb.Response{Refusal: refusalOf(err)}
	}
	if err := st.send(resp); err != nil {
		s.log.Debug("send answer to peer failed", "err", err)
	}
}

// serveFollow handles a Follow call, which lasts until the follower closes its stream.
func (s *Server) serveFollow(ctx context.Context, st *stream, f *peerpb.Follow) {
	err := s.follow(ctx, st, f)
	if errors.Is(err, context.Canceled) {
		return
	}
	if err := st.send(&peerpb.Response{Refusal: refusalOf(err)}); err != nil {
		s.log.Debug("send answer to peer failed", "err", err)
	}
}

// answer handles a request other than Follow and returns its final answer.
func (s *Server) answer(ctx context.Context, st *stream, req *peerpb.Request) (*peerpb.Response, error) {
	switch call := req.Call.(type) {
	case *peerpb.Request_Ends:
		return s.ends(call.Ends), nil
	case *peerpb.Request_Permits:
		return s.permits(call.Permits)
	case *peerpb.Request_Rollout:
		return s.rollout(ctx, call.Rollout)
	case *peerpb.Request_Waits:
		return s.waits(call.Waits)
	case *peerpb.Request_Streams:
		return s.streams(call.Streams)
	case *peerpb.Request_FindStream:
		return s.findStream(ctx, call.FindStream)
	case *peerpb.Request_Produce:
		return s.produce(ctx, st, call.Produce)
	case *peerpb.Request_Free:
		if s.h.Stages != nil {
			free := s.h.Stages.Free
			if call.Free.GetIfTight() {
				free = s.h.Stages.FreeIfNearlyFull
			}
			free(call.Free.GetService(), call.Free.GetHandle())
		}
		return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}, nil
	}
	if s.h.Registries == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node keeps no books")
	}
	switch call := req.Call.(type) {
	case *peerpb.Request_Claim:
		g, err := s.h.Registries.Claim(ctx, claimFrom(call.Claim))
		return &peerpb.Response{Result: &peerpb.Response_Grant{Grant: grantTo(g)}}, err
	case *peerpb.Request_Finish:
		err := s.h.Registries.Finish(ctx, claimFrom(call.Finish.GetClaim()), outcomeFrom(call.Finish.Outcome))
		return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}, err
	case *peerpb.Request_Lookup:
		rec, found, err := s.h.Registries.Lookup(ctx, keyFrom(call.Lookup))
		return &peerpb.Response{Result: &peerpb.Response_Found{Found: foundTo(rec, found)}}, err
	case *peerpb.Request_Changes:
		return changesTo(s.h.Changes(call.Changes.Revision))
	case *peerpb.Request_Snapshot:
		return snapshotTo(s.h.Snapshot())
	case *peerpb.Request_Demand:
		return demandTo(s.h.Demand()), nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.Internal, "the call is not known to this version")
}
