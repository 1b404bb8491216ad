package httpanswer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"
)

// Options configure a Transport.
type Options struct {
	// Dial opens connections; nil for that of a net.Dialer.
	Dial Dial
	// MaxIdle is the maximum number of idle connections per host; 0 for that of net/http.
	MaxIdle int
	// IdleTimeout is how long an idle connection may be reused; 0 for no limit.
	IdleTimeout time.Duration
	// NoKeepAlive makes each connection carry one request.
	NoKeepAlive bool
	// TLS configures connections of https; nil for the defaults.
	TLS *tls.Config
}

// Transport is an http.RoundTripper that returns well-formed answers only, and whose bodies end with io.EOF only if they
// are complete. It speaks HTTP/1 and passes bodies on as they are.
type Transport struct {
	base *http.Transport
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	base := &http.Transport{
		MaxIdleConnsPerHost: o.MaxIdle, IdleConnTimeout: o.IdleTimeout, DisableKeepAlives: o.NoKeepAlive, TLSClientConfig: o.TLS,
		DisableCompression: true, MaxResponseHeaderBytes: MaxHeadBytes, Protocols: new(http.Protocols),
	}
	base.Protocols.SetHTTP1(true)
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = limited(Over(o.Dial))
	return &Transport{base: base}
}

// headConn is a connection whose heads are bounded.
type headConn struct {
	net.Conn
	head *HeadLimiter
}

// limited returns a Dial whose connections are headConns over those of dial.
func limited(dial Dial) Dial {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn, head: NewHeadLimiter(conn)}, nil
	}
}

// NetConn returns the connection that c wraps.
func (c *headConn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn.
func (c *headConn) Read(p []byte) (int, error) { return c.head.Read(p) }

// headOf is the head that the answer to one request has on its connection.
type headOf struct{ conn atomic.Pointer[headConn] }

// trace returns a context in which net/http tells on which connection it reads the answer. Those of TLS are not bounded: what they read
// is no head.
func (h *headOf) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*headConn); ok {
				c.head.Begin(nil)
				h.conn.Store(c)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			if c := h.conn.Load(); c != nil {
				c.head.Next()
			}
			return nil
		},
	})
}

// end ends the bound: what follows is a body.
func (h *headOf) end() {
	if c := h.conn.Load(); c != nil {
		c.head.Pause()
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	head := &headOf{}
	resp, err := t.base.RoundTrip(req.WithContext(head.trace(req.Context())))
	if err != nil {
		return nil, err
	}
	head.end()
	resp.Request = req
	if err := Check(resp); err != nil {
		// The body is not read to its end, so that its connection is closed.
		resp.Body.Close()
		return nil, err
	}
	resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp}
	return resp, nil
}

// CloseIdleConnections closes idle connections; http.Client calls it.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedBody is the body of an answer, whose trailer is checked at its end.
type checkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = End(b.resp)
	}
	return n, err
}
