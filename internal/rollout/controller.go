package rollout

import (
	"fmt"
	"time"
)

// Bounds are what an order must keep to.
type Bounds struct {
	// Share is the largest share of a service's calls that may go to a version that is not
	// known to be good, Slack a number of calls beside it.
	Share, Slack float64
}

// Targets counts the targets of a service.
type Targets struct {
	// New have the version of the order, Warm of them take their share of the load.
	New, Warm int
	// Old are the others.
	Old int
}

// Situation is what a step goes by.
type Situation struct {
	Now     time.Time
	Targets Targets
	// Part is the part of the nodes that report to this owner.
	Part float64
	// Sent and SentNew are the calls of these nodes so far, PerSecond is their rate; 0 for unknown.
	Sent, SentNew uint64
	PerSecond     float64
	// OldInFlight counts the calls that targets of the old version still work on.
	OldInFlight int
	// Withdrawn says that the order does not stand any more.
	Withdrawn bool
	// Complete says that the judge has the evidence of all nodes up to the same moment.
	Complete bool
}

// minority reports whether most nodes report to other owners. It is left to those whether enough
// answers came, and whether the old version may stop.
func (s Situation) minority() bool { return s.Part <= 0.5 }

// Step is what is to be done now.
type Step struct {
	State State
	// Share is the part of the calls that go to the new version.
	Share float64
	// Phase and Reason are for operators.
	Phase, Reason string
}

const (
	// shareMargin is the part of the bound that is used: calls are spread by chance.
	shareMargin = 0.8
	// slackMargin is the part of the slack that may be used where there are few calls.
	slackMargin = 0.4
	// spreadUntil is the part of an order's time for which calls are spread, tryUntil that for
	// which the new version is tried at least, tryAtMost that for which it is tried where too
	// few answers came.
	spreadUntil = 0.35
	tryUntil    = 0.65
	tryAtMost   = 0.8
	// burstTime is how long a burst lasts, burstPause the least time between two, in which its
	// answers come; burstMargin is for the calls until all nodes hear of its end.
	burstTime   = 2 * stepInterval
	burstPause  = time.Second
	burstMargin = 1.5
	// trickle is the share between bursts.
	trickle = 0.02
	// moveUntil is the part of the time at which all traffic has moved.
	moveUntil = 0.93
	// settleTime is how long all traffic stays with the new version before the old one may stop.
	settleTime = time.Second
	// lastMoment is how long before its deadline an order is decided at the latest; by the owner of
	// few nodes only where none decided before.
	lastMoment           = 500 * time.Millisecond
	lastMomentOfMinority = lastMoment - stepInterval
	// enough is the number of answers on each route that show an excess of bad ones, fewest
	// that in all without which nothing is known.
	enough = 25
	fewest = 15
	// wanted is the number of answers that a trial with few calls goes for.
	wanted = 60
)

// burstShares are the shares of bursts. A small share of the traffic shows nothing of how the
// version bears all of it, the same number of calls in a short burst does.
var burstShares = []float64{0.25, 0.5, 1, 1}

// moveShares are the shares while the traffic moves.
var moveShares = []float64{0.25, 0.5, 1}

// Controller decides on one order. It has no clock and no network.
type Controller struct {
	Order  Order
	Bounds Bounds
	Began  time.Time
	// Judge has the evidence so far.
	Judge *Judge

	// bursts counts the bursts so far, burstEnds is when the last one ends.
	bursts    int
	burstEnds time.Time
	moving    time.Time
	// settled is since when all traffic goes to the new version.
	settled time.Time
}

// deadline is when the order's time is over.
func (c *Controller) deadline() time.Time { return c.Began.Add(c.Order.Lasts) }

// at is the moment at a part of the order's time.
func (c *Controller) at(part float64) time.Time {
	return c.Began.Add(time.Duration(part * float64(c.Order.Lasts)))
}

// Step returns what is to be done now.
func (c *Controller) Step(s Situation) Step {
	last := c.isLast(s)
	reason, bad := c.Judge.Bad()
	switch {
	case bad && (s.Complete || last):
		return Step{State: RolledBack, Reason: reason}
	case bad:
		// Bad answers are reported at once, what both versions do alike is not.
		return Step{State: Running, Phase: "doubt", Reason: reason}
	case s.Withdrawn:
		return Step{State: RolledBack, Reason: "the order was withdrawn"}
	case s.Targets.New == 0 && last:
		return Step{State: RolledBack, Reason: "no target of the version came"}
	case s.Targets.New == 0:
		return Step{State: Running, Phase: "waiting", Reason: "no target of the version is there"}
	case !c.moving.IsZero():
		return c.move(s, last)
	}
	return c.try(s, last)
}

// isLast reports whether the order is to be decided now.
func (c *Controller) isLast(s Situation) bool {
	before := lastMoment
	if s.minority() {
		before = lastMomentOfMinority
	}
	return !s.Now.Before(c.deadline().Add(-before))
}

// try sends a bounded share to the new version until it is known well enough.
func (c *Controller) try(s Situation, last bool) Step {
	all, least := c.Judge.Seen()
	switch {
	case all < fewest && (last || !s.minority() && s.Now.After(c.at(moveUntil))):
		return Step{State: RolledBack, Reason: fmt.Sprintf("only %.0f answers to judge the version by", all)}
	case all >= fewest && s.Targets.Warm > 0 && (s.Now.After(c.at(tryAtMost)) || least >= enough && c.bursts >= len(burstShares) && s.Now.After(c.at(tryUntil))):
		c.moving = s.Now
		return c.move(s, last)
	case all >= fewest && s.Targets.Warm > 0 && s.Now.After(c.at(spreadUntil)):
		return c.burst(s)
	}
	return Step{State: Running, Phase: "trial", Share: c.trialShare(s), Reason: fmt.Sprintf("%.0f answers so far, %.0f on the route with the fewest", all, least)}
}

// room is how many calls more the new version may have while it is not known, if it is to have a share
// of all. Owners of parts of the fleet have parts of the slack.
func (c *Controller) room(s Situation, share float64) float64 {
	return share*float64(s.Sent) + slackMargin*s.Part*c.Bounds.Slack - float64(s.SentNew)
}

// trialShare is the share of the calls that the new version may have while it is not known.
func (c *Controller) trialShare(s Situation) float64 {
	if c.room(s, c.Bounds.Share) <= 0 {
		return 0
	}
	share := shareMargin * c.Bounds.Share
	coming := s.PerSecond * c.at(tryAtMost).Sub(s.Now).Seconds()
	if coming <= 0 {
		return share
	}
	// Half of what is spare is kept for bursts.
	spare := (c.room(s, share) + share*coming) / 2
	need := min(wanted-float64(s.SentNew), spare) / coming
	return min(max(share, need), 1)
}

// burst sends a large share to the new version for a moment, as often as the bound allows.
func (c *Controller) burst(s Situation) Step {
	step := Step{State: Running, Phase: "bursts", Reason: fmt.Sprintf("%d bursts so far", c.bursts)}
	share := burstShares[min(c.bursts, len(burstShares)-1)]
	if s.Now.Before(c.burstEnds) {
		step.Share = burstShares[min(max(c.bursts-1, 0), len(burstShares)-1)]
		return step
	}
	spare := c.room(s, shareMargin*c.Bounds.Share)
	if s.PerSecond > 0 && s.Now.Sub(c.burstEnds) >= burstPause && spare >= burstMargin*share*s.PerSecond*burstTime.Seconds() {
		c.bursts++
		c.burstEnds = s.Now.Add(burstTime)
		step.Share = share
		return step
	}
	if spare > 0 {
		step.Share = min(trickle, shareMargin*c.Bounds.Share)
	}
	return step
}

// move shifts the traffic in steps and ends the order once nothing is left at the old version.
func (c *Controller) move(s Situation, last bool) Step {
	step := max(c.at(moveUntil).Sub(c.moving)/time.Duration(len(moveShares)), 0)
	i := len(moveShares) - 1
	if step > 0 {
		i = min(int(s.Now.Sub(c.moving)/step), i)
	}
	share := moveShares[i]
	if share < 1 {
		return Step{State: Running, Phase: "moving", Share: share, Reason: "the version is held to be good"}
	}
	if c.settled.IsZero() {
		c.settled = s.Now
	}
	if last || !s.minority() && s.OldInFlight == 0 && s.Now.Sub(c.settled) >= settleTime {
		return Step{State: Completed, Share: 1, Reason: "all traffic goes to the version, which is held to be good"}
	}
	return Step{State: Running, Phase: "settling", Share: 1, Reason: fmt.Sprintf("%d calls are left at the old version", s.OldInFlight)}
}
