// Package routes holds the configuration of pass-through requests: which
// service a caller's HTTP message goes to, which stages run before it, and
// which client accounts may send it. A Config is immutable; a new configuration
// replaces it as a whole.
package routes

import (
	"net"
	"slices"
	"strings"
	"time"

	"topazmoor/internal/region"
)

// Kind says whether requests on a route may be repeated, and the form of their
// answers.
type Kind uint8

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NotIdempotent requests run at most once.
	NotIdempotent
	// Stream requests are answered by a series of events. They run at most once
	// unless the route is resumable.
	Stream
)

// Config is one version of the configuration.
type Config struct {
	// Version is the version of the configuration; it only rises.
	Version  int64
	Services map[string]*Service
	Limits   Limits

	byHost   map[string][]*Route
	accounts map[string]*Account
	// accountRegions are the distinct sets of regions to which accounts are restricted.
	accountRegions []region.Set
	// requiresKey says that requests on routes that are not public need a key.
	requiresKey bool
	// routeRanks is one more than the highest Priority of a route.
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
	// Timeout limits how long a request is worked on. Objective is the latency
	// objective of the answer, of a stream that of its first event.
	Timeout, Objective time.Duration
	// MaxGap is the longest pause between two events of a stream that meets the
	// objective.
	MaxGap time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority int
	// Split lists the services with their weights; usually one.
	Split []Share
	// MaxAttempts is the maximum number of targets that one request may run at.
	MaxAttempts int
	// Stages run before the request. Stage.After holds indexes of this slice.
	Stages []Stage
	// Public routes need no key.
	Public bool
	// Resumable streams may continue at another target.
	Resumable bool
	// Regions are the regions in which requests may be served.
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
	// After lists the indexes in Route.Stages of the stages whose results this
	// one reads.
	After []int
	// ResultBytes is the approximate size of one result, in bytes.
	ResultBytes int64
}

// Service is a pool of targets.
type Service struct {
	Name string
	// MaxConns is the number of connections that a target accepts in total.
	MaxConns int
	// WarmupRate is the number of calls per second that a cold target may get from all nodes
	// together; 0 means no limit.
	WarmupRate float64
	// Batch is set if the service is a stage pool, Engine if it is model engines.
	Batch  *Batch
	Engine *Engine
}

// Batch describes the capacity of one target of a stage pool.
type Batch struct {
	// Slots is the number of concurrent calls, Queue the number of calls that
	// may wait, Items the maximum number of pieces in a call.
	Slots, Queue, Items int
	// CallTime is the fixed time of a call, ItemTime the additional time of each
	// piece; both are approximate.
	CallTime, ItemTime time.Duration
	// ResultSpace is the capacity for results, in bytes. Keep is how long a result
	// is kept.
	ResultSpace int64
	Keep        time.Duration
}

// Engine describes the capacity of one model engine.
type Engine struct {
	// Slots is the number of concurrent requests.
	Slots int
	// MemoryTokens is the capacity for the tokens of running requests and of
	// cached prompt parts together.
	MemoryTokens int
}

// Account is a client account.
type Account struct {
	Name string
	// Priority takes precedence over that of the route; nil for none.
	Priority *int
	// Regions are those in which the account's requests may be served.
	Regions region.Set
}

// Key assigns the requests that carry a credential to an account.
type Key struct {
	Credential string
	Account    *Account
}

// New builds a Config. requiresKey says that requests on routes that are not
// public need a key, also when no key is left.
func New(version int64, all []*Route, services map[string]*Service, keys []Key, requiresKey bool, limits Limits) *Config {
	c := &Config{
		Version: version, Services: services, Limits: limits, requiresKey: requiresKey,
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
		if k.Account != nil {
			c.accountRegions = region.AppendRestricted(c.accountRegions, k.Account.Regions)
		}
	}
	return c
}

// hostName returns host in lower case and without its port.
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

// Rank returns the rank of a request among all others; 0 is the most urgent. The
// account's priority takes precedence. The route's priority decides between requests
// of accounts with the same priority, and replaces the account's if there is none.
func (c *Config) Rank(r *Route, a *Account) int {
	first := r.Priority
	if a != nil && a.Priority != nil {
		first = *a.Priority
	}
	return max(first, 0)*max(c.routeRanks, 1) + max(r.Priority, 0)
}

// Regions returns the regions in which a request may be served; a is nil if the
// request has no account.
func (c *Config) Regions(r *Route, a *Account) region.Set {
	if a == nil {
		return r.Regions
	}
	return r.Regions.Intersect(a.Regions)
}

// NeedsKey reports whether requests on a route need a credential.
func (c *Config) NeedsKey(r *Route) bool { return c.requiresKey && !r.Public }

// Repeatable reports whether a request on the route may be sent again after a
// target may have begun to work on it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Choose returns the service for a request, by the weights of Split. at is a
// random number from 0 to 1 that the caller draws once for the request.
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
