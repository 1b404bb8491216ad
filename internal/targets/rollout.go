package targets

import (
	"slices"
	"time"

	"topazmoor/internal/rollout"
)

// Rollouts tells which versions of a service calls go to, and learns how the calls end;
// *rollout.Gate in production. It is called with the Table's lock held.
type Rollouts interface {
	Lanes(service string, again bool, others func(version string) bool) []rollout.Lane
	Trial(service string) (version string, share float64)
	Barred(service string) []string
	Sent(c rollout.Call)
	Ended(c rollout.Call, o rollout.Outcome, took time.Duration)
}

// observed is what a call tells of its target's version.
type observed struct {
	route string
	// first is the time to the first event of a stream.
	first time.Duration
	// faulty says that the answer was a failure of the target.
	faulty bool
}

func anyTarget(*state) bool { return true }

// lanes returns the groups of targets that a call may go to; nil for all.
func (t *Table) lanes(q Query) []rollout.Lane {
	if t.Rollouts == nil {
		return nil
	}
	return t.Rollouts.Lanes(q.Service, q.Again, func(version string) bool {
		return slices.ContainsFunc(t.services[q.Service], func(s *state) bool { return s.Version != version && !s.Draining })
	})
}

// admits returns which targets are in a lane.
func (t *Table) admits(service string, lane rollout.Lane, now time.Time) func(*state) bool {
	if lane.Part <= 0 || lane.Part >= 1 {
		return func(s *state) bool { return lane.Admits(s.Version) }
	}
	last := t.lastOfPart(service, lane, now)
	return func(s *state) bool { return lane.Admits(s.Version) && s.hash <= last }
}

// lastOfPart returns the last hash of the part of a lane's targets that take its calls, one at
// least. All nodes that know the same targets choose the same ones.
func (t *Table) lastOfPart(service string, lane rollout.Lane, now time.Time) uint64 {
	var hashes []uint64
	for _, s := range t.services[service] {
		if lane.Admits(s.Version) && s.usable(now) {
			hashes = append(hashes, s.hash)
		}
	}
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	return hashes[min(int(lane.Part*float64(len(hashes))), len(hashes)-1)]
}

// sent counts a call. The lock is held.
func (t *Table) sent(l *Lease) {
	if t.Rollouts != nil {
		t.Rollouts.Sent(l.call())
	}
}

func (l *Lease) call() rollout.Call {
	return rollout.Call{Service: l.Service, Version: l.Version, Target: l.ID, Route: l.seen.route}
}

// Faulty notes that the answer was a failure of the target.
func (l *Lease) Faulty() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.seen.faulty = true
}

// ended tells how a call speaks for or against the version of its target. The lock is held.
func (t *Table) ended(l *Lease, o Outcome, took time.Duration, now time.Time) {
	if t.Rollouts == nil {
		return
	}
	outcome := rollout.Nothing
	switch {
	case l.seen.faulty, o == Failed:
		outcome = rollout.Bad
	case l.seen.first > 0:
		outcome, took = rollout.Good, l.seen.first
	case o == Served && took > 0:
		outcome = rollout.Good
	case o == Abandoned:
		outcome, took = rollout.Left, now.Sub(l.began)
	}
	if outcome != rollout.Bad && l.s.warmup.cold(now) {
		// A cold target is slow whatever its version.
		outcome = rollout.Nothing
	}
	t.Rollouts.Ended(l.call(), outcome, took)
}

// Versions counts the usable targets of a service: of a version, those among them that are warm,
// and of other versions.
func (t *Table) Versions(service, version string) rollout.Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out rollout.Targets
	now := t.now()
	for _, s := range t.services[service] {
		switch {
		case !s.usable(now):
		case s.Version != version:
			out.Old++
		default:
			out.New++
			if !s.warmup.cold(now) {
				out.Warm++
			}
		}
	}
	return out
}

// Trial says which versions of a service's targets get how much.
type Trial struct {
	// Version is on trial with a Share of the calls; "" for none.
	Version string
	Share   float64
	// Barred versions get nothing.
	Barred []string
}

// Trial returns which versions of a service's targets get how much.
func (t *Table) Trial(service string) Trial {
	if t.Rollouts == nil {
		return Trial{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Trial
	out.Version, out.Share = t.Rollouts.Trial(service)
	out.Barred = t.Rollouts.Barred(service)
	if out.Share >= 1 && !slices.ContainsFunc(t.services[service], func(s *state) bool { return s.Version == out.Version && s.usable(t.now()) }) {
		out.Share = 0
	}
	return out
}

// stageRoute names the calls of stage pools among the routes of a service.
const stageRoute = "stage"

func stageCall(to Target) rollout.Call {
	return rollout.Call{Service: to.Service, Version: to.Version, Target: to.ID, Route: stageRoute}
}

// StageCalled counts a call of a stage pool.
func (t *Table) StageCalled(to Target) {
	if t.Rollouts != nil {
		t.Rollouts.Sent(stageCall(to))
	}
}

// StageEnded tells how it speaks for or against the version of its target.
func (t *Table) StageEnded(to Target, o rollout.Outcome, took time.Duration) {
	if t.Rollouts == nil {
		return
	}
	if o != rollout.Bad && to.Warmup > 0 {
		o = rollout.Nothing
	}
	t.Rollouts.Ended(stageCall(to), o, took)
}
