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
	"topazmoor/internal/intake"
	"topazmoor/internal/mechanism"
	"topazmoor/internal/poison"
	"topazmoor/internal/region"
	"topazmoor/internal/resume"
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
	// FreeIfNearlyFull frees results that were read, but whose reader has not ended, if the target
	// that holds them is nearly full.
	FreeIfNearlyFull(service string, res stagebatch.Result)
}

// Guard keeps requests that crash targets away from the targets; *poison.Guard in production.
type Guard interface {
	// Admit returns an error if a request must not be processed, by the state of this node. The
	// error is *poison.Refused, as is that of Send.
	Admit(r poison.Request) error
	// Send returns an error if a request must not be sent now, for a run of the given duration.
	// For a request in quarantine it claims and returns the probe: the request then has a single
	// run, at the target with the least other work.
	Send(ctx context.Context, r poison.Request, lasts time.Duration) (poison.Probe, error)
	// Suspect reports whether a target ended during the request, or a part of its prompt may crash
	// targets.
	Suspect(r poison.Request) bool
	// Ended, Answered and Abandoned report the outcome of a run: it broke off at a target, the
	// target answered, or it gives no evidence. The channel of Ended reports whether the target
	// ended; the request should not be sent again before.
	Ended(r poison.Run) <-chan bool
	Answered(r poison.Request)
	Abandoned(p poison.Probe)
	// PartsAnswered reports that an answer has come so far that the parts of its prompt do not crash
	// targets.
	PartsAnswered(parts []poison.Part)
}

// Streams knows at which version of the targets' software streams began; *resume.Registry in production.
type Streams interface {
	// Begin records that a stream began at a version. end is called when the stream has ended here; complete tells
	// whether the whole answer has left.
	Begin(s resume.Stream, version string) (end func(complete bool))
	// Find returns where a stream began, or an error if that is not known.
	Find(ctx context.Context, s resume.Stream) (resume.Origin, error)
}

// Sender sends one request to a target; *httpconn.Pool in production.
type Sender interface {
	Do(ctx context.Context, addr string, r *httpconn.Request) (*httpconn.Answer, error)
}

// Observer receives the figures of every request; its methods must not block.
type Observer interface {
	RequestDone(d Done)
	// StageDone reports the end of one stage of a request at a pool.
	StageDone(service string, outcome StageOutcome, took time.Duration)
	// ResponseBegan reports that the response of an admitted request began, with the estimated and the
	// actual time until then and the objective.
	ResponseBegan(rank int, estimated, took, objective time.Duration)
	Repeated(service, why string)
}

// Done describes the end of a request.
type Done struct {
	Rank int
	// Code is empty for a response of a target; otherwise it is the reason.
	Code verdict.Code
	// Verdict is whether the request may have run.
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
	StageCanceled  StageOutcome = "left"
)

// Config holds the settings and dependencies of a Server.
type Config struct {
	// Routes returns the configuration in force, or nil before the first one.
	Routes func() *routes.Config
	// StoreUnreachable reports whether the store does not answer the node.
	StoreUnreachable func() bool
	// SuspendedTime returns how long the host has been suspended in total; Go's monotonic clock
	// does not count that time.
	SuspendedTime func() time.Duration
	// Trusted reports whether the node's data is recent enough to act on. After a suspension of
	// the host it is not, until the store has answered again.
	Trusted func() bool
	// Crowded reports whether connections of callers should end with their next response, so that new ones
	// find room; nil for never.
	Crowded func() bool
	// Current reports whether the configuration can be assumed to be the newest one: the store
	// answered recently.
	Current func() bool
	Targets *targets.Table
	Stages  Stages
	Sender  Sender
	Wire    Wire
	Guard   Guard
	Streams Streams
	// Repeats bounds repeated sends, by service.
	Repeats *flow.RepeatBudgets
	// Off holds the mechanisms that an experiment disables.
	Off mechanism.Set
	// BodyBytes is the limit of a request body if the configuration sets none.
	BodyBytes int64
	// Budget bounds the bodies of all requests, and their answers that are not delivered yet.
	Budget *intake.Budget
	// ReadTimeout bounds the reading of a body, unless the configuration's header timeout is
	// longer.
	ReadTimeout time.Duration
	Observer    Observer
	Log         *slog.Logger
}

// Server serves pass-through requests. It implements http.Handler.
type Server struct {
	cfg      Config
	inFlight atomic.Int64
	// stop is the planned stop of the process; nil while it is not stopping.
	stop   atomic.Pointer[PlannedStop]
	ending context.Context
	abort  context.CancelCauseFunc

	mu sync.Mutex
	// calls holds the requests in progress with their cancel functions.
	calls map[*call]context.CancelFunc
}

// New returns a Server.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, calls: make(map[*call]context.CancelFunc)}
	s.ending, s.abort = context.WithCancelCause(context.Background())
	return s
}

// InFlight returns the number of requests in progress.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Stop makes the server refuse requests that cannot end before the process does, and close
// connections after their responses.
func (s *Server) Stop(p PlannedStop) { s.stop.Store(&p) }

// Abort cancels all requests in progress.
func (s *Server) Abort() { s.abort(errStopping) }

var errStopping = errors.New("passthrough: the process ends")

// call is one request of a caller.
type call struct {
	s   *Server
	w   http.ResponseWriter
	r   *http.Request
	log *slog.Logger
	cfg *routes.Config
	// path is the escaped path of the request, as received.
	path    string
	route   *routes.Route
	service string
	// admitted is the set of regions in which the request might be served when it arrived.
	admitted region.Set
	account  string
	rank     int
	meta     Meta
	// body is the body of the request; nil if it has none. hold has it and the answers that are read.
	body *intake.Body
	hold *intake.Hold
	// digest identifies the request across all attempts of its caller.
	digest poison.Digest
	// parts are the parts of its prompt that other requests may share; nil without a prompt.
	parts []poison.Part
	// claimedProbe is a claimed quarantine probe under which the stages of the request run.
	claimedProbe poison.Probe
	// stageDataCentres are the preferred data centres of the stages, for estimates; see
	// expectedDataCentre.
	stageDataCentres     []string
	stageDataCentresOnce sync.Once
	arrived              time.Time
	// deadline is when the final response is due, by a clock that stops while the host is
	// suspended. suspendedBefore is the total suspension of the host when the request arrived.
	// timeLeft combines both.
	deadline        time.Time
	suspendedBefore time.Duration
	// ctx ends when the caller leaves, at the deadline, or when the process ends.
	ctx context.Context

	// version is the software version of the targets that began the stream; nil for a stream without
	// events. endStream ends the record of it at this node; nil if there is none.
	version   *string
	endStream func(complete bool)

	// tried lists the targets that the request was sent to. runs counts the sends that may have
	// run the request, sends all sends.
	tried []string
	runs  int
	sends int
	// stale counts the sends on kept-alive connections that the target had closed; unsent counts
	// the targets that could not be reached.
	stale, unsent int
	// estimated is the estimate, made at admission, of the time until the response begins.
	estimated time.Duration
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	trusted := s.cfg.Trusted()
	c := &call{s: s, w: w, r: r, arrived: time.Now(), suspendedBefore: s.cfg.SuspendedTime(), cfg: s.cfg.Routes()}
	if s.stop.Load() != nil || s.cfg.Crowded != nil && s.cfg.Crowded() {
		w.Header().Set("Connection", "close")
	}
	err := c.accept(trusted)
	defer c.release()
	if err != nil {
		c.refuse(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(s.ending, cancel)()
	c.ctx = ctx
	s.register(c, cancel)
	defer s.unregister(c)
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

// accept finds the route and the client account, and reads the body.
func (c *call) accept(trusted bool) error {
	meta, metaErr := c.s.cfg.Wire.ReadMeta(c.r.Header)
	c.meta = meta
	c.log = c.s.cfg.Log.With("request", meta.ID)
	c.limitBodyTime()
	if c.cfg == nil || !c.s.cfg.Targets.ListReceived() {
		return notRun(verdict.NotReady, "the node has no configuration yet").After(c.retryAfterUnready())
	}
	if !trusted {
		return notRun(verdict.NotReady, "the host stood still, and the node looks what has changed").After(c.retryAfterUnready())
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
	c.deadline = c.arrived.Add(c.timeout())
	if err := c.readBody(); err != nil {
		return err
	}
	c.digest = poison.DigestOf(c.account, c.r.Method, c.r.Host, c.r.RequestURI, c.bodySegments()...)
	c.parts = c.meta.Prompt.shared()
	return nil
}

// deny refuses what the configuration does not allow. If the node may lack the newest
// configuration, the refusal says that the store is unavailable instead.
func (c *call) deny(code verdict.Code, reason string) error {
	if !c.s.cfg.Current() {
		return notRun(verdict.StoreUnavailable, "%s, but the configuration of this node may be old", reason).After(c.retryAfterUnready())
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

// timeout returns how long the request may take: the route's timeout, or the caller's if that
// is shorter.
func (c *call) timeout() time.Duration {
	p := c.route.Timeout
	if c.meta.CallerTimeout > 0 && (p <= 0 || c.meta.CallerTimeout < p) {
		p = c.meta.CallerTimeout
	}
	if p <= 0 {
		p = defaultTimeout
	}
	return p
}

// defaultTimeout bounds requests on routes without a timeout whose callers name none.
const defaultTimeout = 30 * time.Second

// bodyTimeout is how long the caller may take to send the body.
func (c *call) bodyTimeout() time.Duration {
	if c.cfg == nil {
		return c.s.cfg.ReadTimeout
	}
	return max(c.s.cfg.ReadTimeout, c.cfg.Limits.HeaderTimeout)
}

// limitBodyTime bounds the time for the body, also where the request is refused before it is read: net/http reads
// some of the rest then.
func (c *call) limitBodyTime() {
	if c.r.ContentLength == 0 {
		// net/http waits for the caller to leave, which a deadline would end.
		return
	}
	// Not every writer has deadlines; those that do not need none.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(c.bodyTimeout()))
}

// readBody reads the whole body, so that it can be sent to more than one target.
func (c *call) readBody() error {
	limit := c.bodyLimit()
	if c.r.ContentLength > limit {
		c.discardBody(limit)
		return notRun(verdict.TooLarge, "the body is over %d bytes", limit)
	}
	if c.r.ContentLength == 0 {
		c.hold = c.s.cfg.Budget.NewHold(nil)
		return nil
	}
	body, err := c.s.cfg.Budget.Read(c.w, c.r, limit, c.arrived.Add(c.bodyTimeout()))
	if err != nil {
		// The rest of the body is not read.
		c.w.Header().Set("Connection", "close")
		return err
	}
	c.body, c.hold = body, body.Hold()
	return nil
}

// bodyLimit returns the size of the largest body that is read.
func (c *call) bodyLimit() int64 {
	limit := c.s.cfg.BodyBytes
	if c.cfg.Limits.BodyBytes > 0 {
		limit = c.cfg.Limits.BodyBytes
	}
	return c.s.cfg.Budget.BodyLimit(limit)
}

// bodySegments returns the content of the body.
func (c *call) bodySegments() [][]byte {
	if c.body == nil {
		return nil
	}
	return c.body.Segments()
}

// bodyLen returns the size of the body, in bytes.
func (c *call) bodyLen() int {
	if c.body == nil {
		return 0
	}
	return c.body.Len()
}

// release gives back what the request holds of the budget.
func (c *call) release() {
	if c.hold != nil {
		c.hold.Release()
	}
}

// discardTimeout bounds the reading of a refused body; a caller that is still sending sends at
// the speed of its link.
const discardTimeout = 500 * time.Millisecond

// discardBody reads up to twice the limit of a body that is too long. If a connection is
// closed with unread bytes, the kernel resets it and the caller loses the refusal.
func (c *call) discardBody(limit int64) {
	// Not every writer has deadlines; those that do not need none.
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(discardTimeout))
	if _, err := io.CopyN(io.Discard, c.r.Body, 2*limit); err != nil && err != io.EOF {
		c.log.Debug("oversized body not read to its end", "err", err)
	}
}

func notRun(code verdict.Code, format string, args ...any) *verdict.Error {
	return verdict.New(verdict.NotRun, code, format, args...)
}
