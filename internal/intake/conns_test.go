package intake

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// server serves connections of a set in virtual time.
type server struct {
	set   *Conns
	conns chan net.Conn
	http  *http.Server
}

// newServer returns a server whose handler reads the body, and then sends answer.
func newServer(t *testing.T, budget *Budget, answer string) *server {
	s := &server{set: NewConns(budget), conns: make(chan net.Conn)}
	s.http = &http.Server{MaxHeaderBytes: 1 << 20, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			body, err := budget.Read(w, r, testLimit, soon())
			if err != nil {
				w.Header().Set("Connection", "close")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			defer body.Hold().Release()
		}
		_, _ = io.WriteString(w, answer)
	})}
	s.set.Attach(s.http)
	go func() { _ = s.http.Serve(s) }()
	go func() { _ = s.set.Serve(t.Context()) }()
	return s
}

// Accept implements net.Listener.
func (s *server) Accept() (net.Conn, error) {
	c, ok := <-s.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

// Close implements net.Listener.
func (s *server) Close() error { return nil }

// Addr implements net.Listener.
func (s *server) Addr() net.Addr { return &net.TCPAddr{} }

// dial opens a connection and sends text on it.
func (s *server) dial(text string) net.Conn {
	caller, accepted := net.Pipe()
	s.conns <- s.set.Add(accepted)
	go func() { _, _ = io.WriteString(caller, text) }()
	synctest.Wait()
	return caller
}

func (s *server) end() {
	close(s.conns)
	s.http.Close()
}

func isOpen(c net.Conn) bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.Read(make([]byte, 1))
	return err != io.EOF && err != io.ErrClosedPipe
}

// A full server closes the connection whose caller has stalled for longest, and none that it serves.
func TestStalledConnectionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := newServer(t, NewBudget(0), "")
		defer s.end()
		c.Assert(s.set.MakeRoom(), qt.IsFalse)
		unused := s.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		_, err := io.ReadAtLeast(unused, make([]byte, 1<<10), 1)
		c.Assert(err, qt.IsNil)
		time.Sleep(connPatience)
		body := s.dial("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n1234")
		c.Assert(body, qt.IsNotNil)
		time.Sleep(connPatience / 2)
		head := s.dial("POST / HTTP/1.1\r\nHost")
		time.Sleep(connPatience)
		c.Assert(s.set.MakeRoom(), qt.IsTrue)
		synctest.Wait()
		c.Assert(isOpen(body), qt.IsFalse)
		c.Assert(isOpen(head), qt.IsTrue)
		c.Assert(s.set.MakeRoom(), qt.IsTrue)
		synctest.Wait()
		c.Assert(isOpen(head), qt.IsFalse)
		c.Assert(isOpen(unused), qt.IsTrue)
		c.Assert(s.set.MakeRoom(), qt.IsTrue)
		synctest.Wait()
		c.Assert(isOpen(unused), qt.IsFalse)
		c.Assert(s.set.Closed(), qt.Equals, int64(3))
		c.Assert(s.set.len(), qt.Equals, 0)
	})
}

// A caller that reads nothing is closed; one that reads slowly is not.
func TestCallersThatReadNothingAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		answer := strings.Repeat("a", 8*writeStep)
		s := newServer(t, NewBudget(0), answer)
		defer s.end()
		slow := s.dial("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
		s.dial("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		read := 0
		buf := make([]byte, writeStep)
		for {
			time.Sleep(writeTimeout / 2)
			n, err := slow.Read(buf)
			read += n
			if err != nil {
				break
			}
		}
		c.Assert(read > len(answer), qt.IsTrue)
		c.Assert(s.set.Closed(), qt.Equals, int64(1))
		c.Assert(s.set.len(), qt.Equals, 0)
	})
}

// Heads count in the budget, and what was held for them is given back.
func TestHeadsAreBoundedInSum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBudget(testLimit)
		s := newServer(t, b, "")
		defer s.end()
		head := "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Filler: "+strings.Repeat("f", 100)+"\r\n", 100)
		var crowd []net.Conn
		for range 40 {
			crowd = append(crowd, s.dial(head))
		}
		c.Assert(b.Counts().Used <= testLimit, qt.IsTrue)
		c.Assert(b.Counts().Used > testLimit/2, qt.IsTrue)
		c.Assert(b.Counts().Refused > 0, qt.IsTrue)
		time.Sleep(patience)
		late := s.dial(head)
		c.Assert(isOpen(late), qt.IsTrue)
		c.Assert(b.Counts().Ended > 0, qt.IsTrue)
		for _, conn := range append(crowd, late) {
			conn.Close()
		}
		synctest.Wait()
		c.Assert(b.Counts().Used, qt.Equals, int64(0))
	})
}
