package rollout

import "time"

// rateTime is how long a node's calls are counted before their rate is believed.
const rateTime = time.Second

// calls sums up the calls of the nodes that report to an owner.
type calls struct {
	// nodes is how many there are.
	nodes int
	// sent are the calls since the order came, sentNew those to the new version.
	sent, sentNew uint64
	// perSecond is the rate of the calls of all these nodes; 0 while it is not known.
	perSecond float64
}

// calls returns the calls of the nodes that report at a time. The lock is held.
func (x *run) calls(now time.Time) (c calls) {
	var rate float64
	var measured int
	for _, node := range x.nodes {
		if now.After(node.until) {
			c.sentNew += node.beyond(x.o.Bounds.Share)
			continue
		}
		c.nodes++
		c.sent += node.sent
		c.sentNew += node.sentNew
		if since := node.at.Sub(node.since); since >= rateTime {
			rate += float64(node.sent-node.sentBefore) / since.Seconds()
			measured++
		}
	}
	if measured > 0 {
		c.perSecond = rate * float64(c.nodes) / float64(measured)
	}
	return c
}

// beyond returns the calls of a node to the new version that its own calls do not allow. A node that
// reports no more may report to another owner, which counts its calls; those that were too many count
// here too.
func (r *reporter) beyond(share float64) uint64 {
	return uint64(max(float64(r.sentNew)-share*float64(r.sent), 0))
}
