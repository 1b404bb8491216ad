package passthrough

import (
	"errors"
	"time"

	"topazmoor/internal/poison"
	"topazmoor/internal/targets"
	"topazmoor/internal/verdict"
)

// sending is one send of a request.
type sending struct {
	number int
	// chosen is when its target was chosen.
	chosen time.Time
	// fresh asks for a new connection: of a kept one that ends nobody can say whether its
	// target had ended before.
	fresh bool
	// probe names the probe that the send is, of a request in quarantine; "" for none.
	probe string
}

// nextSend chooses a target and counts one more send. A request in quarantine is sent alone,
// once its probe was claimed; the failure says why it is not sent. The end of each send goes
// to brokeOff, answered or abandoned.
func (c *call) nextSend(q targets.Query) (*targets.Lease, sending, *failure) {
	if err := c.hold(); err != nil {
		return nil, sending{}, &failure{none: true, err: err}
	}
	probe := c.held
	c.held = ""
	n := sending{number: c.sends + 1, chosen: time.Now(), fresh: c.stale > 0 || c.s.cfg.Guard.Suspect(c.digest), probe: probe}
	q.Service, q.Route, q.Regions, q.Exclude, q.Alone, q.Again = c.service, c.route.Name, c.regions(), c.tried, probe != "", c.sends > 0
	l := c.choose(q)
	if l == nil {
		c.abandoned(n)
		return nil, n, &failure{none: true, busy: true, err: errNoTarget}
	}
	c.sends++
	c.tried = append(c.tried, l.ID)
	return l, n, nil
}

// hold claims the probe of a request in quarantine, for its stages and its next send. The
// error is *poison.Refused.
//
// All nodes are asked, not this attempt alone: counted by attempt, or by node, one request
// that comes back ends every target of its service.
func (c *call) hold() error {
	if c.held != "" {
		return nil
	}
	probe, err := c.s.cfg.Guard.Send(c.ctx, c.digest, c.timeLeft())
	c.held = probe
	return err
}

// drop gives up a probe that was not used.
func (c *call) drop() {
	if c.held != "" {
		c.s.cfg.Guard.Abandoned(c.digest, c.held)
		c.held = ""
	}
}

var errNoTarget = errors.New("no target may be called")

// brokeOff tells that the run at a target broke off without its answer. Where this node or
// the caller ended it, that says nothing of the target.
func (c *call) brokeOff(l *targets.Lease, n sending, began time.Time, byUs bool) {
	if byUs {
		c.abandoned(n)
		return
	}
	known := c.s.cfg.Guard.Ended(poison.Run{Digest: c.digest, Began: began, Process: l.Process(), Addr: l.Addr, Probe: n.probe})
	if !c.route.Repeatable() {
		return
	}
	select {
	case <-known:
	case <-c.ctx.Done():
	}
}

// answered tells that the target answered.
func (c *call) answered() { c.s.cfg.Guard.Answered(c.digest) }

// abandoned tells that a send ended in a way that says nothing of the request.
func (c *call) abandoned(n sending) { c.s.cfg.Guard.Abandoned(c.digest, n.probe) }

// quarantined is the final answer to a request that must not be sent.
func (c *call) quarantined(err error) error {
	e := verdict.Wrap(err, c.verdict(), verdict.CrashesTargets, "targets end under this request")
	var refused *poison.Refused
	if errors.As(err, &refused) {
		return e.After(refused.After)
	}
	return e
}

// isQuarantined reports whether an attempt was not made as the request must not be sent.
func (f *failure) isQuarantined() bool {
	var refused *poison.Refused
	return f != nil && errors.As(f.err, &refused)
}
