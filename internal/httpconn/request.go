package httpconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/httpanswer"
)

// Request is one HTTP request to a target.
type Request struct {
	// ID identifies the request, if it has one; an answer with another one does not belong to it (see Config.AnswerID). An answer
	// that names none counts as belonging, unless earlier ones on its connection named theirs.
	ID string
	// Method, Target (path and query) and Host are sent unchanged.
	Method, Target, Host string
	Header               http.Header
	// Body is the body, in one or more segments.
	Body [][]byte
	// NewConn requires a new connection. If a new connection closes, the target closed it or
	// terminated after it was opened; it can't be an idle connection that had timed out.
	NewConn bool
	// Room, if set, is called to reserve bytes for a head of the answer that is large, and reports whether there is room for them.
	Room func(bytes int64) bool
	// ShouldSend, if set, is called after a connection was obtained, which may take a while, and
	// before the first byte is written. If it returns false, nothing is sent.
	ShouldSend func() bool
}

// bodyLen returns the size of the body, in bytes.
func (r *Request) bodyLen() int {
	n := 0
	for _, segment := range r.Body {
		n += len(segment)
	}
	return n
}

// Answer is a target's answer, of which the status and the header were read. The caller must
// close Body.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length; -1 if the answer does not state it.
	Length int64
	// Framed reports that the answer has a length or chunks. The end of one that has neither is the end of
	// its connection, which does not show whether it is complete.
	Framed bool
	// Named reports that the answer names the request that it belongs to.
	Named bool
	// Earlier is the number of requests that its connection had carried before this one.
	Earlier int
	// Body returns io.EOF only at the end of a complete answer.
	Body io.ReadCloser

	body *body
}

// Certain reports whether the answer can only be that to this request. One that names no request may be the late
// answer to an earlier one on its connection.
func (a *Answer) Certain() bool { return a.Named || a.Earlier == 0 }

// HoldConn keeps the connection out of the pool until Body is closed, so that the caller can look at the whole answer
// first. It must be called before Body is read.
func (a *Answer) HoldConn() { a.body.held = true }

// DropConn makes Body.Close close the held connection: the answer may belong to another request.
func (a *Answer) DropConn() { a.body.complete = false }

// Error reports a request that got no answer.
type Error struct {
	// Sent is false only if no byte of the request was written: the target cannot have run
	// it. It is true whenever sending began.
	Sent bool
	// Reused is set if the connection had carried an earlier request: the target may
	// have closed it as idle just before this one was sent.
	Reused bool
	// Refused is set if connecting failed with a *net.OpError that is neither a timeout
	// nor a cancellation, such as a refused connection: the target's host answered that no
	// process listens at the address.
	Refused bool
	// Withheld is set if the request was not sent because Request.ShouldSend returned false.
	Withheld bool
	// Earlier is the number of requests that the connection had carried before one that was sent.
	Earlier int
	cause   error
}

// Error implements error.
func (e *Error) Error() string { return "httpconn: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

const (
	// maxStray is the maximum number of answers to other requests that are skipped
	// while waiting for one answer.
	maxStray = 2
	// maxStrayBytes bounds the body of a skipped answer, in bytes.
	maxStrayBytes = 64 << 10
	// maxSyncBody is the largest body, in bytes, that is written before the answer is
	// read. It fits the socket buffers; larger bodies are written concurrently.
	maxSyncBody = 16 << 10
)

// Do sends a request to addr and reads the status and the header of its answer. Its errors
// are of type *Error. If ctx ends before the answer was read completely, the connection is
// closed.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Answer, error) {
	c, err := p.get(ctx, addr, r)
	if err != nil {
		return nil, &Error{cause: eris.Wrap(err, "connect"), Refused: refused(err)}
	}
	if r.ShouldSend != nil && !r.ShouldSend() {
		p.release(c)
		return nil, &Error{Withheld: true, cause: errWithheld}
	}
	x := &exchange{p: p, c: c, r: r}
	earlier := c.carried.requests
	c.carried.add(keyOf(r.ID))
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	resp, err := x.run()
	if err != nil {
		x.end(false)
		if c.used {
			// The target may have closed its other idle connections too, or terminated.
			p.CloseIdle(addr)
		}
		return nil, &Error{Sent: true, Reused: c.used, Earlier: earlier, cause: err}
	}
	b := &body{x: x, resp: resp, named: p.cfg.AnswerID(resp.Header) != ""}
	return &Answer{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Framed: httpanswer.Framed(resp),
		Named:  b.named, Earlier: earlier, Body: b, body: b,
	}, nil
}

var errUnnamed = eris.New("the answer does not name the request that it belongs to, as earlier ones did")

var errWithheld = eris.New("withheld before its first byte")

// refused reports whether connecting failed with a *net.OpError other than a timeout
// or a cancellation.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout() && !errors.Is(err, context.Canceled)
}

// exchange is one request and its answer on a connection.
type exchange struct {
	p    *Pool
	c    *conn
	r    *Request
	stop func() bool
	// written is set once the whole request was written.
	written atomic.Bool
	// ended is set once the connection was returned to the pool or closed.
	ended atomic.Bool
}

// run sends the request and returns the answer with its header read.
func (x *exchange) run() (*http.Response, error) {
	if x.r.bodyLen() <= maxSyncBody {
		if err := x.write(); err != nil {
			return nil, err
		}
	} else {
		// A target may answer before it has read a long body. If the write fails, the target may have sent a
		// complete answer before, so that the read decides.
		go func() { _ = x.write() }()
	}
	return x.read()
}

// write sends the whole request.
func (x *exchange) write() error {
	w := x.c.bw
	for _, s := range []string{x.r.Method, " ", x.r.Target, " HTTP/1.1\r\nHost: ", x.r.Host, "\r\n"} {
		// After an error a bufio.Writer ignores further writes, and Flush returns the error.
		_, _ = w.WriteString(s)
	}
	_ = x.r.Header.Write(w)
	length := x.r.bodyLen()
	if length > 0 || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	for _, segment := range x.r.Body {
		_, _ = w.Write(segment)
	}
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "send")
	}
	x.written.Store(true)
	return nil
}

// read returns the answer to the request, with its header read. It skips 1xx answers and
// a few short answers to other requests. A target that sends more than httpanswer.MaxHeadBytes of heads,
// or a malformed one, has given no answer.
func (x *exchange) read() (*http.Response, error) {
	req := &http.Request{Method: x.r.Method}
	x.c.head.Begin(x.r.Room)
	for stray := 0; ; {
		resp, err := httpanswer.Read(x.c.br, req)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			x.c.head.Next()
			continue
		}
		x.c.head.Pause()
		id := x.p.cfg.AnswerID(resp.Header)
		switch {
		case id == "" && x.r.ID != "" && x.c.named:
			return nil, errUnnamed
		case id == "":
			return resp, nil
		case id == x.r.ID:
			x.c.named = true
			return resp, nil
		}
		x.p.strays.Add(1)
		if stray++; stray > maxStray || resp.Close || resp.ContentLength < 0 || resp.ContentLength > maxStrayBytes {
			return nil, eris.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, eris.Wrap(err, "read the answer to another request")
		}
		x.c.head.Resume()
	}
}

// end returns the connection to the pool, or closes it. Only the first call has an effect.
func (x *exchange) end(reusable bool) {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	// If stop reports false, the context ended first and the connection is being closed,
	// even if the answer is complete.
	if !x.stop() || !reusable {
		x.c.Close()
		return
	}
	x.p.putIdle(x.c)
}

// body is an answer's body. Reading it to its end or closing it ends the exchange; if the connection is held, only
// closing it does.
type body struct {
	x    *exchange
	resp *http.Response
	// named is set if the answer names its request.
	named bool
	held  bool
	// complete is set once a held body was read to its end.
	complete bool
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		err = httpanswer.End(b.resp)
	}
	switch {
	case err == io.EOF && b.held:
		b.complete = true
	case err == io.EOF:
		b.x.end(b.reusable())
	}
	return n, err
}

// reusable reports whether the connection may carry another request, and sets the
// time at which it expires. A late copy of an answer that names no request could be taken for that to the next one;
// who holds the connection judges that by the content.
func (b *body) reusable() bool {
	if !b.named && !b.held && b.x.r.ID != "" || b.x.c.carried.full() {
		return false
	}
	if b.resp.Close || !b.x.written.Load() || b.x.c.br.Buffered() > 0 {
		return false
	}
	reuseFor := b.x.p.cfg.IdleTimeout
	if advertised, ok := keepAlive(b.resp.Header); ok {
		reuseFor = min(reuseFor, advertised-idleMargin)
	}
	b.x.c.expires = time.Now().Add(reuseFor)
	return reuseFor > 0
}

// Close implements io.Closer. If the answer was not read to its end, its
// connection is closed.
func (b *body) Close() error {
	b.x.end(b.complete && b.reusable())
	return nil
}

// idleMargin is how long before the target's idle timeout a connection is no longer
// reused. It covers timer inaccuracy at both ends and the one-way network delay.
const idleMargin = 500 * time.Millisecond
