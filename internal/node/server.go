package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/thejerf/suture/v4"

	"topazmoor/internal/intake"
	"topazmoor/internal/settings"
	"topazmoor/internal/sockets"
)

// The names of a node's servers.
const (
	callerServer  = "caller"
	adminServer   = "admin"
	observeServer = "observe"
	peerServer    = "peer"
)

const (
	// maxAuxConnections is the maximum number of connections of the admin server,
	// and of the observe server.
	maxAuxConnections = 128
	// idleTimeout is how long a keep-alive connection may be idle between requests.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes is the maximum size of a request's header.
	maxHeaderBytes = 16 << 10
	// backlog is the number of connections that wait to be accepted.
	backlog = 1024
)

// server is one HTTP server of a node with its listener. It implements
// suture.Service.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	conns    *intake.Conns
	// cancel cancels the contexts of all requests.
	cancel context.CancelCauseFunc
}

func newServer(name string, l settings.Listener, h http.Handler, conns *intake.Conns, most int, readTimeout time.Duration, listen func(string) (net.Listener, error)) (*server, error) {
	cfg, err := l.TLS.Config()
	if err != nil {
		return nil, eris.Wrapf(err, "listen.%s.tls", name)
	}
	ln, err := listen(l.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen.%s.addr", name)
	}
	if err := sockets.BoundBacklog(ln, intake.KernelBuffer, backlog); err != nil {
		return nil, err
	}
	ln = conns.Listener(ln, most)
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	conns.Attach(srv)
	return &server{name: name, listener: ln, http: srv, conns: conns, cancel: cancel}, nil
}

// Serve implements suture.Service.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.close() })
	defer stop()
	sweep, end := context.WithCancel(ctx)
	defer end()
	go func() { _ = s.conns.Serve(sweep) }()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// close stops the server without waiting for requests: it cancels them, and closes the listener and
// all connections.
func (s *server) close() {
	s.cancel(nil)
	s.http.Close()
	s.listener.Close()
}
