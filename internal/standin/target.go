// Package standin holds small stand-ins of the outside systems: targets of
// every kind and the platform's HTTP interface, with faults that can be set.
// They serve tests, the demo and the standin command.
package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"topazmoor/internal/dispatch"
	"topazmoor/internal/fleet"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/settings"
)

// TargetFaults are the failures of a Target. The zero value is healthy.
type TargetFaults struct {
	// Refuse answers every call with 429 before starting it.
	Refuse bool `json:"refuse"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ResetBefore closes the connection before the next N calls are started.
	ResetBefore int `json:"reset_before"`
	// ResetAfter runs the next N calls and closes the connection instead of
	// answering.
	ResetAfter int `json:"reset_after"`
	// CutAnswers runs the next N calls and cuts the answer in the middle.
	CutAnswers int `json:"cut_answers"`
	// CutStreams ends the next N streams after half of their tokens.
	CutStreams int `json:"cut_streams"`
	// WrongIdentity runs the next N calls and answers them with the identity
	// and the answer of another call.
	WrongIdentity int `json:"wrong_identity"`
	// Hang runs the next N calls and never answers.
	Hang int `json:"hang"`
}

// TargetConfig describes a Target.
type TargetConfig struct {
	Kind settings.PoolKind
	// Slots is how many calls are worked on at once; others wait.
	Slots int
	// Service is the time of one call, or of one token of an engine.
	Service time.Duration
	// Models lists the models of an engine; empty accepts any.
	Models []string
	// LoadTime is the time to load models by order. HonoursFencing refuses
	// orders with an old fencing number.
	LoadTime       time.Duration
	HonoursFencing bool
	// Loaded is told when an order is done.
	Loaded func(models []string)
}

// Target is a stand-in of one target host. It implements http.Handler.
type Target struct {
	cfg   TargetConfig
	slots chan struct{}

	mu      sync.Mutex
	faults  TargetFaults
	runs    map[string]int
	inputs  map[string][]time.Time
	fencing int64
	busy    int
	waiting int
	ended   int
}

// NewTarget returns a healthy target.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: make(map[string]int), inputs: make(map[string][]time.Time)}
}

// SetFaults replaces the faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns how often the work of a request was started here, over all
// stages and attempts.
func (t *Target) Runs(request string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[request]
}

// TotalRuns returns how many calls were started.
func (t *Target) TotalRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.runs {
		n += r
	}
	return n
}

// Busy returns how many calls are being worked on.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Load is the body of a load report.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// maxTargetBody bounds the body of a call to a stand-in.
const maxTargetBody = 8 << 20

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		t.serveLoad(w)
		return
	}
	if r.URL.Path == fleet.PathOrders {
		t.order(w, r)
		return
	}
	if take(t, func(f *TargetFaults) *int { return &f.ResetBefore }) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTargetBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	identity := r.Header.Get(dispatch.IdentityHeader)
	mixedUp := take(t, func(f *TargetFaults) *int { return &f.WrongIdentity })
	if mixedUp {
		identity = "another" + identity
	}
	w.Header().Set(dispatch.IdentityHeader, identity)
	if t.current().Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, `{"error":"overloaded"}`, http.StatusTooManyRequests)
		return
	}
	if !t.enter(r) {
		return
	}
	defer t.leave()
	t.run(w, r, body, mixedUp)
}

func (t *Target) run(w http.ResponseWriter, r *http.Request, body []byte, mixedUp bool) {
	t.started(r.Header.Get(dispatch.RequestIDHeader), body)
	if mixedUp {
		body = bytes.ReplaceAll(body, []byte(`"input":"`), []byte(`"input":"another `))
	}
	if take(t, func(f *TargetFaults) *int { return &f.Hang }) {
		<-r.Context().Done()
		return
	}
	if t.cfg.Kind == settings.Generate {
		t.generate(w, r, body)
		return
	}
	if !t.work(r, 1) {
		return
	}
	t.answer(w, t.result(body))
}

func (t *Target) current() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// take uses up one of a counted fault.
func take(t *Target, field func(*TargetFaults) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := field(&t.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (t *Target) enter(r *http.Request) bool {
	t.mu.Lock()
	t.waiting++
	t.mu.Unlock()
	ok := true
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		ok = false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	if ok {
		t.busy++
	}
	return ok
}

func (t *Target) leave() {
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.ended++
}

func (t *Target) started(request string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[request]++
	var call pipeline.ServiceRequest
	if t.cfg.Kind == settings.Service && json.Unmarshal(body, &call) == nil {
		t.inputs[string(call.Input)] = append(t.inputs[string(call.Input)], time.Now())
	}
}

// Starts returns when calls of a service with this input, a JSON value, were
// started here.
func (t *Target) Starts(input string) []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inputs[input]
}

// work spends the time of n units; it reports false when the caller left.
func (t *Target) work(r *http.Request, n int) bool {
	factor := t.current().SlowFactor
	if factor == 0 {
		factor = 1
	}
	timer := time.NewTimer(time.Duration(float64(t.cfg.Service) * factor * float64(n)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (t *Target) answer(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	if take(t, func(f *TargetFaults) *int { return &f.ResetAfter }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if take(t, func(f *TargetFaults) *int { return &f.CutAnswers }) {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		write(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	write(w, body)
}

// write ignores errors: a caller that left is noticed by the context.
func write(w io.Writer, b []byte) {
	_, _ = w.Write(b)
}

// order takes an order to hold other models; they are loaded in the background.
func (t *Target) order(w http.ResponseWriter, r *http.Request) {
	var o fleet.EngineOrder
	if err := json.NewDecoder(io.LimitReader(r.Body, maxTargetBody)).Decode(&o); err != nil {
		http.Error(w, `{"error":"bad body"}`, http.StatusBadRequest)
		return
	}
	t.mu.Lock()
	old := o.Fencing < t.fencing
	t.fencing = max(t.fencing, o.Fencing)
	t.mu.Unlock()
	if old && t.cfg.HonoursFencing {
		http.Error(w, `{"error":"old fencing number"}`, http.StatusConflict)
		return
	}
	time.AfterFunc(t.cfg.LoadTime, func() { t.cfg.Loaded(o.Models) })
	write(w, []byte("{}"))
}

func (t *Target) serveLoad(w http.ResponseWriter) {
	t.mu.Lock()
	l := Load{Running: t.busy, Waiting: t.waiting}
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// result computes a deterministic answer from the call, so that tests can tell
// whose answer they got.
func (t *Target) result(body []byte) any {
	switch t.cfg.Kind {
	case settings.Encode:
		var req pipeline.EncodeRequest
		_ = json.Unmarshal(body, &req)
		return pipeline.EncodeResponse{Data: []pipeline.Embedding{{Embedding: []float64{float64(len(req.Input)), 1}}}}
	case settings.Retrieve:
		var req pipeline.RetrieveRequest
		_ = json.Unmarshal(body, &req)
		return pipeline.RetrieveResponse{Documents: documents(req)}
	case settings.Rerank:
		var req pipeline.RerankRequest
		_ = json.Unmarshal(body, &req)
		return ranking(req)
	}
	var req pipeline.ServiceRequest
	_ = json.Unmarshal(body, &req)
	return map[string]json.RawMessage{"confirmed": req.Input}
}

func documents(req pipeline.RetrieveRequest) []string {
	docs := make([]string, max(req.TopK, 1))
	for i := range docs {
		docs[i] = fmt.Sprintf("document %d for %s", i, req.Query)
	}
	return docs
}

func ranking(req pipeline.RerankRequest) pipeline.RerankResponse {
	var out pipeline.RerankResponse
	n := len(req.Documents)
	if req.TopN > 0 {
		n = min(n, req.TopN)
	}
	for i := range n {
		out.Results = append(out.Results, pipeline.RerankResult{Index: i, RelevanceScore: 1 / float64(i+1)})
	}
	return out
}

// TokenText is the text of token i of a generation for this prompt; equal on
// every engine, so that a resumed stream can be checked.
func TokenText(prompt string, i int) string {
	words := strings.Fields(prompt)
	if len(words) == 0 {
		return fmt.Sprintf("t%d ", i)
	}
	return fmt.Sprintf("%s-%d ", words[i%len(words)], i)
}

func (t *Target) generate(w http.ResponseWriter, r *http.Request, body []byte) {
	var req pipeline.GenerateRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, `{"error":"bad body"}`, http.StatusBadRequest)
		return
	}
	last := req.MaxTokens
	cut := take(t, func(f *TargetFaults) *int { return &f.CutStreams })
	if cut {
		last = (len(req.Resume) + req.MaxTokens) / 2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := len(req.Resume); i < last; i++ {
		if !t.work(r, 1) {
			return
		}
		event, err := json.Marshal(map[string]any{
			"choices": []any{map[string]any{"text": TokenText(req.Prompt, i), "token_index": i}},
		})
		if err != nil {
			panic(err)
		}
		write(w, []byte("data: "+string(event)+"\n\n"))
		_ = flush.Flush()
	}
	if cut {
		panic(http.ErrAbortHandler)
	}
	write(w, []byte("data: [DONE]\n\n"))
}
