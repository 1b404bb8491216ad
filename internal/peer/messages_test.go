package peer

import (
	"log/slog"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/ownership"
	"topazmoor/internal/poison"
	"topazmoor/internal/standin/memnet"
	"topazmoor/internal/traffic"
)

// meterIn returns a meter of a node in a region that knows one other node in another one.
func meterIn(own, other, name string) *traffic.Meter {
	m := &traffic.Meter{Directory: traffic.Directory{Self: ownership.Place{DataCentre: own, Region: own}}}
	m.Set(map[string]ownership.Place{name: {DataCentre: other, Region: other}})
	return m
}

// bytesOf sums the bytes of one call and direction; nodes of other scopes fail the test.
func bytesOf(t *testing.T, m *traffic.Meter, call traffic.Call, d traffic.Direction) int64 {
	var sum int64
	for _, total := range m.Totals() {
		qt.Check(t, total.Scope, qt.Equals, traffic.OtherRegion)
		if total.Call == call && total.Direction == d {
			sum += total.Bytes
		}
	}
	return sum
}

// awaitSame waits until both ends have counted the same messages, of which there are some: an end
// counts what it sent once the write has returned.
func awaitSame(t *testing.T, near, far *traffic.Meter) {
	same := func() bool {
		for _, call := range []traffic.Call{traffic.Ends, traffic.Frees} {
			sent, received := bytesOf(t, near, call, traffic.Sent), bytesOf(t, near, call, traffic.Received)
			if sent == 0 || received == 0 || bytesOf(t, far, call, traffic.Received) != sent || bytesOf(t, far, call, traffic.Sent) != received {
				return false
			}
		}
		return true
	}
	for deadline := time.Now().Add(closeTimeout); !same(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("counts differ: %v, %v", near.Totals(), far.Totals())
		}
	}
}

// Both ends count the same messages by kind of call, also over a connection that takes the place
// of a lost one.
func TestBothEndsCountTheSameMessages(t *testing.T) {
	near, far := meterIn("north", "south", "server"), meterIn("south", "north", "client")
	network := memnet.New()
	ln, err := network.Listen(closeAddr)
	qt.Assert(t, err, qt.IsNil)
	s := NewServer(ln, []byte(closeKey), "server", Handler{Traffic: far}, slog.New(slog.DiscardHandler))
	go func() { _ = s.Serve(t.Context()) }()
	defer s.Close()
	client := NewClient(network.DialFrom("10.0.0.2"), []byte(closeKey), "client", nil, near)
	defer client.Close()
	overhead := int64(0)
	for range 2 {
		mux, err := client.connection(t.Context(), closeAddr)
		qt.Assert(t, err, qt.IsNil)
		before := bytesOf(t, near, traffic.Overhead, traffic.Sent)
		qt.Check(t, before > overhead, qt.IsTrue)
		qt.Check(t, client.SendEnds(t.Context(), closeAddr, poison.Ends{}), qt.IsNil)
		qt.Check(t, client.Free(t.Context(), closeAddr, "drafts", []string{"a"}, false), qt.IsNil)
		awaitSame(t, near, far)
		overhead = bytesOf(t, near, traffic.Overhead, traffic.Sent)
		mux.Close()
	}
}
