package intake

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// KernelBuffer is the size of the buffer that the kernel keeps for each direction of a connection, as it is set; the
	// kernel takes twice that. A caller makes a process hold it by sending what is not read, or not reading.
	KernelBuffer = 16 << 10
	// ConnBytes is what a connection may hold outside of the budget, in bytes: its buffers in the kernel.
	ConnBytes = 2 * 2 * KernelBuffer
	// freeHeadBytes is how much of a head is not counted: the buffer of its reader, which each connection has. Each
	// further byte counts as headOverhead: fields of heads are kept as strings in a map.
	freeHeadBytes = 4 << 10
	headOverhead  = 6
	// connPatience is how long a connection is safe from being closed in favour of a new one. A caller sends an ordinary
	// request in less.
	connPatience = 100 * time.Millisecond
	// headWait bounds the wait for room for a head.
	headWait = time.Second
	// writeStep is how many bytes are written at a time. A caller that takes none for writeTimeout is closed.
	writeStep     = 16 << 10
	writeTimeout  = 10 * time.Second
	sweepInterval = 2 * time.Second
)

// Conns are the connections of the callers of a server. It is safe for concurrent use. It implements suture.Service.
type Conns struct {
	budget *Budget
	epoch  time.Time

	mu   sync.Mutex
	open map[*Conn]struct{}
	// closed counts the connections that were closed because their caller stalled.
	closed int64
}

// NewConns returns an empty set of connections, whose heads count in budget.
func NewConns(budget *Budget) *Conns {
	return &Conns{budget: budget, epoch: time.Now(), open: make(map[*Conn]struct{})}
}

// phase is what a server does with a connection.
type phase int

const (
	// readingHead is from the first byte of a request, or from the start of the connection.
	readingHead phase = iota
	readingBody
	serving
	// idle is between two requests.
	idle
)

// Conn is a connection of a caller.
type Conn struct {
	net.Conn
	set *Conns
	// writing is when the write in progress began, since the epoch of the set; 0 for none.
	writing atomic.Int64

	mu    sync.Mutex
	phase phase
	// since is when the phase began, since the epoch of the set.
	since time.Duration
	// head counts the bytes of the head in progress. hold has them, if they are many.
	head   int
	hold   *Hold
	closed bool
}

// Add returns a connection of the set. It bounds the buffers of the kernel.
func (s *Conns) Add(nc net.Conn) *Conn {
	if b, ok := nc.(interface {
		SetReadBuffer(bytes int) error
		SetWriteBuffer(bytes int) error
	}); ok {
		// A connection that has been closed meanwhile has no buffers.
		_ = b.SetReadBuffer(KernelBuffer)
		_ = b.SetWriteBuffer(KernelBuffer)
	}
	c := &Conn{Conn: nc, set: s, since: s.now()}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return c
}

// now returns the time since the epoch, by a clock that stops while the host is suspended. It is positive, as 0 stands for
// never.
func (s *Conns) now() time.Duration { return time.Since(s.epoch) + 1 }

// Closed returns the number of connections that were closed because their caller stalled.
func (s *Conns) Closed() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// Attach makes a server report the phases of its connections.
func (s *Conns) Attach(srv *http.Server) {
	report := srv.ConnState
	srv.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := unwrap(nc); c != nil {
			c.stateChanged(state)
		}
		if report != nil {
			report(nc, state)
		}
	}
	srv.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(nc))
	}
}

// connKey is the key of the connection in the contexts of requests.
type connKey struct{}

// connOf returns the connection of a request; nil if it is not in a set.
func connOf(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// unwrap returns the connection below nc that is in a set, or nil.
func unwrap(nc net.Conn) *Conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*Conn)
	return c
}

// MakeRoom closes the connection whose caller has kept the server waiting for longest: within a request first, and
// else between two requests. It returns false if there is none.
func (s *Conns) MakeRoom() bool {
	now := s.now()
	var stalled, unused *Conn
	var stalledFor, unusedFor time.Duration
	s.mu.Lock()
	for c := range s.open {
		waiting, isIdle := c.waiting(now)
		switch {
		case waiting < connPatience:
		case isIdle && waiting > unusedFor:
			unused, unusedFor = c, waiting
		case !isIdle && waiting > stalledFor:
			stalled, stalledFor = c, waiting
		}
	}
	s.mu.Unlock()
	if stalled == nil {
		stalled = unused
	}
	if stalled == nil {
		return false
	}
	s.closeStalled(stalled)
	return true
}

func (s *Conns) closeStalled(c *Conn) {
	s.mu.Lock()
	s.closed++
	s.mu.Unlock()
	c.Close()
}

// Serve implements suture.Service: it closes connections whose callers read nothing.
func (s *Conns) Serve(ctx context.Context) error {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			s.sweep()
		}
	}
}

// sweep closes the connections to which nothing could be written for writeTimeout.
func (s *Conns) sweep() {
	now := s.now()
	var stalled []*Conn
	s.mu.Lock()
	for c := range s.open {
		if c.writingFor(now) > writeTimeout {
			stalled = append(stalled, c)
		}
	}
	s.mu.Unlock()
	for _, c := range stalled {
		s.closeStalled(c)
	}
}

// waiting returns for how long the server has waited for the caller, and whether that is between two requests.
func (c *Conn) waiting(now time.Duration) (d time.Duration, isIdle bool) {
	if d := c.writingFor(now); d > 0 {
		return d, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return 0, false
	}
	return now - c.since, c.phase == idle
}

// writingFor returns for how long the write in progress has taken; 0 for none.
func (c *Conn) writingFor(now time.Duration) time.Duration {
	began := c.writing.Load()
	if began == 0 {
		return 0
	}
	return now - time.Duration(began)
}

// stateChanged follows http.Server.ConnState.
func (c *Conn) stateChanged(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
		c.releaseHead()
	}
}

// enter begins a phase. The lock must be held.
func (c *Conn) enter(p phase) { c.phase, c.since = p, c.set.now() }

// releaseHead forgets the head of the last request. The lock must be held.
func (c *Conn) releaseHead() {
	c.head = 0
	if c.hold != nil {
		c.hold.Release()
		c.hold = nil
	}
}

// beginBody records that the server reads a body; the returned function records the end of it. c may be nil.
func (c *Conn) beginBody() (end func()) {
	if c == nil {
		return func() {}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.enter(readingBody)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.enter(serving)
	}
}

var errNoRoomForHead = eris.New("intake: no room for the head of a request")

// Read implements net.Conn. It fails if there is no room for the head of a request.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.countHead(n) {
		return 0, errNoRoomForHead
	}
	return n, err
}

// countHead counts n more bytes of a head, and reports whether there is room for them.
func (c *Conn) countHead(n int) bool {
	hold, more := c.holdOfHead(n)
	if more <= 0 {
		return true
	}
	return hold != nil && hold.Grow(int64(more*headOverhead), time.Now().Add(headWait)) == nil
}

// holdOfHead adds n bytes to the head in progress, and returns how many of them count and the hold for them; nil if the
// connection has been closed.
func (c *Conn) holdOfHead(n int) (hold *Hold, more int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.enter(readingHead)
	}
	if c.phase != readingHead {
		return nil, 0
	}
	counted := max(c.head, freeHeadBytes)
	c.head += n
	if c.head <= counted {
		return nil, 0
	}
	if c.hold == nil && !c.closed {
		// The lock of the budget is held when it calls the function, and closing needs it.
		c.hold = c.set.budget.NewHold(func() { go c.set.closeStalled(c) })
	}
	return c.hold, c.head - counted
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	defer c.writing.Store(0)
	for written < len(p) {
		c.writing.Store(int64(c.set.now()))
		n, err := c.Conn.Write(p[written:min(len(p), written+writeStep)])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	c.mu.Lock()
	c.closed = true
	c.releaseHead()
	c.mu.Unlock()
	return c.Conn.Close()
}

// listener accepts connections of a set.
type listener struct {
	net.Listener
	set  *Conns
	most int
}

// Listener returns a listener that accepts connections from ln into the set, at most a number at a time. A connection
// beyond that takes the place of one whose caller has stalled, or is closed.
func (s *Conns) Listener(ln net.Listener, most int) net.Listener {
	return &listener{Listener: ln, set: s, most: most}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.set.len() < l.most || l.set.MakeRoom() {
			return l.set.Add(nc), nil
		}
		nc.Close()
	}
}

// len returns the number of open connections.
func (s *Conns) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
