package admin

import (
	"context"
	"fmt"
	"net"
	"sort"
	"strings"
	"sync"
	"time"

	"topazmoor/internal/control"
)

const (
	// refusalInterval is the least time between two records of refusals, which
	// bounds the writes that strangers can cause.
	refusalInterval = 10 * time.Second
	// refusalSources is how many sources one record names.
	refusalSources = 8
)

// refusals collects refused calls between two records.
type refusals struct {
	mu      sync.Mutex
	total   int
	sources map[string]int
}

func (r *refusals) note(source string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if r.sources == nil {
		r.sources = make(map[string]int)
	}
	if _, known := r.sources[source]; known || len(r.sources) < refusalSources {
		r.sources[source]++
	}
}

// take returns the collected refusals as text, or "" for none, and starts anew.
func (r *refusals) take() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.total == 0 {
		return ""
	}
	parts := make([]string, 0, len(r.sources))
	for s, n := range r.sources {
		parts = append(parts, fmt.Sprintf("%s: %d", s, n))
	}
	sort.Strings(parts)
	text := fmt.Sprintf("%d calls; %s", r.total, strings.Join(parts, ", "))
	r.total, r.sources = 0, nil
	return text
}

// Serve records refusals in the audit trail. It implements suture.Service.
func (s *Server) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(refusalInterval):
		}
		text := s.refusals.take()
		if text == "" {
			continue
		}
		e := control.Event{At: time.Now().UTC(), Node: s.cfg.Node, Kind: control.Refused, Object: "admin", Detail: text}
		if err := s.cfg.RecordEvent(ctx, e); err != nil {
			s.cfg.Log.Warn("refusals not recorded", "refusals", text, "err", err)
		}
	}
}

func hostOf(addr string) string {
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return addr
	}
	return host
}
