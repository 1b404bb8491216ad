package httpconn

import "io"

// Meter counts the bytes of one connection to a target. One goroutine may call Sent while another
// calls Received.
type Meter interface {
	// Sent adds bytes that were sent to the target, Received those that came from it.
	Sent(bytes int)
	Received(bytes int)
}

// SetMeter sets a function that returns the Meter of a new connection to an address, or nil for
// none. It must be called before the first request.
func (p *Pool) SetMeter(meterOf func(addr string) Meter) { p.meterOf = meterOf }

// meter returns the Meter of a new connection; nil for none.
func (p *Pool) meter(addr string) Meter {
	if p.meterOf == nil {
		return nil
	}
	return p.meterOf(addr)
}

// meteredReader counts what is read from a connection.
type meteredReader struct {
	r io.Reader
	m Meter
}

// Read implements io.Reader.
func (r meteredReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	r.m.Received(n)
	return n, err
}

// meteredWriter counts what is written to a connection.
type meteredWriter struct {
	w io.Writer
	m Meter
}

// Write implements io.Writer.
func (w meteredWriter) Write(p []byte) (int, error) {
	n, err := w.w.Write(p)
	w.m.Sent(n)
	return n, err
}
