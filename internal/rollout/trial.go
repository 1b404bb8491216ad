package rollout

import "time"

const (
	// rateTime is how long a node's calls are counted before their rate is believed.
	rateTime = time.Second
	// completePart is the part of the nodes whose reports make the evidence complete, doubtTimeout how
	// long they are waited for where the version looks bad.
	completePart = 0.9
	doubtTimeout = 2 * time.Second
	// inFlightLife is how long a node's count of calls at the old version is believed.
	inFlightLife = 3 * mostHold
)

// Trial is what an owner knows of an order, and how it decides. It has no clock and no network.
type Trial struct {
	control Controller
	nodes   map[string]*reporter
	// news is what came since the last step.
	news map[Source]Tally
	// checkpoint is the judge as it was when the evidence was complete last, pending what came since, in
	// how many steps. It is complete again once nodes have reported after awaited.
	checkpoint *Judge
	pending    map[Source]Tally
	steps      int
	awaited    time.Time
	// doubted is since when the version looks bad by evidence that is not complete; zero for not.
	doubted time.Time
}

// reporter is what one node reported.
type reporter struct {
	evidence Evidence
	// sent and sentNew are its calls since the order came, those of its earlier processes included.
	sent, sentNew uint64
	oldInFlight   int
	// since is when this owner first heard of it, sentBefore its calls until then.
	since      time.Time
	sentBefore uint64
	at         time.Time
	// until is when the node is taken to report to another owner, if it does not report before.
	until time.Time
}

// NewTrial returns a Trial of an order that began at a time.
func NewTrial(o Order, b Bounds, began time.Time) *Trial {
	return &Trial{
		control: Controller{Order: o, Bounds: b, Began: began, Judge: NewJudge()},
		nodes:   make(map[string]*reporter), news: make(map[Source]Tally),
		checkpoint: NewJudge(), pending: make(map[Source]Tally),
	}
}

// Take adds a node's report.
func (t *Trial) Take(r Report, now time.Time) {
	node := t.nodes[r.Node]
	if node == nil {
		node = &reporter{since: now, sentBefore: r.Evidence.Sent}
		t.nodes[r.Node] = node
	}
	news := r.Evidence.since(node.evidence)
	addAll(t.news, news.Tallies)
	node.sent += news.Sent
	node.sentNew += news.SentNew
	node.evidence, node.oldInFlight, node.at = r.Evidence, r.OldInFlight, now
	node.until = now.Add(LeaseOf(max(r.Hold, leastHold)))
}

// View is what a node sees of its fleet and of a service.
type View struct {
	// Nodes is how many nodes there are.
	Nodes   int
	Targets Targets
	// Withdrawn says that the order does not stand any more.
	Withdrawn bool
}

// Step returns what is to be done now.
func (t *Trial) Step(now time.Time, v View) Step {
	complete := t.judge(now)
	n := t.Count(now)
	return t.control.Step(Situation{
		Now: now, Targets: v.Targets, Withdrawn: v.Withdrawn, Part: min(float64(n.Nodes)/float64(v.Nodes), 1),
		Sent: n.Sent, SentNew: n.SentNew, PerSecond: n.PerSecond, OldInFlight: n.OldInFlight,
		Complete: complete,
	})
}

// judge takes in what came, and reports whether the evidence is complete now.
//
// Nodes report bad answers of the new version at once, and all else when their report's time is over. So
// a trouble that both versions have looks like one of the new version first. Once the evidence is
// complete the judge goes back to its checkpoint, and takes in together what came since.
func (t *Trial) judge(now time.Time) (complete bool) {
	t.control.Judge.Take(t.news)
	addAll(t.pending, t.news)
	clear(t.news)
	t.steps++
	_, bad := t.control.Judge.Bad()
	if bad && t.doubted.IsZero() {
		t.doubted, t.awaited = now, now
		return false
	}
	if !t.isComplete(now) {
		return false
	}
	t.checkpoint.takeTogether(t.pending, t.steps)
	t.control.Judge = t.checkpoint.clone()
	clear(t.pending)
	t.steps, t.awaited, t.doubted = 0, now, time.Time{}
	return true
}

// isComplete reports whether most nodes have reported since they were awaited.
func (t *Trial) isComplete(now time.Time) bool {
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
	return since >= completePart*all
}

// addAll adds tallies to others.
func addAll(to, tallies map[Source]Tally) {
	for source, tally := range tallies {
		sum := to[source]
		sum.add(tally)
		to[source] = sum
	}
}

// Count sums up the nodes that report.
type Count struct {
	// Nodes is how many there are.
	Nodes int
	// Sent are their calls since the order came, SentNew those to the new version.
	Sent, SentNew uint64
	// PerSecond is the rate of their calls; 0 while it is not known.
	PerSecond float64
	// OldInFlight counts the calls that targets of the old version still work on.
	OldInFlight int
}

// Count sums up the nodes that report at a time. Of the others the calls to the new version count
// that their own calls do not allow: the rest counts at the owner that they report to now.
func (t *Trial) Count(now time.Time) Count {
	var c Count
	var rate float64
	var measured int
	for _, node := range t.nodes {
		if now.Sub(node.at) < inFlightLife {
			c.OldInFlight += node.oldInFlight
		}
		if now.After(node.until) {
			c.SentNew += node.beyond(t.control.Bounds.Share)
			continue
		}
		c.Nodes++
		c.Sent += node.sent
		c.SentNew += node.sentNew
		if since := node.at.Sub(node.since); since >= rateTime {
			rate += float64(node.sent-node.sentBefore) / since.Seconds()
			measured++
		}
	}
	if measured > 0 {
		c.PerSecond = rate * float64(c.Nodes) / float64(measured)
	}
	return c
}

// beyond returns the calls of a node to the new version that its own calls do not allow.
func (r *reporter) beyond(share float64) uint64 {
	return uint64(max(float64(r.sentNew)-share*float64(r.sent), 0))
}
