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

func TestAnswersSayWhatTheirConnectionHadCarried(t *testing.T) {
	c := qt.New(t)
	addr := target(t, func(conn net.Conn, r *http.Request) bool {
		if r.Header.Get(idHeader) == "2" {
			answer(conn, "1", "first again")
		}
		answer(conn, r.Header.Get(idHeader), "ok")
		return true
	})
	p := newPool(t)
	for earlier := range 2 {
		a, err := p.Do(t.Context(), addr, get(fmt.Sprint(earlier+1)))
		c.Assert(bodyOf(t, a, err), qt.Equals, "ok")
		c.Check(a.Named, qt.IsTrue)
		c.Check(a.Earlier, qt.Equals, earlier)
	}
	c.Check(p.Strays(), qt.Equals, int64(1))
}

// countingPool returns a pool and the number of connections that it opened.
func countingPool(t *testing.T) (*Pool, *atomic.Int64) {
	opened := &atomic.Int64{}
	p := New(Config{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		opened.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}, AnswerID: answerID, IdleTimeout: time.Minute, MaxIdle: 4})
	t.Cleanup(p.Close)
	return p, opened
}

// soundTarget starts a target that answers each request.
func soundTarget(t *testing.T) string {
	return target(t, func(conn net.Conn, r *http.Request) bool {
		answer(conn, r.Header.Get(idHeader), "ok")
		return true
	})
}

func TestConnectionCarriesEachIDOnce(t *testing.T) {
	c := qt.New(t)
	addr := soundTarget(t)
	p, opened := countingPool(t)
	for _, step := range []struct {
		id string
		// opened is how many connections there were so far.
		opened int64
	}{{"1", 1}, {"2", 1}, {"1", 2}, {"3", 2}, {"1", 3}, {"2", 3}, {"2", 3}, {"2", 4}} {
		a, err := p.Do(t.Context(), addr, get(step.id))
		c.Assert(bodyOf(t, a, err), qt.Equals, "ok")
		c.Assert(opened.Load(), qt.Equals, step.opened, qt.Commentf("%+v", step))
	}
}

func TestConnectionCarriesABoundedNumberOfRequests(t *testing.T) {
	c := qt.New(t)
	addr := soundTarget(t)
	p, opened := countingPool(t)
	for i := range 2*maxCarried + 1 {
		a, err := p.Do(t.Context(), addr, get(fmt.Sprint(i)))
		c.Assert(bodyOf(t, a, err), qt.Equals, "ok")
	}
	c.Check(opened.Load(), qt.Equals, int64(3))
}

func TestConnectionOfAnUnnamedAnswerIsNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	addr := target(t, func(conn net.Conn, _ *http.Request) bool {
		io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		return true
	})
	p, opened := countingPool(t)
	for i := range 3 {
		a, err := p.Do(t.Context(), addr, get(fmt.Sprint(i)))
		c.Assert(bodyOf(t, a, err), qt.Equals, "")
		c.Check(a.Certain(), qt.IsTrue)
	}
	c.Check(opened.Load(), qt.Equals, int64(3))
}
