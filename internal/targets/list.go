package targets

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

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
