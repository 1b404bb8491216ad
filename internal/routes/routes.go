// Package routes is the configuration of pass-through requests: which service
// a caller's own HTTP message goes to, which stages run before it, and which
// client accounts may send it. A Config is immutable and swapped whole.
package routes

import (
	"net"
	"slices"
	"strings"
	"time"

	"topazmoor/internal/region"
)

// Kind says what may be repeated on a route.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NotIdempotent requests run at most once.
	NotIdempotent
	// Stream answers are series of events; they run at most once unless the
	// route is resumable.
	Stream
)

// Config is one version of the configuration.
type Config struct {
	// Version only rises.
	Version  int64
	Services map[string]*Service
	Limits   Limits

	byHost   map[string][]*Route
	accounts map[string]*Account
	// demandsKey is set when there are accounts at all.
	demandsKey bool
	// routeRanks is the number of priorities that routes can have.
	routeRanks int
}

// Limits bound what a caller may send; 0 means the node's own default.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout bounds the reading of a request, IdleTimeout the pause
	// between two requests of a connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route sends requests of a host and path prefix to a service.
type Route struct {
	Name, Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time a request is kept, Objective the time within
	// which the answer (of a stream, its first event) has its full value.
	Timeout, Objective time.Duration
	// MaxGap is the longest pause between events that is still in time.
	MaxGap time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Split lists the services with their shares; usually one.
	Split []Share
	// MaxAttempts is the most targets that one request may run at.
	MaxAttempts int
	// Stages run before the request, in the order of their numbers.
	Stages []Stage
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target.
	Resumable bool
	// Regions are those in which requests may be served.
	Regions region.Set
}

// Share is one service of a route and its weight.
type Share struct {
	Service string
	Weight  int
}

// Stage is work that must be done before a request can run.
type Stage struct {
	Service string
	// After lists the stages whose results this one reads.
	After []int
	// ResultBytes is the approximate size of one result.
	ResultBytes int64
}

// Service is a pool of targets.
type Service struct {
	Name string
	// MaxConns is how many connections a target accepts from all callers.
	MaxConns int
	// WarmupRate is how many calls a second a cold target bears from all nodes together; 0
	// for no bound.
	WarmupRate float64
	// Batch is set for stage pools, Engine for model engines.
	Batch  *Batch
	Engine *Engine
}

// Batch is what one target of a stage pool does.
type Batch struct {
	// Slots is the number of calls in progress at once, Queue of those that may
	// wait, Items the most pieces of a call.
	Slots, Queue, Items int
	// CallTime is the time of a call whatever it holds, ItemTime that of each
	// piece; both are approximate.
	CallTime, ItemTime time.Duration
	// RoomBytes is the space for results, Keep how long a result is kept.
	RoomBytes int64
	Keep      time.Duration
}

// Engine is what one model engine does.
type Engine struct {
	Slots int
	// MemoryTokens bounds running requests and cached prompt parts together.
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority goes before that of the route; nil for none.
	Priority *int
	// Regions are those in which the account's requests may be served.
	Regions region.Set
}

// Key gives an account to requests that carry a credential.
type Key struct {
	Credential string
	Account    *Account
}

// New builds a Config. demandsKey says that requests on routes that are not
// public need a key, also when no key is left.
func New(version int64, all []*Route, services map[string]*Service, keys []Key, demandsKey bool, limits Limits) *Config {
	c := &Config{
		Version: version, Services: services, Limits: limits, demandsKey: demandsKey,
		byHost: make(map[string][]*Route), accounts: make(map[string]*Account, len(keys)),
	}
	for _, r := range all {
		c.routeRanks = max(c.routeRanks, r.Priority+1)
		host := hostName(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, rs := range c.byHost {
		slices.SortStableFunc(rs, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, k := range keys {
		c.accounts[k.Credential] = k.Account
	}
	return c
}

// hostName drops a port and folds case.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// Match returns the route of a host with the longest prefix of the path, or
// nil.
func (c *Config) Match(host, path string) *Route {
	for _, r := range c.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Account returns the account that holds a credential, or nil.
func (c *Config) Account(credential string) *Account { return c.accounts[credential] }

// Rank returns the place of a request among all others; 0 is the most urgent. The
// account's priority goes before the route's, which decides between requests of
// accounts with the same one. Requests without an account's priority have the route's
// in its place.
func (c *Config) Rank(r *Route, a *Account) int {
	first := r.Priority
	if a != nil && a.Priority != nil {
		first = *a.Priority
	}
	return max(first, 0)*max(c.routeRanks, 1) + max(r.Priority, 0)
}

// Regions returns where a request may be served; a is nil without an account.
func (c *Config) Regions(r *Route, a *Account) region.Set {
	if a == nil {
		return r.Regions
	}
	return r.Regions.And(a.Regions)
}

// NeedsKey reports whether requests on a route need a credential.
func (c *Config) NeedsKey(r *Route) bool { return c.demandsKey && !r.Public }

// Repeatable reports whether a request on the route may be sent again after a
// target may have begun to work on it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Choose returns the service for a request; at is a number from 0 to 1 that is
// drawn once for the request.
func (r *Route) Choose(at float64) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	left := at * float64(total)
	for _, s := range r.Split {
		left -= float64(s.Weight)
		if left < 0 {
			return s.Service
		}
	}
	if len(r.Split) == 0 {
		return ""
	}
	return r.Split[len(r.Split)-1].Service
}
