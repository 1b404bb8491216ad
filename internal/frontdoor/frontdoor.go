// Package frontdoor serves the caller API: it authenticates the client
// account, admits the request, claims its key in the ledger if the request must
// not be repeated, runs it and sends one response: the complete answer or a
// refusal that states whether the request may have run.
package frontdoor

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/intake"
	"topazmoor/internal/ledger"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/region"
	"topazmoor/internal/verdict"
)

// Config configures a Server.
type Config struct {
	// Node is the name of this node.
	Node string
	// Catalog returns the current configuration.
	Catalog func() *catalog.Compiled
	// Runner runs the pipelines.
	Runner *pipeline.Runner
	// Ledger stores the claims of request keys and the outcomes.
	Ledger ledger.Registry
	// IssueTicket returns a new request ticket for an account.
	IssueTicket func(account string) string
	// NewID returns an ID that is unique among all nodes.
	NewID func() string
	// Share returns the part of each account's rate that this node may use, from 0
	// to 1.
	Share func() float64
	// Budget bounds the bodies of all calls.
	Budget *intake.Budget
	// BodyBytes is the maximum size of a body, Requests the maximum number of
	// requests in flight at this node.
	BodyBytes int64
	Requests  int
	// ReadTimeout is the maximum time for reading one body.
	ReadTimeout time.Duration
	Observer    Observer
	Log         *slog.Logger
}

// Observer receives the result of every run call that was accepted, and of every
// executed attempt at a batch item. It must not block.
type Observer interface {
	// RequestDone records one request. code is empty for a complete answer; met is
	// whether that was in time.
	RequestDone(account, pipeline string, class catalog.Class, code verdict.Code, took time.Duration, met bool)
}

// Server serves the caller API. It implements http.Handler.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	limits   *accountLimits
	inFlight atomic.Int64
	work     sync.WaitGroup
	// decoding has a place for the one larger body that is being decoded.
	decoding chan struct{}
}

// Paths of the caller API.
const (
	PathRun     = "/v1/pipelines/"
	PathTickets = "/v1/tickets"
	PathLookup  = "/v1/requests/"
)

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux(), limits: newAccountLimits(cfg.Share), decoding: make(chan struct{}, 1)}
	s.mux.HandleFunc("POST "+PathRun+"{pipeline}", s.run)
	s.mux.HandleFunc("POST "+PathTickets, s.ticket)
	s.mux.HandleFunc("GET "+PathLookup+"{key}", s.lookup)
	s.mux.HandleFunc("/", s.unknownPath)
	return s
}

// Handle registers a handler that is called for authenticated requests only.
func (s *Server) Handle(pattern string, h func(w http.ResponseWriter, r *http.Request, acct *catalog.CompiledAccount)) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		acct, err := s.authenticate(r)
		if err != nil {
			s.refuse(w, err, "")
			return
		}
		h(w, r, acct)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Wait returns when the work of all requests has ended, including the recording of
// outcomes and requests whose callers disconnected, or when ctx ends.
func (s *Server) Wait(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.work.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// unknownPath refuses a request for a path that the caller API does not have.
func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, verdict.New(verdict.NotRun, verdict.NotFound, "%s %s is not part of the caller API", r.Method, r.URL.Path), "")
}

func (s *Server) refuse(w http.ResponseWriter, err error, requestID string) {
	NewProblem(err, requestID, s.cfg.Node).Write(w)
}

// authenticate returns the account of the bearer token. The configuration holds
// only hashes of tokens, so the account is found by the hash of the token.
func (s *Server) authenticate(r *http.Request) (*catalog.CompiledAccount, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || token == "" {
		return nil, verdict.New(verdict.NotRun, verdict.Unauthenticated, "send the account's token as Authorization: Bearer TOKEN")
	}
	cfg := s.cfg.Catalog()
	acct := cfg.ByToken(token)
	if acct == nil && cfg.Revision == 0 {
		return nil, verdict.New(verdict.NotRun, verdict.NotReady, "the node has no configuration yet").After(time.Second)
	}
	if acct == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Unauthenticated, "the token belongs to no client account")
	}
	return acct, nil
}

// ticket issues a request ticket.
func (s *Server) ticket(w http.ResponseWriter, r *http.Request) {
	acct, err := s.authenticate(r)
	if err != nil {
		s.refuse(w, err, "")
		return
	}
	body, err := json.Marshal(Ticket{Ticket: s.cfg.IssueTicket(acct.Name), Node: s.cfg.Node})
	if err != nil {
		s.refuse(w, err, "")
		return
	}
	writeBody(w, http.StatusOK, body, 0)
}

// Ticket is the response body of a ticket call.
type Ticket struct {
	// Ticket is a request key: the Idempotency-Key of one request.
	Ticket string `json:"ticket"`
	Node   string `json:"node"`
}

// KeyStatus is the response body of a lookup of a request key: what is known of the request with it.
type KeyStatus struct {
	Key string `json:"key"`
	// State is unknown, in_progress, finished or lost. A key is lost if the claim
	// expired without an outcome, for instance because its node failed.
	State string `json:"state"`
	// Status and Answer are the recorded HTTP status and body, in state finished.
	Status int             `json:"status,omitempty"`
	Answer json.RawMessage `json:"answer,omitempty"`
}

// lookup returns the state of a request key of the account.
func (s *Server) lookup(w http.ResponseWriter, r *http.Request) {
	acct, err := s.authenticate(r)
	if err != nil {
		s.refuse(w, err, "")
		return
	}
	key := r.PathValue("key")
	rec, found, err := s.cfg.Ledger.Lookup(r.Context(), ledger.Key{Account: acct.Name, Key: key})
	if err != nil {
		s.refuse(w, verdict.WithPrior(err, verdict.MayHaveRun), "")
		return
	}
	body, err := json.Marshal(keyStatus(key, rec, found, time.Now()))
	if err != nil {
		s.refuse(w, err, "")
		return
	}
	writeBody(w, http.StatusOK, body, 0)
}

func keyStatus(key string, rec ledger.Record, found bool, now time.Time) KeyStatus {
	st := KeyStatus{Key: key, State: "in_progress"}
	switch {
	case !found:
		st.State = "unknown"
	case rec.Outcome != nil:
		st.State, st.Status, st.Answer = "finished", rec.Outcome.Status, rec.Outcome.Body
	case now.After(rec.Until):
		st.State = "lost"
	}
	return st
}

// run serves a run call.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := s.cfg.NewID()
	w.Header().Set(HeaderRequestID, id)
	acct, plan, err := s.planOf(r)
	if err != nil {
		s.refuseEarly(w, r, err, id)
		return
	}
	body, err := s.ReadBody(w, r)
	if err != nil {
		s.refuseEarly(w, r, err, id)
		return
	}
	defer body.Hold().Release()
	call, err := s.parseRun(r, body.Bytes(), plan)
	if err != nil {
		s.refuseEarly(w, r, err, id)
		return
	}
	s.newExchange(w, r, acct, plan, call, id, arrived).serve()
}

// refuseEarly refuses a run call that was not accepted. This attempt did not run,
// but an earlier one with the same key may have, at another node or under another
// configuration.
func (s *Server) refuseEarly(w http.ResponseWriter, r *http.Request, err error, id string) {
	p := NewProblem(err, id, s.cfg.Node)
	if r.Header.Get(HeaderKey) != "" {
		p.Verdict = verdict.MayHaveRun.String()
	}
	p.Write(w)
}

// planOf authenticates a run call and returns the plan of its pipeline.
func (s *Server) planOf(r *http.Request) (*catalog.CompiledAccount, *catalog.Plan, error) {
	acct, err := s.authenticate(r)
	if err != nil {
		return nil, nil, err
	}
	name := r.PathValue("pipeline")
	plan := acct.Plan(name)
	if plan == nil {
		return nil, nil, verdict.New(verdict.NotRun, verdict.UnknownPipeline, "the account has no pipeline %q", name)
	}
	return acct, plan, nil
}

// newExchange returns the exchange of a validated run call.
func (s *Server) newExchange(w http.ResponseWriter, r *http.Request, acct *catalog.CompiledAccount, plan *catalog.Plan, call runCall, id string, arrived time.Time) *exchange {
	name := r.PathValue("pipeline")
	req := &pipeline.Request{
		ID: id, Account: acct.Name, Pipeline: name, Plan: plan,
		Class: call.class, Deadline: arrived.Add(call.deadline), Input: call.input,
		Regions: s.regionsOf(acct, name),
	}
	return &exchange{s: s, w: w, r: r, acct: acct, req: req, call: call, arrived: arrived, revision: s.cfg.Catalog().Revision}
}

// regionsOf returns a function that gives the regions of an account's pipeline by the configuration in
// force when it is called. If the pipeline was removed since, they are those that it had in acct.
func (s *Server) regionsOf(acct *catalog.CompiledAccount, pipeline string) func() region.Set {
	return func() region.Set {
		if now := s.cfg.Catalog().Account(acct.Name); now != nil {
			if allowed, ok := now.Regions(pipeline); ok {
				return allowed
			}
		}
		allowed, _ := acct.Regions(pipeline)
		return allowed
	}
}

// admit counts a request against the limits of the node and of the account, or
// refuses it. leave must be called once when the request ends.
func (s *Server) admit(acct *catalog.CompiledAccount) (leave func(), err error) {
	if s.inFlight.Add(1) > int64(s.cfg.Requests) {
		s.inFlight.Add(-1)
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded, "the node works on %d requests", s.cfg.Requests).After(time.Second)
	}
	release, err := s.limits.admit(acct, time.Now())
	if err != nil {
		s.inFlight.Add(-1)
		return nil, err
	}
	s.work.Add(1)
	return func() {
		release()
		s.inFlight.Add(-1)
		s.work.Done()
	}, nil
}
