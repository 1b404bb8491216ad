package frontdoor

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/catalog"
	"topazmoor/internal/dispatch"
	"topazmoor/internal/intake"
	"topazmoor/internal/ledger"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/settings"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// echoTarget answers every call with its input.
type echoTarget struct{}

func (echoTarget) Do(_ context.Context, call dispatch.Call) ([]byte, error) { return call.Body, nil }

func (echoTarget) Stream(context.Context, dispatch.Call, int, dispatch.Stall, func(dispatch.Token) error) error {
	return errors.New("not used")
}

type discardObserver struct{}

func (discardObserver) RequestDone(string, string, catalog.Class, verdict.Code, time.Duration, bool) {
}
func (discardObserver) StageCall(string, string, time.Duration, error) {}
func (discardObserver) Wasted(string, string, time.Duration)           {}

func newServer(t testing.TB, requests int) *Server {
	t.Helper()
	pools := []settings.Pool{{Name: "svc", Kind: settings.Service, Path: "/v1/call"}}
	cfg, err := catalog.New(pools).Apply(1, testItems())
	if err != nil {
		t.Fatal(err)
	}
	sched := scheduler.New(scheduler.DefaultConfig("dc", 1))
	sched.SetHosts([]store.Host{{ID: "t", Pool: "svc", Slots: 4, State: store.Live}}, func(string) bool { return false })
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	tickets := ledger.NewTicketIssuer([]byte("secret"), "n", "10.0.0.1:1", "i", time.Minute, func() string { return "nonce" })
	ticketBook := ledger.NewTicketRegistry(tickets)
	router := ledger.NewRouter("n", tickets, ticketBook, ledger.NewTableRegistry(store.NewMemory(), time.Millisecond, log), ledger.NoPeers{})
	id := 0
	return New(Config{
		Node: "n", Catalog: func() *catalog.Compiled { return cfg },
		Runner: pipeline.NewRunner(sched, echoTarget{}, pools, discardObserver{}, log),
		Ledger: router, IssueTicket: router.Issue,
		NewID: func() string { id++; return "r" + strings.Repeat("i", id) }, Share: func() float64 { return 1 },
		Budget: intake.NewBudget(0), BodyBytes: 1 << 10, Requests: requests, ReadTimeout: time.Second, Observer: discardObserver{}, Log: log,
	})
}

func testItems() []catalog.Item {
	account := func(name, token, extra string) catalog.Item {
		return catalog.Item{Kind: catalog.AccountItem, Name: name, Value: []byte(`{"name":"` + name + `","tokens_sha256":["` + hashOf(token) + `"],` + extra +
			`"pipelines":[{"name":"once","template":"t","parameters":{"again":false}},{"name":"again","template":"t","parameters":{"again":true}}]}`)}
	}
	return []catalog.Item{
		{Kind: catalog.TemplateItem, Name: "t", Value: []byte(`{"name":"t","parameters":[{"name":"again","type":"bool"}],
			"pipeline":{"class":"standard","deadline":"2s","idempotent":"${again}","stages":[{"name":"s","pool":"svc"}]}}`)},
		account("a", "token-a", ""),
		account("b", "token-b", ""),
		account("slow", "token-slow", `"rate_per_second":1,`),
	}
}

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func post(s *Server, path, token, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if token != "" {
		r.Header.Set("Authorization", "Bearer "+token)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

func problemOf(c *qt.C, w *httptest.ResponseRecorder) Problem {
	var p Problem
	c.Assert(w.Header().Get("Content-Type"), qt.Equals, "application/problem+json")
	c.Assert(json.Unmarshal(w.Body.Bytes(), &p), qt.IsNil)
	c.Assert(p.Status, qt.Equals, w.Code)
	return p
}

func TestBadInputGetsAClearRefusal(t *testing.T) {
	tests := []struct {
		name, path, token, body string
		headers                 []string
		status                  int
		code                    verdict.Code
		detail                  string
	}{
		{"no token", "/v1/pipelines/once", "", `{}`, nil, 401, verdict.Unauthenticated, "send the account's token"},
		{"wrong token", "/v1/pipelines/once", "x", `{}`, nil, 401, verdict.Unauthenticated, "belongs to no client account"},
		{"unknown pipeline", "/v1/pipelines/none", "token-a", `{}`, nil, 404, verdict.UnknownPipeline, `no pipeline "none"`},
		{"unknown path", "/v2/x", "token-a", `{}`, nil, 404, verdict.NotFound, "not part of the caller API"},
		{"malformed JSON", "/v1/pipelines/once", "token-a", `{`, nil, 400, verdict.InvalidRequest, "not JSON"},
		{"no input", "/v1/pipelines/once", "token-a", `{}`, nil, 400, verdict.InvalidRequest, "input: is missing"},
		{"unknown field", "/v1/pipelines/once", "token-a", `{"input":1,"colour":2}`, nil, 400, verdict.InvalidRequest, "colour: is not a known field"},
		{"body over the limit", "/v1/pipelines/once", "token-a", `{"input":"` + strings.Repeat("x", 2000) + `"}`, nil, 413, verdict.TooLarge, "over 1024 bytes"},
		{"bad deadline", "/v1/pipelines/once", "token-a", `{"input":1}`, []string{HeaderDeadline, "soon"}, 400, verdict.InvalidRequest, `"soon" is not a duration`},
		{"bad class", "/v1/pipelines/once", "token-a", `{"input":1,"class":"vip"}`, nil, 400, verdict.InvalidRequest, "not a priority class"},
		{"long key", "/v1/pipelines/once", "token-a", `{"input":1}`, []string{HeaderKey, strings.Repeat("k", 300)}, 400, verdict.InvalidRequest, "over 255 bytes"},
		{"ticket of another account", "/v1/pipelines/once", "token-b", `{"input":1}`, []string{HeaderKey, "tk1.bg.i.nonce.zzzzzz.forged"}, 400, verdict.InvalidRequest, "not one of this account"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := problemOf(c, post(newServer(t, 8), tt.path, tt.token, tt.body, tt.headers...))
			c.Assert(p.Status, qt.Equals, tt.status)
			c.Assert(p.Code, qt.Equals, tt.code)
			c.Assert(p.Detail, qt.Contains, tt.detail)
			c.Assert(p.AttemptVerdict, qt.Equals, "not_run")
		})
	}
}

func TestAccountsDoNotShareKeys(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, 8)
	a := post(s, "/v1/pipelines/once", "token-a", `{"input":"secret of a"}`, HeaderKey, "k")
	c.Assert(a.Code, qt.Equals, 200)
	b := post(s, "/v1/pipelines/once", "token-b", `{"input":"of b"}`, HeaderKey, "k")
	c.Assert(b.Code, qt.Equals, 200)
	c.Assert(b.Body.String(), qt.Not(qt.Contains), "secret of a")
	ticket := s.cfg.IssueTicket("a")
	c.Assert(post(s, "/v1/pipelines/once", "token-a", `{"input":"x"}`, HeaderKey, ticket).Code, qt.Equals, 200)
	p := problemOf(c, post(s, "/v1/pipelines/once", "token-b", `{"input":"x"}`, HeaderKey, ticket))
	c.Assert(p.Code, qt.Equals, verdict.InvalidRequest)
}

func TestLookupShowsOnlyTheOwnKey(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, 8)
	post(s, "/v1/pipelines/once", "token-a", `{"input":"x"}`, HeaderKey, "k")
	s.work.Wait()
	state := func(token string) string {
		r := httptest.NewRequest(http.MethodGet, "/v1/requests/k", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		s.ServeHTTP(w, r)
		var st KeyStatus
		c.Assert(json.Unmarshal(w.Body.Bytes(), &st), qt.IsNil)
		return st.State
	}
	c.Assert(state("token-a"), qt.Equals, "finished")
	c.Assert(state("token-b"), qt.Equals, "unknown")
}

func TestRepeatIsReplayed(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, 8)
	first := post(s, "/v1/pipelines/once", "token-a", `{"input":"x"}`, HeaderKey, "k")
	s.work.Wait()
	again := post(s, "/v1/pipelines/once", "token-a", `{"input":"x"}`, HeaderKey, "k")
	c.Assert(again.Body.String(), qt.Equals, first.Body.String())
	c.Assert(again.Header().Get(HeaderReplayed), qt.Equals, "true")
}

func TestRateLimitSaysWhenToComeBack(t *testing.T) {
	c := qt.New(t)
	s := newServer(t, 8)
	c.Assert(post(s, "/v1/pipelines/again", "token-slow", `{"input":1}`).Code, qt.Equals, 200)
	w := post(s, "/v1/pipelines/again", "token-slow", `{"input":1}`)
	p := problemOf(c, w)
	c.Assert(p.Code, qt.Equals, verdict.RateLimited)
	c.Assert(p.Verdict, qt.Equals, "not_run")
	c.Assert(w.Header().Get("Retry-After"), qt.Equals, "1")
	// With a key the request may have run elsewhere, so that the verdict is not not_run.
	keyed := problemOf(c, post(s, "/v1/pipelines/once", "token-slow", `{"input":1}`, HeaderKey, "k"))
	c.Assert(keyed.Verdict, qt.Equals, "may_have_run")
	c.Assert(keyed.AttemptVerdict, qt.Equals, "not_run")
}

func TestNodeLimitRefuses(t *testing.T) {
	c := qt.New(t)
	p := problemOf(c, post(newServer(t, 0), "/v1/pipelines/again", "token-a", `{"input":1}`))
	c.Assert(p.Code, qt.Equals, verdict.Overloaded)
	c.Assert(p.RetryAfterMS > 0, qt.IsTrue)
}

// TestExampleProblemIsCurrent compares the refusal in the documentation with an actual
// one.
func TestExampleProblemIsCurrent(t *testing.T) {
	c := qt.New(t)
	want, err := os.ReadFile("../../docs/examples/problem.json")
	c.Assert(err, qt.IsNil)
	w := post(newServer(t, 8), "/v1/pipelines/none", "token-a", `{}`)
	c.Assert(w.Body.String(), qt.JSONEquals, json.RawMessage(want))
}

func FuzzParseRun(f *testing.F) {
	f.Add([]byte(`{"input":"x","stream":true,"deadline":"1s","class":"batch"}`), "2s")
	plan := &catalog.Plan{Class: catalog.Standard, Deadline: time.Second}
	s := newServer(f, 8)
	f.Fuzz(func(t *testing.T, body []byte, deadline string) {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set(HeaderDeadline, deadline)
		call, err := s.parseRun(r, body, plan)
		if err != nil {
			if verdict.Of(err) != verdict.NotRun {
				t.Fatalf("a parse error has verdict %v", verdict.Of(err))
			}
			return
		}
		if call.deadline > plan.Deadline || call.class < plan.Class || len(call.input) == 0 {
			t.Fatalf("accepted %+v", call)
		}
	})
}
