package targets

import (
	"slices"
	"time"

	"topazmoor/internal/rollout"
)

// Rollouts decides which versions of a service get calls, and records how the calls end;
// *rollout.Gate in production. It is called with the Table's lock held, except by
// RecordStageCallStart and RecordStageCallEnd.
type Rollouts interface {
	TargetGroups(service, route string, again bool, others func(version string) bool) []rollout.TargetGroup
	Trial(service string) (version string, share float64)
	Barred(service string) []string
	Sent(c rollout.Call)
	Progressed(c rollout.Call, e rollout.Ending)
	Ended(c rollout.Call, e rollout.Ending)
	// MayResume reports whether a version may get streams that began at it.
	MayResume(service, version string) bool
}

// callObservation is what was observed of a call, to judge the version of its target by.
type callObservation struct {
	route string
	// unsent is set if nothing was sent. connected is the time until a connection was there: the path is
	// that of this node, and no evidence on the version.
	unsent    bool
	connected time.Duration
	// firstEvent is the time to the first event of a stream.
	firstEvent time.Duration
	// longestGap is the longest wait for a later event.
	longestGap time.Duration
	// lacksPrompt is set if the target, as far as this node knows, lacks a part of the prompt that
	// other requests share.
	lacksPrompt bool
	// progressed is set once RecordProgress has counted the stream as a good call, with progressGap as its longest gap.
	progressed  bool
	progressGap time.Duration
	// faulty is set if the answer was a failure of the target.
	faulty bool
}

func anyTarget(*state) bool { return true }

// targetGroups returns the groups of targets that a call may go to; nil for all.
func (t *Table) targetGroups(q Query) []rollout.TargetGroup {
	if t.Rollouts == nil {
		return nil
	}
	return t.Rollouts.TargetGroups(q.Service, q.Route, q.Resent, func(version string) bool {
		return slices.ContainsFunc(t.services[q.Service], func(s *state) bool { return s.Version != version && !s.Draining })
	})
}

// admits returns a function that reports whether a target may get calls like q that a roll-out directs to
// the target group: the group must include the target's version and, if only a fraction of the
// group takes its calls, the target must be in that fraction (see maxHashInPart).
func (t *Table) admits(q Query, group rollout.TargetGroup, now time.Time) func(*state) bool {
	if group.Fraction <= 0 || group.Fraction >= 1 {
		return func(s *state) bool { return group.Admits(s.Version) }
	}
	last := t.maxHashInPart(q, group, now)
	return func(s *state) bool { return group.Admits(s.Version) && s.hash <= last }
}

// maxHashInPart returns the largest hash among the part of a target group that takes its calls like q;
// the part has at least one target. It is one of the targets in the regions of q: a call that is
// restricted to them would otherwise miss it. All nodes that know the same targets choose the same part.
func (t *Table) maxHashInPart(q Query, group rollout.TargetGroup, now time.Time) uint64 {
	var hashes []uint64
	for _, s := range t.services[q.Service] {
		if group.Admits(s.Version) && s.usable(now) && t.Regions.Allows(q.Regions, s.DataCentre) {
			hashes = append(hashes, s.hash)
		}
	}
	return rollout.LastInPart(hashes, group.Fraction)
}

// recordStart records the start of a call with Rollouts. The lock is held.
func (t *Table) recordStart(l *Lease) {
	if t.Rollouts != nil {
		t.Rollouts.Sent(l.rolloutCall())
	}
}

func (l *Lease) rolloutCall() rollout.Call {
	return rollout.Call{Service: l.Service, Version: l.Version, Target: l.ID, Route: l.observed.route}
}

// MarkUnsent records that nothing was sent to the target. It is called before Done.
func (l *Lease) MarkUnsent() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.observed.unsent = true
}

// afterConnect returns the part of a time since the start of the call that came after the connect.
func (o *callObservation) afterConnect(d time.Duration) time.Duration {
	return max(d-o.connected, 1)
}

// MarkFaulty records that the answer was a failure of the target.
func (l *Lease) MarkFaulty() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.observed.faulty = true
}

// recordEnd records the end of a call with Rollouts, with its outcome as evidence on the target's
// version. The lock is held.
func (t *Table) recordEnd(l *Lease, o Outcome, took time.Duration, now time.Time) {
	if t.Rollouts == nil {
		return
	}
	e := l.ending(now)
	e.Took = l.observed.afterConnect(took)
	switch {
	case l.observed.unsent:
	case l.observed.faulty, o == Failed:
		e.Outcome = rollout.Bad
	case l.observed.firstEvent > 0:
		e.Outcome, e.Took = rollout.Good, l.observed.afterConnect(l.observed.firstEvent)
	case o == Served && took > 0:
		e.Outcome = rollout.Good
	case o == Abandoned:
		e.Outcome, e.Took = rollout.Left, l.observed.afterConnect(e.Total)
	}
	if e.Outcome != rollout.Bad && l.s.warmup.cold(now) {
		// A cold target is slow, whatever its version: only its failures are evidence.
		e.Outcome = rollout.Inconclusive
	}
	t.Rollouts.Ended(l.rolloutCall(), e)
}

// ending returns what is known of the call, with an inconclusive outcome.
func (l *Lease) ending(now time.Time) rollout.Ending {
	return rollout.Ending{
		Outcome: rollout.Inconclusive, Gap: l.observed.longestGap, Total: now.Sub(l.began), LacksPrompt: l.observed.lacksPrompt, Progressed: l.observed.progressed,
		ProgressGap: l.observed.progressGap,
	}
}

// RecordProgress records a stream that has run long enough to be evidence on its target's version,
// with the longest wait for an event so far. Streams of cold targets are left out.
func (l *Lease) RecordProgress(gap time.Duration) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	now := l.t.now()
	if l.t.Rollouts == nil || l.s.warmup.cold(now) {
		return
	}
	l.observed.longestGap = gap
	e := l.ending(now)
	e.Outcome, e.Took = rollout.Good, l.observed.afterConnect(l.observed.firstEvent)
	l.t.Rollouts.Progressed(l.rolloutCall(), e)
	l.observed.progressed, l.observed.progressGap = true, gap
}

// RecordLongestGap records the longest wait for an event after the first one of a stream, its end
// included. It is called before Done.
func (l *Lease) RecordLongestGap(gap time.Duration) {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.observed.longestGap = gap
}

// Trial is how the calls of a service are split between versions during a roll-out.
type Trial struct {
	// Version is on trial with a Share of the calls; "" for none.
	Version string
	Share   float64
	// Barred versions get no calls.
	Barred []string
}

// Trial returns how the calls of a service are split between versions. A share of all calls is
// returned as 0 while the version has no usable target.
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

// stageRoute is the route under which calls of stage pools are counted.
const stageRoute = "stage"

func stageRolloutCall(to Target) rollout.Call {
	return rollout.Call{Service: to.Service, Version: to.Version, Target: to.ID, Route: stageRoute}
}

// RecordStageCallStart records the start of a call of a stage pool with Rollouts.
func (t *Table) RecordStageCallStart(to Target) {
	if t.Rollouts != nil {
		t.Rollouts.Sent(stageRolloutCall(to))
	}
}

// RecordStageCallEnd records the end of a call of a stage pool with Rollouts, with its outcome as
// evidence on the target's version. Outcomes of a cold target other than Bad count as Inconclusive.
func (t *Table) RecordStageCallEnd(to Target, o rollout.Outcome, took time.Duration) {
	if t.Rollouts == nil {
		return
	}
	if o != rollout.Bad && to.Warmup > 0 {
		o = rollout.Inconclusive
	}
	t.Rollouts.Ended(stageRolloutCall(to), rollout.Ending{Outcome: o, Took: took, Total: took})
}
