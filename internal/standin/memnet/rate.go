package memnet

import "time"

// link is the link of one host with a limited rate. The bytes of all its connections pass one after
// another in each direction.
type link struct {
	// rate is in bytes per second.
	rate float64
	// inFree and outFree are when the bytes that were taken so far have passed, by direction.
	inFree, outFree time.Time
}

// SetRate limits the link of a host to a rate in bytes per second in each direction; 0 removes the limit.
// Both ends of a connection delay its bytes.
func (n *Network) SetRate(host string, rate float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if rate == 0 {
		delete(n.rates, host)
		return
	}
	n.rates[host] = &link{rate: rate}
}

// pass returns how long some bytes take from one host to another, behind those before them.
func (n *Network) pass(from, to string, bytes int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	at := now
	if l := n.rates[from]; l != nil {
		l.outFree = l.after(now, l.outFree, bytes)
		at = l.outFree
	}
	if l := n.rates[to]; l != nil {
		l.inFree = l.after(now, l.inFree, bytes)
		if l.inFree.After(at) {
			at = l.inFree
		}
	}
	return at.Sub(now)
}

// after returns when some bytes have passed that begin once the link is free.
func (l *link) after(now, free time.Time, bytes int) time.Time {
	if free.Before(now) {
		free = now
	}
	return free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
}

// awaitPassage blocks until bytes that were read from the other end have passed the links, at most until
// the connection is closed.
func (s *endpoint) awaitPassage(bytes int) {
	delay := s.net.pass(s.to, s.from, bytes)
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-s.done:
	case <-timer.C:
	}
}
