package peer

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
	"topazmoor/internal/traffic"
)

// pendingCall is one request to a peer and its answers.
//
// A separate goroutine writes the request and reads the answers. It can block on the stream for
// seconds after the deadline if the peer no longer reads from the connection. The caller returns at
// its deadline regardless.
type pendingCall struct {
	client  *Client
	ctx     context.Context
	addr    string
	call    traffic.Call
	answers chan answer
	// conn is the connection that is used; nil until there is one.
	conn atomic.Pointer[muxConn]
	// incoming is what has arrived of the next answer.
	incoming incoming
}

// incoming is the part of a message that has arrived. It is safe for concurrent use.
type incoming struct {
	bytes atomic.Int64
	// last is when the last byte arrived, in Unix nanoseconds.
	last atomic.Int64
}

// read reads a message from r.
func (p *incoming) read(r io.Reader, m proto.Message) (int, error) {
	p.bytes.Store(0)
	return readFrame(readerFunc(func(b []byte) (int, error) {
		n, err := r.Read(b)
		if n > 0 {
			p.bytes.Add(int64(n))
			p.last.Store(time.Now().UnixNano())
		}
		return n, err
	}), m, maxFrame)
}

// wrap adds to an error how much of the message has arrived, if any.
func (p *incoming) wrap(err error) error {
	n := p.bytes.Load()
	if n == 0 {
		return err
	}
	since := time.Since(time.Unix(0, p.last.Load()))
	return eris.Wrapf(err, "%d bytes of an incomplete message, the last %d ms ago", n, since.Milliseconds())
}

// onSilence calls end once no byte has arrived for a time, and stops watching when the returned function
// is called.
func (p *incoming) onSilence(timeout time.Duration, end func()) (stop func()) {
	began := time.Now()
	var mu sync.Mutex
	var timer *time.Timer
	check := func() {
		idle := time.Since(began)
		if last := p.last.Load(); last != 0 {
			idle = min(idle, time.Since(time.Unix(0, last)))
		}
		if idle >= timeout {
			end()
			return
		}
		mu.Lock()
		defer mu.Unlock()
		timer.Reset(timeout - idle)
	}
	mu.Lock()
	defer mu.Unlock()
	timer = time.AfterFunc(timeout, check)
	return func() {
		mu.Lock()
		defer mu.Unlock()
		timer.Stop()
	}
}

// readerFunc is a function that implements io.Reader.
type readerFunc func(b []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) { return f(b) }

// answer is one answer of a peer, or the error that ended the call.
type answer struct {
	resp *peerpb.Response
	err  error
}

// request sends a request to the node at addr. The call lasts at most until ctx is done; a context
// that is never done could leak its goroutine.
func (c *Client) request(ctx context.Context, addr string, req *peerpb.Request) (*pendingCall, error) {
	// The request is encoded here, as the caller may change its data once the call has returned.
	frame, err := encodeFrame(req)
	if err != nil {
		return nil, err
	}
	x := &pendingCall{client: c, ctx: ctx, addr: addr, call: callOf(req), answers: make(chan answer)}
	go func() {
		if err := x.run(frame); err != nil {
			x.deliver(answer{err: err})
		}
	}()
	return x, nil
}

// next waits for the next answer. The error is a *verdict.Error if the peer refused the request, and
// another error if no answer arrived.
func (x *pendingCall) next() (*peerpb.Response, error) {
	select {
	case a := <-x.answers:
		return a.resp, a.err
	case <-x.ctx.Done():
		return nil, eris.Wrap(x.incoming.wrap(context.Cause(x.ctx)), "receive answer from peer")
	}
}

// deliver passes an answer to the caller of next. It returns false if ctx is done first.
func (x *pendingCall) deliver(a answer) bool {
	select {
	case x.answers <- a:
		return true
	case <-x.ctx.Done():
		return false
	}
}

// retire makes later calls use a new connection; see Client.retire.
func (x *pendingCall) retire() {
	if conn := x.conn.Load(); conn != nil {
		x.client.retire(conn)
	}
}

// run sends the request and delivers the answers, up to the last one.
func (x *pendingCall) run(frame []byte) error {
	st, err := x.open()
	if err != nil {
		return err
	}
	defer st.Close()
	defer context.AfterFunc(x.ctx, func() { st.SetDeadline(pastDeadline) })()
	if err := x.ctx.Err(); err != nil {
		return err
	}
	st.call = x.call
	if err := st.sendFrame(frame); err != nil {
		return eris.Wrap(err, "send request to peer")
	}
	for {
		resp := &peerpb.Response{}
		if err := st.receive(resp, &x.incoming); err != nil {
			return eris.Wrap(x.incoming.wrap(err), "receive answer from peer")
		}
		if resp.Refusal != nil {
			return refusalFrom(resp.Refusal)
		}
		if !x.deliver(answer{resp: resp}) || isLast(resp) {
			return nil
		}
	}
}

// open opens a stream to the peer: on the connection in use, or on a new one where that one has
// ended.
func (x *pendingCall) open() (*stream, error) {
	conn, err := x.connection()
	if err != nil {
		return nil, err
	}
	if st, err := conn.OpenStream(); err == nil {
		return st, nil
	}
	// The session has ended, so an error of Close is of no use.
	_ = conn.Close()
	conn, err = x.connection()
	if err != nil {
		return nil, err
	}
	return conn.OpenStream()
}

// connection returns the connection to the peer and records it for retire.
func (x *pendingCall) connection() (*muxConn, error) {
	conn, err := x.client.connection(x.ctx, x.addr)
	if err == nil {
		x.conn.Store(conn)
	}
	return conn, err
}

// isLast reports whether an answer is the last one of its call.
func isLast(resp *peerpb.Response) bool { return resp.GetAccepted() == nil && resp.GetTold() == nil }
