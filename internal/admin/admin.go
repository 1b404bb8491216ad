// Package admin serves the administration API: operators read and change the
// configuration, drain target hosts, stop nodes, and read the audit trail.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"strconv"
	"strings"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/config"
	"topazmoor/internal/control"
	"topazmoor/internal/frontdoor"
	"topazmoor/internal/region"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/strictjson"
	"topazmoor/internal/verdict"
)

// Paths of the administration API.
const (
	PathStatus = "/v1/status"
	PathConfig = "/v1/config"
	PathAudit  = "/v1/audit"
	PathEvents = "/v1/events"
	PathDrains = "/v1/drains/"
	// PathDataCentreDrains is followed by the name of a data centre.
	PathDataCentreDrains = "/v1/data-centre-drains/"
	PathStop             = "/v1/stop"
	PathRevert           = "/v1/revert"
	// PathRollouts is followed by the name of a pool.
	PathRollouts = "/v1/rollouts/"
)

// maxBody bounds the body of a call, in bytes.
const maxBody = 16 << 20

// commitTimeout bounds the tries to commit a change.
const commitTimeout = 10 * time.Second

// Config is what a Server is built from.
type Config struct {
	Node      string
	Operators []settings.Operator
	Catalog   func() *catalog.Compiled
	Store     *config.Store
	// Offers returns why no target of a pool in the regions serves a model with an adapter, or "".
	Offers func(pool, model, adapter string, regions region.Set) string
	// Regions gives the region of each data centre; without entries, names of regions are not
	// checked.
	Regions region.Map
	// Rollouts knows of the roll-outs.
	Rollouts Rollouts
	// Events returns the events after a time, and RecordEvent stores one.
	Events      func(ctx context.Context, after time.Time, limit int) ([]control.Event, error)
	RecordEvent func(ctx context.Context, e control.Event) error
	// Offer puts an accepted change in force here and tells the peers.
	Offer func(catalog.Change) bool
	// Status describes the node and its peers.
	Status func() Status
	// Refresh asks the peers for their revisions before a status.
	Refresh func(ctx context.Context)
	// Stop starts the graceful shutdown of this node, which takes StopTime at
	// most.
	Stop     func(by string)
	StopTime time.Duration
	NewID    func() string
	Log      *slog.Logger
}

// Status is the answer of a status call.
type Status struct {
	Node     string `json:"node"`
	Ready    bool   `json:"ready"`
	Reason   string `json:"reason,omitempty"`
	Revision int64  `json:"revision"`
	Accounts int    `json:"accounts"`
	InFlight int64  `json:"in_flight"`
	// Nodes lists all nodes that this one knows of, itself included.
	Nodes []NodeStatus `json:"nodes"`
	// Hosts is the number of target hosts and Drained the hosts that get no
	// new work by order of an operator.
	Hosts   int      `json:"hosts"`
	Drained []string `json:"drained"`
	// Regions describes the regions that the node knows, in the order of their names.
	Regions []RegionStatus `json:"regions,omitempty"`
}

// RegionStatus describes one region as a node sees it.
type RegionStatus struct {
	Name        string   `json:"name"`
	DataCentres []string `json:"data_centres"`
	// Hosts is the number of target hosts in the region, Serving that of those that get new work.
	Hosts   int `json:"hosts"`
	Serving int `json:"serving"`
	// Accounts is the number of accounts with a pipeline that is bound to regions, this one among
	// them.
	Accounts int `json:"accounts"`
}

// NodeStatus describes one node as seen by another.
type NodeStatus struct {
	Name       string `json:"name"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
	Revision   int64  `json:"revision"`
}

// Server serves the administration API. It implements http.Handler.
type Server struct {
	cfg      Config
	mux      *http.ServeMux
	refusals refusals
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, mux: http.NewServeMux()}
	s.read("GET "+PathStatus, s.status)
	s.read("GET "+PathConfig+"/{kind}/{name}", s.object)
	s.read("GET "+PathAudit, s.audit)
	s.read("GET "+PathEvents, s.events)
	s.write("POST "+PathConfig, s.apply)
	s.write("POST "+PathRevert, s.revert)
	s.write("PUT "+PathDrains+"{host}", s.drain)
	s.write("DELETE "+PathDrains+"{host}", s.undrain)
	s.write("PUT "+PathDataCentreDrains+"{data_centre}", s.drainDataCentre)
	s.write("DELETE "+PathDataCentreDrains+"{data_centre}", s.undrainDataCentre)
	s.read("GET "+PathRollouts+"{pool}", s.rolloutStatus)
	s.write("PUT "+PathRollouts+"{pool}", s.startRollout)
	s.write("DELETE "+PathRollouts+"{pool}", s.stopRollout)
	s.write("POST "+PathStop, s.stop)
	s.write("PUT "+PathStop+"/{node}", s.scheduleStop)
	s.write("DELETE "+PathStop+"/{node}", s.cancelStop)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// handler answers with a value, which is sent as JSON, or an error.
type handler func(r *http.Request, op settings.Operator) (any, error)

func (s *Server) read(pattern string, h handler) { s.route(pattern, h, false) }

func (s *Server) write(pattern string, h handler) { s.route(pattern, h, true) }

func (s *Server) route(pattern string, h handler, changes bool) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
		op, err := s.authorize(r, changes)
		if err != nil {
			s.refuse(w, err)
			return
		}
		v, err := h(r, op)
		if err != nil {
			s.refuse(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the operator left.
		_ = json.NewEncoder(w).Encode(v)
	})
}

func (s *Server) authorize(r *http.Request, changes bool) (settings.Operator, error) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	hash := hex.EncodeToString(sum[:])
	for _, op := range s.cfg.Operators {
		if subtle.ConstantTimeCompare([]byte(hash), []byte(strings.ToLower(op.TokenSHA256))) != 1 {
			continue
		}
		if changes && op.ReadOnly {
			s.cfg.Log.Warn("operator refused", "operator", op.Name, "method", r.Method, "path", r.URL.Path)
			s.refusals.note(op.Name + " (read only)")
			return op, verdict.New(verdict.NotRun, verdict.Forbidden, "operator %s may only read", op.Name)
		}
		return op, nil
	}
	s.refusals.note("unknown token from " + hostOf(r.RemoteAddr))
	s.cfg.Log.Warn("unknown operator token", "remote", r.RemoteAddr, "method", r.Method, "path", r.URL.Path)
	return settings.Operator{}, verdict.New(verdict.NotRun, verdict.Unauthenticated, "send an operator's token as Authorization: Bearer TOKEN")
}

// Conflict is the body of a refusal of an outdated change.
type Conflict struct {
	frontdoor.Problem
	Base  int64            `json:"base"`
	Head  int64            `json:"head"`
	Since []catalog.Change `json:"since"`
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	var conflict *config.ConflictError
	var probs strictjson.Problems
	switch {
	case errors.As(err, &conflict):
		s.refuseOutdated(w, conflict)
		return
	case errors.As(err, &probs):
		err = verdict.New(verdict.NotRun, verdict.InvalidRequest, "%s", probs.Error())
	case errors.Is(err, store.ErrUnavailable):
		err = verdict.New(verdict.NotRun, verdict.StoreUnavailable, "the table service does not answer; nothing was changed").After(5 * time.Second)
	case errors.Is(err, store.ErrUnknown):
		err = verdict.New(verdict.MayHaveRun, verdict.StoreUnavailable, "the table service did not confirm the change: look it up by `topazmoor audit` before you repeat it").After(5 * time.Second)
	}
	frontdoor.NewProblem(err, "", s.cfg.Node).Write(w)
}

func (s *Server) refuseOutdated(w http.ResponseWriter, c *config.ConflictError) {
	p := frontdoor.NewProblem(verdict.New(verdict.NotRun, verdict.RevisionConflict, "%s", c.Error()), "", s.cfg.Node)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(Conflict{Problem: p, Base: c.Base, Head: c.Head, Since: c.Since})
}

func (s *Server) status(r *http.Request, _ settings.Operator) (any, error) {
	s.cfg.Refresh(r.Context())
	return s.cfg.Status(), nil
}

func (s *Server) object(r *http.Request, _ settings.Operator) (any, error) {
	obj := s.cfg.Catalog().Object(catalog.Kind(r.PathValue("kind")), r.PathValue("name"))
	if obj == nil {
		return nil, verdict.New(verdict.NotRun, verdict.NotFound, "there is no %s %q", r.PathValue("kind"), r.PathValue("name"))
	}
	return obj, nil
}

// auditPage is the most records of one audit call.
const auditPage = 200

// audit returns changes after a revision, filtered by operator and object.
func (s *Server) audit(r *http.Request, _ settings.Operator) (any, error) {
	q := r.URL.Query()
	after, err := strconv.ParseInt("0"+q.Get("after"), 10, 64)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.InvalidRequest, "after: write a revision number")
	}
	changes, err := s.cfg.Store.Changes(r.Context(), after, auditPage)
	if err != nil {
		return nil, err
	}
	out := []catalog.Change{}
	for _, c := range changes {
		if matches(c, q.Get("by"), q.Get("object")) {
			out = append(out, c)
		}
	}
	return out, nil
}

func matches(c catalog.Change, by, object string) bool {
	if by != "" && c.By != by {
		return false
	}
	if object == "" {
		return true
	}
	for _, it := range c.Items {
		if it.Key() == object {
			return true
		}
	}
	return false
}

// events returns what happened beside changes: take-overs and refusals.
func (s *Server) events(r *http.Request, _ settings.Operator) (any, error) {
	var after time.Time
	if v := r.URL.Query().Get("after"); v != "" {
		var err error
		if after, err = time.Parse(time.RFC3339, v); err != nil {
			return nil, verdict.New(verdict.NotRun, verdict.InvalidRequest, "after: write a time such as 2026-12-02T15:04:05Z")
		}
	}
	return s.cfg.Events(r.Context(), after, auditPage)
}

// ApplyRequest is the body of an apply call.
type ApplyRequest struct {
	// Base is the revision that the operator looked at; 0 takes the current.
	Base int64 `json:"base"`
	// DryRun validates and compares without a change.
	DryRun bool   `json:"dry_run"`
	Note   string `json:"note"`
	// Force accepts models and adapters that no target offers now.
	Force bool `json:"force"`
	// Manifest is JSON with comments.
	Manifest string `json:"manifest" need:"true"`
}

// ApplyResult is the answer of an apply call.
type ApplyResult struct {
	Revision int64        `json:"revision"`
	Accepted bool         `json:"accepted"`
	Diff     []Difference `json:"diff"`
}

// Difference is what a change does to one object.
type Difference struct {
	Object string          `json:"object"`
	Action string          `json:"action"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

func (s *Server) apply(r *http.Request, op settings.Operator) (any, error) {
	var req ApplyRequest
	if err := decodeBody(r, &req); err != nil {
		return nil, err
	}
	src := []byte(req.Manifest)
	m, err := catalog.ParseManifest(src)
	if err != nil {
		return nil, catalog.AddLines(err, "", src)
	}
	items, err := m.Items()
	if err != nil {
		return nil, err
	}
	res, err := s.submit(r.Context(), op, req, items)
	return res, catalog.AddLines(err, "", src)
}

// submit validates items against the current configuration and commits them, unless req asks for a dry
// run or nothing would change. It fails with strictjson.Problems if they are not valid.
func (s *Server) submit(ctx context.Context, op settings.Operator, req ApplyRequest, items []catalog.Item) (ApplyResult, error) {
	cur := s.cfg.Catalog()
	base := req.Base
	if base == 0 {
		base = cur.Revision
	}
	diff := difference(cur, items)
	res := ApplyResult{Revision: cur.Revision, Diff: diff}
	if base == cur.Revision {
		next, err := cur.Apply(base+1, items)
		if err != nil {
			return ApplyResult{}, err
		}
		if err := next.CheckRegions(items, s.cfg.Regions).Err(); err != nil {
			return ApplyResult{}, err
		}
		if err := s.checkOffers(next.AffectedPlans(items)).Err(); err != nil && !req.Force {
			return ApplyResult{}, err
		}
	}
	if req.DryRun || (len(diff) == 0 && base == cur.Revision) {
		return res, nil
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	c := catalog.Change{ID: s.cfg.NewID(), By: op.Name, At: time.Now().UTC(), Note: req.Note, Items: items}
	accepted, err := s.cfg.Store.Submit(ctx, base, c)
	if err != nil {
		return ApplyResult{}, err
	}
	s.cfg.Offer(accepted)
	s.cfg.Log.Info("change accepted", "operator", op.Name, "revision", accepted.Revision, "items", len(items))
	res.Revision, res.Accepted = accepted.Revision, true
	return res, nil
}

// checkOffers finds stages whose model or adapter no target offers. Pools
// without any host are passed over: the host list may not have come yet.
func (s *Server) checkOffers(plans []catalog.PlanInRegions) strictjson.Problems {
	var probs strictjson.Problems
	seen := make(map[string]bool)
	for _, p := range plans {
		for _, st := range p.Stages {
			path := "template/" + p.Template + ".stages." + st.Name
			reason := s.cfg.Offers(st.Pool, st.Model, st.Adapter, p.Regions)
			if reason != "" && !seen[path+reason] {
				seen[path+reason] = true
				probs.Add(path, "%s: load it first, or apply with --force", reason)
			}
		}
	}
	return probs
}

func difference(cur *catalog.Compiled, items []catalog.Item) []Difference {
	var out []Difference
	for _, it := range items {
		before := cur.Object(it.Kind, it.Name)
		d := Difference{Object: it.Key(), Before: before, After: it.Value}
		switch {
		case before == nil && it.Value == nil, string(before) == string(it.Value):
			continue
		case before == nil:
			d.Action = "create"
		case it.Value == nil:
			d.Action = "delete"
		default:
			d.Action = "change"
		}
		out = append(out, d)
	}
	return out
}

func (s *Server) drain(r *http.Request, op settings.Operator) (any, error) {
	host := r.PathValue("host")
	value, err := json.Marshal(catalog.Drain{Host: host, Reason: r.URL.Query().Get("reason")})
	if err != nil {
		return nil, err
	}
	return s.submit(r.Context(), op, ApplyRequest{Note: "drain"}, []catalog.Item{{Kind: catalog.DrainItem, Name: host, Value: value}})
}

func (s *Server) undrain(r *http.Request, op settings.Operator) (any, error) {
	return s.submit(r.Context(), op, ApplyRequest{Note: "end drain"}, []catalog.Item{{Kind: catalog.DrainItem, Name: r.PathValue("host")}})
}

func (s *Server) drainDataCentre(r *http.Request, op settings.Operator) (any, error) {
	name := r.PathValue("data_centre")
	value, err := json.Marshal(catalog.DataCentreDrain{DataCentre: name, Reason: r.URL.Query().Get("reason")})
	if err != nil {
		return nil, err
	}
	return s.submit(r.Context(), op, ApplyRequest{Note: "drain data centre"}, []catalog.Item{{Kind: catalog.DataCentreDrainItem, Name: name, Value: value}})
}

func (s *Server) undrainDataCentre(r *http.Request, op settings.Operator) (any, error) {
	return s.submit(r.Context(), op, ApplyRequest{Note: "end drain of data centre"}, []catalog.Item{{Kind: catalog.DataCentreDrainItem, Name: r.PathValue("data_centre")}})
}
