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

// trialState is what the draw of a call's version depends on in the roll-out of a pool.
type trialState struct {
	// version is the version on trial, and share its share of the calls, from 0 to 1.
	version string
	share   float64
	// barred is the number of versions that get no calls.
	barred int
}

// draw is the result of drawing the version of a call, once done is set.
type draw struct {
	done bool
	// state is the state of the roll-out at the draw.
	state  trialState
	groups []rollout.TargetGroup
}

// groups returns the groups of targets that a waiting call may go to, the preferred one first; nil if
// all targets are allowed. The version is drawn again only when the roll-out has changed: if it was drawn
// at each try, a call that waits would sooner or later be sent to the version on trial.
func (s *Scheduler) groups(p *pool, w *waiter) []rollout.TargetGroup {
	if w.call.Version != "" {
		return []rollout.TargetGroup{*s.reachable(p.name, &w.call)}
	}
	if s.cfg.Rollouts == nil {
		return nil
	}
	version, share := s.cfg.Rollouts.Trial(p.name)
	now := trialState{version: version, share: share, barred: len(s.cfg.Rollouts.Barred(p.name))}
	if !w.draw.done || w.draw.state != now {
		again := len(w.call.Exclude) > 0
		w.draw = draw{done: true, state: now, groups: s.cfg.Rollouts.TargetGroups(p.name, w.call.Stage, again, p.others)}
	}
	return w.draw.groups
}

// hasOther reports whether the pool has a target of another version that is not leaving.
func (p *pool) hasOther(version string) bool {
	return slices.ContainsFunc(p.candidates, func(c routing.Candidate) bool { return c.Version != version && !c.Leaving })
}

// maxHash returns the MaxHash of q: the largest hash in the fraction of its group's targets that takes
// calls; 0 if the whole group does. The fraction is that of the targets that can serve q, as none of a
// fraction of all targets may be in the regions that the call is bound to.
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

// reachable returns the group of targets that may ever get a call: those of its version, without the
// versions that get no calls; nil if all targets may.
func (s *Scheduler) reachable(pool string, c *Call) *rollout.TargetGroup {
	var barred []string
	if s.cfg.Rollouts != nil {
		barred = s.cfg.Rollouts.Barred(pool)
	}
	if len(barred) == 0 && c.Version == "" {
		return nil
	}
	return &rollout.TargetGroup{Version: c.Version, Excluded: barred, Why: "the stream's version"}
}

// evidence identifies the lease's call in the evidence on a roll-out.
func (l *Lease) evidence() rollout.Call {
	return rollout.Call{Service: l.p.name, Version: l.Target.Version, Target: l.Target.ID, Route: l.stage}
}

// FirstToken records that the first token of a streamed call came. In the evidence on a roll-out it
// counts as the call's answer: how long the rest takes depends on the length of the text.
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
