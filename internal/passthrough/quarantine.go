package passthrough

import (
	"errors"
	"time"

	"topazmoor/internal/poison"
	"topazmoor/internal/targets"
	"topazmoor/internal/verdict"
)

// sendInfo describes one send of a request.
type sendInfo struct {
	number int
	// chosen is when the target was selected.
	chosen time.Time
	// fresh requests a new connection: when a kept-alive one ends, it is unknown whether the
	// target had ended before.
	fresh bool
	// probe is the quarantine probe that this send is, if any.
	probe poison.Probe
}

// guarded returns the request as the guard knows it.
func (c *call) guarded() poison.Request { return poison.Request{Digest: c.digest, Parts: c.parts} }

// nextSend selects a target and counts one more send. A request in quarantine is sent to the
// least busy target, after its probe was claimed; the failure gives the reason why it is not
// sent. The end of each send is reported with reportInterrupted, reportAnswered or
// reportAbandoned.
func (c *call) nextSend(q targets.Query) (*targets.Lease, sendInfo, *failure) {
	if err := c.claimProbe(); err != nil {
		return nil, sendInfo{}, &failure{noResend: true, err: err}
	}
	probe := c.claimedProbe
	c.claimedProbe = poison.Probe{}
	n := sendInfo{number: c.sends + 1, chosen: time.Now(), fresh: c.stale > 0 || c.s.cfg.Guard.Suspect(c.guarded()), probe: probe}
	q.Service, q.Route, q.Regions, q.Exclude, q.LeastBusy, q.Resent = c.service, c.route.Name, c.regions(), c.tried, probe.Claimed(), c.sends > 0
	q.Version = c.version
	q.Exchange, q.Rank, q.Left = c.exchange(), c.rank, c.timeLeft()
	l := c.pickTarget(q)
	if l == nil {
		c.reportAbandoned(n)
		return nil, n, &failure{noResend: true, busy: true, err: errNoTarget}
	}
	c.sends++
	c.tried = append(c.tried, l.ID)
	return l, n, nil
}

// claimProbe claims the probe of a request in quarantine, for its stages and its next send.
// Its error is *poison.Refused.
//
// The guard coordinates probes with all nodes. If runs were counted by attempt or by node, one
// request whose caller retries could end every target of its service.
func (c *call) claimProbe() error {
	if c.claimedProbe.Claimed() {
		return nil
	}
	probe, err := c.s.cfg.Guard.Send(c.ctx, c.guarded(), c.timeLeft())
	c.claimedProbe = probe
	return err
}

// releaseProbe releases a claimed probe that was not used.
func (c *call) releaseProbe() {
	if c.claimedProbe.Claimed() {
		c.s.cfg.Guard.Abandoned(c.claimedProbe)
		c.claimedProbe = poison.Probe{}
	}
}

// releaseProbeAfterStages releases what a claimed probe tests beside the request itself, as a target of a
// stage ended: the node that forms the batches has reported the outcome for the request.
func (c *call) releaseProbeAfterStages() {
	c.claimedProbe = c.claimedProbe.Without(c.digest)
	c.releaseProbe()
}

var errNoTarget = errors.New("no target may be called")

// reportInterrupted reports to the guard that a run at a target ended without a complete
// response. A run that this node or the caller ended is reported as abandoned: it is no
// evidence about the target. For a repeatable request reportInterrupted waits until the guard
// knows whether the target ended, or the request is over.
func (c *call) reportInterrupted(l *targets.Lease, n sendInfo, began time.Time, progress poison.Progress, endedLocally bool) {
	if endedLocally {
		c.reportAbandoned(n)
		return
	}
	resolved := c.s.cfg.Guard.Ended(poison.Run{
		Request: c.guarded(), Began: began, Process: l.Process(), Addr: l.Addr, Progress: progress, Probe: n.probe,
	})
	if !c.route.Repeatable() {
		return
	}
	select {
	case <-resolved:
	case <-c.ctx.Done():
	}
}

// reportAnswered reports to the guard that the target answered.
func (c *call) reportAnswered() { c.s.cfg.Guard.Answered(c.guarded()) }

// reportAbandoned reports to the guard that a send ended without evidence about the request.
func (c *call) reportAbandoned(n sendInfo) { c.s.cfg.Guard.Abandoned(n.probe) }

// quarantineError returns the error for a request that the guard does not allow to be sent.
func (c *call) quarantineError(err error) error {
	e := verdict.Wrap(err, c.verdict(), verdict.CrashesTargets, "targets end under this request")
	var refused *poison.Refused
	if !errors.As(err, &refused) {
		return e
	}
	if refused.Part {
		e = verdict.Wrap(err, c.verdict(), verdict.CrashesTargets, "targets end under a part of this request's prompt")
	}
	return e.After(refused.After)
}

// isQuarantined reports whether the send did not take place because the guard refused it.
func (f *failure) isQuarantined() bool {
	var refused *poison.Refused
	return f != nil && errors.As(f.err, &refused)
}
