package sharedrate

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var began = time.Unix(1000, 0)

// grantCount counts the permits that a granter gives to another node that asks every 10 ms.
func grantCount(b *Broker, from, to time.Duration) int {
	n := 0
	for at := from; at < to; at += 10 * time.Millisecond {
		g, _ := b.Grant(PermitRequest{Key: "k", Asker: "other", PerSecond: 20, Want: 1}, began.Add(at))
		n += g.Permits
	}
	return n
}

// A node that has just started, or that has become the first granter of a rate because others left
// the node list, gives out only a fifth of the rate for the next 3 seconds: permits that its previous
// process or the previous first granter granted may still be in use.
func TestGranterThatWasNotTheFirstBeginsWithLess(t *testing.T) {
	c := qt.New(t)
	b := NewBroker(Node{Name: "n0"}, nil, began)
	b.SetNodes(nil, began)
	c.Check(grantCount(b, 0, 2900*time.Millisecond) <= 13, qt.IsTrue)
	c.Check(grantCount(b, 3*time.Second, 5*time.Second) >= 36, qt.IsTrue)

	o := NewGranterOrder(Node{Name: "n0"}, began)
	at := began.Add(time.Minute)
	o.Set([]Node{{Name: "n1"}, {Name: "n2"}, {Name: "n3"}}, at)
	after := at.Add(time.Minute)
	o.Set(nil, after)
	settling := 0
	for _, key := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		if o.Settling(key, after.Add(2900*time.Millisecond)) {
			settling++
		}
	}
	c.Check(o.Settling("a", after.Add(3*time.Second)), qt.IsFalse)
	c.Check(settling > 3 && settling < 10, qt.IsTrue, qt.Commentf("%d of 10 rates had another first node", settling))
}

// An expired permit is dropped, also when a request gives it back unused: the permits that were not
// used in one second must not add to the permits of the next second.
func TestPermitsAreNotKept(t *testing.T) {
	c := qt.New(t)
	var h permitCache
	h.add(Grant{Permits: 3, Spacing: 10 * time.Millisecond}, began)
	at := began.Add(200 * time.Millisecond)
	p, ok := h.take(at, at)
	c.Assert(ok, qt.IsTrue)
	c.Check(p.Valid(at), qt.IsTrue)
	late := began.Add(time.Second)
	c.Check(p.Valid(late), qt.IsFalse)
	h.giveBack(p, late)
	_, ok = h.take(late, late)
	c.Check(ok, qt.IsFalse)
}
