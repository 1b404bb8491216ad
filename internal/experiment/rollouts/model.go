// Package rollouts is a model of nodes that move traffic to another version together. It drives the
// decisions of package rollout in virtual time: the same seed gives the same run.
package rollouts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"topazmoor/internal/rollout"
)

// Scenario is a fleet and its load.
type Scenario struct {
	// Nodes is the number of nodes, PerSecond the rate of all their calls for the service.
	Nodes     int
	PerSecond float64
	// Lasts is the order's time.
	Lasts time.Duration
	// Bounds are what the version may get while it is not known.
	Bounds rollout.Bounds
}

const (
	routes = 3
	// targets is the number of targets of each version.
	targets = 4
	// tick is the time between two looks at the world, stepEach that between two steps of the owner.
	tick     = 50 * time.Millisecond
	stepEach = 200 * time.Millisecond
	// reportPause is the time between an answer of the owner and the next report.
	reportPause = 100 * time.Millisecond
	// reportRetry is the time between a report that failed and the next one.
	reportRetry = 400 * time.Millisecond
	// badAnswers and rollBackBound: so long after this bad answer a version may still get calls.
	badAnswers    = 50
	rollBackBound = 5 * time.Second
	// loadWindow is over how long the load of a target is counted.
	loadWindow = 400 * time.Millisecond
	// avoidAfter is the number of failures one after the other after which nodes avoid a target,
	// and avoidPart the part of its calls that it gets then.
	avoidAfter = 3
	avoidPart  = 0.05
)

// Result is how one order went.
type Result struct {
	State rollout.State
	// Exposure is what the version got, as a part of what it may get, up to the order's end; Late is
	// the number of calls that it got after rollBackBound.
	Exposure float64
	Late     int
	// Verdict is when the order was decided, after it began.
	Verdict time.Duration
	// Reason is why the order ended in State, for people.
	Reason string
	// Reports is the number of reports that the owner got, Bytes their size.
	Reports, Bytes int
}

// node is one node of the model.
type node struct {
	evidence rollout.Evidence
	has      rollout.Answer
	// until is when its share lapses, reports when it reports next.
	until, reports time.Duration
	// unheard says that the owner has not heard of a bad answer.
	unheard     bool
	oldInFlight int
	// life counts its processes.
	life int
}

// pending is a call that is not answered yet.
type pending struct {
	node, life int
	source     rollout.Source
	fails      bool
	took       time.Duration
}

// run is one order that is played.
type run struct {
	s     Scenario
	v     Version
	rnd   *rand.Rand
	size  func(rollout.Report) int
	order rollout.Order
	began time.Time
	trial *rollout.Trial
	nodes []node
	// ends are the calls by the tick in which they are answered.
	ends map[int][]pending
	// lately are the calls of the new version's targets in the last ticks, failed their failures one
	// after the other.
	lately [targets][]int
	failed [targets]int
	now    time.Duration
	answer rollout.Answer
	state  rollout.State
	bad    []time.Duration
	// news are the times of the calls to the new version.
	news []time.Duration
	sent int
	res  Result
}

// Play plays one order. size tells how many bytes a report has.
func Play(s Scenario, v Version, seed uint64, size func(rollout.Report) int) Result {
	r := &run{
		s: s, v: v, rnd: rand.New(rand.NewPCG(seed, 31)), size: size, began: time.Unix(1_000_000, 0), ends: make(map[int][]pending),
		order: rollout.Order{Service: "s", To: "v2", Lasts: s.Lasts}, nodes: make([]node, s.Nodes), state: rollout.Running,
	}
	r.trial = rollout.NewTrial(r.order, s.Bounds, r.began)
	for i := range r.nodes {
		r.nodes[i].evidence = newEvidence()
		// Nodes learn of the order one after the other.
		r.nodes[i].reports = time.Duration(r.rnd.Int64N(int64(time.Second)))
	}
	for t := 0; r.now < s.Lasts; t++ {
		r.troubles()
		r.send(t)
		r.end(t)
		r.report()
		if t%int(stepEach/tick) == 0 {
			r.step()
		}
		r.now += tick
	}
	return r.result()
}

func newEvidence() rollout.Evidence {
	return rollout.Evidence{Tallies: make(map[rollout.Source]rollout.Tally)}
}

func (r *run) part() float64 { return float64(r.now) / float64(r.s.Lasts) }

// happens reports whether something that comes each so often comes in this tick.
func (r *run) happens(each time.Duration) bool {
	return each > 0 && r.rnd.Float64() < float64(tick)/float64(each)
}

func (r *run) troubles() {
	if r.happens(r.v.Trouble.Restarts) {
		n := &r.nodes[r.rnd.IntN(len(r.nodes))]
		*n = node{evidence: newEvidence(), reports: r.now + time.Second, life: n.life + 1}
	}
	if r.happens(r.v.Trouble.Owners) && !r.state.Final() {
		r.changeOwner()
	}
}

// changeOwner ends the process of the owner. The reports that it holds fail, and the nodes send them
// again to another one.
func (r *run) changeOwner() {
	r.trial = rollout.NewTrial(r.order, r.s.Bounds, r.began)
	for i := range r.nodes {
		n := &r.nodes[i]
		n.reports = min(n.reports, r.now+reportRetry)
	}
}

// send sends the calls of a tick.
func (r *run) send(t int) {
	rate := r.s.PerSecond
	if r.v.Trouble.Burst > 0 && between(0.4, 0.6)(Call{Part: r.part()}) {
		rate *= r.v.Trouble.Burst
	}
	if r.state == rollout.Completed {
		rate = 0
	}
	count := [targets]int{}
	for range int(distuv.Poisson{Lambda: rate * tick.Seconds(), Src: r.rnd}.Rand()) {
		r.call(t, &count)
	}
	for i := range count {
		r.lately[i] = append(r.lately[i], count[i])
		r.lately[i] = r.lately[i][max(len(r.lately[i])-int(loadWindow/tick), 0):]
	}
}

func (r *run) call(t int, count *[targets]int) {
	i := r.rnd.IntN(len(r.nodes))
	n := &r.nodes[i]
	c := Call{Part: r.part(), Route: r.rnd.IntN(routes), Target: r.rnd.IntN(targets), New: r.rnd.Float64() < n.share(r.now)}
	source := rollout.Source{Route: strconv.Itoa(c.Route), New: c.New}
	r.sent++
	n.evidence.Sent++
	if c.New {
		c.Target = r.choose(c.Target, n.has.Share)
		source.Target = strconv.Itoa(c.Target)
		count[c.Target]++
		c.Load = r.load(c.Target)
		n.evidence.SentNew++
		r.news = append(r.news, r.now)
	} else {
		n.oldInFlight++
	}
	fails, took := r.v.answer(c, r.rnd)
	if c.New && fails {
		r.failed[c.Target]++
	} else if c.New {
		r.failed[c.Target] = 0
	}
	if c.New && (fails || took > usual*slower/2) {
		r.bad = append(r.bad, r.now+took)
	}
	at := t + int(took/tick)
	r.ends[at] = append(r.ends[at], pending{node: i, life: n.life, source: source, fails: fails, took: took})
}

// choose returns the target of a call, which was drawn from all: a small share goes to few targets, and
// those that fail are avoided.
func (r *run) choose(drawn int, share float64) int {
	few := max(int(float64(targets)*share+0.5), 1)
	target := drawn % few
	for range targets {
		if r.failed[target] < avoidAfter || r.rnd.Float64() < avoidPart {
			break
		}
		target = (target + 1) % targets
	}
	return target
}

// share is the share that the new version may have at a node.
func (n *node) share(now time.Duration) float64 {
	if n.unheard || n.has.State != rollout.Running || now > n.until {
		return 0
	}
	return n.has.Share
}

// load is the rate of calls at a target of the new version, as a part of its share of all traffic.
func (r *run) load(target int) float64 {
	sum := 0
	for _, n := range r.lately[target] {
		sum += n
	}
	return float64(sum) / loadWindow.Seconds() / (r.s.PerSecond / targets)
}

// end takes in the answers of a tick.
func (r *run) end(t int) {
	for _, p := range r.ends[t] {
		n := &r.nodes[p.node]
		if n.life != p.life {
			continue
		}
		n.evidence.Count(p.source, p.fails, p.took)
		if !p.source.New {
			n.oldInFlight--
			if n.oldInFlight == 0 && n.has.Share == 1 {
				n.reports = min(n.reports, r.now)
			}
		} else if p.fails {
			n.unheard = true
			n.reports = min(n.reports, r.now)
		}
	}
	delete(r.ends, t)
}

// report takes in the reports that are due, and answers them.
func (r *run) report() {
	hold := rollout.HoldOf(len(r.nodes))
	for i := range r.nodes {
		n := &r.nodes[i]
		held := n.has != r.answer && r.answer.State != rollout.Unknown
		if r.now < n.reports && !held {
			continue
		}
		report := rollout.Report{
			Node: strconv.Itoa(i), Order: r.order, Evidence: n.evidence.Clone(), OldInFlight: n.oldInFlight, Has: n.has, Hold: hold,
		}
		if !r.state.Final() {
			r.trial.AddReport(report, r.began.Add(r.now))
			r.res.Reports++
			r.res.Bytes += r.size(report)
		}
		n.has, n.unheard = r.answer, false
		n.until = r.now + rollout.LeaseOf(hold)
		n.reports = r.now + hold + reportPause
	}
}

// step lets the owner decide.
func (r *run) step() {
	if r.state.Final() || r.trial.Count(r.began.Add(r.now)).Nodes == 0 {
		return
	}
	s := r.trial.Step(r.began.Add(r.now), rollout.View{Nodes: len(r.nodes), Targets: rollout.Targets{New: targets, Warm: targets, Old: targets}})
	r.answer = rollout.Answer{State: s.State, Share: s.Share, Moving: s.Moving}
	if s.State.Final() {
		r.state, r.res.Verdict, r.res.Reason = s.State, r.now, s.Reason
	}
}

func (r *run) result() Result {
	r.res.State = r.state
	slices.Sort(r.bad)
	if len(r.bad) >= badAnswers {
		last := r.bad[badAnswers-1] + rollBackBound
		for _, at := range r.news {
			if at > last {
				r.res.Late++
			}
		}
	}
	r.res.Exposure = float64(len(r.news)) / (r.s.Bounds.Share*float64(r.sent) + r.s.Bounds.Slack)
	return r.res
}

// Name describes a scenario.
func (s Scenario) Name() string { return fmt.Sprintf("%d nodes", s.Nodes) }
