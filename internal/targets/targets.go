// Package targets keeps the state of targets as one node observes it: which are listed, which are
// draining, and their recent latency, failures, load and readiness. It chooses the target of a call.
package targets

import (
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

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
	latency  flow.Estimate
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

// Change is the effect of an update of the list on one target, for logs.
type Change struct {
	ID, Addr, Service string
	// Kind is added, restarted (under the ID that it had), draining, cold, kept (lapsed but
	// still used) or gone.
	Kind string
}

// ListUpdate is an update of the list.
type ListUpdate struct {
	// Updated are entries that are new or changed.
	Updated []Target
	// Removed are the IDs of targets that are not listed any more.
	Removed []string
}

// Replace replaces the whole list of targets: those that are not in the new list count as removed.
// See Table.Change for regained and the results.
func (t *Table) Replace(list []Target, regained time.Time) (changes []Change, gone []string) {
	listed := make(map[string]bool, len(list))
	for _, target := range list {
		listed[target.ID] = true
	}
	update := ListUpdate{Updated: list}
	t.mu.Lock()
	for id := range t.byID {
		if !listed[id] {
			update.Removed = append(update.Removed, id)
		}
	}
	t.mu.Unlock()
	return t.Change(update, regained)
}

// Change applies an update of the list, in time proportional to the size of the update. regained is
// when the store last became available again. It returns what changed, and the addresses of
// processes that are gone.
func (t *Table) Change(n ListUpdate, regained time.Time) (changes []Change, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if !t.received {
		t.received, t.followedSince = true, now
	}
	t.generation++
	for _, target := range n.Updated {
		c, changed := t.upsert(target, now)
		if changed {
			changes = append(changes, c)
		}
		if c.Kind == restarted {
			gone = append(gone, c.Addr)
		}
	}
	for _, id := range n.Removed {
		s := t.byID[id]
		if s == nil || t.lapsed[id] != nil {
			continue
		}
		t.lapsed[id] = s
		if !s.Draining && now.Before(regained.Add(lapseGrace)) {
			s.dropAt = regained.Add(lapseGrace)
			changes = append(changes, change(s, "kept"))
		}
	}
	for id, s := range t.lapsed {
		if now.Before(s.dropAt) {
			continue
		}
		t.remove(s)
		delete(t.lapsed, id)
		changes = append(changes, change(s, "gone"))
		gone = append(gone, s.Addr)
	}
	t.pruneReported(now, len(gone) > 0)
	return changes, gone
}

func change(s *state, what string) Change {
	return Change{ID: s.ID, Addr: s.Addr, Service: s.Service, Kind: what}
}

const restarted = "restarted"

func (t *Table) upsert(target Target, now time.Time) (Change, bool) {
	s := t.byID[target.ID]
	delete(t.lapsed, target.ID)
	what := "added"
	if s != nil && target.Born == 0 {
		target.Born = s.Born
	}
	target.Draining = t.reportedBy(target.Process(), now).drains(target)
	if s != nil && s.Born != target.Born && target.Born != 0 {
		// The state of the former process does not apply to this one. Calls in progress
		// there update the state of the former process.
		t.remove(s)
		what, s = restarted, nil
	}
	if s == nil {
		s = &state{Target: target, hash: xxhash.Sum64String(target.ID), process: target.Process(), drained: t.drained[target.DataCentre]}
		s.reported = t.reportedBy(s.process, now)
		s.ready = &s.reported.State
		s.warmup.set(target.Warmup, now)
		t.add(s)
		return change(s, what), true
	}
	if s.Service != target.Service || s.Version != target.Version || s.Addr != target.Addr || s.process != target.Process() {
		t.remove(s)
		defer t.add(s)
	}
	drains := target.Draining && !s.Draining
	turnsCold := target.Warmup > 0 && target.Revision != s.Revision && !s.warmup.cold(now)
	if target.Revision != s.Revision {
		s.warmup.set(target.Warmup, now)
	}
	s.Target = target
	s.drained = t.drained[target.DataCentre]
	s.dropAt = time.Time{}
	if turnsCold && !drains {
		return change(s, "cold"), true
	}
	return change(s, "draining"), drains
}

// Process identifies one run of the target: its ID and the start time of its process.
func (t Target) Process() string { return t.ID + "@" + strconv.FormatInt(t.Born, 10) }

// add inserts a target into all indexes.
func (t *Table) add(s *state) {
	s.process = s.Process()
	t.byID[s.ID] = s
	t.services[s.Service] = append(t.services[s.Service], s)
	t.byProcess[s.process] = s
	t.softwareOf(s.Service).add(s.Version)
	t.byAddr[s.Addr] = append(t.byAddr[s.Addr], s)
}

// remove deletes a target from all indexes.
func (t *Table) remove(s *state) {
	s.reported.listedAt = t.now()
	delete(t.byID, s.ID)
	delete(t.byProcess, s.process)
	t.softwareOf(s.Service).remove(s.Version, t.now())
	t.services[s.Service] = without(t.services[s.Service], s)
	if t.byAddr[s.Addr] = without(t.byAddr[s.Addr], s); len(t.byAddr[s.Addr]) == 0 {
		delete(t.byAddr, s.Addr)
	}
}

// without removes one target from a list in place. The order changes.
func without(list []*state, s *state) []*state {
	i := slices.Index(list, s)
	if i < 0 {
		return list
	}
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	return list[:last]
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
	_, dataCentre := t.At(addr)
	return dataCentre
}

// At returns the service and the data centre of the target at an address; "" for none.
func (t *Table) At(addr string) (service, dataCentre string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.at(addr); s != nil {
		return s.Service, s.DataCentre
	}
	return "", ""
}
