package membership

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/routing"
)

// learn takes in news of a member if it is newer than what is known: a higher
// incarnation, or a worse state of the same one.
func (s *State) learn(now time.Time, n *peerpb.Member) {
	if n.Name == s.self.Name {
		s.refute(n)
		return
	}
	m := s.members[n.Name]
	if m != nil && (n.Incarnation < m.Incarnation || (n.Incarnation == m.Incarnation && Health(n.State) <= m.Health)) {
		return
	}
	if m == nil && Health(n.State) > Suspect {
		// Gone before this node knew it; taking it in would keep it in
		// circulation for ever.
		return
	}
	if m == nil {
		m = &member{}
		s.members[n.Name] = m
	}
	m.Name, m.Addr, m.DataCentre = n.Name, n.Addr, n.DataCentre
	m.Incarnation, m.Health, m.changed = n.Incarnation, Health(n.State), now
	s.spread(m.Member)
}

// refute answers news that this node is not alive with a higher incarnation.
func (s *State) refute(n *peerpb.Member) {
	if s.self.Health != Alive || Health(n.State) == Alive || n.Incarnation < s.self.Incarnation {
		return
	}
	s.self.Incarnation = n.Incarnation + 1
	s.spread(s.self)
}

// spread queues news; it replaces older news of the same member.
func (s *State) spread(m Member) {
	item := &newsItem{member: toMessage(m)}
	for i, n := range s.news {
		if n.member.Name == m.Name {
			s.news[i] = item
			return
		}
	}
	s.news = append(s.news, item)
}

// packet builds a message with the news that was sent least.
func (s *State) packet(addr string, kind peerpb.Datagram_Kind, seq uint32, subject string) Packet {
	msg := &peerpb.Datagram{Kind: kind, From: s.self.Name, Seq: seq, Subject: subject, Revision: s.revision}
	sort.SliceStable(s.news, func(i, j int) bool { return s.news[i].sent < s.news[j].sent })
	for _, n := range s.news[:min(len(s.news), newsPerMessage)] {
		n.sent++
		msg.News = append(msg.News, n.member)
	}
	s.dropOldNews()
	return Packet{Addr: addr, Msg: msg}
}

func (s *State) dropOldNews() {
	limit := newsFactor
	for n := len(s.members) + 1; n > 1; n /= 2 {
		limit += newsFactor
	}
	keep := s.news[:0]
	for _, n := range s.news {
		if n.sent < limit {
			keep = append(keep, n)
		}
	}
	s.news = keep
}

// sync builds a message that presents this node and the hash of its view.
func (s *State) sync(addr string) Packet {
	p := s.packet(addr, peerpb.Datagram_SYNC, 0, "")
	p.Msg.Digest = s.digest()
	p.Msg.News = append([]*peerpb.Member{toMessage(s.self)}, p.Msg.News...)
	return p
}

// view builds messages with the whole view, in pieces that fit a datagram.
func (s *State) view(addr string) []Packet {
	all := []*peerpb.Member{toMessage(s.self)}
	for _, m := range s.sorted() {
		all = append(all, toMessage(m.Member))
	}
	var out []Packet
	for len(all) > 0 {
		n := min(len(all), newsPerMessage)
		msg := &peerpb.Datagram{Kind: peerpb.Datagram_ANNOUNCE, From: s.self.Name, Revision: s.revision, News: all[:n]}
		out = append(out, Packet{Addr: addr, Msg: msg})
		all = all[n:]
	}
	return out
}

// digest hashes the members that are not gone: equal views have equal digests
// whatever the order.
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
