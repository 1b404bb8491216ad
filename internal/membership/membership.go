// Package membership keeps each node's view of the other nodes: who they are,
// whether they answer, and their addresses. Only speed rests on it, never
// correctness.
//
// Each interval a node pings one other, in a random order that visits all; a
// node that does not answer is pinged through others, then suspected, then
// taken as dead unless it refutes. News travels piggybacked on pings and a
// hash over the whole view is compared with one random node from time to time.
// The protocol is that of SWIM (Das, Gupta, Motivala, 2002), with the
// anti-entropy of Z-Ring, section 4.1. Source: docs/design/008-membership.md.
//
// State is pure: time, randomness and messages are passed in.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"topazmoor/internal/peer/peerpb"
)

// Health is what a node believes of another.
type Health uint32

// The states of a member.
const (
	Alive Health = iota
	Suspect
	Dead
	Left
)

// String returns the name used in status and logs.
func (h Health) String() string {
	switch h {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Member is one node.
type Member struct {
	Name, Addr, DataCentre string
	// Incarnation grows with every restart and every refutation.
	Incarnation uint64
	Health      Health
	// Revision is the configuration revision that it was last heard to have.
	Revision int64
}

// Config sets the pace of the protocol.
type Config struct {
	// Interval is the time between two pings of a node.
	Interval time.Duration
	// SuspectFor is how long a suspect may refute.
	SuspectFor time.Duration
	// ForgetAfter is how long a dead or left member is remembered.
	ForgetAfter time.Duration
}

const (
	// suspectAfter is the number of intervals without an answer, directly or
	// through helpers, after which a node is suspected. A node that paused for
	// less answers what waits in its socket when it wakes.
	suspectAfter = 4
	// helpers is the number of nodes that are asked to ping a silent one.
	helpers = 3
	// newsPerMessage bounds the news of one message, and thereby its size.
	newsPerMessage = 12
	// newsFactor times log2 of the nodes, plus one, is how often a piece of news is sent.
	newsFactor = 1
	// syncEvery is the number of intervals between two comparisons of views.
	syncEvery = 15
	// announceFanout is the number of nodes that a new revision is told to.
	announceFanout = 5
	// leaveFanout is the number of nodes that a leaving node tells: it will not
	// be there to repeat it.
	leaveFanout = 16
)

// Packet is a message to send.
type Packet struct {
	Addr string
	Msg  *peerpb.Datagram
}

// State is one node's view. It is not safe for concurrent use.
type State struct {
	cfg      Config
	self     Member
	members  map[string]*member
	order    []string
	next     int
	ticks    int
	seq      uint32
	pings    map[uint32]*ping
	relays   map[uint32]relay
	news     []*newsItem
	rng      *rand.Rand
	revision int64
	seeds    []string
}

type member struct {
	Member
	changed time.Time
}

// ping is an unanswered ping of this node.
type ping struct {
	name   string
	sent   time.Time
	helped bool
}

// relay is a ping made for another node.
type relay struct {
	addr string
	seq  uint32
	sent time.Time
}

type newsItem struct {
	member *peerpb.Member
	sent   int
}

// New returns the view of a node that knows nobody. Seeds are the addresses
// that it pings until it knows somebody.
func New(self Member, seeds []string, cfg Config, rng *rand.Rand) *State {
	return &State{
		cfg: cfg, self: self, seeds: seeds, rng: rng,
		members: make(map[string]*member), pings: make(map[uint32]*ping), relays: make(map[uint32]relay),
	}
}

// SetSeeds replaces the addresses that are pinged while nobody is known.
func (s *State) SetSeeds(seeds []string) { s.seeds = seeds }

// Self returns this node as it presents itself.
func (s *State) Self() Member {
	m := s.self
	m.Revision = s.revision
	return m
}

// Members returns all other nodes that are known, sorted by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.sorted() {
		out = append(out, m.Member)
	}
	return out
}

// sorted returns the members by name: what the protocol does must depend on the
// random numbers that it is given alone, not on the order of a map.
func (s *State) sorted() []*member {
	out := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Health returns what is believed of a node; known is false for a stranger.
func (s *State) Health(name string) (h Health, known bool) {
	m := s.members[name]
	if m == nil {
		return 0, false
	}
	return m.Health, true
}

// NewsWaiting returns the number of pieces of news that are still spread.
func (s *State) NewsWaiting() int { return len(s.news) }

// SetRevision notes the revision in force here, and returns announcements to a
// few nodes if it is new.
func (s *State) SetRevision(rev int64) []Packet {
	if rev <= s.revision {
		return nil
	}
	s.revision = rev
	var out []Packet
	for _, m := range s.random(announceFanout, "") {
		out = append(out, s.packet(m.Addr, peerpb.Datagram_ANNOUNCE, 0, ""))
	}
	return out
}

// PingAll pings every known node, for a fresh picture of their revisions.
func (s *State) PingAll(now time.Time) []Packet {
	var out []Packet
	for _, m := range s.sorted() {
		if m.Health <= Suspect {
			out = append(out, s.ping(m, now))
		}
	}
	return out
}

// Leave tells a few nodes that this one stops.
func (s *State) Leave() []Packet {
	s.self.Health = Left
	s.self.Incarnation++
	s.spread(s.self)
	var out []Packet
	for _, m := range s.random(leaveFanout, "") {
		out = append(out, s.packet(m.Addr, peerpb.Datagram_ANNOUNCE, 0, ""))
	}
	return out
}

// Tick does the work of one interval.
func (s *State) Tick(now time.Time) []Packet {
	s.ticks++
	out := s.checkPings(now)
	s.checkSuspects(now)
	if m := s.nextMember(); m != nil {
		out = append(out, s.ping(m, now))
	} else {
		out = append(out, s.pingSeeds()...)
	}
	if s.ticks%syncEvery == 0 {
		out = append(out, s.antiEntropy()...)
	}
	return out
}

// antiEntropy compares views with one live node, and tries one that is thought
// dead and one seed, so that the halves of a partition find each other again.
func (s *State) antiEntropy() []Packet {
	var out []Packet
	for _, m := range s.random(1, "") {
		out = append(out, s.sync(m.Addr))
	}
	var dead []*member
	for _, m := range s.sorted() {
		if m.Health == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		m := dead[s.rng.IntN(len(dead))]
		p := s.sync(m.Addr)
		// It refutes when it hears this.
		p.Msg.News = append(p.Msg.News, toMessage(m.Member))
		out = append(out, p)
	}
	if len(s.seeds) > 0 {
		if addr := s.seeds[s.rng.IntN(len(s.seeds))]; addr != s.self.Addr {
			out = append(out, s.sync(addr))
		}
	}
	return out
}

// pingSeeds presents this node to the seeds; the whole view comes back.
func (s *State) pingSeeds() []Packet {
	var out []Packet
	for _, addr := range s.seeds {
		if addr != s.self.Addr {
			out = append(out, s.sync(addr))
		}
	}
	return out
}

// nextMember walks all live members in an order that is shuffled each round.
func (s *State) nextMember() *member {
	for range 2 {
		for s.next < len(s.order) {
			m := s.members[s.order[s.next]]
			s.next++
			if m != nil && m.Health <= Suspect {
				return m
			}
		}
		s.order = s.order[:0]
		for name := range s.members {
			s.order = append(s.order, name)
		}
		sort.Strings(s.order)
		s.rng.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
		s.next = 0
	}
	return nil
}

func (s *State) ping(m *member, now time.Time) Packet {
	s.seq++
	s.pings[s.seq] = &ping{name: m.Name, sent: now}
	return s.packet(m.Addr, peerpb.Datagram_PING, s.seq, m.Name)
}

// checkPings asks helpers for pings that are not answered after half an
// interval, repeats them at every later one, and suspects the node after
// suspectAfter intervals.
func (s *State) checkPings(now time.Time) []Packet {
	var out []Packet
	for _, seq := range slices.Sorted(maps.Keys(s.pings)) {
		p := s.pings[seq]
		m := s.members[p.name]
		age := now.Sub(p.sent)
		switch {
		case m == nil || m.Health > Suspect:
			delete(s.pings, seq)
		case age >= suspectAfter*s.cfg.Interval:
			delete(s.pings, seq)
			s.suspect(m, now)
		case age >= s.cfg.Interval/2 && !p.helped:
			p.helped = true
			for _, h := range s.random(helpers, p.name) {
				out = append(out, s.packet(h.Addr, peerpb.Datagram_PING_REQUEST, seq, p.name))
			}
		case p.helped:
			// Either the ping or the answers were lost: once more.
			out = append(out, s.packet(m.Addr, peerpb.Datagram_PING, seq, p.name))
		}
	}
	for seq, r := range s.relays {
		if now.Sub(r.sent) > 4*s.cfg.Interval {
			delete(s.relays, seq)
		}
	}
	return out
}

func (s *State) suspect(m *member, now time.Time) {
	if m.Health == Alive {
		m.Health = Suspect
		m.changed = now
		s.spread(m.Member)
	}
}

func (s *State) checkSuspects(now time.Time) {
	for _, m := range s.sorted() {
		age := now.Sub(m.changed)
		if m.Health == Suspect && age >= s.cfg.SuspectFor {
			m.Health = Dead
			m.changed = now
			s.spread(m.Member)
		}
		if m.Health > Suspect && age >= s.cfg.ForgetAfter {
			delete(s.members, m.Name)
		}
	}
}

// Receive handles a message and returns the answers. heard is the sender's
// revision.
func (s *State) Receive(now time.Time, addr string, msg *peerpb.Datagram) (out []Packet, heard int64) {
	for _, n := range msg.News {
		s.learn(now, n)
	}
	if m := s.members[msg.From]; m != nil {
		m.Revision = max(m.Revision, msg.Revision)
	}
	switch msg.Kind {
	case peerpb.Datagram_PING:
		if msg.Subject == s.self.Name {
			out = append(out, s.packet(addr, peerpb.Datagram_ACK, msg.Seq, s.self.Name))
		}
	case peerpb.Datagram_ACK:
		out = s.acked(now, msg)
	case peerpb.Datagram_PING_REQUEST:
		out = s.relayPing(now, addr, msg)
	case peerpb.Datagram_SYNC:
		if msg.Digest != s.digest() {
			out = append(out, s.view(addr)...)
		}
	}
	return out, msg.Revision
}

func (s *State) acked(now time.Time, msg *peerpb.Datagram) []Packet {
	if r, ok := s.relays[msg.Seq]; ok {
		delete(s.relays, msg.Seq)
		return []Packet{s.packet(r.addr, peerpb.Datagram_ACK, r.seq, msg.Subject)}
	}
	if p := s.pings[msg.Seq]; p != nil {
		delete(s.pings, msg.Seq)
	}
	// An answer clears a suspicion of this node; the others hear of it by the
	// refutation.
	if m := s.members[msg.From]; m != nil && m.Health == Suspect {
		m.Health = Alive
		m.changed = now
	}
	return nil
}

func (s *State) relayPing(now time.Time, addr string, msg *peerpb.Datagram) []Packet {
	m := s.members[msg.Subject]
	if m == nil {
		return nil
	}
	s.seq++
	s.relays[s.seq] = relay{addr: addr, seq: msg.Seq, sent: now}
	return []Packet{s.packet(m.Addr, peerpb.Datagram_PING, s.seq, msg.Subject)}
}

// random returns up to n live members other than the excluded one.
func (s *State) random(n int, exclude string) []*member {
	var live []*member
	for _, m := range s.sorted() {
		if m.Health == Alive && m.Name != exclude {
			live = append(live, m)
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
