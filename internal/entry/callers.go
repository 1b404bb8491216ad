package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"

	"topazmoor/internal/intake"
	"topazmoor/internal/overload"
	"topazmoor/internal/routes"
)

const (
	// defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout apply unless a configuration
	// sets other values.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
	// headSlack is what a head may be over its limit, in bytes, as with http.Server.MaxHeaderBytes.
	headSlack = 4 << 10
	// maxOpenHeaderBytes is up to which size the heads on open connections may grow when a configuration raises
	// its limit.
	maxOpenHeaderBytes = 64 << 10
	// readyHeaderBytes and readyWriteTimeout bound the requests of the balancer and of those who read metrics.
	readyHeaderBytes  = 8 << 10
	readyWriteTimeout = 10 * time.Second
	// idleSlack is added to the idle timeout: callers use connections up to the end of it.
	idleSlack = 2 * time.Second
	// callerBacklog is the number of connections that wait to be accepted. It covers a second's new connections of a
	// node to which a balancer hands most of them.
	callerBacklog = 1024
	// acceptRetry is the pause after a connection could not be accepted.
	acceptRetry = 20 * time.Millisecond
)

// callerServer accepts the connections of callers. When the configuration changes its limits, the limit on heads holds
// for the next request of each connection, up to maxOpenHeaderBytes; the timeouts hold for new connections, and open
// connections keep theirs. It implements suture.Service.
type callerServer struct {
	ln      net.Listener
	handler http.Handler
	gate    *overload.Gate
	conns   *intake.Conns
	log     *slog.Logger

	mu     sync.Mutex
	limits routes.Limits
	// current gets the new connections. all has its server and the earlier ones, which serve those that
	// they have.
	all     []*http.Server
	current *connListener
	closed  bool
}

func newCallerServer(ln net.Listener, h http.Handler, gate *overload.Gate, conns *intake.Conns, log *slog.Logger) *callerServer {
	c := &callerServer{ln: ln, handler: h, gate: gate, conns: conns, log: log}
	c.replaceServer(routes.Limits{})
	return c
}

// setLimits replaces the HTTP server if the limits changed.
func (c *callerServer) setLimits(l routes.Limits) {
	c.mu.Lock()
	same := l == c.limits
	c.mu.Unlock()
	if !same {
		c.replaceServer(l)
	}
}

// replaceServer starts an HTTP server with the given limits; it gets all new connections.
func (c *callerServer) replaceServer(l routes.Limits) {
	srv := &http.Server{
		Handler: http.HandlerFunc(c.checkHead), MaxHeaderBytes: max(maxOpenHeaderBytes, int(l.HeaderBytes)),
		ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		ErrorLog:  slog.NewLogLogger(c.log.Handler(), slog.LevelDebug),
		ConnState: c.connStateChanged,
	}
	c.conns.Attach(srv)
	if l.HeaderTimeout > 0 {
		srv.ReadHeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		srv.IdleTimeout = l.IdleTimeout + idleSlack
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	callerConns := &connListener{addr: c.ln.Addr(), conns: make(chan net.Conn), done: make(chan struct{})}
	c.limits = l
	c.current = callerConns
	c.all = append(c.all, srv)
	go func() {
		if err := srv.Serve(callerConns); !errors.Is(err, http.ErrServerClosed) {
			c.log.Error("http server for callers failed", "err", err)
		}
	}()
}

// checkHead passes a request on, unless its head is over the limit in force.
func (c *callerServer) checkHead(w http.ResponseWriter, r *http.Request) {
	if headBytes(r) <= c.headLimit() {
		c.handler.ServeHTTP(w, r)
		return
	}
	// The body is not read.
	w.Header().Set("Connection", "close")
	http.Error(w, http.StatusText(http.StatusRequestHeaderFieldsTooLarge), http.StatusRequestHeaderFieldsTooLarge)
}

// headLimit returns the largest head of a request, in bytes.
func (c *callerServer) headLimit() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits.HeaderBytes > 0 {
		return c.limits.HeaderBytes + headSlack
	}
	return defaultHeaderBytes + headSlack
}

// headBytes returns the size of a request's head as it is sent, without superfluous white space.
func headBytes(r *http.Request) int64 {
	n := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(": \r\n") + len(value)
		}
	}
	return int64(n)
}

// connStateChanged implements http.Server.ConnState.
func (c *callerServer) connStateChanged(_ net.Conn, s http.ConnState) {
	if s == http.StateClosed || s == http.StateHijacked {
		c.gate.Leave()
	}
}

// Serve implements suture.Service: it accepts connections.
func (c *callerServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { c.ln.Close() })
	defer stop()
	for {
		conn, err := c.ln.Accept()
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			if err == nil {
				// Otherwise the caller would wait for a response without end.
				conn.Close()
			}
			return suture.ErrDoNotRestart
		}
		if err != nil {
			// Such as a lack of descriptors: the connection waits in the kernel.
			c.log.Warn("connection not accepted", "err", err)
			if !sleep(ctx, acceptRetry) {
				return suture.ErrDoNotRestart
			}
			continue
		}
		if !c.gate.Enter() {
			// Nothing was read, so that the caller tries again at another node.
			conn.Close()
			continue
		}
		if conn = c.conns.Add(conn); !c.handOver(ctx, conn) {
			c.gate.Leave()
			conn.Close()
		}
	}
}

// handOver gives a connection to the current HTTP server. It returns false if that was shut down after the
// connection was accepted.
func (c *callerServer) handOver(ctx context.Context, conn net.Conn) bool {
	c.mu.Lock()
	current := c.current
	c.mu.Unlock()
	select {
	case current.conns <- conn:
		return true
	case <-current.done:
	case <-ctx.Done():
	}
	return false
}

// shutdown closes idle connections and waits for the requests in progress.
func (c *callerServer) shutdown(ctx context.Context) error {
	c.ln.Close()
	c.mu.Lock()
	c.closed = true
	all := c.all
	c.mu.Unlock()
	errs := make([]error, len(all))
	var wg sync.WaitGroup
	for i, s := range all {
		wg.Go(func() { errs[i] = s.Shutdown(ctx) })
	}
	wg.Wait()
	return errors.Join(errs...)
}

// close closes the listener and all connections at once.
func (c *callerServer) close() {
	c.ln.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, s := range c.all {
		s.Close()
	}
}

// connListener is a listener whose connections were accepted by another one.
type connListener struct {
	addr  net.Addr
	conns chan net.Conn
	once  sync.Once
	done  chan struct{}
}

// Accept implements net.Listener.
func (f *connListener) Accept() (net.Conn, error) {
	select {
	case c := <-f.conns:
		return c, nil
	case <-f.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (f *connListener) Close() error {
	f.once.Do(func() { close(f.done) })
	return nil
}

// Addr implements net.Listener.
func (f *connListener) Addr() net.Addr { return f.addr }
