// Package targets keeps the state of targets as one node observes it: which are listed, which are
// draining, and their recent latency, failures, load and readiness. It chooses the target of a call.
package targets

import (
	"sync"
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/promptcache"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routing"
	"topazmoor/internal/store"
)

// Target is one listed target.
type Target struct {
	ID, Service string
	// Version is the version of the target's software; "" for unknown.
	Version string
	// Born is when the target's process started, in Unix milliseconds; 0 for unknown. A target
	// may restart under the same ID: the new process has no state of the former one.
	Born int64
	// Addr is IP:port. Another target may use it later.
	Addr       string
	DataCentre string
	// Slots is how many calls the target runs at once.
	Slots int
	// Draining targets get no new work.
	Draining bool
	// Warmup is how long the target stays cold, counted from when the Revision of its entry was
	// written.
	Warmup   time.Duration
	Revision store.Version
}

// lapseGrace is how long after the store is available again a target that left the list meanwhile
// is still used: running targets register again within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// maxPrefixes is the number of prompt prefixes of which a node remembers the readers, about 1 MB:
// some minutes of a node's share of prompts at the design load.
const maxPrefixes = 4096

// Load is the load that a target reports with an answer, in calls.
type Load struct{ Running, Waiting, Slots int }

// state is a listed target with its state as this node observes it.
type state struct {
	Target
	hash uint64
	// process is Target.Process.
	process string
	// reported is the state that the process reported, ready its readiness.
	reported *reported
	ready    *readiness.State
	// drained is set while the data centre is drained.
	drained bool
	// warmup bounds the calls while the target is cold.
	warmup warmup
	// dropAt is when a target that is no longer listed is dropped; zero for listed ones.
	dropAt time.Time
	// moved is set once another process answers at the target's address.
	moved bool

	breaker routing.Breaker
	// failures is the recent share of failed calls, from 0 to 1.
	failures float64
	// faults is the recent share of answers that were failures of the target.
	faults  faultShare
	latency flow.Estimate
	// latencyAt is when latency was last updated.
	latencyAt time.Time
	// inFlight counts this node's calls, pending the tokens of those of their prompts that the
	// target has not read yet.
	inFlight int
	pending  int
	load     Load
	// loadAt is when the load was reported, inFlightAtLoad how many calls this node had in flight
	// there at that time.
	loadAt         time.Time
	inFlightAtLoad int
}

// Table is the list of targets with their states. It is safe for concurrent use.
type Table struct {
	// DataCentre is the data centre of this node.
	DataCentre string
	// Regions gives the region of each data centre.
	Regions region.Map
	// Crossing is the cost of a call to another region.
	Crossing region.Crossing
	// Off are the mechanisms that an experiment switches off.
	Off mechanism.Set

	// WarmupRate returns how many calls a second a cold target of a service can serve, from all
	// nodes together; 0 for no bound. If it is nil, there is no bound.
	WarmupRate func(service string) float64

	// Nodes returns the number of nodes that call the targets, including this one. If it is nil, this is
	// the only one.
	Nodes func() int

	// RegionSets returns the sets of regions to which requests that use a service are restricted. If
	// it is nil, there are none.
	RegionSets func(service string) []region.Set

	// Permits grants permits for calls to targets with a bounded rate. If it is nil, no rate is
	// bounded.
	Permits Permits

	// Rollouts decides which versions of a service get calls; nil for all.
	Rollouts Rollouts

	// LimitChanged is called for each change of a limit that a target advertises, with the
	// Table's lock held. It may be nil.
	LimitChanged func(LimitChange)

	// Trusted reports whether the list may be used: not after the host was suspended, until the
	// list is received or confirmed again. nil for always. It is called without the Table's lock.
	Trusted func() bool

	mu       sync.Mutex
	byID     map[string]*state
	services map[string][]*state
	// byProcess has the targets by Target.Process, byAddr by their addresses.
	byProcess map[string]*state
	byAddr    map[string][]*state
	// lapsed are the targets that are not listed any more but still used, by ID.
	lapsed map[string]*state
	// reported has the states that processes reported, by Target.Process; those of processes that
	// left the list are kept for reportedRetention.
	reported map[string]*reported
	// prunedAt is when pruneReported last ran.
	prunedAt time.Time
	// drained are the data centres that get no work.
	drained map[string]bool
	// prompts records which engines read which prompts.
	prompts *promptcache.Index
	// generation counts the changes of the list and of the drained data centres.
	generation uint64
	// received is set once a list was received. followedSince is when the list began to be followed without
	// a gap.
	received      bool
	followedSince time.Time
	// software has the software versions of the targets by service.
	software map[string]*softwareVersions
	now      func() time.Time
}

// New returns an empty Table.
func New(dataCentre string) *Table {
	return &Table{
		DataCentre: dataCentre, byID: make(map[string]*state), services: make(map[string][]*state), byProcess: make(map[string]*state), byAddr: make(map[string][]*state),
		lapsed:   make(map[string]*state),
		software: make(map[string]*softwareVersions),
		reported: make(map[string]*reported),
		prompts:  promptcache.New(maxPrefixes), now: time.Now,
	}
}

// at returns the target at an address; nil for none. If several are listed there, it returns one
// that is not superseded, if there is one.
func (t *Table) at(addr string) *state {
	var found *state
	for _, s := range t.byAddr[addr] {
		if found == nil || found.superseded() {
			found = s
		}
	}
	return found
}

// ListReceived reports whether a list was received.
func (t *Table) ListReceived() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received
}

// superseded reports whether another target may use the address by now.
func (s *state) superseded() bool { return s.moved || !s.dropAt.IsZero() }

// usable reports whether a target may get work, now or after a rest.
func (s *state) usable(now time.Time) bool {
	if s.Draining || s.moved || s.drained || s.ready.Status(now) == readiness.Leaving {
		return false
	}
	return s.dropAt.IsZero() || now.Before(s.dropAt)
}

func (t *Table) trusted() bool { return t.Trusted == nil || t.Trusted() }

// Usable returns the targets of a service that may get work, now or after a rest. Their Warmup is
// how long they stay cold from now on.
func (t *Table) Usable(service string) []Target {
	if !t.trusted() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	var out []Target
	for _, s := range t.services[service] {
		if s.usable(now) {
			target := s.Target
			target.Warmup = s.warmup.left(now)
			out = append(out, target)
		}
	}
	return out
}

// Generation returns a number that changes with each update of the list and with drains of data
// centres.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// UsableTarget returns the target with an ID, if it may get work now or after a rest. Its Warmup is
// how long it stays cold from now on.
func (t *Table) UsableTarget(id string) (Target, bool) {
	if !t.trusted() {
		return Target{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.byID[id], t.now()
	if s == nil || !s.usable(now) {
		return Target{}, false
	}
	target := s.Target
	target.Warmup = s.warmup.left(now)
	return target, true
}

// MayCall reports whether a target may get a new call now.
func (t *Table) MayCall(id string) bool {
	if !t.trusted() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.byID[id], t.now()
	return s != nil && s.usable(now) && s.ready.Status(now) != readiness.Resting
}

// Locate returns the service and the data centre of the target at an address; "" for unknown.
func (t *Table) Locate(addr string) (service, dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.at(addr); s != nil {
		return s.Service, s.DataCentre
	}
	return "", ""
}

// Addresses returns the addresses of the usable targets of all services.
func (t *Table) Addresses() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	out := make([]string, 0, len(t.byID))
	for _, s := range t.byID {
		if s.usable(now) {
			out = append(out, s.Addr)
		}
	}
	return out
}

// DataCentreOf returns the data centre of the target at an address; "" for unknown.
func (t *Table) DataCentreOf(addr string) string {
	_, dataCentre := t.Locate(addr)
	return dataCentre
}
