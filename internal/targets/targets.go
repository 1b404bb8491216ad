// Package targets keeps what one node knows of the targets of pass-through
// requests: who is listed, who is draining, and how each has lately behaved
// towards this node.
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
	// Version is that of the target's software; "" for unknown.
	Version string
	// Born is when the target's process started, in Unix milliseconds; 0 for unknown. A
	// process may start again under the ID that it had: it knows nothing of before then.
	Born int64
	// Addr is IP:port. It is used again by other targets.
	Addr       string
	DataCentre string
	// Slots is how many calls the target works on at once.
	Slots int
	// Draining targets get no new work.
	Draining bool
	// Warmup is how long the target is still cold, from when Revision of its entry was
	// written.
	Warmup   time.Duration
	Revision store.Version
}

// lapseGrace is how long after the store's return a target that vanished from
// the list meanwhile is still used: targets that live enter themselves again
// within about two seconds.
const lapseGrace = 2200 * time.Millisecond

// promptMemory is the number of prefixes of prompts that a node remembers, about 1 MB:
// some minutes of a node's share at the size to design for.
const promptMemory = 4096

// Load is what a target said about itself with an answer.
type Load struct{ Running, Waiting, Slots int }

// state is a target with its live state.
type state struct {
	Target
	hash uint64
	// process names this start of the target's process.
	process string
	// said is what the process said of itself, ready the part on whether it takes work.
	said  *said
	ready *readiness.State
	// drained is set while the data centre is drained.
	drained bool
	// warmup bounds the calls while the target is cold.
	warmup warmup
	// vanishes is when a target that is no longer listed is dropped; zero for
	// listed ones.
	vanishes time.Time
	// moved is set once another process answered at the target's address.
	moved bool

	breaker routing.Breaker
	// failures is the recent share of failed calls, from 0 to 1.
	failures float64
	latency  flow.Estimate
	// latencyAt is when the time of a call was last measured.
	latencyAt time.Time
	// inFlight counts this node's calls, pending the tokens of their prompts that
	// were not read yet.
	inFlight int
	pending  int
	load     Load
	// loadAt is when the load was told, loadSent how many calls this node had
	// in flight there at that time.
	loadAt   time.Time
	loadSent int
}

// Table is the list of targets with their live states. It is safe for
// concurrent use.
type Table struct {
	// DataCentre is where this node stands.
	DataCentre string
	// Regions gives the region of each data centre.
	Regions region.Map
	// Off are the mechanisms that an experiment switches off.
	Off mechanism.Set

	// WarmupRate tells how many calls a second a cold target of a service bears from all
	// nodes together; 0 for no bound, which also holds where WarmupRate is nil.
	WarmupRate func(service string) float64

	// Permits hands out what this node may send to targets with a bounded rate; nil for no
	// bound.
	Permits Permits

	// Rollouts tells which versions of a service calls go to; nil for all.
	Rollouts Rollouts

	// LimitChanged is told of each change of a limit that a target names; nil for nobody. It is
	// called with the Table's lock held.
	LimitChanged func(LimitChange)

	// Trusted reports whether the list may be acted on: not after the host stood still, until
	// the list was heard of again. nil for always. It is asked without the Table's lock.
	Trusted func() bool

	mu       sync.Mutex
	byID     map[string]*state
	services map[string][]*state
	// byProcess has the targets by the start of their processes, byAddr by their addresses.
	byProcess map[string]*state
	byAddr    map[string][]*state
	// lapsed are the targets that are not listed any more but still used.
	lapsed map[string]*state
	// said has what processes said of themselves, by process; those that left the list are
	// remembered for a while.
	said map[string]*said
	// forgot is when said was last looked through.
	forgot time.Time
	// drained are the data centres that get no work.
	drained map[string]bool
	// prompts remembers which engines read which prompts.
	prompts *promptcache.Memory
	// generation counts the changes of the list.
	generation uint64
	// seen is set once a list was taken in.
	seen bool
	now  func() time.Time
}

// New returns an empty Table.
func New(dataCentre string) *Table {
	return &Table{
		DataCentre: dataCentre, byID: make(map[string]*state), services: make(map[string][]*state), byProcess: make(map[string]*state), byAddr: make(map[string][]*state),
		lapsed:  make(map[string]*state),
		said:    make(map[string]*said),
		prompts: promptcache.New(promptMemory), now: time.Now,
	}
}

// Change is what an update of the list did, for logs.
type Change struct {
	ID, Addr, Service string
	// What is added, restarted (under the ID that it had), draining, cold, kept (lapsed but
	// still used) or gone.
	What string
}

// News is what changed in the list.
type News struct {
	// Listed are entries that are new or changed.
	Listed []Target
	// Gone are the IDs of targets that are not listed any more.
	Gone []string
}

// Update takes in a whole list; see Change.
func (t *Table) Update(list []Target, regained time.Time) (changes []Change, gone []string) {
	listed := make(map[string]bool, len(list))
	for _, target := range list {
		listed[target.ID] = true
	}
	news := News{Listed: list}
	t.mu.Lock()
	for id := range t.byID {
		if !listed[id] {
			news.Gone = append(news.Gone, id)
		}
	}
	t.mu.Unlock()
	return t.Change(news, regained)
}

// Change takes in changes of the list, at a cost that goes by their number. regained is when the
// store last came back. It returns what changed, and the addresses where no process is any more
// that was there.
func (t *Table) Change(n News, regained time.Time) (changes []Change, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seen = true
	t.generation++
	now := t.now()
	for _, target := range n.Listed {
		c, changed := t.put(target, now)
		if changed {
			changes = append(changes, c)
		}
		if c.What == restarted {
			gone = append(gone, c.Addr)
		}
	}
	for _, id := range n.Gone {
		s := t.byID[id]
		if s == nil || t.lapsed[id] != nil {
			continue
		}
		t.lapsed[id] = s
		if !s.Draining && now.Before(regained.Add(lapseGrace)) {
			s.vanishes = regained.Add(lapseGrace)
			changes = append(changes, change(s, "kept"))
		}
	}
	for id, s := range t.lapsed {
		if now.Before(s.vanishes) {
			continue
		}
		t.remove(s)
		delete(t.lapsed, id)
		changes = append(changes, change(s, "gone"))
		gone = append(gone, s.Addr)
	}
	t.forgetSaid(now, len(gone) > 0)
	return changes, gone
}

func change(s *state, what string) Change {
	return Change{ID: s.ID, Addr: s.Addr, Service: s.Service, What: what}
}

const restarted = "restarted"

func (t *Table) put(target Target, now time.Time) (Change, bool) {
	s := t.byID[target.ID]
	delete(t.lapsed, target.ID)
	what := "added"
	if s != nil && target.Born == 0 {
		target.Born = s.Born
	}
	target.Draining = t.saidBy(target.Process(), now).drains(target)
	if s != nil && s.Born != target.Born && target.Born != 0 {
		// All that was believed of the former process is void. Calls to it end at the state
		// that they began with.
		t.remove(s)
		what, s = restarted, nil
	}
	if s == nil {
		s = &state{Target: target, hash: xxhash.Sum64String(target.ID), process: target.Process(), drained: t.drained[target.DataCentre]}
		s.said = t.saidBy(s.process, now)
		s.ready = &s.said.State
		s.warmup.told(target.Warmup, now)
		t.add(s)
		return change(s, what), true
	}
	if s.Service != target.Service || s.Addr != target.Addr || s.process != target.Process() {
		t.remove(s)
		defer t.add(s)
	}
	drains := target.Draining && !s.Draining
	turnsCold := target.Warmup > 0 && target.Revision != s.Revision && !s.warmup.cold(now)
	if target.Revision != s.Revision {
		s.warmup.told(target.Warmup, now)
	}
	s.Target = target
	s.drained = t.drained[target.DataCentre]
	s.vanishes = time.Time{}
	if turnsCold && !drains {
		return change(s, "cold"), true
	}
	return change(s, "draining"), drains
}

// Process names this start of the target's process.
func (t Target) Process() string { return t.ID + "@" + strconv.FormatInt(t.Born, 10) }

// add enters a target in all indexes.
func (t *Table) add(s *state) {
	s.process = s.Process()
	t.byID[s.ID] = s
	t.services[s.Service] = append(t.services[s.Service], s)
	t.byProcess[s.process] = s
	t.byAddr[s.Addr] = append(t.byAddr[s.Addr], s)
}

// remove takes a target out of all indexes.
func (t *Table) remove(s *state) {
	s.said.listed = t.now()
	delete(t.byID, s.ID)
	delete(t.byProcess, s.process)
	t.services[s.Service] = without(t.services[s.Service], s)
	if t.byAddr[s.Addr] = without(t.byAddr[s.Addr], s); len(t.byAddr[s.Addr]) == 0 {
		delete(t.byAddr, s.Addr)
	}
}

// without returns a list less one target, in another order.
func without(list []*state, s *state) []*state {
	i := slices.Index(list, s)
	if i < 0 {
		return list
	}
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	return list[:last]
}

// at returns the target at an address; nil for none. Where several are listed there it is one
// that no other has superseded.
func (t *Table) at(addr string) *state {
	var found *state
	for _, s := range t.byAddr[addr] {
		if found == nil || found.superseded() {
			found = s
		}
	}
	return found
}

// Seen reports whether a list was taken in.
func (t *Table) Seen() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.seen
}

// superseded reports whether another target may be at the address by now.
func (s *state) superseded() bool { return s.moved || !s.vanishes.IsZero() }

// usable reports whether a target may be sent work, now or after a rest.
func (s *state) usable(now time.Time) bool {
	if s.Draining || s.moved || s.drained || s.ready.Standing(now) == readiness.Leaving {
		return false
	}
	return s.vanishes.IsZero() || now.Before(s.vanishes)
}

func (t *Table) trusted() bool { return t.Trusted == nil || t.Trusted() }

// Usable returns the targets of a service that may be sent work now, with how long they
// are still cold.
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

// Generation tells lists apart: it changes with the list and with drains of data centres.
func (t *Table) Generation() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.generation
}

// UsableTarget returns a target that may be sent work now.
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

// MayCall reports whether a target may be sent work at this moment, were it chosen now.
func (t *Table) MayCall(id string) bool {
	if !t.trusted() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, now := t.byID[id], t.now()
	return s != nil && s.usable(now) && s.ready.Standing(now) != readiness.Resting
}

// DataCentreOf returns where the target at an address stands; "" for unknown.
func (t *Table) DataCentreOf(addr string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.at(addr); s != nil {
		return s.DataCentre
	}
	return ""
}
