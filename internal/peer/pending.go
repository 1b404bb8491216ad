package peer

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"topazmoor/internal/peer/peerpb"
)

// pendingCall is one request to a peer and its answers.
//
// A goroutine of its own writes and reads: a stream can hold it for seconds after its deadline,
// while the peer takes nothing more of the connection. Who asked does not wait for that.
type pendingCall struct {
	client  *Client
	ctx     context.Context
	addr    string
	answers chan answer
	// conn is the connection that is used; nil until there is one.
	conn atomic.Pointer[muxConn]
}

// answer is one answer of a peer, or why none comes any more.
type answer struct {
	resp *peerpb.Response
	err  error
}

// ask sends a request to the node at addr. The call ends with ctx, which must end.
func (c *Client) ask(ctx context.Context, addr string, req *peerpb.Request) (*pendingCall, error) {
	// What the caller gave is not read any more once it has its result.
	frame, err := encodeFrame(req)
	if err != nil {
		return nil, err
	}
	x := &pendingCall{client: c, ctx: ctx, addr: addr, answers: make(chan answer)}
	go func() {
		if err := x.run(frame); err != nil {
			x.hand(answer{err: err})
		}
	}()
	return x, nil
}

// next waits for the next answer. The error is a *verdict.Error when the peer refused, another
// error when no answer came.
func (x *pendingCall) next() (*peerpb.Response, error) {
	select {
	case a := <-x.answers:
		return a.resp, a.err
	case <-x.ctx.Done():
		return nil, eris.Wrap(x.ctx.Err(), "answer of peer")
	}
}

// hand gives an answer to who asked, and reports whether that still waits.
func (x *pendingCall) hand(a answer) bool {
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
		x.client.retire(x.addr, conn)
	}
}

// run sends the request and hands out the answers, up to the last one.
func (x *pendingCall) run(frame []byte) error {
	st, err := x.open()
	if err != nil {
		return err
	}
	defer st.Close()
	defer context.AfterFunc(x.ctx, func() { st.SetDeadline(expired) })()
	if err := x.ctx.Err(); err != nil {
		return err
	}
	if _, err := st.Write(frame); err != nil {
		return eris.Wrap(err, "send to peer")
	}
	for {
		resp := &peerpb.Response{}
		if err := readFrame(st, resp, maxFrame); err != nil {
			return eris.Wrap(err, "answer of peer")
		}
		if resp.Refusal != nil {
			return refusalFrom(resp.Refusal)
		}
		if !x.hand(answer{resp: resp}) || isLast(resp) {
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
	// Nobody is left to be told.
	_ = conn.Close()
	conn, err = x.connection()
	if err != nil {
		return nil, err
	}
	return conn.OpenStream()
}

func (x *pendingCall) connection() (*muxConn, error) {
	conn, err := x.client.connection(x.ctx, x.addr)
	if err == nil {
		x.conn.Store(conn)
	}
	return conn, err
}

// isLast reports whether a peer's answer is its last one.
func isLast(resp *peerpb.Response) bool { return resp.GetAccepted() == nil && resp.GetTold() == nil }
