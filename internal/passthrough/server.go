package passthrough

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/flow"
	"topazmoor/internal/httpconn"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/poison"
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
	"topazmoor/internal/targets"
	"topazmoor/internal/verdict"
)

// Stages produces the results of stages; *stagebatch.Router in production.
type Stages interface {
	Produce(ctx context.Context, o stagebatch.Order) (stagebatch.Result, error)
	Estimate(service string, w stagebatch.Work) time.Duration
	Free(service string, res stagebatch.Result)
	// FreeIfTight gives up results that were read, but whose reader has not ended, where
	// their room is needed.
	FreeIfTight(service string, res stagebatch.Result)
}

// Guard keeps requests that crash targets away from them; *poison.Guard in production.
type Guard interface {
	// Admit reports whether a request may be worked on, by what this node knows. Its error
	// is *poison.Refused, as is that of Send.
	Admit(d poison.Digest) error
	// Send asks whether a request may be sent now, and run for a time; a probe must be sent
	// alone.
	Send(ctx context.Context, d poison.Digest, lasts time.Duration) (probe string, err error)
	// Suspect reports whether a target ended under the request.
	Suspect(d poison.Digest) bool
	// Ended, Answered and Abandoned tell how a run came out: it broke off at a target, the
	// target answered, or nothing is known of it. The request should not be sent again before
	// the channel of Ended has told whether the target ended.
	Ended(r poison.Run) <-chan bool
	Answered(d poison.Digest)
	Abandoned(d poison.Digest, probe string)
}

// Sender sends one request to a target; *httpconn.Pool in production.
type Sender interface {
	Do(ctx context.Context, addr string, r *httpconn.Request) (*httpconn.Answer, error)
}

// Observer is told about every request; it must not block.
type Observer interface {
	RequestDone(d Done)
	// StageDone notes the end of one stage of a request at a pool.
	StageDone(service string, outcome StageOutcome, took time.Duration)
	// Began notes that the answer of a request that was admitted began: how long that
	// was thought to take, how long it took, and within what time it should have.
	Began(rank int, estimated, took, objective time.Duration)
	Repeated(service, why string)
}

// Done is the end of a request.
type Done struct {
	Rank int
	// Code is empty for an answer of a target; it is the reason otherwise.
	Code verdict.Code
	// Verdict says whether the request may have run.
	Verdict verdict.Verdict
	Took    time.Duration
}

// StageOutcome is how a stage of a request ended.
type StageOutcome string

// The outcomes of stages.
const (
	StageProduced  StageOutcome = "produced"
	StageLate      StageOutcome = "late"
	StageInputGone StageOutcome = "input_gone"
	StageFailed    StageOutcome = "failed"
	StageLeft      StageOutcome = "left"
)

// Config is what a Server is built from.
type Config struct {
	// Routes returns the configuration in force, or nil before the first.
	Routes func() *routes.Config
	// StoreAway reports whether the store does not answer the node.
	StoreAway func() bool
	// Slept is for how long the host has been suspended so far; Go's time does not count it.
	Slept func() time.Duration
	// Trusted reports whether what the node knows may be acted on; not after the host stood
	// still, until it was heard of again.
	Trusted func() bool
	// Current reports whether the configuration can be trusted to be the newest
	// one: the store was heard lately.
	Current func() bool
	Targets *targets.Table
	Stages  Stages
	Sender  Sender
	Wire    Wire
	Guard   Guard
	// Repeats bounds requests that are sent again, by service.
	Repeats *flow.RepeatBudgets
	// Off are the mechanisms that an experiment switches off.
	Off mechanism.Set
	// BodyBytes bounds a body when the configuration does not.
	BodyBytes int64
	// ReadTimeout bounds the reading of a body when the configuration does not.
	ReadTimeout time.Duration
	Observer    Observer
	Log         *slog.Logger
}

// Server serves pass-through requests. It implements http.Handler.
type Server struct {
	cfg      Config
	inFlight atomic.Int64
	// endsAt is when the process ends, in Unix nanoseconds; 0 while it is not
	// stopping.
	endsAt atomic.Int64
	ending context.Context
	cut    context.CancelCauseFunc

	mu sync.Mutex
	// calls are the requests in work.
	calls map[*call]context.CancelFunc
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, calls: make(map[*call]context.CancelFunc)}
	s.ending, s.cut = context.WithCancelCause(context.Background())
	return s
}

// InFlight returns the number of requests that are being worked on.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop makes the server refuse requests that cannot end before the process
// does, and close connections after their answers.
func (s *Server) Stop(endsAt time.Time) { s.endsAt.Store(endsAt.UnixNano()) }

// Cut ends all requests in flight.
func (s *Server) Cut() { s.cut(errStopping) }

var errStopping = errors.New("passthrough: the process ends")

// stopping returns when the process ends; zero while it is not stopping.
func (s *Server) stopping() time.Time {
	n := s.endsAt.Load()
	if n == 0 {
		return time.Time{}
	}
	return time.Unix(0, n)
}

// call is one request of a caller.
type call struct {
	s   *Server
	w   http.ResponseWriter
	r   *http.Request
	log *slog.Logger
	cfg *routes.Config
	// path is the path of the request, as it is on the wire.
	path    string
	route   *routes.Route
	service string
	// admitted are the regions in which the request might be served when it came.
	admitted region.Set
	account  string
	rank     int
	meta     Meta
	body     []byte
	// digest names the request among all attempts of its caller.
	digest poison.Digest
	// held is a claimed probe that the stages of the request run under; "" for none.
	held    string
	arrived time.Time
	// deadline is when the final answer is due by a clock that stands while the host is
	// suspended; slept is for how long it had been when the request came. timeLeft has both.
	deadline time.Time
	slept    time.Duration
	// ctx ends when the caller leaves, at the deadline, or when the process ends.
	ctx context.Context

	// tried lists the targets that were sent the request; runs counts those
	// that may have run it, sends all that were handed it.
	tried []string
	runs  int
	sends int
	// stale counts the sends on kept connections that had been closed, unsent the targets that
	// were found gone.
	stale, unsent int
	// estimated is the time until the answer would begin, as it was admitted.
	estimated time.Duration
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	trusted := s.cfg.Trusted()
	c := &call{s: s, w: w, r: r, arrived: time.Now(), slept: s.cfg.Slept(), cfg: s.cfg.Routes()}
	if !s.stopping().IsZero() {
		w.Header().Set("Connection", "close")
	}
	if err := c.accept(trusted); err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	c.ctx = ctx
	s.begin(c, cancel)
	defer s.end(c)
	if err := c.admit(); err != nil {
		c.refuse(err)
		return
	}
	if c.route.Kind == routes.Stream {
		c.serveStream()
		return
	}
	c.servePlain()
}

// accept finds the route and the account, and reads the message.
func (c *call) accept(trusted bool) error {
	meta, metaErr := c.s.cfg.Wire.ReadMeta(c.r.Header)
	c.meta = meta
	c.log = c.s.cfg.Log.With("request", meta.ID)
	if c.cfg == nil || !c.s.cfg.Targets.Seen() {
		return notRun(verdict.NotReady, "the node has no configuration yet").After(c.comeBackUnready())
	}
	if !trusted {
		return notRun(verdict.NotReady, "the host stood still, and the node looks what has changed").After(c.comeBackUnready())
	}
	if metaErr != nil {
		return notRun(verdict.InvalidRequest, "%v", metaErr)
	}
	u, err := url.ParseRequestURI(c.r.RequestURI)
	if err != nil {
		return notRun(verdict.InvalidRequest, "the path cannot be read")
	}
	c.path = u.EscapedPath()
	c.route = c.cfg.Match(c.r.Host, c.path)
	if c.route == nil {
		return c.deny(verdict.NotFound, "no route of this host begins the path")
	}
	if err := c.authenticate(); err != nil {
		return err
	}
	if err := c.checkRegions(); err != nil {
		return err
	}
	c.service = c.route.Choose(rand.Float64())
	c.deadline = c.arrived.Add(c.patience())
	if err := c.readBody(); err != nil {
		return err
	}
	c.digest = poison.DigestOf(c.account, c.r.Method, c.r.Host, c.r.RequestURI, c.body)
	return nil
}

// deny refuses what the configuration does not allow. A node that may have
// missed the newest configuration does not know.
func (c *call) deny(code verdict.Code, reason string) error {
	if !c.s.cfg.Current() {
		return notRun(verdict.StoreUnavailable, "%s, but the configuration of this node may be old", reason).After(c.comeBackUnready())
	}
	return notRun(code, "%s", reason)
}

func (c *call) authenticate() error {
	account := c.cfg.Account(c.meta.Credential)
	c.rank = c.cfg.Rank(c.route, account)
	if account == nil {
		if c.cfg.NeedsKey(c.route) {
			return c.deny(verdict.Unauthenticated, "the key belongs to no client account")
		}
		return nil
	}
	c.account = account.Name
	return nil
}

// patience is how long the request is worked on: the route's timeout, or less
// where the caller waits for less.
func (c *call) patience() time.Duration {
	p := c.route.Timeout
	if c.meta.Patience > 0 && (p <= 0 || c.meta.Patience < p) {
		p = c.meta.Patience
	}
	if p <= 0 {
		p = defaultPatience
	}
	return p
}

// defaultPatience bounds requests on routes without a timeout whose callers do
// not say how long they wait.
const defaultPatience = 30 * time.Second

// readBody reads the whole message, so that it can be sent to another target.
func (c *call) readBody() error {
	limit, timeout := c.s.cfg.BodyBytes, c.s.cfg.ReadTimeout
	if c.cfg.Limits.BodyBytes > 0 {
		limit = c.cfg.Limits.BodyBytes
	}
	if c.cfg.Limits.HeaderTimeout > 0 {
		timeout = max(timeout, c.cfg.Limits.HeaderTimeout)
	}
	if c.r.ContentLength > limit {
		c.skipBody(limit)
		return notRun(verdict.TooLarge, "the body is over %d bytes", limit)
	}
	if c.r.ContentLength == 0 {
		return nil
	}
	conn := http.NewResponseController(c.w)
	// Not every writer has deadlines; those that do not need none.
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return notRun(verdict.TooLarge, "the body is over %d bytes", limit)
	}
	if err != nil {
		return notRun(verdict.BodyTimeout, "the body could not be read within %v", timeout)
	}
	_ = conn.SetReadDeadline(time.Time{})
	c.body = body
	return nil
}

// skipTime bounds the reading of a body that is refused; a caller that still sends it
// does so at the speed of its link.
const skipTime = 500 * time.Millisecond

// skipBody reads off a body that is too long, up to twice the limit. A connection that is
// closed while bytes on it are unread is reset, and the refusal is lost with it.
func (c *call) skipBody(limit int64) {
	// Not every writer has deadlines; those that do not need none.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(skipTime))
	if _, err := io.CopyN(io.Discard, c.r.Body, 2*limit); err != nil && err != io.EOF {
		c.log.Debug("body that is too long not read off", "err", err)
	}
}

func notRun(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}
