package peer

import (
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// closeTimeout is the maximum time for which Close of a heldConn waits for blocked calls. It is
// long enough for a busy machine.
const closeTimeout = 10 * time.Second

// heldConn is a connection whose Close waits until all blocked calls on its streams have returned,
// as the close of a session does whose reading loop gets no CPU time before them.
type heldConn struct {
	net.Conn
	blocked *atomic.Int64
	// left is the number of calls that were still blocked when the connection was closed.
	left atomic.Int64
}

func (c *heldConn) Close() error {
	for end := time.Now().Add(closeTimeout); c.blocked.Load() > 0 && time.Now().Before(end); {
		runtime.Gosched()
	}
	c.left.Store(c.blocked.Load())
	return c.Conn.Close()
}

// muxPair returns a muxConn on a heldConn, the muxConn of the other end, and the heldConn.
func muxPair(c *quicktest.C, blocked *atomic.Int64) (*muxConn, *muxConn, *heldConn) {
	here, there := net.Pipe()
	held := &heldConn{Conn: here, blocked: blocked}
	near, err := newMux(held, true, nil)
	c.Assert(err, quicktest.IsNil)
	far, err := newMux(there, false, nil)
	c.Assert(err, quicktest.IsNil)
	c.Cleanup(func() { _ = near.Close(); _ = far.Close() })
	return near, far, held
}

const blockedCalls = 20

// TestReadsEndBeforeTheConnectionCloses guards against reads that spin on a select that is always
// ready while the connection closes, also those of streams that were closed while somebody reads.
func TestReadsEndBeforeTheConnectionCloses(t *testing.T) {
	for name, closed := range map[string]bool{"open streams": false, "closed streams": true} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var blocked atomic.Int64
			near, _, held := muxPair(c, &blocked)
			for range blockedCalls {
				st, err := near.OpenStream()
				c.Assert(err, quicktest.IsNil)
				blocked.Add(1)
				go func() {
					defer blocked.Add(-1)
					_, _ = st.Read(make([]byte, 1))
				}()
				if closed {
					c.Assert(st.Close(), quicktest.IsNil)
				}
			}
			c.Assert(near.Close(), quicktest.IsNil)
			c.Assert(held.left.Load(), quicktest.Equals, int64(0))
		})
	}
}

// TestWritesEndBeforeTheConnectionCloses does the same for writes that wait for the other end to
// read.
func TestWritesEndBeforeTheConnectionCloses(t *testing.T) {
	c := quicktest.New(t)
	var blocked atomic.Int64
	near, _, held := muxPair(c, &blocked)
	full := make([]byte, muxConfig().MaxStreamWindowSize)
	for range blockedCalls {
		st, err := near.OpenStream()
		c.Assert(err, quicktest.IsNil)
		_, err = st.Write(full)
		c.Assert(err, quicktest.IsNil)
		blocked.Add(1)
		go func() {
			defer blocked.Add(-1)
			_, _ = st.Write(full)
		}()
	}
	c.Assert(near.Close(), quicktest.IsNil)
	c.Assert(held.left.Load(), quicktest.Equals, int64(0))
}

// TestDeadlinesStayOverOnceTheSessionEnded guards against calls that block because they begin, or
// set a later deadline, while the connection closes.
func TestDeadlinesStayOverOnceTheSessionEnded(t *testing.T) {
	c := quicktest.New(t)
	var blocked atomic.Int64
	near, _, _ := muxPair(c, &blocked)
	st, err := near.OpenStream()
	c.Assert(err, quicktest.IsNil)
	near.end()
	st.SetDeadline(time.Time{})
	st.SetReadDeadline(time.Time{})
	_, err = st.Read(make([]byte, 1))
	c.Assert(err, quicktest.ErrorMatches, ".*deadline.*|.*timeout.*")
}

// TestConnectionsOfAllNodesOfAFleetAreTaken checks that a server accepts a connection of each known
// node, as all nodes may call one that forms their batches or that they follow, and that it refuses
// connections above its limit.
func TestConnectionsOfAllNodesOfAFleetAreTaken(t *testing.T) {
	c := quicktest.New(t)
	for _, nodes := range []int{0, 985, 2000, 4000} {
		s := NewServer(nil, nil, "a", Handler{Nodes: func() int { return nodes }}, nil)
		taken := 0
		for range nodes {
			if s.add(&muxConn{}) {
				taken++
			}
		}
		c.Check(taken, quicktest.Equals, nodes)
		for s.add(&muxConn{}) {
			taken++
		}
		c.Check(taken <= max(minSessionLimit, sessionsPerNode*nodes), quicktest.IsTrue)
	}
}
