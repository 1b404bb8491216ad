package scheduler

import (
	"slices"
	"time"

	"topazmoor/internal/rollout"
	"topazmoor/internal/routing"
)

// Rollouts decides which versions of a pool's targets get calls, and records how the calls end;
// *rollout.Gate in production. It is called under the scheduler's lock and must not block.
type Rollouts interface {
	TargetGroups(pool, stage string, again bool, others func(version string) bool) []rollout.TargetGroup
	Trial(pool string) (version string, share float64)
	Barred(pool string) []string
	Sent(c rollout.Call)
	Ended(c rollout.Call, e rollout.Ending)
}

// trial is the state of a roll-out for which the version of a call is drawn.
type trial struct {
	version string
	share   float64
	barred  int
}

// draw is the result of drawing the version of a call.
type draw struct {
	done   bool
	of     trial
	groups []rollout.TargetGroup
}

// groups returns the groups of targets that a waiting call may go to, the preferred one first; nil if
// all targets are allowed. The version is drawn again only when the roll-out has changed: if it was drawn
// at each try, a call that waits would sooner or later be sent to the version on trial.
func (s *Scheduler) groups(p *pool, w *waiter) []rollout.TargetGroup {
	if s.cfg.Rollouts == nil {
		return nil
	}
	version, share := s.cfg.Rollouts.Trial(p.name)
	now := trial{version: version, share: share, barred: len(s.cfg.Rollouts.Barred(p.name))}
	if !w.draw.done || w.draw.of != now {
		again := len(w.call.Exclude) > 0
		w.draw = draw{done: true, of: now, groups: s.cfg.Rollouts.TargetGroups(p.name, w.call.Stage, again, p.others)}
	}
	return w.draw.groups
}

// hasOther reports whether the pool has a target of another version that is not leaving.
func (p *pool) hasOther(version string) bool {
	return slices.ContainsFunc(p.candidates, func(c routing.Candidate) bool { return c.Version != version && !c.Leaving })
}

// maxHash returns the largest hash among the targets that take the calls like q of its group; 0 if all
// of the group do. The part is one of the targets that can serve q: a call that is bound to a region
// would otherwise miss it.
func (p *pool) maxHash(q *routing.Query) uint64 {
	if q.Group == nil || q.Group.Fraction <= 0 || q.Group.Fraction >= 1 {
		return 0
	}
	all := routing.Query{Model: q.Model, Adapter: q.Adapter, Regions: q.Regions, Group: q.Group, LimitFactor: q.LimitFactor}
	var hashes []uint64
	for i := range p.candidates {
		switch c := &p.candidates[i]; routing.Filter(&all, c) {
		case routing.Eligible, routing.AtLimit:
			hashes = append(hashes, c.Hash)
		}
	}
	return rollout.LastInPart(hashes, q.Group.Fraction)
}

// barred returns the group without the versions that get no calls; nil if there are none.
func (s *Scheduler) barred(pool string) *rollout.TargetGroup {
	if s.cfg.Rollouts == nil {
		return nil
	}
	versions := s.cfg.Rollouts.Barred(pool)
	if len(versions) == 0 {
		return nil
	}
	return &rollout.TargetGroup{Excluded: versions}
}

// evidence identifies the lease's call in the evidence on a roll-out.
func (l *Lease) evidence() rollout.Call {
	return rollout.Call{Service: l.p.name, Version: l.Target.Version, Target: l.Target.ID, Route: l.stage}
}

// FirstToken records that the first token of a streamed call came. In the evidence on a roll-out it
// counts as the call's answer, as the length of a text says nothing about the version.
func (l *Lease) FirstToken() {
	if l.firstToken.Load() == 0 {
		l.firstToken.CompareAndSwap(0, int64(max(time.Since(l.start), 1)))
	}
}

// recordEnd records the end of the call as evidence on the target's version.
func (l *Lease) recordEnd(o Outcome, took time.Duration) {
	if l.s.cfg.Rollouts == nil {
		return
	}
	e := rollout.Ending{Outcome: rollout.Inconclusive, Took: took, Total: took}
	first := time.Duration(l.firstToken.Load())
	switch {
	case o == Failed:
		e.Outcome = rollout.Bad
	case first > 0:
		e.Outcome, e.Took = rollout.Good, first
	case o == Succeeded:
		e.Outcome = rollout.Good
	case o == Abandoned:
		e.Outcome = rollout.Left
	}
	l.s.cfg.Rollouts.Ended(l.evidence(), e)
}
