package targetlink

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/verdict"
)

var errDown = &net.OpError{Op: "dial", Err: errors.New("connection refused")}

// path is a network path to targets that a test changes.
type path struct {
	state atomic.Int32
	dials atomic.Int32
}

const (
	open int32 = iota
	refusing
	silent
)

func (p *path) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	p.dials.Add(1)
	switch p.state.Load() {
	case refusing:
		return nil, errDown
	case silent:
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(350 * time.Millisecond):
			return nil, &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}
		}
	}
	near, far := net.Pipe()
	go func() { _, _ = far.Read(make([]byte, 1)) }()
	return near, nil
}

// twoPaths returns a Dialer whose own path is own, and that reaches targets through two other nodes.
func twoPaths(own, others *path) *Dialer {
	d := New(own.dial, slog.New(slog.DiscardHandler))
	d.Use(Others{
		Nodes: func() []Node { return []Node{{Name: "b", Addr: "b"}, {Name: "c", Addr: "c"}} },
		Connect: func(ctx context.Context, _, target string) (net.Conn, error) {
			conn, err := others.dial(ctx, "tcp", target)
			if err != nil {
				return nil, verdict.Wrap(err, verdict.NotRun, verdict.NoTarget, "not reached")
			}
			return conn, nil
		},
		DataCentreOf: func(string) string { return "hall" },
		Addresses:    func() []string { return []string{"1", "2", "3", "4"} },
	})
	return d
}

func TestTargetIsReachedThroughAnotherNodeWhereTheOwnPathFails(t *testing.T) {
	for name, state := range map[string]int32{"refusing": refusing, "silent": silent} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				own, others := &path{}, &path{}
				own.state.Store(state)
				d := twoPaths(own, others)
				for _, addr := range []string{"1", "2", "3", "1"} {
					start := time.Now()
					conn, err := d.DialContext(t.Context(), "tcp", addr)
					c.Assert(err, qt.IsNil)
					c.Assert(IsRelayed(conn), qt.IsTrue)
					c.Assert(time.Since(start) <= fallbackDelay, qt.IsTrue)
					conn.Close()
				}
				time.Sleep(time.Second)
				c.Assert(d.Lost(), qt.IsTrue)
				dials := own.dials.Load()
				conn, err := d.DialContext(t.Context(), "tcp", "4")
				c.Assert(err, qt.IsNil)
				conn.Close()
				c.Assert(own.dials.Load(), qt.Equals, dials)
			})
		})
	}
}

func TestErrorIsThatOfTheOwnPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, others := &path{}, &path{}
		own.state.Store(refusing)
		others.state.Store(refusing)
		d := twoPaths(own, others)
		for range 5 {
			for _, addr := range []string{"1", "2", "3", "4"} {
				_, err := d.DialContext(t.Context(), "tcp", addr)
				qt.Assert(t, err, qt.Equals, error(errDown))
			}
		}
	})
}

func TestLostPathIsUsedAgainOnceItIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		own, others := &path{}, &path{}
		d := twoPaths(own, others)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- d.Serve(ctx) }()
		conn, err := d.DialContext(t.Context(), "tcp", "1")
		c.Assert(err, qt.IsNil)
		c.Assert(IsRelayed(conn), qt.IsFalse)
		own.state.Store(silent)
		_, _ = conn.Write([]byte("x"))
		time.Sleep(1500 * time.Millisecond)
		c.Assert(d.Lost(), qt.IsTrue, qt.Commentf("a silent path is noticed without a new request"))
		relayed, err := d.DialContext(t.Context(), "tcp", "1")
		c.Assert(err, qt.IsNil)
		c.Assert(IsRelayed(relayed), qt.IsTrue)
		relayed.Close()
		own.state.Store(open)
		time.Sleep(time.Second)
		c.Assert(d.Lost(), qt.IsFalse)
		again, err := d.DialContext(t.Context(), "tcp", "1")
		c.Assert(err, qt.IsNil)
		c.Assert(IsRelayed(again), qt.IsFalse)
		again.Close()
		conn.Close()
		cancel()
		c.Assert(<-served, qt.ErrorIs, context.Canceled)
	})
}

func TestSilentTargetIsNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, others := &path{}, &path{}
		d := twoPaths(own, others)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- d.Serve(ctx) }()
		conn, err := d.DialContext(t.Context(), "tcp", "1")
		qt.Assert(t, err, qt.IsNil)
		_, _ = conn.Write([]byte("x"))
		time.Sleep(10 * time.Second)
		qt.Check(t, d.Lost(), qt.IsFalse)
		qt.Check(t, own.dials.Load() <= 11, qt.IsTrue, qt.Commentf("%d connects in 10 s", own.dials.Load()))
		conn.Close()
		cancel()
		<-served
	})
}

func TestNodeConnectsForOthersOnlyToListedTargetsOverItsOwnPath(t *testing.T) {
	c := qt.New(t)
	own, others := &path{}, &path{}
	d := twoPaths(own, others)
	d.others.DataCentreOf = func(addr string) string { return map[string]string{"1": "hall"}[addr] }
	_, err := d.DialFor(t.Context(), "unlisted")
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NotReady)
	own.state.Store(refusing)
	_, err = d.DialFor(t.Context(), "1")
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NoTarget)
	c.Assert(others.dials.Load(), qt.Equals, int32(0))
}

func TestNodeOpensABoundedNumberOfConnectionsForOthers(t *testing.T) {
	c := qt.New(t)
	d := twoPaths(&path{}, &path{})
	var open []net.Conn
	for range maxTunnels {
		conn, err := d.DialFor(t.Context(), "1")
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	_, err := d.DialFor(t.Context(), "1")
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NotReady)
	c.Assert(d.Tunnels()["refused"], qt.Equals, 1.0)
	open[0].Close()
	open[0].Close()
	conn, err := d.DialFor(t.Context(), "1")
	c.Assert(err, qt.IsNil)
	open = append(open, conn)
	_, err = d.DialFor(t.Context(), "1")
	c.Assert(verdict.CodeOf(err), qt.Equals, verdict.NotReady)
	for _, conn := range open {
		conn.Close()
	}
	c.Assert(d.OpenTunnels(), qt.Equals, 0.0)
}

func TestAnyPathIsEnoughToReachATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, others := &path{}, &path{}
		own.state.Store(silent)
		d := twoPaths(own, others)
		start := time.Now()
		conn, err := d.DialAny(t.Context(), "tcp", "1")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, time.Since(start) <= checkDelay, qt.IsTrue)
		conn.Close()
	})
}

func TestSilentTargetsAreNoLostPathWhileOthersAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, others := &path{}, &path{}
		d := twoPaths(own, others)
		others.state.Store(silent)
		near, far := net.Pipe()
		alive := d.direct.add(near, "alive")
		go func() {
			for range 100 {
				time.Sleep(100 * time.Millisecond)
				_, _ = far.Write([]byte("x"))
			}
		}()
		go func() {
			for range 100 {
				_, _ = alive.Read(make([]byte, 1))
			}
		}()
		time.Sleep(time.Second)
		own.state.Store(silent)
		for _, addr := range []string{"1", "2", "3", "4"} {
			start := time.Now()
			_, err := d.DialContext(t.Context(), "tcp", addr)
			qt.Assert(t, err, qt.Not(qt.IsNil))
			qt.Assert(t, time.Since(start) <= fallbackDelay+throughNodeTimeout, qt.IsTrue)
		}
		qt.Assert(t, d.Lost(), qt.IsFalse)
		time.Sleep(20 * time.Second)
		far.Close()
	})
}

// threeEnded returns a Dialer three of whose targets have ended, so that nobody reaches them; working is its own path to the others.
func threeEnded(working *path) *Dialer {
	ended, others := &path{}, &path{}
	ended.state.Store(refusing)
	others.state.Store(refusing)
	d := twoPaths(working, others)
	d.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		if addr <= "3" {
			return ended.dial(ctx, network, addr)
		}
		return working.dial(ctx, network, addr)
	}
	return d
}

// TestTargetsThatEndedTogetherAreNoLostPath guards against a node that counts its own path as lost, and connects for no other
// node, because some targets ended at once: a node without links has nobody else.
func TestTargetsThatEndedTogetherAreNoLostPath(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		d := threeEnded(&path{})
		for range 5 {
			for _, addr := range []string{"1", "2", "3"} {
				_, err := d.DialContext(t.Context(), "tcp", addr)
				c.Assert(err, qt.IsNotNil)
			}
			conn, err := d.DialFor(t.Context(), "4")
			c.Assert(err, qt.IsNil)
			conn.Close()
			time.Sleep(100 * time.Millisecond)
			c.Assert(d.Lost(), qt.IsFalse)
		}
	})
}

// The same at once, while the node itself sends nothing to targets that work.
func TestOneCheckDecidesWhetherThePathIsLost(t *testing.T) {
	for name, tc := range map[string]struct {
		working int32
		lost    bool
	}{"others work": {open, false}, "others refuse": {refusing, true}, "others are silent": {silent, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				working := &path{}
				working.state.Store(tc.working)
				d := threeEnded(working)
				for _, addr := range []string{"1", "2", "3", "2", "1"} {
					_, err := d.DialContext(t.Context(), "tcp", addr)
					qt.Assert(t, err, qt.IsNotNil)
				}
				time.Sleep(probeTimeout)
				synctest.Wait()
				qt.Check(t, d.Lost(), qt.Equals, tc.lost)
				qt.Check(t, working.dials.Load(), qt.Equals, int32(1))
			})
		})
	}
}

// TestTargetIsReachedThoughTheFirstOtherNodeDoesNotReachIt guards against a node that has lost its links to some targets, and asks
// one other node only, which has lost them as well and says that the target was not reached.
func TestTargetIsReachedThoughTheFirstOtherNodeDoesNotReachIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		own, others := &path{}, &path{}
		own.state.Store(refusing)
		d := twoPaths(own, others)
		reach := d.others.Connect
		d.others.Connect = func(ctx context.Context, node, target string) (net.Conn, error) {
			if node == "b" {
				return nil, verdict.New(verdict.NotRun, verdict.NoTarget, "not reached")
			}
			return reach(ctx, node, target)
		}
		for range 40 {
			conn, err := d.DialContext(t.Context(), "tcp", "1")
			qt.Assert(t, err, qt.IsNil)
			conn.Close()
			qt.Assert(t, d.Lost(), qt.IsFalse)
			d.indirect.clear()
		}
	})
}
