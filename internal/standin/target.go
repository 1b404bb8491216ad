// Package standin has stand-ins for the systems that a node depends on: targets
// of every kind with adjustable faults, and a store whose connection can fail.
// Tests, the demo and the standin command use them.
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

// TargetFaults are the faults that a Target shows. The zero value has none.
type TargetFaults struct {
	// Refuse answers every call with status 429 and does not start it.
	Refuse bool `json:"refuse"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// ResetBefore closes the connection before the next N calls are started.
	ResetBefore int `json:"reset_before"`
	// ResetAfter runs the next N calls and closes the connection instead of
	// answering.
	ResetAfter int `json:"reset_after"`
	// CutAnswers runs the next N calls and closes the connection after half of
	// the bytes of the answer.
	CutAnswers int `json:"cut_answers"`
	// CutStreams ends the next N streams after half of their tokens.
	CutStreams int `json:"cut_streams"`
	// WrongIdentity runs the next N calls and answers each with a changed
	// identity and, for bodies with a string as input, the answer to a changed
	// input, as if it were the answer to another call.
	WrongIdentity int `json:"wrong_identity"`
	// Hang starts the next N calls and never answers them: each occupies its
	// slot until its caller cancels it.
	Hang int `json:"hang"`
}

// TargetConfig describes a Target.
type TargetConfig struct {
	Kind settings.PoolKind
	// Slots limits the calls that run at the same time; others wait.
	Slots int
	// Service is the service time of one call, or of one token of an engine.
	Service time.Duration
	// Models lists the models of an engine. Target does not check calls against
	// it.
	Models []string
	// LoadTime is the time from an order to load models until OnLoaded is called.
	// With HonoursFencing, the target refuses an order whose fencing number is
	// lower than one it received before.
	LoadTime       time.Duration
	HonoursFencing bool
	// OnLoaded is called with the models of an order once they are loaded.
	OnLoaded func(models []string)
}

// Target is a stand-in of one target host. It implements http.Handler.
type Target struct {
	cfg   TargetConfig
	slots chan struct{}

	mu         sync.Mutex
	faults     TargetFaults
	runs       map[string]int
	startTimes map[string][]time.Time
	fencing    int64
	busy       int
	waiting    int
	ended      int
}

// NewTarget returns a target without faults.
func NewTarget(cfg TargetConfig) *Target {
	return &Target{cfg: cfg, slots: make(chan struct{}, cfg.Slots), runs: make(map[string]int), startTimes: make(map[string][]time.Time)}
}

// SetFaults replaces all faults and their counts.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// Runs returns the number of calls that this target started for a request, over
// all stages and attempts.
func (t *Target) Runs(request string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[request]
}

// TotalRuns returns the number of calls started, over all requests.
func (t *Target) TotalRuns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.runs {
		n += r
	}
	return n
}

// Busy returns the number of calls that occupy a slot.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Load is the body of the answer to /v1/load: the calls that occupy a slot and
// those that wait for one.
type Load struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// maxTargetBody limits the body of a call or an order, in bytes. The rest of a
// longer body is not read.
const maxTargetBody = 8 << 20

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		t.serveLoad(w)
		return
	}
	if r.URL.Path == fleet.PathOrders {
		t.handleOrder(w, r)
		return
	}
	if consumeFault(t, func(f *TargetFaults) *int { return &f.ResetBefore }) {
		panic(http.ErrAbortHandler)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTargetBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	identity := r.Header.Get(dispatch.IdentityHeader)
	wrongIdentity := consumeFault(t, func(f *TargetFaults) *int { return &f.WrongIdentity })
	if wrongIdentity {
		identity = "another" + identity
	}
	w.Header().Set(dispatch.IdentityHeader, identity)
	if t.currentFaults().Refuse {
		w.Header().Set("Retry-After", "1")
		http.Error(w, `{"error":"overloaded"}`, http.StatusTooManyRequests)
		return
	}
	if !t.acquireSlot(r) {
		return
	}
	defer t.releaseSlot()
	t.runCall(w, r, body, wrongIdentity)
}

func (t *Target) runCall(w http.ResponseWriter, r *http.Request, body []byte, wrongIdentity bool) {
	t.recordStart(r.Header.Get(dispatch.RequestIDHeader), body)
	if wrongIdentity {
		body = bytes.ReplaceAll(body, []byte(`"input":"`), []byte(`"input":"another `))
	}
	if consumeFault(t, func(f *TargetFaults) *int { return &f.Hang }) {
		<-r.Context().Done()
		return
	}
	if t.cfg.Kind == settings.Generate {
		t.generate(w, r, body)
		return
	}
	if !t.simulateWork(r, 1) {
		return
	}
	t.writeAnswer(w, t.result(body))
}

func (t *Target) currentFaults() TargetFaults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// consumeFault reports whether the count of a fault is above 0, and lowers it by
// one.
func consumeFault(t *Target, field func(*TargetFaults) *int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := field(&t.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (t *Target) acquireSlot(r *http.Request) bool {
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

func (t *Target) releaseSlot() {
	<-t.slots
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.ended++
}

func (t *Target) recordStart(request string, body []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs[request]++
	var call pipeline.ServiceRequest
	if t.cfg.Kind == settings.Service && json.Unmarshal(body, &call) == nil {
		t.startTimes[string(call.Input)] = append(t.startTimes[string(call.Input)], time.Now())
	}
}

// StartTimes returns the start times of calls with this input, a JSON value. It is
// empty for targets that are not of kind Service.
func (t *Target) StartTimes(input string) []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.startTimes[input]
}

// simulateWork waits for the service time of n calls or tokens. It returns false
// if the caller cancelled the call before.
func (t *Target) simulateWork(r *http.Request, n int) bool {
	factor := t.currentFaults().SlowFactor
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

func (t *Target) writeAnswer(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	if consumeFault(t, func(f *TargetFaults) *int { return &f.ResetAfter }) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if consumeFault(t, func(f *TargetFaults) *int { return &f.CutAnswers }) {
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		write(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	write(w, body)
}

// write ignores errors: the context of the request reports a caller that
// disconnected.
func write(w io.Writer, b []byte) {
	_, _ = w.Write(b)
}

// handleOrder accepts an order to load other models and loads them in the
// background.
func (t *Target) handleOrder(w http.ResponseWriter, r *http.Request) {
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
	time.AfterFunc(t.cfg.LoadTime, func() { t.cfg.OnLoaded(o.Models) })
	write(w, []byte("{}"))
}

func (t *Target) serveLoad(w http.ResponseWriter) {
	t.mu.Lock()
	l := Load{Running: t.busy, Waiting: t.waiting}
	t.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l)
}

// result computes the answer from the body of the call alone, so that tests can
// check that an answer belongs to its call.
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

// TokenText returns the text of token i, counted from 0, of a generation for this
// prompt. It is the same on every engine, so that tests can check a stream that
// was resumed on another engine.
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
	cut := consumeFault(t, func(f *TargetFaults) *int { return &f.CutStreams })
	if cut {
		last = (len(req.Resume) + req.MaxTokens) / 2
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for i := len(req.Resume); i < last; i++ {
		if !t.simulateWork(r, 1) {
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
