package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"
)

// muxConn carries streams over one connection, as yamux.Session does, but ends its streams
// before it closes the connection.
//
// A yamux session marks its streams closed only once its connection is closed, which waits for
// the loop that reads from it. A read or write of a stream that is blocked meanwhile does not
// return and does not wait: it goes round a select that is always ready, and can keep the
// processor from the very loop that the close waits for.
type muxConn struct {
	session *yamux.Session

	mu      sync.Mutex
	streams map[*stream]struct{}
	ended   bool
}

// stream is one stream of a muxConn.
type stream struct {
	*yamux.Stream
	conn *muxConn
}

// endingConn is the connection below a session, whose Close ends the streams first.
type endingConn struct {
	net.Conn
	end func()
}

// Close implements net.Conn. The session calls it in each way in which it ends.
func (c endingConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// newMux returns the streams over a connection, at the end that dialed it or at the other.
func newMux(c net.Conn, dialed bool) (*muxConn, error) {
	m := &muxConn{streams: make(map[*stream]struct{})}
	open := yamux.Server
	if dialed {
		open = yamux.Client
	}
	var err error
	config := muxConfig()
	frames := &frameConn{Conn: c, longest: config.MaxStreamWindowSize}
	m.session, err = open(endingConn{Conn: frames, end: m.end}, config)
	if err != nil {
		return nil, eris.Wrap(err, "begin session")
	}
	return m, nil
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = 10 * time.Second
	c.ConnectionWriteTimeout = 3 * time.Second
	c.StreamOpenTimeout = 3 * time.Second
	c.StreamCloseTimeout = 10 * time.Second
	return c
}

// OpenStream opens a stream to the other end.
func (m *muxConn) OpenStream() (*stream, error) {
	st, err := m.session.OpenStream()
	if err != nil {
		return nil, eris.Wrap(err, "open stream")
	}
	return m.add(st), nil
}

// AcceptStream waits for a stream that the other end opens.
func (m *muxConn) AcceptStream() (*stream, error) {
	st, err := m.session.AcceptStream()
	if err != nil {
		return nil, eris.Wrap(err, "accept stream")
	}
	return m.add(st), nil
}

func (m *muxConn) add(st *yamux.Stream) *stream {
	s := &stream{Stream: st, conn: m}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		s.expire()
	}
	m.streams[s] = struct{}{}
	return s
}

// end makes all reads and writes of streams return, now and from now on.
func (m *muxConn) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for s := range m.streams {
		s.expire()
	}
}

// Close ends the streams and closes the connection.
func (m *muxConn) Close() error { return m.session.Close() }

// IsClosed reports whether the session has ended.
func (m *muxConn) IsClosed() bool { return m.session.IsClosed() }

// NumStreams returns the number of open streams.
func (m *muxConn) NumStreams() int { return m.session.NumStreams() }

// expired is a deadline that is over.
var expired = time.Unix(1, 0)

func (s *stream) expire() {
	// Deadlines of an open stream cannot fail.
	_ = s.Stream.SetDeadline(expired)
}

// SetDeadline sets the time at which reads and writes give up.
func (s *stream) SetDeadline(t time.Time) {
	s.unlessEnded(func() { _ = s.Stream.SetDeadline(t) })
}

// SetReadDeadline sets the time at which reads give up; the zero time is for never.
func (s *stream) SetReadDeadline(t time.Time) {
	s.unlessEnded(func() { _ = s.Stream.SetReadDeadline(t) })
}

// SetWriteDeadline sets the time at which writes give up; the zero time is for never.
func (s *stream) SetWriteDeadline(t time.Time) {
	s.unlessEnded(func() { _ = s.Stream.SetWriteDeadline(t) })
}

// unlessEnded sets a deadline. The deadline of a stream whose session has ended stays over.
func (s *stream) unlessEnded(set func()) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if !s.conn.ended {
		set()
	}
}

// Close closes this end of the stream.
func (s *stream) Close() error {
	s.conn.mu.Lock()
	delete(s.conn.streams, s)
	s.conn.mu.Unlock()
	return s.Stream.Close()
}
