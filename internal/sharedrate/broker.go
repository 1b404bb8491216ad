package sharedrate

import (
	"errors"
	"math/rand/v2"
	"time"
)

const (
	// askTimeout bounds one permit request to another node. A round trip takes 1 to 3 ms, and a
	// busy node may respond some tens of ms late. The client requests that need the permit wait for
	// the response.
	askTimeout = 150 * time.Millisecond
	// skipTime is how long a node that failed to answer a permit request is not asked for permits,
	// counted from its last such failure.
	skipTime = 2 * time.Second
	// failedAfter is the time between the first and the last of consecutive failures to answer from
	// which on a node is treated as failed: the next node in the order of granters then takes the
	// place of the failed node, and its share of the rate.
	failedAfter = 3 * time.Second
	// predecessorCheckInterval is the shortest time between two checks of a node that comes earlier
	// in the order, by a node that grants in its place.
	predecessorCheckInterval = 500 * time.Millisecond
	// retryNoGranter is how long a node waits, after a permit request that no granter answered,
	// before it asks for permits of the same rate again.
	retryNoGranter = 300 * time.Millisecond
	// initialShare is the share of a rate that the first granter gives out before it knows which
	// fraction of the nodes it reaches.
	initialShare = 0.5
	// sweepInterval is how often the state of unused rates is removed.
	sweepInterval = 10 * time.Second
)

// Broker is the state of one node for all rates that it shares: the permits granted to it, the
// permits that it grants, and which nodes answer. It does no I/O. It must not be used concurrently.
type Broker struct {
	self    Node
	granter *Granter
	owners  *GranterOrder
	caches  map[string]*permitCache
	peers   map[string]*peerHealth
	swept   time.Time
	counts  Counts
	// known reports that SetNodes has been called. Until then the other nodes are unknown, so that
	// no granter can be chosen.
	known        bool
	reachability reachability
}

// Counts are the totals of one node since its process started.
type Counts struct {
	// Taken counts the permits that client requests at this node got, Denied the client requests
	// that got none.
	Taken, Denied float64
	// Granted counts the permits that this node granted, RequestsAnswered the permit requests that
	// it answered.
	Granted, RequestsAnswered float64
}

// peerHealth records whether another node answers.
type peerHealth struct {
	// failingSince is the time of the first of the other node's current consecutive failures to
	// answer; zero while the other node answers. lastFailure is the time of the last failure.
	failingSince, lastFailure time.Time
	// lastCheck is the time at which this node last checked, with an empty permit request, whether
	// the other node answers.
	lastCheck time.Time
}

// NewBroker returns the Broker of a process that starts at now and knows no other node yet. random
// returns a random number in [0, 1); nil selects math/rand.
func NewBroker(self Node, random func() float64, now time.Time) *Broker {
	if random == nil {
		random = rand.Float64
	}
	return &Broker{
		self: self, granter: NewGranter(random), owners: NewGranterOrder(self, now),
		caches: make(map[string]*permitCache), peers: make(map[string]*peerHealth), swept: now,
	}
}

// SetNodes replaces the set of other nodes. Before the first call of SetNodes no permits are requested,
// as GranterFor returns no node.
func (b *Broker) SetNodes(others []Node, now time.Time) {
	b.owners.Set(others, now)
	b.known = true
}

// DropPermits drops all unused permits of this node.
func (b *Broker) DropPermits() {
	for _, h := range b.caches {
		h.permits, h.retryAt = nil, time.Time{}
	}
}

func (b *Broker) permitCache(key string) *permitCache {
	h := b.caches[key]
	if h == nil {
		h = &permitCache{}
		b.caches[key] = h
	}
	return h
}

// Take takes a cached permit of the rate that is usable now or becomes usable by latest.
func (b *Broker) Take(key string, latest, now time.Time) (Permit, bool) {
	p, ok := b.permitCache(key).take(latest, now)
	if ok {
		b.counts.Taken++
	}
	return p, ok
}

// RetryAt returns the earliest time at which to ask for permits of the rate again.
func (b *Broker) RetryAt(key string) time.Time { return b.permitCache(key).retryAt }

// GiveBack returns an unused permit to the cache.
func (b *Broker) GiveBack(key string, p Permit, now time.Time) { b.permitCache(key).giveBack(p, now) }

// PermitRequest builds the permit request of this node for its client requests that wait for permits
// of the rate. waiting is the number of these client requests; the last of them gives up at latest.
func (b *Broker) PermitRequest(rate Rate, waiting int, latest, now time.Time) PermitRequest {
	return PermitRequest{
		Key: rate.Key, Asker: b.self.Name, PerSecond: rate.PerSecond, ConfirmedAge: now.Sub(rate.ConfirmedAt),
		Want: b.permitCache(rate.Key).want(waiting, now), Within: max(latest.Sub(now), 0),
	}
}

// GranterFor returns the node to ask for permits of the rate: the first in the order that is not
// skipped. A node is skipped for skipTime after a failure to answer, unless it has answered since. ok
// is false if there is no such node, and before the first SetNodes.
func (b *Broker) GranterFor(key string, now time.Time) (n Node, ok bool) {
	if !b.known {
		return Node{}, false
	}
	return b.owners.First(key, func(name string) bool {
		s := b.peers[name]
		return s != nil && !s.failingSince.IsZero() && now.Sub(s.lastFailure) < skipTime
	})
}

// ApplyGrant applies the response to a permit request of this node; a nil g means that no granter
// answered.
func (b *Broker) ApplyGrant(key string, g *Grant, now time.Time) {
	if g == nil {
		g = &Grant{RetryAfter: retryNoGranter}
	}
	b.permitCache(key).add(*g, now)
}

// ErrNotReady is the error of a permit request that this node could not send. It does not count as a
// failure of the other node to answer. But a check that ends with ErrNotReady counts as unanswered in
// the fraction of the nodes that this node reaches.
var ErrNotReady = errors.New("sharedrate: other nodes cannot be asked yet")

// RecordAnswer records the outcome of a permit request to another node.
func (b *Broker) RecordAnswer(name string, err error, now time.Time) {
	s := b.peerHealth(name)
	b.reachability.answered(name, err == nil)
	switch {
	case err == nil:
		s.failingSince = time.Time{}
	case errors.Is(err, ErrNotReady):
	case s.failingSince.IsZero():
		s.failingSince, s.lastFailure = now, now
	default:
		s.lastFailure = now
	}
}

func (b *Broker) peerHealth(name string) *peerHealth {
	s := b.peers[name]
	if s == nil {
		s = &peerHealth{}
		b.peers[name] = s
	}
	return s
}

// failed reports whether the node's current consecutive failures to answer span failedAfter or more, so
// that another node takes the failed node's place as granter.
func (b *Broker) failed(name string) bool {
	s := b.peers[name]
	return s != nil && !s.failingSince.IsZero() && s.lastFailure.Sub(s.failingSince) >= failedAfter
}

// Grant answers a permit request of another node or of this one. The caller must send an empty
// request to each node of toCheck and report the outcome to RecordAnswer: these are the nodes that
// come before this one in the order of the rate, and a sample of all nodes.
func (b *Broker) Grant(a PermitRequest, now time.Time) (g Grant, toCheck []Node) {
	if a.Key == "" {
		return Grant{}, nil
	}
	place, predecessors := b.owners.Place(a.Key, b.failed)
	if place < len(shares) {
		every := checkInterval
		if len(predecessors) > 0 {
			every = fastCheckInterval
		}
		toCheck = append(b.toCheck(predecessors, now), b.reachability.toCheck(b.owners.nodes, b.self.Name, every, now)...)
	}
	g = b.granter.Grant(a, b.share(a.Key, place, len(predecessors), now), now)
	b.counts.RequestsAnswered++
	b.counts.Granted += float64(g.Permits)
	return g, toCheck
}

// toCheck returns those of the nodes that have not been checked for predecessorCheckInterval, and
// marks them as checked.
func (b *Broker) toCheck(predecessors []Node, now time.Time) []Node {
	var out []Node
	for _, n := range predecessors {
		if s := b.peerHealth(n.Name); now.Sub(s.lastCheck) >= predecessorCheckInterval {
			s.lastCheck = now
			out = append(out, n)
		}
	}
	return out
}

// share returns the share of a rate that this node grants. place is its place among the nodes that
// have not failed, predecessors how many nodes come before it, failed ones included.
//
// A node that reaches less than minFullReach of the nodes may be partitioned from the others, which
// then choose a granter of their own: it grants at most the fraction of the nodes that it reaches.
// Until the fraction is known, the first granter grants a reduced share: 1/nodes if it replaces
// failed predecessors, else initialShare.
func (b *Broker) share(key string, place, predecessors int, now time.Time) float64 {
	share := shareOf(place, !b.known || b.owners.Settling(key, now))
	nodes := b.owners.Count()
	reachability, known := b.reachability.fraction(nodes, now)
	switch {
	case known && reachability < minFullReach(nodes):
		return min(share, reachability)
	case known || nodes < 2 || place > 0:
	case predecessors > 0:
		return min(share, 1/float64(nodes))
	default:
		return min(share, initialShare)
	}
	return share
}

// Forget drops the permits that this node holds for a rate, and its record of how it uses them.
func (b *Broker) Forget(key string) { delete(b.caches, key) }

// Counts returns the totals so far.
func (b *Broker) Counts() Counts { return b.counts }

// Sweep removes the state of rates and nodes that are no longer used.
func (b *Broker) Sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	b.granter.Sweep(now)
	for key, h := range b.caches {
		if now.Sub(h.lastUsed) > idleTTL {
			delete(b.caches, key)
		}
	}
	for name, s := range b.peers {
		if now.Sub(s.lastFailure) > idleTTL && now.Sub(s.lastCheck) > idleTTL {
			delete(b.peers, name)
		}
	}
}
