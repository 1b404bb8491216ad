package peer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/httpanswer"
	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/traffic"
	"topazmoor/internal/verdict"
)

// Targets connects to targets on behalf of other nodes. *targetlink.Dialer implements it in production.
type Targets interface {
	// DialFor connects to a listed target over this node's own path. Its errors are of type
	// *verdict.Error.
	DialFor(ctx context.Context, addr string) (net.Conn, error)
}

const (
	// tunnelConnectTimeout bounds the set-up of a connection on behalf of another node.
	tunnelConnectTimeout = 200 * time.Millisecond
	// tunnelWriteTimeout is how long the other end of a tunnel may take no bytes before the tunnel is
	// closed.
	tunnelWriteTimeout = 10 * time.Second
	// segmentBytes is the size of the buffer of a tunnel in each direction.
	segmentBytes = 16 << 10
	// maxSegment is the maximum size of a message of a tunnel, in bytes.
	maxSegment = segmentBytes + 1<<10
	// maxTunnelBuffer is how many received bytes a tunnel keeps for its reader.
	maxTunnelBuffer = 64 << 10
	// TunnelBytes is what a tunnel may hold at one of its ends while the other end of its connection takes nothing, in
	// bytes: the window of its stream, and its buffers.
	TunnelBytes = streamWindow + maxTunnelBuffer + 2*segmentBytes
)

// Connect has the node at addr connect to a target, and returns the connection. It has no deadlines.
func (c *Client) Connect(ctx context.Context, addr, target string) (net.Conn, error) {
	frame, err := encodeFrame(&peerpb.Request{Call: &peerpb.Request_Connect{Connect: &peerpb.Connect{Addr: target}}})
	if err != nil {
		return nil, err
	}
	x := &pendingCall{client: c, ctx: ctx, addr: addr, call: traffic.Tunnels}
	opened := make(chan openedTunnel, 1)
	go func() {
		st, err := x.connect(frame)
		opened <- openedTunnel{st, err}
	}()
	select {
	case o := <-opened:
		if o.err != nil {
			return nil, o.err
		}
		return newTunnel(o.st), nil
	case <-ctx.Done():
		x.retireIfSilent()
		go closeUnused(opened)
		return nil, eris.Wrap(ctx.Err(), "connect through a peer")
	}
}

// openedTunnel is the stream of a tunnel that a node opened, or its error.
type openedTunnel struct {
	st  *stream
	err error
}

// closeUnused closes a tunnel that was opened after its caller had given up.
func closeUnused(opened <-chan openedTunnel) {
	if o := <-opened; o.err == nil {
		_ = o.st.Close()
	}
}

// connect sends a Connect request and waits for its answer.
func (x *pendingCall) connect(frame []byte) (*stream, error) {
	st, err := x.open()
	if err != nil {
		return nil, err
	}
	st.call = x.call
	if err := x.awaitConnect(st, frame); err != nil {
		_ = st.Close()
		return nil, err
	}
	return st, nil
}

func (x *pendingCall) awaitConnect(st *stream, frame []byte) error {
	st.SetDeadline(time.Now().Add(callTimeout))
	stop := context.AfterFunc(x.ctx, func() { st.SetDeadline(pastDeadline) })
	if err := st.sendFrame(frame); err != nil {
		return eris.Wrap(err, "send request to peer")
	}
	resp := &peerpb.Response{}
	if err := st.receive(resp, &x.incoming); err != nil {
		return eris.Wrap(x.incoming.wrap(err), "receive answer from peer")
	}
	if resp.Refusal != nil {
		return refusalFrom(resp.Refusal)
	}
	if !stop() {
		return eris.Wrap(x.ctx.Err(), "connect through a peer")
	}
	st.SetDeadline(time.Time{})
	return nil
}

// retireIfSilent makes later calls use a new connection, unless the caller itself gave up.
func (x *pendingCall) retireIfSilent() {
	if eris.Is(x.ctx.Err(), context.DeadlineExceeded) {
		x.retire()
	}
}

// serveConnect connects to a target and passes bytes on until either end closes.
func (s *Server) serveConnect(ctx context.Context, st *stream, m *peerpb.Connect) {
	target, err := s.connectTarget(ctx, m.GetAddr())
	if err != nil {
		s.reply(st, &peerpb.Response{Refusal: refusalOf(err)})
		return
	}
	defer target.Close()
	if !s.reply(st, &peerpb.Response{Result: &peerpb.Response_Done{Done: &peerpb.Empty{}}}) {
		return
	}
	st.SetDeadline(time.Time{})
	defer context.AfterFunc(ctx, func() { target.Close() })()
	end := httpanswer.NewConn(target)
	go func() {
		if st.copyTo(end) {
			// The target's connection ends with the tunnel, which ends with the answer or its caller.
			target.Close()
		}
	}()
	st.copyFrom(end)
}

func (s *Server) connectTarget(ctx context.Context, addr string) (net.Conn, error) {
	if s.h.Targets == nil {
		return nil, verdict.New(verdict.NotRun, verdict.Internal, "this node connects to no targets")
	}
	ctx, cancel := context.WithTimeout(ctx, tunnelConnectTimeout)
	defer cancel()
	return s.h.Targets.DialFor(ctx, addr)
}

// reply sends an answer and reports whether it was sent.
func (s *Server) reply(st *stream, resp *peerpb.Response) bool {
	err := st.send(resp)
	if err != nil {
		s.log.Debug("send answer to peer failed", "err", err)
	}
	return err == nil
}

// copyFrom sends what a connection receives, and how it ends.
func (s *stream) copyFrom(conn net.Conn) {
	buf := make([]byte, segmentBytes)
	for {
		n, err := conn.Read(buf)
		end := &peerpb.Segment{Data: buf[:n], Closed: err == io.EOF, Broken: err != nil && err != io.EOF}
		if (n > 0 || err != nil) && s.sendSegment(end) != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// copyTo writes the bytes of received segments to a connection until the other end closes the tunnel, and reports whether it
// has. Otherwise the connection takes no more bytes; what it has received before is still read.
func (s *stream) copyTo(conn net.Conn) bool {
	for {
		m := &peerpb.Segment{}
		if err := s.receiveSegment(m); err != nil {
			return true
		}
		if _, err := conn.Write(m.Data); err != nil {
			return false
		}
	}
}

func (s *stream) sendSegment(m *peerpb.Segment) error {
	s.SetWriteDeadline(time.Now().Add(tunnelWriteTimeout))
	return s.send(m)
}

func (s *stream) receiveSegment(m proto.Message) error {
	n, err := readFrame(s, m, maxSegment)
	s.count(traffic.Received, n)
	return err
}

// errTunnelBroken is the error of reads after a tunnel ended otherwise than by an orderly close of the
// target.
var errTunnelBroken = eris.New("peer: the connection through another node broke off")

// tunnel is a connection to a target that another node opened. It implements net.Conn without deadlines.
type tunnel struct {
	st *stream

	mu sync.Mutex
	// changed is signaled when one of the fields below changes.
	changed  *sync.Cond
	received []byte
	// err is set at the end of the connection: io.EOF after an orderly close.
	err    error
	closed bool
}

func newTunnel(st *stream) *tunnel {
	t := &tunnel{st: st}
	t.changed = sync.NewCond(&t.mu)
	go t.receiveAll()
	return t
}

// receiveAll receives segments until the connection ends.
func (t *tunnel) receiveAll() {
	for {
		m := &peerpb.Segment{}
		err := t.st.receiveSegment(m)
		switch {
		case err != nil, m.Broken:
			err = errTunnelBroken
		case m.Closed:
			err = io.EOF
		}
		if !t.append(m.Data, err) {
			return
		}
	}
}

// append adds received bytes and reports whether more may follow. It waits while the buffer is full.
func (t *tunnel) append(data []byte, err error) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.received) >= maxTunnelBuffer && !t.closed {
		t.changed.Wait()
	}
	t.received = append(t.received, data...)
	t.err = err
	t.changed.Broadcast()
	return err == nil && !t.closed
}

// Read implements net.Conn.
func (t *tunnel) Read(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.received) == 0 && t.err == nil && !t.closed {
		t.changed.Wait()
	}
	switch {
	case t.closed:
		return 0, net.ErrClosed
	case len(t.received) == 0:
		return 0, t.err
	}
	n := copy(p, t.received)
	t.received = t.received[n:]
	t.changed.Broadcast()
	return n, nil
}

// Write implements net.Conn.
func (t *tunnel) Write(p []byte) (int, error) {
	for written := 0; written < len(p); {
		part := p[written:min(len(p), written+segmentBytes)]
		if err := t.st.sendSegment(&peerpb.Segment{Data: part}); err != nil {
			return written, eris.Wrap(err, "write through a peer")
		}
		written += len(part)
	}
	return len(p), nil
}

// EndIsDefinite implements httpanswer.Definite: the other node says how the target's connection ended.
func (t *tunnel) EndIsDefinite() {}

// OpenWithoutData reports whether the connection is open and has no unread bytes.
func (t *tunnel) OpenWithoutData() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.received) == 0 && t.err == nil && !t.closed
}

// Close implements net.Conn.
func (t *tunnel) Close() error {
	t.mu.Lock()
	t.closed = true
	t.changed.Broadcast()
	t.mu.Unlock()
	return t.st.Close()
}

// LocalAddr implements net.Conn; it is the address of the connection to the other node.
func (t *tunnel) LocalAddr() net.Addr { return t.st.LocalAddr() }

// RemoteAddr implements net.Conn; it is the address of the other node.
func (t *tunnel) RemoteAddr() net.Addr { return t.st.RemoteAddr() }

// SetDeadline implements net.Conn. It has no effect.
func (t *tunnel) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn. It has no effect.
func (t *tunnel) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn. It has no effect.
func (t *tunnel) SetWriteDeadline(time.Time) error { return nil }
