package admin

import (
	"encoding/json"
	"net/http"
	"sort"
	"time"

	"topazmoor/internal/catalog"
	"topazmoor/internal/settings"
	"topazmoor/internal/verdict"
)

// stopShare is the part of the live nodes that may be stopping at once.
const stopShare = 4

// stop stops this node now.
func (s *Server) stop(_ *http.Request, op settings.Operator) (any, error) {
	s.cfg.Log.Info("stop ordered", "operator", op.Name)
	s.cfg.Stop(op.Name)
	return s.cfg.Status(), nil
}

// scheduleStop stores the order that a node stops at a time. It is refused when
// too many nodes would be stopping then.
func (s *Server) scheduleStop(r *http.Request, op settings.Operator) (any, error) {
	node := r.PathValue("node")
	at, err := time.Parse(time.RFC3339, r.URL.Query().Get("at"))
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.InvalidRequest, "at: write a time such as 2026-12-02T15:04:05Z")
	}
	if !at.After(time.Now()) {
		return nil, verdict.New(verdict.NotRun, verdict.InvalidRequest, "at: %s has passed", at.Format(time.RFC3339))
	}
	cur := s.cfg.Catalog()
	limit := max(1, liveNodes(s.cfg.Status())/stopShare)
	if free := nextFree(cur.Stops(), node, at, limit, s.cfg.StopTime); !free.Equal(at) {
		return nil, verdict.New(verdict.NotRun, verdict.Overloaded,
			"%d nodes stop around %s already, and at most %d may at once: take %s",
			limit, at.Format(time.RFC3339), limit, free.Format(time.RFC3339))
	}
	value, err := json.Marshal(catalog.Stop{Node: node, At: at})
	if err != nil {
		return nil, err
	}
	items := append(oldStops(cur.Stops(), time.Now()), catalog.Item{Kind: catalog.StopItem, Name: node, Value: value})
	// On the revision that was looked at: of two operators at once one is told
	// to look again.
	return s.submit(r.Context(), op, ApplyRequest{Base: cur.Revision, Note: "scheduled stop"}, items)
}

func (s *Server) cancelStop(r *http.Request, op settings.Operator) (any, error) {
	return s.submit(r.Context(), op, ApplyRequest{Note: "end scheduled stop"}, []catalog.Item{{Kind: catalog.StopItem, Name: r.PathValue("node")}})
}

func liveNodes(st Status) int {
	n := 0
	for _, node := range st.Nodes {
		if node.State == "self" || node.State == "alive" || node.State == "suspect" {
			n++
		}
	}
	return n
}

// nextFree returns the first time, from at on, at which fewer than limit other
// nodes are stopping; a stop takes up to span.
func nextFree(stops map[string]catalog.Stop, node string, at time.Time, limit int, span time.Duration) time.Time {
	var others []time.Time
	for name, st := range stops {
		if name != node {
			others = append(others, st.At)
		}
	}
	sort.Slice(others, func(i, j int) bool { return others[i].Before(others[j]) })
	for {
		var first time.Time
		n := 0
		for _, o := range others {
			if o.After(at.Add(-span)) && o.Before(at.Add(span)) {
				n++
				if first.IsZero() {
					first = o
				}
			}
		}
		if n < limit {
			return at
		}
		at = first.Add(span)
	}
}

// oldStops returns items that delete orders that have passed.
func oldStops(stops map[string]catalog.Stop, now time.Time) []catalog.Item {
	var out []catalog.Item
	for name, st := range stops {
		if now.Sub(st.At) > time.Hour {
			out = append(out, catalog.Item{Kind: catalog.StopItem, Name: name})
		}
	}
	return out
}
