// Package membership maintains each node's view of the other nodes: their
// names, addresses, data centres and health. The view affects performance only,
// never correctness.
//
// Each interval a node pings one other node, in a random order that visits all
// of them. A node that does not answer is pinged through other nodes, then marked
// suspect, then dead unless it refutes the suspicion. Updates about members are
// piggybacked on messages. Every syncEvery intervals a node sends a hash of its
// whole view to one random node, which answers with its own view if it differs.
// The protocol is that of SWIM (Das, Gupta, Motivala, 2002), with the
// anti-entropy of Z-Ring, section 4.1. Source: docs/design/008-membership.md.
//
// State does no I/O: time, randomness and messages are passed in.
package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"topazmoor/internal/peer/peerpb"
)

// Health is the state that a node attributes to a member.
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
	// Incarnation increases with every restart, refutation and leave.
	Incarnation uint64
	Health      Health
	// Revision is the highest configuration revision received from the member.
	Revision int64
}

// Config holds the time settings of the protocol.
type Config struct {
	// Interval is the time between two pings that a node sends.
	Interval time.Duration
	// SuspectFor is how long a member stays suspect before it is marked dead.
	SuspectFor time.Duration
	// ForgetAfter is how long a dead or left member is kept in the view.
	ForgetAfter time.Duration
}

const (
	// suspectAfter is the number of intervals without an answer, directly or
	// through relays, after which a node is marked suspect. A node that paused
	// for less time answers the pings queued in its socket once it resumes.
	suspectAfter = 4
	// pingRelays is the number of nodes asked to ping a node that does not answer.
	pingRelays = 3
	// updatesPerMessage is the maximum number of member updates that are
	// piggybacked on one message; it bounds the size of the datagram.
	updatesPerMessage = 12
	// retransmitFactor scales how often an update is sent:
	// retransmitFactor * (floor(log2(nodes)) + 1) times.
	retransmitFactor = 1
	// syncEvery is the number of ping intervals between two anti-entropy exchanges, in which nodes
	// compare their views of the members.
	syncEvery = 15
	// announceFanout is the number of nodes to which a new revision is announced.
	announceFanout = 5
	// leaveFanout is the number of nodes to which a leaving node announces its
	// leave. It is larger than announceFanout, as the node can't send it again.
	leaveFanout = 16
)

// Packet is a message and the address to send it to.
type Packet struct {
	Addr string
	Msg  *peerpb.Datagram
}

// State is the protocol state of one node: its view of the other members, its
// unanswered pings and the updates to send. It is not safe for concurrent use.
type State struct {
	cfg     Config
	self    Member
	members map[string]*member
	// order is the ping order of this round; next is the index of the next name.
	order    []string
	next     int
	ticks    int
	seq      uint32
	pings    map[uint32]*ping
	relays   map[uint32]relay
	updates  []*update
	rng      *rand.Rand
	revision int64
	seeds    []string
}

type member struct {
	Member
	// changed is the time of the last change of incarnation or health.
	changed time.Time
}

// ping is an unanswered ping of this node.
type ping struct {
	name string
	sent time.Time
	// relayed is set once other nodes were asked to ping the node too.
	relayed bool
}

// relay is a ping sent on behalf of the node at addr, which numbered it seq.
type relay struct {
	addr string
	seq  uint32
	sent time.Time
}

// update is the state of a member that is being disseminated.
type update struct {
	member *peerpb.Member
	// sent is the number of messages that carried the update.
	sent int
}

// New returns the state of a node with an empty view. It contacts the addresses
// in seeds until its view holds a member that is alive or suspect.
func New(self Member, seeds []string, cfg Config, rng *rand.Rand) *State {
	return &State{
		cfg: cfg, self: self, seeds: seeds, rng: rng,
		members: make(map[string]*member), pings: make(map[uint32]*ping), relays: make(map[uint32]relay),
	}
}

// SetSeeds replaces the addresses that are contacted while no member is alive
// or suspect, and as part of anti-entropy.
func (s *State) SetSeeds(seeds []string) { s.seeds = seeds }

// Self returns the member entry of this node, with its current revision.
func (s *State) Self() Member {
	m := s.self
	m.Revision = s.revision
	return m
}

// Members returns all other nodes in the view, sorted by name.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, m := range s.sorted() {
		out = append(out, m.Member)
	}
	return out
}

// sorted returns the members sorted by name, so that the protocol does not depend
// on the iteration order of a map and a seed of rng reproduces a run.
func (s *State) sorted() []*member {
	out := make([]*member, 0, len(s.members))
	for _, m := range s.members {
		out = append(out, m)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Health returns the health of a node; known is false if it isn't in the view.
func (s *State) Health(name string) (h Health, known bool) {
	m := s.members[name]
	if m == nil {
		return 0, false
	}
	return m.Health, true
}

// PendingUpdates returns the number of updates that are still being sent.
func (s *State) PendingUpdates() int { return len(s.updates) }

// SetRevision records the configuration revision in force on this node. If it is
// higher than the last one, it returns announcements to announceFanout nodes.
func (s *State) SetRevision(rev int64) []Packet {
	if rev <= s.revision {
		return nil
	}
	s.revision = rev
	var out []Packet
	for _, m := range s.randomAlive(announceFanout, "") {
		out = append(out, s.packet(m.Addr, peerpb.Datagram_ANNOUNCE, 0, ""))
	}
	return out
}

// PingAll returns pings to all members that are alive or suspect; their answers
// carry their revisions.
func (s *State) PingAll(now time.Time) []Packet {
	var out []Packet
	for _, m := range s.sorted() {
		if m.Health <= Suspect {
			out = append(out, s.ping(m, now))
		}
	}
	return out
}

// Leave marks this node as left and returns announcements of it to leaveFanout
// nodes.
func (s *State) Leave() []Packet {
	s.self.Health = Left
	s.self.Incarnation++
	s.enqueueUpdate(s.self)
	var out []Packet
	for _, m := range s.randomAlive(leaveFanout, "") {
		out = append(out, s.packet(m.Addr, peerpb.Datagram_ANNOUNCE, 0, ""))
	}
	return out
}

// Tick runs one interval of the protocol and returns the messages to send.
func (s *State) Tick(now time.Time) []Packet {
	s.ticks++
	out := s.checkPings(now)
	s.expireMembers(now)
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

// antiEntropy sends a hash of the view to one random member that is alive, to one
// that is marked dead and to one seed. The latter two reconnect the sides of a
// healed partition.
func (s *State) antiEntropy() []Packet {
	var out []Packet
	for _, m := range s.randomAlive(1, "") {
		out = append(out, s.syncPacket(m.Addr))
	}
	var dead []*member
	for _, m := range s.sorted() {
		if m.Health == Dead {
			dead = append(dead, m)
		}
	}
	if len(dead) > 0 {
		m := dead[s.rng.IntN(len(dead))]
		p := s.syncPacket(m.Addr)
		// A node that is alive refutes this update when it receives it.
		p.Msg.News = append(p.Msg.News, toMessage(m.Member))
		out = append(out, p)
	}
	if len(s.seeds) > 0 {
		if addr := s.seeds[s.rng.IntN(len(s.seeds))]; addr != s.self.Addr {
			out = append(out, s.syncPacket(addr))
		}
	}
	return out
}

// pingSeeds sends this node's entry and the hash of its view to all seeds. A seed
// whose view differs answers with its whole view.
func (s *State) pingSeeds() []Packet {
	var out []Packet
	for _, addr := range s.seeds {
		if addr != s.self.Addr {
			out = append(out, s.syncPacket(addr))
		}
	}
	return out
}

// nextMember returns the next member to ping: it visits all that are alive or
// suspect, in an order that is shuffled each round. It returns nil if none is.
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

// checkPings handles unanswered pings: after half an interval it asks relays to
// ping the node too, at each later call it sends the ping again, and after
// suspectAfter intervals it marks the node suspect.
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
		case age >= s.cfg.Interval/2 && !p.relayed:
			p.relayed = true
			for _, h := range s.randomAlive(pingRelays, p.name) {
				out = append(out, s.packet(h.Addr, peerpb.Datagram_PING_REQUEST, seq, p.name))
			}
		case p.relayed:
			// The ping or its answers may have been lost: send the ping again.
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
		s.enqueueUpdate(m.Member)
	}
}

// expireMembers marks suspects dead after SuspectFor and removes dead and left
// members after ForgetAfter.
func (s *State) expireMembers(now time.Time) {
	for _, m := range s.sorted() {
		age := now.Sub(m.changed)
		if m.Health == Suspect && age >= s.cfg.SuspectFor {
			m.Health = Dead
			m.changed = now
			s.enqueueUpdate(m.Member)
		}
		if m.Health > Suspect && age >= s.cfg.ForgetAfter {
			delete(s.members, m.Name)
		}
	}
}

// Receive handles a message and returns the messages to send in response.
// revision is the sender's configuration revision.
func (s *State) Receive(now time.Time, addr string, msg *peerpb.Datagram) (out []Packet, revision int64) {
	for _, n := range msg.News {
		s.mergeUpdate(now, n)
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
		out = s.handleAck(now, msg)
	case peerpb.Datagram_PING_REQUEST:
		out = s.relayPing(now, addr, msg)
	case peerpb.Datagram_SYNC:
		if msg.Digest != s.digest() {
			out = append(out, s.viewPackets(addr)...)
		}
	}
	return out, msg.Revision
}

// handleAck forwards the answer of a relayed ping to the node that asked for it, and
// completes a ping of this node.
func (s *State) handleAck(now time.Time, msg *peerpb.Datagram) []Packet {
	if r, ok := s.relays[msg.Seq]; ok {
		delete(s.relays, msg.Seq)
		return []Packet{s.packet(r.addr, peerpb.Datagram_ACK, r.seq, msg.Subject)}
	}
	if p := s.pings[msg.Seq]; p != nil {
		delete(s.pings, msg.Seq)
	}
	// An answer ends this node's own suspicion of the sender. Other nodes end
	// theirs when they receive the sender's refutation.
	if m := s.members[msg.From]; m != nil && m.Health == Suspect {
		m.Health = Alive
		m.changed = now
	}
	return nil
}

// relayPing pings a member on behalf of the node at addr.
func (s *State) relayPing(now time.Time, addr string, msg *peerpb.Datagram) []Packet {
	m := s.members[msg.Subject]
	if m == nil {
		return nil
	}
	s.seq++
	s.relays[s.seq] = relay{addr: addr, seq: msg.Seq, sent: now}
	return []Packet{s.packet(m.Addr, peerpb.Datagram_PING, s.seq, msg.Subject)}
}

// randomAlive returns up to n random members that are alive, without exclude.
func (s *State) randomAlive(n int, exclude string) []*member {
	var live []*member
	for _, m := range s.sorted() {
		if m.Health == Alive && m.Name != exclude {
			live = append(live, m)
		}
	}
	s.rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	return live[:min(n, len(live))]
}
