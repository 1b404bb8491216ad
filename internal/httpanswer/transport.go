package httpanswer

import (
	"crypto/tls"
	"io"
	"net"
	"net/http"
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
	base.DialContext = Over(o.Dial)
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
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
