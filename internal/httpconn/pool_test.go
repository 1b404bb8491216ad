package httpconn

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A connection whose request ends after the pool was closed must be closed: nobody closes it later.
func TestConnectionThatIsReturnedAfterTheCloseIsClosed(t *testing.T) {
	p := newPool(t)
	here, there := net.Pipe()
	defer there.Close()
	p.Close()
	p.putIdle(&conn{Conn: here, addr: "a"})
	qt.Check(t, here.SetDeadline(time.Time{}), qt.ErrorIs, io.ErrClosedPipe)
}

// After a suspension of the host the other ends of all connections may be gone; those that are opened later are kept.
func TestConnectionsAreKeptAgainAfterAReset(t *testing.T) {
	var accepted atomic.Int64
	addr := target(t, func(conn net.Conn, r *http.Request) bool {
		answer(conn, r.Header.Get(idHeader), "ok")
		return true
	})
	p := New(Config{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		accepted.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}, AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
	t.Cleanup(p.Close)
	ask := func(id string) {
		a, err := p.Do(t.Context(), addr, get(id))
		qt.Assert(t, bodyOf(t, a, err), qt.Equals, "ok")
	}
	ask("1")
	ask("2")
	qt.Assert(t, accepted.Load(), qt.Equals, int64(1))
	inUse, err := p.Do(t.Context(), addr, get("3"))
	qt.Assert(t, err, qt.IsNil)
	p.Reset()
	qt.Assert(t, bodyOf(t, inUse, nil), qt.Equals, "ok")
	for i := range 3 {
		ask(fmt.Sprint("after", i))
	}
	qt.Check(t, accepted.Load(), qt.Equals, int64(2))
}
