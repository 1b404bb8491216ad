package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/rotisserie/eris"

	"topazmoor/internal/traffic"
)

// muxConn multiplexes streams over one connection, as yamux.Session does, but expires the deadlines
// of its streams before it closes the connection.
//
// A yamux session marks its streams closed only after it has closed its connection and the loop
// that reads from the connection has ended. Until then a blocked read or write of a stream spins on
// a select that is always ready, and can starve that loop of CPU time.
type muxConn struct {
	session *yamux.Session
	// link counts the messages of calls; nil for none.
	link *traffic.Link

	mu      sync.Mutex
	streams map[*stream]struct{}
	// ended is set once end was called.
	ended bool
}

// stream is one stream of a muxConn.
type stream struct {
	*yamux.Stream
	conn *muxConn
	// call is the kind of the call that the stream carries.
	call traffic.Call
	// closed is set once this end was closed; the lock of conn guards it.
	closed bool
}

// notifyCloseConn is the connection below a session. Its Close calls end first.
type notifyCloseConn struct {
	net.Conn
	end func()
}

// Close implements net.Conn. The session calls it whenever it ends, for any reason.
func (c notifyCloseConn) Close() error {
	c.end()
	return c.Conn.Close()
}

// newMux starts a session on a connection; dialed is true at the end that dialed it. link counts
// the messages of calls; nil for none.
func newMux(c net.Conn, dialed bool, link *traffic.Link) (*muxConn, error) {
	m := &muxConn{link: link, streams: make(map[*stream]struct{})}
	open := yamux.Server
	if dialed {
		open = yamux.Client
	}
	var err error
	config := muxConfig()
	frames := &frameConn{Conn: c, maxBody: config.MaxStreamWindowSize}
	m.session, err = open(notifyCloseConn{Conn: frames, end: m.end}, config)
	if err != nil {
		return nil, eris.Wrap(err, "start session")
	}
	return m, nil
}

// streamWindow is how many bytes of a stream are received before they are read.
const streamWindow = 256 << 10

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.MaxStreamWindowSize = streamWindow
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

// end expires the deadlines of all streams, so that current and later reads and writes return.
func (m *muxConn) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	for s := range m.streams {
		s.expire()
	}
}

// Close expires the deadlines of the streams and closes the connection.
func (m *muxConn) Close() error { return m.session.Close() }

// IsClosed reports whether the session has ended.
func (m *muxConn) IsClosed() bool { return m.session.IsClosed() }

// NumStreams returns the number of open streams.
func (m *muxConn) NumStreams() int { return m.session.NumStreams() }

// pastDeadline is a deadline in the past.
var pastDeadline = time.Unix(1, 0)

func (s *stream) expire() {
	// SetDeadline of a yamux stream always returns nil.
	_ = s.Stream.SetDeadline(pastDeadline)
}

// SetDeadline sets the time at which reads and writes time out; the zero time is for never.
func (s *stream) SetDeadline(t time.Time) {
	s.setUnlessEnded(func() { _ = s.Stream.SetDeadline(t) })
}

// SetReadDeadline sets the time at which reads time out; the zero time is for never.
func (s *stream) SetReadDeadline(t time.Time) {
	s.setUnlessEnded(func() { _ = s.Stream.SetReadDeadline(t) })
}

// SetWriteDeadline sets the time at which writes time out; the zero time is for never.
func (s *stream) SetWriteDeadline(t time.Time) {
	s.setUnlessEnded(func() { _ = s.Stream.SetWriteDeadline(t) })
}

// setUnlessEnded calls set unless the stream or its connection ended: the deadlines that were
// expired then stay in the past.
func (s *stream) setUnlessEnded(set func()) {
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	if !s.conn.ended && !s.closed {
		set()
	}
}

// Close closes this end of the stream and ends its reads and writes.
func (s *stream) Close() error {
	err := s.Stream.Close()
	s.conn.mu.Lock()
	defer s.conn.mu.Unlock()
	s.closed = true
	s.expire()
	delete(s.conn.streams, s)
	return err
}
