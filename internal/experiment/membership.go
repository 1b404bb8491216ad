package experiment

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"topazmoor/internal/membership"
	"topazmoor/internal/peer/peerpb"
)

// MembershipResult is what a way of keeping membership costs and gives.
type MembershipResult struct {
	// BytesPerSecond is sent and received by a node on average, with IP and UDP
	// headers, or the bytes of rows read and written.
	BytesPerSecond float64
	// Detect is the mean time until a live node takes a failed one as dead.
	Detect time.Duration
	// False is the percentage of live members that are taken as dead.
	False float64
	// StoreOps is the table service's reads and writes a second for all nodes.
	StoreOps float64
}

const (
	// packetOverhead is the IP and UDP headers and the HMAC of a datagram.
	packetOverhead = 28 + 16
	// memberOneWay is the latency of a datagram.
	memberOneWay = time.Millisecond
	// memberLoss is the share of datagrams that are lost.
	memberLoss = 0.10
	// pauseEvery and pauseFor make each node stand still now and then.
	pauseEvery = 60 * time.Second
	pauseFor   = 3 * time.Second
	// memberInterval is the time between two rounds of a node.
	memberInterval = time.Second
	// memberSettle and memberWatch are the times before and after a failure.
	memberSettle = 60 * time.Second
	memberWatch  = 60 * time.Second
)

// view is one node of a way.
type view interface {
	// tick does one interval's work and returns messages by receiver.
	tick(now time.Time) []message
	// receive handles a message.
	receive(now time.Time, m message) []message
	// dead reports whether the node takes another as dead.
	dead(now time.Time, other int) bool
}

// message is a datagram between nodes.
type message struct {
	from, to int
	size     int
	body     any
}

// event is a message or a tick that is due.
type event struct {
	at   time.Time
	node int
	msg  *message
	seq  int
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

// memberRun is a running membership experiment.
type memberRun struct {
	views  []view
	rng    *rand.Rand
	queue  eventQueue
	seq    int
	bytes  int64
	now    time.Time
	failed int
	paused []time.Time
}

// RunMembership measures a way ("swim", "digest" or "table") with n nodes: one
// of them fails after a minute; all lose a tenth of their datagrams and pause.
func RunMembership(way string, n int, seed uint64) MembershipResult {
	start := time.Unix(1_000_000, 0)
	r := &memberRun{rng: rand.New(rand.NewPCG(seed, 1)), now: start, failed: -1, paused: make([]time.Time, n)}
	board := &heartbeatTable{beats: make([]time.Time, n)}
	for i := range n {
		r.views = append(r.views, newView(way, i, n, start, r.rng, board))
		r.push(event{at: start.Add(rand.N(memberInterval)), node: i})
	}
	r.runUntil(start.Add(memberSettle))
	r.bytes = 0
	board.ops, board.bytes = 0, 0
	r.failed = r.rng.IntN(n)
	detect := make(map[int]time.Duration)
	falsePairs, pairs := 0, 0
	for step := time.Duration(0); step < memberWatch; step += 250 * time.Millisecond {
		r.runUntil(start.Add(memberSettle + step))
		for i, v := range r.views {
			if i == r.failed {
				continue
			}
			if _, seen := detect[i]; !seen && v.dead(r.now, r.failed) {
				detect[i] = step
			}
			other := r.rng.IntN(n)
			if other != r.failed && other != i {
				pairs++
				if v.dead(r.now, other) {
					falsePairs++
				}
			}
		}
	}
	return r.result(n, detect, falsePairs, pairs, board)
}

func (r *memberRun) result(n int, detect map[int]time.Duration, falsePairs, pairs int, board *heartbeatTable) MembershipResult {
	var sum time.Duration
	for i := range n {
		d, ok := detect[i]
		if !ok && i != r.failed {
			d = memberWatch
		}
		sum += d
	}
	seconds := memberWatch.Seconds()
	return MembershipResult{
		// Every datagram is sent by one node and received by another.
		BytesPerSecond: (2*float64(r.bytes) + float64(board.bytes)) / seconds / float64(n),
		Detect:         sum / time.Duration(max(n-1, 1)),
		False:          100 * float64(falsePairs) / float64(max(pairs, 1)),
		StoreOps:       float64(board.ops) / seconds,
	}
}

func (r *memberRun) push(e event) {
	r.seq++
	e.seq = r.seq
	heap.Push(&r.queue, e)
}

func (r *memberRun) runUntil(end time.Time) {
	for len(r.queue) > 0 && !r.queue[0].at.After(end) {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		if e.node == r.failed {
			continue
		}
		if e.at.Before(r.paused[e.node]) {
			// A paused node handles everything when it wakes.
			e.at = r.paused[e.node]
			r.push(e)
			continue
		}
		r.handle(e)
	}
	r.now = end
}

func (r *memberRun) handle(e event) {
	var out []message
	if e.msg != nil {
		out = r.views[e.node].receive(e.at, *e.msg)
	} else {
		out = r.views[e.node].tick(e.at)
		r.push(event{at: e.at.Add(memberInterval), node: e.node})
		if r.rng.Float64() < memberInterval.Seconds()/pauseEvery.Seconds() {
			r.paused[e.node] = e.at.Add(pauseFor)
		}
	}
	for _, m := range out {
		r.bytes += int64(m.size)
		if r.rng.Float64() >= memberLoss {
			r.push(event{at: e.at.Add(memberOneWay), node: m.to, msg: &m})
		}
	}
}

func newView(way string, i, n int, now time.Time, rng *rand.Rand, board *heartbeatTable) view {
	switch way {
	case "swim":
		return newSwim(i, n, rng)
	case "digest":
		return newDigest(i, n, now, rng)
	}
	return &tableView{self: i, board: board, seen: make([]time.Time, n), rng: rng, start: now}
}

// swimView is the production protocol.
type swimView struct {
	self  int
	state *membership.State
}

func memberName(i int) string { return fmt.Sprintf("entry-%03d", i) }
func memberAddr(i int) string { return fmt.Sprintf("10.1.%d.%d:8082", i/250, i%250+1) }

func newSwim(i, n int, rng *rand.Rand) *swimView {
	cfg := membership.Config{Interval: memberInterval, SuspectFor: 5 * time.Second, ForgetAfter: time.Hour}
	self := membership.Member{Name: memberName(i), Addr: memberAddr(i), DataCentre: "dc-1", Incarnation: 1}
	var seeds []string
	for s := range min(n, 3) {
		seeds = append(seeds, memberAddr(s))
	}
	return &swimView{self: i, state: membership.New(self, seeds, cfg, rand.New(rand.NewPCG(rng.Uint64(), uint64(i))))}
}

func (v *swimView) messages(packets []membership.Packet) []message {
	out := make([]message, 0, len(packets))
	for _, p := range packets {
		var a, b, port int
		if _, err := fmt.Sscanf(p.Addr, "10.1.%d.%d:%d", &a, &b, &port); err != nil {
			panic(err)
		}
		out = append(out, message{from: v.self, to: a*250 + b - 1, size: proto.Size(p.Msg) + packetOverhead, body: p.Msg})
	}
	return out
}

func (v *swimView) tick(now time.Time) []message { return v.messages(v.state.Tick(now)) }

func (v *swimView) receive(now time.Time, m message) []message {
	// A copy, as over a network: the state keeps parts of messages.
	msg := proto.CloneOf(m.body.(*peerpb.Datagram))
	packets, _ := v.state.Receive(now, memberAddr(m.from), msg)
	return v.messages(packets)
}

func (v *swimView) dead(_ time.Time, other int) bool {
	h, _ := v.state.Health(memberName(other))
	return h == membership.Dead
}

// digestView sends all heartbeat counters to one random node each interval.
type digestView struct {
	self  int
	rng   *rand.Rand
	beats []uint32
	heard []time.Time
}

// digestDead is the silence after which a counter's node is taken as dead: the
// spread through 400 nodes takes some ten rounds.
const digestDead = 20 * time.Second

func newDigest(i, n int, now time.Time, rng *rand.Rand) *digestView {
	v := &digestView{self: i, rng: rng, beats: make([]uint32, n), heard: make([]time.Time, n)}
	for j := range v.heard {
		v.heard[j] = now
	}
	return v
}

func (v *digestView) tick(now time.Time) []message {
	v.beats[v.self]++
	v.heard[v.self] = now
	to := v.rng.IntN(len(v.beats))
	// A node is named by 4 bytes; its counter is a varint.
	size := packetOverhead
	var buf [binary.MaxVarintLen32]byte
	for _, b := range v.beats {
		size += 4 + binary.PutUvarint(buf[:], uint64(b))
	}
	return []message{{from: v.self, to: to, size: size, body: append([]uint32(nil), v.beats...)}}
}

func (v *digestView) receive(now time.Time, m message) []message {
	for i, b := range m.body.([]uint32) {
		if b > v.beats[i] {
			v.beats[i] = b
			v.heard[i] = now
		}
	}
	return nil
}

func (v *digestView) dead(now time.Time, other int) bool {
	return now.Sub(v.heard[other]) > digestDead
}

// heartbeatTable is the table service for the third way.
type heartbeatTable struct {
	beats []time.Time
	ops   int
	bytes int64
}

const (
	// tableEvery is the time between two heartbeats of a node; at 400 nodes it
	// makes 80 writes and 80 reads of the whole table a second.
	tableEvery = 5
	// tableDead is the silence after which a node is taken as dead.
	tableDead = 3 * tableEvery * time.Second
	// tableRow is the size of a heartbeat row in JSON, in bytes.
	tableRow = 90
)

// tableView writes heartbeats into the table service and reads all of them.
type tableView struct {
	self  int
	board *heartbeatTable
	seen  []time.Time
	rng   *rand.Rand
	start time.Time
	ticks int
}

func (v *tableView) tick(now time.Time) []message {
	v.ticks++
	if v.ticks%tableEvery != v.self%tableEvery {
		return nil
	}
	v.board.beats[v.self] = now
	copy(v.seen, v.board.beats)
	v.board.ops += 2
	v.board.bytes += int64(tableRow * (len(v.seen) + 1))
	return nil
}

func (v *tableView) receive(time.Time, message) []message { return nil }

func (v *tableView) dead(now time.Time, other int) bool {
	last := v.seen[other]
	if last.IsZero() {
		last = v.start
	}
	return now.Sub(last) > tableDead
}
