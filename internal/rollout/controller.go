package rollout

import (
	"fmt"
	"time"
)

// Bounds limit the calls that the new version of an order receives during its trial.
type Bounds struct {
	// Share is the largest share of a service's calls that may go to the new version during
	// its trial. Slack is a number of calls that may go to it in addition.
	Share, Slack float64
}

// Situation is the input of one step of a Controller.
type Situation struct {
	Now     time.Time
	Targets Targets
	// Part is the part of the fleet's nodes that report to this owner, from 0 to 1.
	Part float64
	// Sent counts the calls of the reporting nodes for the service since the order was received,
	// SentNew those to the new version. PerSecond is the rate of their calls; 0 if unknown.
	Sent, SentNew uint64
	PerSecond     float64
	// OldInFlight counts the calls in flight at targets of the old version.
	OldInFlight int
	// Withdrawn says that the order was removed or replaced.
	Withdrawn bool
	// Complete says that the judge has evidence from nearly all nodes up to the same moment, or
	// that the wait for it is over.
	Complete bool
	// Moving says that most of the reporting nodes came from an owner that moves the traffic to the new
	// version. A few may have missed that the owner stopped the move.
	Moving bool
}

// isMinority reports whether at most half of the nodes report to this owner. Until shortly before
// the deadline such an owner doesn't roll back for too few answers, and doesn't complete the order:
// an owner with most of the nodes may do so.
func (s Situation) isMinority() bool { return s.Part <= 0.5 }

// Step is the decision of a Controller at one moment.
type Step struct {
	State State
	// Share is the share of the calls that go to the new version.
	Share float64
	// LongFrom and OldStops are those of the Answer.
	LongFrom time.Duration
	OldStops bool
	// Moving says that the version is held to be good and the traffic moves to it.
	Moving bool
	// Phase and Reason describe the decision to operators.
	Phase, Reason string
}

const (
	// shareMargin is the part of Bounds.Share that is used: the version of each call is drawn at
	// random, so the share that is reached varies.
	shareMargin = 0.8
	// slackMargin is the part of Bounds.Slack that may be used.
	slackMargin = 0.4
	// The trial ends at trialUntil of the order's time at the earliest, and at maxTrialUntil where
	// routes have fewer than minRouteAnswers answers or bursts are missing. Until spreadUntil the
	// calls to the new version are spread evenly over time, afterwards they are sent in bursts.
	spreadUntil   = 0.35
	trialUntil    = 0.65
	maxTrialUntil = 0.8
	// burstTime is the duration of a burst. burstPause is the shortest time between two bursts, in
	// which the answers to the first one arrive. burstMargin scales the calls that are reserved
	// for a burst, since nodes keep sending until they receive the end of the burst.
	burstTime   = 2 * stepInterval
	burstPause  = time.Second
	burstMargin = 1.5
	// pauseShare is the share of the new version between bursts.
	pauseShare = 0.02
	// moveUntil is the part of the order's time after which all traffic has moved.
	moveUntil = 0.93
	// settleTime is how long all traffic goes to the new version before the order is completed and
	// the old version may stop.
	settleTime = time.Second
	// decisionMargin is how long before its deadline an order is decided at the latest. An owner
	// with a minority of the nodes, or with incomplete evidence of a bad version, decides one step
	// later: another owner may decide before, and the evidence may become complete.
	decisionMargin     = 500 * time.Millisecond
	lastDecisionMargin = decisionMargin - stepInterval
	// stoppingMargin is how long before its deadline an order that may complete announces that the old
	// version stops.
	stoppingMargin = decisionMargin + 3*stepInterval
	// minRouteAnswers is the number of answers on a route that suffices to detect an excess of bad
	// ones. With fewer than minAnswers on all routes the new version cannot be assessed.
	minRouteAnswers = 25
	minAnswers      = 15
	// wantedAnswers is the number of answers that a trial aims at where the service has few calls.
	wantedAnswers = 60
)

// burstShares are the shares of successive bursts. A small share of the traffic doesn't show how
// the version performs under the full load; the same number of calls in a short burst does.
var burstShares = []float64{0.25, 0.5, 1, 1}

// moveShares are the successive shares of the new version while the traffic moves.
var moveShares = []float64{0.25, 0.5, 1}

// Controller decides how one order proceeds. It uses no clock and no network: each step gets the
// time and the counts as its input.
type Controller struct {
	Order  Order
	Bounds Bounds
	// Began is when the order's time began.
	Began time.Time
	// Judge compares the versions by the evidence so far.
	Judge *Judge

	// bursts counts the bursts so far, burstEnds is when the last one ends.
	bursts    int
	burstEnds time.Time
	// moving is when the traffic began to move to the new version; zero before.
	moving time.Time
	// settled is since when all traffic goes to the new version; zero before.
	settled time.Time
}

// deadline returns the end of the order's time.
func (c *Controller) deadline() time.Time { return c.Began.Add(c.Order.Lasts) }

// at returns the moment at which a part of the order's time, from 0 to 1, is over.
func (c *Controller) at(part float64) time.Time {
	return c.Began.Add(time.Duration(part * float64(c.Order.Lasts)))
}

// Step decides how the order proceeds in a situation.
func (c *Controller) Step(s Situation) Step {
	final := c.mustDecide(s)
	reason, bad := c.Judge.Bad()
	switch {
	case bad && (s.Complete || c.isDue(s, lastDecisionMargin)):
		return Step{State: RolledBack, Reason: reason}
	case bad:
		// Nodes report bad answers of the new version at once, and those of the old version
		// later. Waits for complete evidence, which may show that both versions fail alike.
		return Step{State: Running, Phase: "doubt", Reason: reason}
	case s.Withdrawn:
		return Step{State: RolledBack, Reason: "the order was withdrawn"}
	case s.Targets.New == 0 && final:
		return Step{State: RolledBack, Reason: "no target of the version came"}
	case s.Targets.New == 0:
		return Step{State: Running, Phase: "waiting", Reason: "no target of the version is there"}
	case !c.moving.IsZero():
		return c.moveStep(s, final)
	}
	return c.trialStep(s, final)
}

// mustDecide reports whether the order must be decided in this step.
func (c *Controller) mustDecide(s Situation) bool {
	if s.isMinority() {
		return c.isDue(s, lastDecisionMargin)
	}
	return c.isDue(s, decisionMargin)
}

// isDue reports whether at most the given margin is left before the deadline.
func (c *Controller) isDue(s Situation, margin time.Duration) bool {
	return !s.Now.Before(c.deadline().Add(-margin))
}

// trialStep sends a bounded share of the calls to the new version until it has enough answers.
func (c *Controller) trialStep(s Situation, final bool) Step {
	all, least := c.Judge.AnswerCounts()
	inDoubt := c.Judge.InDoubt()
	switch {
	case all < minAnswers && final && s.Moving && s.Targets.obstacle(s.PerSecond) == "":
		// This owner is too new to know the answers by which the version was held to be good.
		return Step{State: Completed, Share: 1, Reason: "an earlier owner held the version to be good"}
	case final && inDoubt:
		return Step{State: RolledBack, Reason: fmt.Sprintf("still in doubt: score %.1f after %.0f answers", c.Judge.Score(), all)}
	case all < minAnswers && (final || !s.isMinority() && s.Now.After(c.at(moveUntil))):
		return Step{State: RolledBack, Reason: fmt.Sprintf("only %.0f answers to judge the version by", all)}
	case all >= minAnswers && !inDoubt && s.Targets.Warm > 0 && (s.Now.After(c.at(maxTrialUntil)) || least >= minRouteAnswers && c.bursts >= len(burstShares) && s.Now.After(c.at(trialUntil))):
		c.moving = s.Now
		return c.moveStep(s, final)
	case all >= minAnswers && s.Targets.Warm > 0 && s.Now.After(c.at(spreadUntil)):
		return c.burstStep(s)
	case final && s.Targets.Warm == 0:
		return Step{State: RolledBack, Reason: "no target of the version is warm"}
	}
	return Step{State: Running, Phase: "trial", Share: c.trialShare(s), Reason: fmt.Sprintf("%.0f answers so far, %.0f on the route with the fewest, score %.1f", all, least, c.Judge.Score())}
}

// remainingCalls returns how many more calls the new version may receive during its trial, given
// its share of all calls. The slack is divided among owners by their part of the nodes.
func (c *Controller) remainingCalls(s Situation, share float64) float64 {
	return share*float64(s.Sent) + slackMargin*s.Part*c.Bounds.Slack - float64(s.SentNew)
}

// trialShare returns the share of the calls that the new version receives during the trial.
func (c *Controller) trialShare(s Situation) float64 {
	if c.remainingCalls(s, c.Bounds.Share) <= 0 {
		return 0
	}
	share := shareMargin * c.Bounds.Share
	if s.Targets.Warm > 0 {
		share = min(share, roundShare(s.Targets.capacity(s.PerSecond)))
	}
	coming := s.PerSecond * c.at(maxTrialUntil).Sub(s.Now).Seconds()
	if coming <= 0 {
		return share
	}
	// Half of the remaining calls is reserved for bursts.
	spare := (c.remainingCalls(s, share) + share*coming) / 2
	need := roundShare(min(wantedAnswers-float64(s.SentNew), spare) / coming)
	return min(max(share, need), 1)
}

// burstStep sends a large share of the calls to the new version for burstTime, as often as the
// bounds allow.
func (c *Controller) burstStep(s Situation) Step {
	step := Step{State: Running, Phase: "bursts", Reason: fmt.Sprintf("%d bursts so far, score %.1f", c.bursts, c.Judge.Score())}
	share := burstShares[min(c.bursts, len(burstShares)-1)]
	if s.Now.Before(c.burstEnds) {
		step.Share = burstShares[min(max(c.bursts-1, 0), len(burstShares)-1)]
		return step
	}
	spare := c.remainingCalls(s, shareMargin*c.Bounds.Share)
	if s.PerSecond > 0 && s.Now.Sub(c.burstEnds) >= burstPause && spare >= burstMargin*share*s.PerSecond*burstTime.Seconds() && share <= s.Targets.capacity(s.PerSecond) {
		c.bursts++
		c.burstEnds = s.Now.Add(burstTime)
		step.Share = share
		return step
	}
	if spare > 0 {
		step.Share = min(pauseShare, shareMargin*c.Bounds.Share)
	}
	return step
}

// moveStep moves the traffic in steps, as far as the capacity of the new version allows, and completes
// the order once no call is in flight at the old version.
func (c *Controller) moveStep(s Situation, final bool) Step {
	obstacle := s.Targets.obstacle(s.PerSecond)
	if final && obstacle != "" {
		return Step{State: RolledBack, Reason: obstacle}
	}
	share, longFrom := c.moveShare(s)
	if share < 1 && !final {
		reason := "the version is held to be good"
		if obstacle != "" {
			reason += ", but " + obstacle
		}
		return Step{State: Running, Phase: "moving", Share: share, Moving: true, LongFrom: longFrom, Reason: reason}
	}
	if c.settled.IsZero() {
		c.settled = s.Now
	}
	if final || !s.isMinority() && s.OldInFlight == 0 && s.Now.Sub(c.settled) >= settleTime {
		return Step{State: Completed, Share: 1, Reason: fmt.Sprintf("all traffic goes to the version, which is held to be good; %d calls were left at the old version", s.OldInFlight)}
	}
	step := Step{State: Running, Phase: "settling", Share: 1, Moving: true, LongFrom: minLongFrom, Reason: fmt.Sprintf("%d calls are left at the old version", s.OldInFlight)}
	if !s.Now.Before(c.deadline().Add(-stoppingMargin)) {
		step.Phase, step.OldStops = "stopping", true
	}
	return step
}

// moveShare returns the share of the new version while the traffic moves, and the duration from which
// calls are too long for the old version: they would not end before it may stop.
func (c *Controller) moveShare(s Situation) (share float64, longFrom time.Duration) {
	each := max(c.at(moveUntil).Sub(c.moving)/time.Duration(len(moveShares)), 0)
	i := len(moveShares) - 1
	if each > 0 {
		i = min(int(s.Now.Sub(c.moving)/each), i)
	}
	share = moveShares[i]
	if capacity := s.Targets.capacity(s.PerSecond); capacity < 1 {
		// Long calls are not moved ahead of others: the share would be exceeded.
		return min(share, roundShare(capacity)), 0
	}
	if len(s.Targets.Uncovered) > 0 {
		return min(share, maxUncoveredShare), 0
	}
	nextStep := c.moving.Add(time.Duration(i+1) * each)
	left := c.deadline().Add(-decisionMargin).Sub(nextStep).Truncate(time.Millisecond)
	return share, max(left, minLongFrom)
}
