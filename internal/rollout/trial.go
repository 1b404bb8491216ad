package rollout

import "time"

const (
	// minRateTime is how long a node's calls are counted before their rate is used.
	minRateTime = time.Second
	// completePart is the part of the reporting nodes whose new reports make the evidence complete.
	// doubtTimeout is the longest wait for them if the new version looks bad.
	completePart = 0.9
	doubtTimeout = 2 * time.Second
	// inFlightLife is how long after its last report a node's calls in flight at the old version are
	// counted.
	inFlightLife = 3 * maxHold
)

// Trial aggregates the reports on an order at its owner, and decides how the order proceeds. It uses no
// clock and no network.
type Trial struct {
	control Controller
	nodes   map[string]*reporter
	// delta sums up the tallies since the last step.
	delta map[Source]Tally
	// checkpoint is the judge at the time when the evidence was complete last. pending sums up the
	// tallies since, steps counts the steps since. The evidence is complete again once nodes have
	// reported after awaited.
	checkpoint *Judge
	pending    map[Source]Tally
	steps      int
	awaited    time.Time
	// doubted is the time at which the new version first looked bad since the evidence was last
	// complete; zero if it has not looked bad since then.
	doubted time.Time
	// first is when the first report came.
	first time.Time
}

// reporter is the state of one reporting node at the owner.
type reporter struct {
	evidence Evidence
	// sent and sentNew count its calls since the order was received, including those of earlier
	// processes of the node.
	sent, sentNew uint64
	oldInFlight   int
	// moving says that it came with the answer of an owner that moves the traffic.
	moving bool
	// since is when this owner received its first report, sentBefore its calls until then.
	since      time.Time
	sentBefore uint64
	// at is when this owner received its last report.
	at time.Time
	// until is when its lease ends: without a new report it then counts as a node of another owner.
	until time.Time
}

// NewTrial returns the Trial of an order that began at a time.
func NewTrial(o Order, b Bounds, began time.Time) *Trial {
	return &Trial{
		control: Controller{Order: o, Bounds: b, Began: began, Judge: NewJudge()},
		nodes:   make(map[string]*reporter), delta: make(map[Source]Tally),
		checkpoint: NewJudge(), pending: make(map[Source]Tally),
	}
}

// AddReport adds a node's report.
func (t *Trial) AddReport(r Report, now time.Time) {
	if t.first.IsZero() {
		t.first = now
	}
	node := t.nodes[r.Node]
	if node == nil {
		node = &reporter{since: now, sentBefore: r.Evidence.Sent, moving: r.Has.Moving}
		t.nodes[r.Node] = node
	}
	delta := r.Evidence.since(node.evidence)
	addAll(t.delta, delta.Tallies)
	node.sent += delta.Sent
	node.sentNew += delta.SentNew
	node.evidence, node.oldInFlight, node.at = r.Evidence, r.OldInFlight, now
	node.until = now.Add(LeaseOf(max(r.Hold, minHold)))
}

// View is the state of the fleet and of a service as known at a node.
type View struct {
	// Nodes is the number of nodes of the fleet.
	Nodes   int
	Targets Targets
	// Withdrawn says that the order was removed or replaced.
	Withdrawn bool
}

// Step decides how the order proceeds at a time.
func (t *Trial) Step(now time.Time, v View) Step {
	complete := t.judge(now, v.Nodes)
	n := t.Count(now)
	return t.control.Step(Situation{
		Now: now, Targets: v.Targets, Withdrawn: v.Withdrawn, Part: min(float64(n.Nodes)/float64(v.Nodes), 1),
		Sent: n.Sent, SentNew: n.SentNew, PerSecond: n.PerSecond, OldInFlight: n.OldInFlight,
		Complete: complete, Moving: 2*n.Moving > n.Nodes,
	})
}

// judge adds the new tallies to the judge, and reports whether the evidence is complete now.
//
// Nodes report bad answers of the new version at once, and all other answers when the hold of their
// report is over. So a fault that affects both versions first looks like one of the new version. Once
// the evidence is complete the judge is reset to its checkpoint, and all tallies since are added to it
// at once.
func (t *Trial) judge(now time.Time, nodes int) (complete bool) {
	t.control.Judge.Add(t.delta)
	addAll(t.pending, t.delta)
	clear(t.delta)
	t.steps++
	_, bad := t.control.Judge.Bad()
	if bad && t.doubted.IsZero() {
		t.doubted, t.awaited = now, now
		return false
	}
	if !t.isComplete(now, nodes) {
		return false
	}
	t.checkpoint.addSteps(t.pending, t.steps)
	t.control.Judge = t.checkpoint.clone()
	clear(t.pending)
	t.steps, t.awaited, t.doubted = 0, now, time.Time{}
	return true
}

// isComplete reports whether completePart of the reporting nodes have reported since t.awaited, or
// doubtTimeout is over. Until a hold after the first report all nodes of the fleet count as
// reporting: nodes with bad answers are the first to report to a new owner.
func (t *Trial) isComplete(now time.Time, nodes int) bool {
	if !t.doubted.IsZero() && now.Sub(t.doubted) >= doubtTimeout {
		return true
	}
	var all, since float64
	for _, node := range t.nodes {
		if now.After(node.until) {
			continue
		}
		all++
		if node.at.After(t.awaited) {
			since++
		}
	}
	if now.Sub(t.first) < HoldOf(nodes) {
		all = max(all, float64(nodes))
	}
	return since >= completePart*all
}

// addAll adds tallies to those in to.
func addAll(to, tallies map[Source]Tally) {
	for source, tally := range tallies {
		sum := to[source]
		sum.add(tally)
		to[source] = sum
	}
}

// Count sums up the calls of the nodes that report to an owner.
type Count struct {
	// Nodes is the number of reporting nodes, Moving that of those among them that came with the answer
	// of an owner that moves the traffic.
	Nodes, Moving int
	// Sent counts their calls since the order was received. SentNew counts those to the new
	// version, and excess calls of nodes that report no more.
	Sent, SentNew uint64
	// PerSecond is the rate of their calls; 0 while it is unknown.
	PerSecond float64
	// OldInFlight counts the calls in flight at targets of the old version.
	OldInFlight int
}

// Count sums up the calls of the nodes that report at a time. Of the other nodes it counts only the
// calls to the new version in excess of the share of their own calls: the owner that they report to
// now counts the rest.
func (t *Trial) Count(now time.Time) Count {
	var c Count
	var rate float64
	var measured int
	for _, node := range t.nodes {
		if now.Sub(node.at) < inFlightLife {
			c.OldInFlight += node.oldInFlight
		}
		if now.After(node.until) {
			c.SentNew += node.excessNew(t.control.Bounds.Share)
			continue
		}
		c.Nodes++
		if node.moving {
			c.Moving++
		}
		c.Sent += node.sent
		c.SentNew += node.sentNew
		if since := node.at.Sub(node.since); since >= minRateTime {
			rate += float64(node.sent-node.sentBefore) / since.Seconds()
			measured++
		}
	}
	if measured > 0 {
		c.PerSecond = rate * float64(c.Nodes) / float64(measured)
	}
	return c
}

// EvidenceAge returns the time since the oldest of the last reports of the reporting nodes; 0 if no node
// reports.
func (t *Trial) EvidenceAge(now time.Time) time.Duration {
	var age time.Duration
	for _, node := range t.nodes {
		if !now.After(node.until) {
			age = max(age, now.Sub(node.at))
		}
	}
	return age
}

// excessNew returns the calls of a node to the new version in excess of a share of its own calls.
func (r *reporter) excessNew(share float64) uint64 {
	return uint64(max(float64(r.sentNew)-share*float64(r.sent), 0))
}
