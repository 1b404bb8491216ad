package rates

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"topazmoor/internal/sharedrate"
)

const (
	// oneWay is the least time of a message between nodes, oneWayMore what it varies by.
	oneWay     = 300 * time.Microsecond
	oneWayMore = 700 * time.Microsecond
	// answerTimeout is when an ask that was lost has failed.
	answerTimeout = 150 * time.Millisecond
	// lagLeast and lagMore are when nodes learn that one was stopped or has started, through the
	// store.
	lagLeast = 400 * time.Millisecond
	lagMore  = 1200 * time.Millisecond
	// startTime is how long a process takes to start again.
	startTime = 700 * time.Millisecond
	// warmUp is left out of the figures: the target has just named its limit.
	warmUp = 3 * time.Second
	// askBytes is what an ask and its answer take with their frames and packets: two messages of
	// 60 and 30 bytes, four frames of 12 and four packets of 40.
	askBytes = 300
)

// event is something that happens at a moment of the model.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one node of the model.
type node struct {
	name   string
	index  int
	way    rateLimiter
	up     bool
	thaws  time.Duration
	cut    bool
	mute   bool
	half   int
	listed bool
}

// target is one target with a limit.
type target struct {
	key       string
	perSecond float64
	heard     time.Time
	limited   bool
	arrivals  []arrival
}

// arrival is a request that reached a target, at the rate that it took then.
type arrival struct {
	at   time.Duration
	rate float64
}

// run is one run of a scenario.
type run struct {
	Scenario
	way     Way
	rnd     *rand.Rand
	epoch   time.Time
	now     time.Duration
	queue   events
	seq     int
	nodes   []*node
	targets []*target
	tally   tally
}

// tally counts on the way.
type tally struct {
	refused, refusedWithRoom int
	// wantedAt is when callers asked, delays how long it took until they were served.
	wantedAt, delays []time.Duration
	asks             []int
}

// Play plays a scenario once with one way to share.
func Play(s Scenario, way Way, seed uint64) Result {
	r := &run{Scenario: s, way: way, rnd: rand.New(rand.NewPCG(seed, 7)), epoch: time.Unix(1e9, 0)}
	r.tally.asks = make([]int, s.Nodes)
	for i := range s.Nodes {
		r.nodes = append(r.nodes, &node{name: fmt.Sprint("node-", i), index: i, up: true, listed: true})
	}
	for i := range s.Targets {
		r.targets = append(r.targets, &target{key: fmt.Sprint("target-", i), perSecond: s.PerSecond, limited: true, heard: r.clock()})
	}
	for _, n := range r.nodes {
		n.way = way.begin(r, n)
		// Nodes have been running for long.
		n.way.setNodes(r.others(n), r.epoch.Add(-time.Hour))
	}
	for _, t := range s.Troubles {
		r.at(time.Duration(t.AtMS)*time.Millisecond, func() { r.trouble(t) })
	}
	for i, t := range r.targets {
		r.at(time.Duration(r.rnd.Float64()*float64(time.Second)/s.PerSecond)+time.Duration(i), func() { r.request(t) })
	}
	end := time.Duration(s.Seconds) * time.Second
	for len(r.queue) > 0 && r.queue[0].at <= end {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	return r.result(end)
}

func (r *run) clock() time.Time { return r.epoch.Add(r.now) }

// at does something at a moment, after what was planned for it before.
func (r *run) at(at time.Duration, do func()) {
	r.seq++
	heap.Push(&r.queue, event{at: max(at, r.now), seq: r.seq, do: do})
}

func (r *run) after(d time.Duration, do func()) { r.at(r.now+d, do) }

// request lets a caller want a target, and plans the next one.
func (r *run) request(t *target) {
	perSecond := r.PerSecond * r.Demand
	r.after(time.Duration(r.rnd.ExpFloat64()*float64(time.Second)/perSecond), func() { r.request(t) })
	n := r.nodes[r.caller()]
	if !n.up || r.now < n.thaws {
		return
	}
	if r.now > warmUp {
		r.tally.wantedAt = append(r.tally.wantedAt, r.now)
	}
	if !t.limited {
		r.arrive(t, math.Inf(1))
		return
	}
	wanted := r.now
	n.way.acquire(t, func(ok bool) {
		if !ok {
			r.refused(t)
			return
		}
		if wanted > warmUp {
			r.tally.delays = append(r.tally.delays, r.now-wanted)
		}
		r.arrive(t, t.perSecond)
	})
}

// caller returns the node that a caller asks.
func (r *run) caller() int {
	tenth := max(r.Nodes/10, 1)
	switch r.Spread {
	case "one":
		return 0
	case "tenth":
		return r.rnd.IntN(tenth)
	case "moving":
		second := int(r.now / time.Second)
		return (second*tenth + r.rnd.IntN(tenth)) % r.Nodes
	}
	return r.rnd.IntN(r.Nodes)
}

func (r *run) arrive(t *target, rate float64) {
	t.arrivals = append(t.arrivals, arrival{r.now, rate})
}

// refused counts a request that got no permit; one that the target had room for if it got less than
// its rate in the last span.
func (r *run) refused(t *target) {
	if r.now <= warmUp {
		return
	}
	r.tally.refused++
	since := max(r.now-sharedrate.BoundWindow, 0)
	i, _ := slices.BinarySearchFunc(t.arrivals, since, func(a arrival, at time.Duration) int { return int(a.at - at) })
	if float64(len(t.arrivals)-i+1) <= t.perSecond*(r.now-since).Seconds() {
		r.tally.refusedWithRoom++
	}
}

// reaches reports whether a message between two nodes arrives.
func (r *run) reaches(from, to *node) bool {
	return from.up && to.up && r.now >= to.thaws && r.now >= from.thaws && !from.cut && !to.cut && !from.mute && from.half == to.half
}

// ask carries an ask to another node and its answer back.
func (r *run) ask(from, to *node, a sharedrate.PermitRequest, answer func(g sharedrate.Grant, err error)) {
	r.tally.asks[from.index]++
	r.tally.asks[to.index]++
	asker := from.way
	lost := func() {
		r.after(answerTimeout, func() {
			if from.up && from.way == asker {
				answer(sharedrate.Grant{}, errLost)
			}
		})
	}
	r.after(r.delay(), func() {
		if !r.reaches(from, to) {
			lost()
			return
		}
		g := to.way.grant(a)
		r.after(r.delay(), func() {
			switch {
			case !r.reaches(to, from):
				lost()
			case from.way == asker:
				answer(g, nil)
			}
		})
	})
}

func (r *run) delay() time.Duration {
	return oneWay + time.Duration(r.rnd.Int64N(int64(oneWayMore)))
}

// others are the nodes that a node may know.
func (r *run) others(n *node) []*node {
	var out []*node
	for _, other := range r.nodes {
		if other != n && other.listed {
			out = append(out, other)
		}
	}
	return out
}

// listChanged lets all nodes learn, each a while later, which nodes there are.
func (r *run) listChanged() {
	for _, n := range r.nodes {
		r.after(lagLeast+time.Duration(r.rnd.Int64N(int64(lagMore))), func() {
			if n.up {
				n.way.setNodes(r.others(n), r.clock())
			}
		})
	}
}

// trouble begins a trouble.
func (r *run) trouble(t Trouble) {
	lasts := time.Duration(t.ForMS) * time.Millisecond
	switch t.Kind {
	case "change":
		for _, target := range r.targets {
			target.perSecond, target.heard = target.perSecond*t.Times, r.clock()
		}
		return
	case "end":
		for _, target := range r.targets {
			target.limited = false
			r.after(lasts, func() { target.limited, target.heard = true, r.clock() })
		}
		return
	case "roll":
		for i, n := range r.nodes {
			r.after(time.Duration(i)*lasts, func() { r.stop(n, lasts, true) })
		}
		return
	}
	for _, n := range r.affectedNodes(t.Share) {
		r.strike(n, t.Kind, lasts)
	}
}

// affectedNodes returns the nodes that a trouble happens to, a share of all: the granters of the first
// targets, then others at random.
func (r *run) affectedNodes(share float64) []*node {
	count := max(int(math.Ceil(share*float64(r.Nodes))), 1)
	var out []*node
	for _, t := range r.targets {
		if n := r.firstOf(t.key); n != nil && len(out) < count && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	for _, i := range r.rnd.Perm(r.Nodes) {
		if n := r.nodes[i]; len(out) < count && !slices.Contains(out, n) {
			out = append(out, n)
		}
	}
	return out
}

// firstOf returns the node that comes first for a target.
func (r *run) firstOf(key string) *node {
	owners := sharedrate.NewGranterOrder(sharedrate.Node{Name: r.nodes[0].name}, r.epoch)
	var others []sharedrate.Node
	for _, n := range r.nodes[1:] {
		others = append(others, sharedrate.Node{Name: n.name})
	}
	owners.Set(others, r.epoch)
	first, _ := owners.First(key, nil)
	for _, n := range r.nodes {
		if n.name == first.Name {
			return n
		}
	}
	return nil
}

func (r *run) strike(n *node, kind string, lasts time.Duration) {
	switch kind {
	case "stop":
		r.stop(n, lasts, true)
	case "kill":
		r.stop(n, lasts, false)
	case "freeze":
		n.thaws = r.now + lasts
	case "cut":
		n.cut = true
		r.after(lasts, func() { n.cut = false })
	case "cut_one_way":
		n.mute = true
		r.after(lasts, func() { n.mute = false })
	case "halves":
		n.half = 1
		r.after(lasts, func() { n.half = 0 })
	}
}

// stop ends a node's process, which starts again later. One that is told leaves the list.
func (r *run) stop(n *node, lasts time.Duration, told bool) {
	n.up = false
	if told {
		n.listed = false
		r.listChanged()
	}
	r.after(lasts+startTime, func() {
		n.up, n.thaws = true, 0
		n.way = r.way.begin(r, n)
		wasListed := n.listed
		n.listed = true
		r.after(lagLeast, func() { n.way.setNodes(r.others(n), r.clock()) })
		if !wasListed {
			r.listChanged()
		}
	})
}
