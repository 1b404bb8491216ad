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
	"golang.org/x/net/netutil"

	"topazmoor/internal/settings"
)

// The names of a node's servers.
const (
	callerServer  = "caller"
	adminServer   = "admin"
	observeServer = "observe"
	peerServer    = "peer"
)

const (
	// sideConnections bounds the connections of the admin and observe servers.
	sideConnections = 128
	// idleTimeout closes connections without a request.
	idleTimeout = 60 * time.Second
	// maxHeaderBytes bounds the header of one request.
	maxHeaderBytes = 16 << 10
)

// server is one HTTP listener of a node. It implements suture.Service.
type server struct {
	name     string
	listener net.Listener
	http     *http.Server
	cancel   context.CancelCauseFunc
}

func newServer(name string, l settings.Listener, h http.Handler, conns int, readTimeout time.Duration, listen func(string) (net.Listener, error)) (*server, error) {
	cfg, err := l.TLS.Config()
	if err != nil {
		return nil, eris.Wrapf(err, "listen.%s.tls", name)
	}
	ln, err := listen(l.Addr)
	if err != nil {
		return nil, eris.Wrapf(err, "listen.%s.addr", name)
	}
	ln = netutil.LimitListener(ln, conns)
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
	return &server{name: name, listener: ln, http: srv, cancel: cancel}, nil
}

// Serve implements suture.Service.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { s.close() })
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) || ctx.Err() != nil {
		return suture.ErrDoNotRestart
	}
	return err
}

// close ends everything at once.
func (s *server) close() {
	s.cancel(nil)
	s.http.Close()
	s.listener.Close()
}
