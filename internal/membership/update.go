package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/routing"
)

// mergeUpdate applies an update about a member if it supersedes the view: a higher
// incarnation, or a worse health of the same incarnation. An update about this
// node may be refuted instead.
func (s *State) mergeUpdate(now time.Time, n *peerpb.Member) {
	if n.Name == s.self.Name {
		s.refute(n)
		return
	}
	m := s.members[n.Name]
	if m != nil && (n.Incarnation < m.Incarnation || (n.Incarnation == m.Incarnation && Health(n.State) <= m.Health)) {
		return
	}
	if m == nil && Health(n.State) > Suspect {
		// The member is dead or left and not in the view. If every node added it
		// again after ForgetAfter, the update would circulate for ever.
		return
	}
	if m == nil {
		m = &member{}
		s.members[n.Name] = m
	}
	m.Name, m.Addr, m.DataCentre = n.Name, n.Addr, n.DataCentre
	m.Incarnation, m.Health, m.changed = n.Incarnation, Health(n.State), now
	s.enqueueUpdate(m.Member)
}

// refute enqueues an update with a higher incarnation if n states that this node
// is not alive. A node that has left refutes nothing.
func (s *State) refute(n *peerpb.Member) {
	if s.self.Health != Alive || Health(n.State) == Alive || n.Incarnation < s.self.Incarnation {
		return
	}
	s.self.Incarnation = n.Incarnation + 1
	s.enqueueUpdate(s.self)
}

// enqueueUpdate queues an update about m for sending; it replaces a queued update
// about the same member.
func (s *State) enqueueUpdate(m Member) {
	item := &update{member: toMessage(m)}
	for i, n := range s.updates {
		if n.member.Name == m.Name {
			s.updates[i] = item
			return
		}
	}
	s.updates = append(s.updates, item)
}

// packet builds a message with the queued updates that were sent least often.
func (s *State) packet(addr string, kind peerpb.Datagram_Kind, seq uint32, subject string) Packet {
	msg := &peerpb.Datagram{Kind: kind, From: s.self.Name, Seq: seq, Subject: subject, Revision: s.revision}
	sort.SliceStable(s.updates, func(i, j int) bool { return s.updates[i].sent < s.updates[j].sent })
	for _, n := range s.updates[:min(len(s.updates), updatesPerMessage)] {
		n.sent++
		msg.News = append(msg.News, n.member)
	}
	s.dropSpentUpdates()
	return Packet{Addr: addr, Msg: msg}
}

// dropSpentUpdates removes the updates that were sent as often as retransmitFactor
// sets. Nodes that they did not reach get them by anti-entropy.
func (s *State) dropSpentUpdates() {
	limit := retransmitFactor
	for n := len(s.members) + 1; n > 1; n /= 2 {
		limit += retransmitFactor
	}
	keep := s.updates[:0]
	for _, n := range s.updates {
		if n.sent < limit {
			keep = append(keep, n)
		}
	}
	s.updates = keep
}

// syncPacket builds an anti-entropy message: this node's entry and the hash of its
// view.
func (s *State) syncPacket(addr string) Packet {
	p := s.packet(addr, peerpb.Datagram_SYNC, 0, "")
	p.Msg.Digest = s.digest()
	p.Msg.News = append([]*peerpb.Member{toMessage(s.self)}, p.Msg.News...)
	return p
}

// viewPackets builds messages with the whole view, at most updatesPerMessage
// members in each, so that each fits a datagram.
func (s *State) viewPackets(addr string) []Packet {
	all := []*peerpb.Member{toMessage(s.self)}
	for _, m := range s.sorted() {
		all = append(all, toMessage(m.Member))
	}
	var out []Packet
	for len(all) > 0 {
		n := min(len(all), updatesPerMessage)
		msg := &peerpb.Datagram{Kind: peerpb.Datagram_ANNOUNCE, From: s.self.Name, Revision: s.revision, News: all[:n]}
		out = append(out, Packet{Addr: addr, Msg: msg})
		all = all[n:]
	}
	return out
}

// digest hashes this node and the members that are alive or suspect. It does not
// depend on their order, so equal views have equal digests.
func (s *State) digest() uint64 {
	sum := memberHash(s.self)
	for _, m := range s.members {
		if m.Health <= Suspect {
			sum ^= memberHash(m.Member)
		}
	}
	return sum
}

func memberHash(m Member) uint64 {
	return routing.Mix(xxhash.Sum64String(m.Name), m.Incarnation<<2|uint64(m.Health))
}

func toMessage(m Member) *peerpb.Member {
	return &peerpb.Member{Name: m.Name, Addr: m.Addr, DataCentre: m.DataCentre, Incarnation: m.Incarnation, State: uint32(m.Health)}
}
