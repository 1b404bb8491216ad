package peer

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Connections that say nothing must not keep the nodes out for as long as a handshake may take.
func TestStalledHandshakesGiveWay(t *testing.T) {
	c := qt.New(t)
	var h handshakes
	now := time.Now()
	first, _ := net.Pipe()
	second, _ := net.Pipe()
	third, _ := net.Pipe()
	c.Assert(h.add(first, 2, now), qt.IsTrue)
	c.Assert(h.add(second, 2, now), qt.IsTrue)
	c.Assert(h.add(third, 2, now.Add(handshakePatience/2)), qt.IsFalse)
	c.Assert(h.add(third, 2, now.Add(handshakePatience)), qt.IsTrue)
	c.Assert(first.SetDeadline(time.Time{}), qt.IsNotNil)
	c.Assert(second.SetDeadline(time.Time{}), qt.IsNil)
	h.remove(first)
	h.remove(second)
	c.Assert(h, qt.HasLen, 1)
}
