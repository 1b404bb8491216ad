package traffic

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/ownership"
)

var (
	northA = ownership.Place{DataCentre: "north-a", Region: "north"}
	northB = ownership.Place{DataCentre: "north-b", Region: "north"}
	southA = ownership.Place{DataCentre: "south-a", Region: "south"}
)

func TestScopes(t *testing.T) {
	for _, test := range []struct {
		a, b ownership.Place
		want Scope
	}{
		{northA, northA, SameDataCentre},
		{northA, northB, SameRegion},
		{northA, southA, OtherRegion},
		{northA, ownership.Place{}, Unknown},
		{ownership.Place{DataCentre: "a"}, ownership.Place{DataCentre: "b"}, SameRegion},
		{northA, ownership.Place{DataCentre: "new"}, OtherRegion},
	} {
		qt.Check(t, ScopeOf(test.a, test.b), qt.Equals, test.want)
	}
}

// exchange sends bytes both ways over a new connection to a node and closes it. Of the sent ones,
// handshake bytes go before the name of the node is known, and message bytes are an order.
func exchange(t *testing.T, m *Meter, node string, handshake, message int) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	l := m.Link()
	c := l.Conn(near)
	write := func(n int) {
		_, err := c.Write(make([]byte, n))
		qt.Assert(t, err, qt.IsNil)
	}
	write(handshake)
	if node != "" {
		l.SetNode(node)
	}
	if message > 0 {
		write(message)
		l.Message(Orders, Sent, message)
	}
	qt.Assert(t, c.Close(), qt.IsNil)
	far.Close()
}

func TestBytesOfANodeBeforeTheMembersAreKnown(t *testing.T) {
	m := &Meter{Directory: Directory{Self: northA}}
	exchange(t, m, "n1", 10, 100)
	qt.Check(t, m.Totals(), qt.DeepEquals, []Total{
		{Call: Orders, Scope: Unknown, Direction: Sent, Bytes: 100, Messages: 1},
		{Call: Overhead, Scope: Unknown, Direction: Sent, Bytes: 10},
	})
	m.Set(map[string]ownership.Place{"n1": southA})
	exchange(t, m, "n1", 20, 200)
	qt.Check(t, m.Totals()[2:], qt.DeepEquals, []Total{
		{Call: Orders, Scope: OtherRegion, Direction: Sent, Bytes: 200, Messages: 1},
		{Call: Overhead, Scope: OtherRegion, Direction: Sent, Bytes: 20},
	})
}

// A node that comes back elsewhere keeps its name; its bytes count for its new place, and nothing
// of earlier connections is lost.
func TestBytesOfANodeThatMoves(t *testing.T) {
	m := &Meter{Directory: Directory{Self: northA}}
	m.Set(map[string]ownership.Place{"n1": northB})
	for range 3 {
		exchange(t, m, "n1", 10, 100)
	}
	m.Set(map[string]ownership.Place{"n1": southA})
	exchange(t, m, "n1", 10, 100)
	qt.Check(t, m.Totals(), qt.DeepEquals, []Total{
		{Call: Orders, Scope: SameRegion, Direction: Sent, Bytes: 300, Messages: 3},
		{Call: Overhead, Scope: SameRegion, Direction: Sent, Bytes: 30},
		{Call: Orders, Scope: OtherRegion, Direction: Sent, Bytes: 100, Messages: 1},
		{Call: Overhead, Scope: OtherRegion, Direction: Sent, Bytes: 10},
	})
}

func TestFailedHandshakesAreCounted(t *testing.T) {
	m := &Meter{Directory: Directory{Self: northA}}
	exchange(t, m, "", 10, 0)
	qt.Check(t, m.Totals(), qt.DeepEquals, []Total{{Call: Overhead, Scope: Unknown, Direction: Sent, Bytes: 10}})
}

func TestNothingIsCountedWithoutAMeter(t *testing.T) {
	var m *Meter
	exchange(t, m, "n1", 10, 100)
	qt.Check(t, m.Link(), qt.IsNil)
}

func TestBytesOfTargets(t *testing.T) {
	var c TargetCounter
	for range 2 {
		l := c.Link("engines", OtherRegion)
		l.Sent(10)
		l.Received(3)
	}
	qt.Check(t, c.Totals(), qt.DeepEquals, []ServiceTotal{
		{Service: "engines", Scope: OtherRegion, Direction: Sent, Bytes: 20},
		{Service: "engines", Scope: OtherRegion, Direction: Received, Bytes: 6},
	})
}

// BenchmarkCount counts a message and its bytes on all processors at once.
func BenchmarkCount(b *testing.B) {
	m := &Meter{Directory: Directory{Self: northA}}
	m.Set(map[string]ownership.Place{"n1": southA})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		l := m.Link()
		l.SetNode("n1")
		for pb.Next() {
			l.transferred(Sent, 100)
			l.Message(Orders, Sent, 90)
		}
	})
}
