package sockets

import "net"

// Wrapper is a connection around another one, as a *tls.Conn is.
type Wrapper interface {
	// NetConn returns the connection inside.
	NetConn() net.Conn
}

// As returns the outermost of a connection and those inside it that is a T.
func As[T any](conn net.Conn) (T, bool) {
	for {
		if t, ok := conn.(T); ok {
			return t, true
		}
		w, ok := conn.(Wrapper)
		if !ok {
			var none T
			return none, false
		}
		conn = w.NetConn()
	}
}
