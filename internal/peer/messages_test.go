package peer

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/ownership"
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

// Both ends count the same messages by kind of call, also over a connection that takes the place
// of a lost one, whose handshake counts as overhead again.
func TestBothEndsCountTheSameMessages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := meterIn("north", "south", "server"), meterIn("south", "north", "client")
		network := memnet.New()
		ln, err := network.Listen(closeAddr)
		qt.Assert(t, err, qt.IsNil)
		s := closeServer(t, ln)
		s.h.Traffic = far
		go func() { _ = s.Serve(t.Context()) }()
		client := NewClient(network.DialFrom("10.0.0.2"), []byte(closeKey), "client", nil, near)
		for range 2 {
			mux, err := client.connection(t.Context(), closeAddr)
			qt.Assert(t, err, qt.IsNil)
			before := bytesOf(t, near, traffic.Overhead, traffic.Sent)
			qt.Check(t, client.SendEnds(t.Context(), closeAddr, nil), qt.IsNil)
			qt.Check(t, client.Free(t.Context(), closeAddr, "drafts", []string{"a"}, false), qt.IsNil)
			synctest.Wait()
			qt.Check(t, before > 0, qt.IsTrue)
			mux.Close()
			synctest.Wait()
		}
		client.Close()
		s.Close()
		synctest.Wait()
		for _, call := range []traffic.Call{traffic.Ends, traffic.Frees} {
			sent, received := bytesOf(t, near, call, traffic.Sent), bytesOf(t, near, call, traffic.Received)
			qt.Check(t, sent > 0 && received > 0, qt.IsTrue)
			qt.Check(t, bytesOf(t, far, call, traffic.Received), qt.Equals, sent)
			qt.Check(t, bytesOf(t, far, call, traffic.Sent), qt.Equals, received)
		}
	})
}
