package httpconn

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// wrapped is a connection around another one.
type wrapped struct{ net.Conn }

func (w wrapped) NetConn() net.Conn { return w.Conn }

// closedQuietly is a connection that the other end has closed once it is idle.
type closedQuietly struct{ net.Conn }

func (closedQuietly) OpenWithoutData() bool { return false }

// TestConnectionThatClosedWhileIdleIsNotReused guards against a request that may not be repeated and is given a closed connection, however
// often that is wrapped.
func TestConnectionThatClosedWhileIdleIsNotReused(t *testing.T) {
	addr := target(t, func(conn net.Conn, r *http.Request) bool {
		answer(conn, r.Header.Get(idHeader), "ok")
		return true
	})
	for name, wrap := range map[string]func(net.Conn) net.Conn{
		"once":  func(c net.Conn) net.Conn { return wrapped{c} },
		"twice": func(c net.Conn) net.Conn { return wrapped{wrapped{c}} },
	} {
		t.Run(name, func(t *testing.T) {
			var dials atomic.Int64
			p := New(Config{AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4, Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
				dials.Add(1)
				conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
				return wrap(closedQuietly{conn}), err
			}})
			defer p.Close()
			for _, id := range []string{"1", "2"} {
				a, err := p.Do(t.Context(), addr, get(id))
				qt.Assert(t, bodyOf(t, a, err), qt.Equals, "ok")
			}
			qt.Assert(t, dials.Load(), qt.Equals, int64(2))
		})
	}
}
