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
	"topazmoor/internal/verdict"
)

// serveTimeout bounds the work for one call of a peer.
const serveTimeout = 30 * time.Second

const (
	// leastSessions is the bound of the connections of a server that knows few nodes: at a start
	// others come before it knows them.
	leastSessions = 1024
	// sessionsPerNode is the bound for each node that it knows: one connection in use and one
	// that is replaced.
	sessionsPerNode = 2
)

// Handler answers the calls of other nodes.
type Handler struct {
	// Nodes is how many nodes this one knows; nil for few.
	Nodes func() int
	// Books are this node's own books.
	Books ledger.Book
	// Changes returns the accepted changes after a revision that this node
	// still remembers, or nil when it cannot.
	Changes func(after int64) []catalog.Change
	// Snapshot returns the configuration in force.
	Snapshot func() (int64, []catalog.Item)
	// Demand returns the demand by model at this node.
	Demand func() []scheduler.ModelDemand
	// Stages answers orders for stage results; nil at nodes without them.
	Stages Stages
	// Teller answers nodes that follow this one; nil at nodes without it.
	Teller Teller
	// Ends takes in ends of targets that other nodes could not write; nil for nobody.
	Ends Ends
	// Permits grants permits of rates that nodes share; nil at nodes without them.
	Permits Permits
	// Rollouts decides on roll-outs of versions; nil at nodes without them.
	Rollouts Rollouts
	// Versions exchanges configuration versions with orders; nil for not.
	Versions Versions
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
}

// NewServer returns a server on a listener.
func NewServer(l net.Listener, key []byte, node string, h Handler, log *slog.Logger) *Server {
	if h.Versions == nil {
		h.Versions = unversioned{}
	}
	return &Server{listener: l, key: key, node: node, h: h, log: log, sessions: make(map[*muxConn]bool)}
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close ends everything at once.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for sess := range s.sessions {
		sess.Close()
	}
}

// Serve implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return suture.ErrDoNotRestart
		}
		if err != nil {
			return err
		}
		go s.session(ctx, c)
	}
}

func (s *Server) session(ctx context.Context, c net.Conn) {
	defer c.Close()
	peer, err := handshake(c, s.key, s.node, false)
	if err != nil {
		s.log.Warn("peer refused", "remote", c.RemoteAddr().String(), "err", err)
		return
	}
	sess, err := newMux(c, false)
	if err != nil {
		return
	}
	defer sess.Close()
	if !s.add(sess) {
		s.log.Warn("peer refused: too many connections", "peer", peer)
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

func (s *Server) add(sess *muxConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.sessions) >= s.mostSessions() {
		return false
	}
	s.sessions[sess] = true
	return true
}

// mostSessions bounds the connections, so that callers that do not close theirs cannot use up the
// process. All nodes may call this one at the same time.
func (s *Server) mostSessions() int {
	if s.h.Nodes == nil {
		return leastSessions
	}
	return max(leastSessions, sessionsPerNode*s.h.Nodes())
}

func (s *Server) remove(sess *muxConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, sess)
}

func (s *Server) call(life context.Context, st *stream) {
	defer st.Close()
	ctx, cancel := context.WithTimeout(life, serveTimeout)
	defer cancel()
	st.SetDeadline(time.Now().Add(serveTimeout))
	req := &peerpb.Request{}
	if err := readFrame(st, req, maxFrame); err != nil {
		return
	}
	if f := req.GetFollow(); f != nil {
		s.serveFollow(life, st, f)
		return
	}
	resp, err := s.answer(ctx, st, req)
	if err != nil {
		resp = &peerpb.Response{Refusal: refusalOf(err)}
	}
	if err := writeFrame(st, resp); err != nil {
		s.log.Debug("peer left before its answer", "err", err)
	}
}

// serveFollow answers a node that follows this one for as long as it wants.
func (s *Server) serveFollow(ctx context.Context, st *stream, f *peerpb.Follow) {
	err := s.follow(ctx, st, f)
	if errors.Is(err, context.Canceled) {
		return
	}
	if err := writeFrame(st, &peerpb.Response{Refusal: refusalOf(err)}); err != nil {
		s.log.Debug("peer left before its answer", "err", err)
	}
}

func (s *Server) answer(ctx context.Context, st *stream, req *peerpb.Request) (*peerpb.Response, error) {
	switch call := req.Call.(type) {
	case *peerpb.Request_Ends:
		return s.ends(call.Ends), nil
	case *peerpb.Request_Permits:
		return s.permits(call.Permits)
	case *peerpb.Request_Rollout:
		return s.rollout(ctx, call.Rollout)
	case *peerpb.Request_Produce:
		return s.produce(ctx, st, call.Produce)
	case *peerpb.Request_Free:
		if s.h.Stages != nil {
			free := s.h.Stages.Free
			if call.Free.GetIfTight() {
				free = s.h.Stages.FreeIfTight
			}
			free(call.Free.GetService(), call.Free.GetHandle())
		}
		return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}, nil
	}
	if s.h.Books == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node keeps no books")
	}
	switch call := req.Call.(type) {
	case *peerpb.Request_Claim:
		g, err := s.h.Books.Claim(ctx, claimFrom(call.Claim))
		return &peerpb.Response{Result: &peerpb.Response_Grant{Grant: grantTo(g)}}, err
	case *peerpb.Request_Finish:
		err := s.h.Books.Finish(ctx, claimFrom(call.Finish.GetClaim()), outcomeFrom(call.Finish.Outcome))
		return &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}, err
	case *peerpb.Request_Lookup:
		rec, found, err := s.h.Books.Lookup(ctx, keyFrom(call.Lookup))
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
