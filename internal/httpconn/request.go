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
)

// Request is one message to a target.
type Request struct {
	// ID is the request's ID, by which its answer is known.
	ID string
	// Method, Target (path and query) and Host are sent as they are.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// Fresh asks for a new connection: if it ends, the target ended, or ended it, after the
	// request was sent.
	Fresh bool
	// May, when set, is asked just before the first byte is written, after the connection was
	// got, which may take a while. Where it reports false nothing is sent.
	May func() bool
}

// Answer is an answer whose head was read. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	// Length is the body's length; -1 when the answer does not tell.
	Length int64
	// Body ends with io.EOF only if the answer is complete.
	Body io.ReadCloser
}

// Error is a request without an answer.
type Error struct {
	// Sent is false when no byte was handed to the target: it cannot have run.
	Sent bool
	// Reused is set when the connection had been kept from an earlier request: the
	// target may have closed it just before.
	Reused bool
	// Refused is set when the target's host answered that nobody listens.
	Refused bool
	// Withheld is set when May kept the request back.
	Withheld bool
	cause    error
}

// Error implements error.
func (e *Error) Error() string { return "httpconn: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

const (
	// maxStray is the most answers to other requests that are skipped.
	maxStray = 2
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 64 << 10
	// syncBody is the largest body that is written before the answer is
	// awaited; it fits the socket buffers.
	syncBody = 16 << 10
)

// Do sends a request to addr and reads the head of its answer. It fails with
// *Error. The connection closes when ctx ends.
func (p *Pool) Do(ctx context.Context, addr string, r *Request) (*Answer, error) {
	c, err := p.get(ctx, addr, r.Fresh)
	if err != nil {
		return nil, &Error{cause: eris.Wrap(err, "connect"), Refused: refused(err)}
	}
	if r.May != nil && !r.May() {
		p.unused(c)
		return nil, &Error{Withheld: true, cause: errWithheld}
	}
	x := &exchange{p: p, c: c, r: r}
	x.stop = context.AfterFunc(ctx, func() { c.Close() })
	resp, err := x.run()
	if err != nil {
		x.end(false)
		if c.used {
			// The others were kept as long: their target has closed them, or ended.
			p.Forget(addr)
		}
		return nil, &Error{Sent: true, Reused: c.used, cause: err}
	}
	return &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength, Body: &body{x: x, resp: resp}}, nil
}

var errWithheld = eris.New("withheld before its first byte")

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
	ended   atomic.Bool
}

func (x *exchange) run() (*http.Response, error) {
	if len(x.r.Body) <= syncBody {
		if err := x.write(); err != nil {
			return nil, err
		}
	} else {
		// A target may answer before it has read a long body.
		go func() {
			if x.write() != nil {
				x.c.Close()
			}
		}()
	}
	return x.read()
}

// write sends the whole request.
func (x *exchange) write() error {
	w := x.c.bw
	for _, s := range []string{x.r.Method, " ", x.r.Target, " HTTP/1.1\r\nHost: ", x.r.Host, "\r\n"} {
		// A bufio.Writer keeps its first error for Flush.
		_, _ = w.WriteString(s)
	}
	_ = x.r.Header.Write(w)
	if len(x.r.Body) > 0 || x.r.Method == http.MethodPost || x.r.Method == http.MethodPut || x.r.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(x.r.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(x.r.Body)
	if err := w.Flush(); err != nil {
		return eris.Wrap(err, "send")
	}
	x.written.Store(true)
	return nil
}

// read returns the head of the answer that belongs to the request.
func (x *exchange) read() (*http.Response, error) {
	asked := &http.Request{Method: x.r.Method}
	for stray := 0; ; {
		resp, err := http.ReadResponse(x.c.br, asked)
		if err != nil {
			return nil, eris.Wrap(err, "read answer")
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if x.p.cfg.Belongs(resp.Header, x.r.ID) {
			return resp, nil
		}
		if stray++; stray > maxStray || resp.Close || resp.ContentLength < 0 || resp.ContentLength > maxStrayBytes {
			return nil, eris.New("the answer belongs to another request")
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, eris.Wrap(err, "read the answer to another request")
		}
	}
}

// end gives the connection back, or closes it.
func (x *exchange) end(reusable bool) {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	// A context that ended closes the connection even if the answer is whole.
	if !x.stop() || !reusable {
		x.c.Close()
		return
	}
	x.p.keep(x.c)
}

// body reads an answer's body and ends the exchange with it.
type body struct {
	x    *exchange
	resp *http.Response
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.resp.Body.Read(p)
	if err == io.EOF {
		b.x.end(b.reusable())
	}
	return n, err
}

// reusable reports whether the connection may carry another request, and sets
// until when.
func (b *body) reusable() bool {
	if b.resp.Close || !b.x.written.Load() || b.x.c.br.Buffered() > 0 {
		return false
	}
	keep := b.x.p.cfg.IdleTimeout
	if told, ok := keepAlive(b.resp.Header); ok {
		keep = min(keep, told-keepMargin)
	}
	b.x.c.until = time.Now().Add(keep)
	return keep > 0
}

// Close implements io.Closer. An answer that was not read to its end takes its
// connection with it.
func (b *body) Close() error {
	b.x.end(false)
	return nil
}

// keepMargin is how long before the target's idle timeout a connection is no
// longer used; timers of both ends and one way through the network.
const keepMargin = 500 * time.Millisecond
