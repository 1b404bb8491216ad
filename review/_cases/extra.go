package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
)

const (
	// makers is the number of servers of each stage service; one of them crashes.
	makers = 6
	// crashAfter is when it crashes, after it made the result of the request in question.
	crashAfter = 100 * time.Millisecond
	// steadyGap is the time between two requests of the other callers at each node, steadyTime how long these come.
	steadyGap  = 60 * time.Millisecond
	steadyTime = 6 * time.Second
	// requestAfter is when the request in question is sent, after the steady requests began.
	requestAfter = 2500 * time.Millisecond
	// spoiledShare is the share of its answers that a server may spoil.
	spoiledShare = 0.03
	// requestID is the ID of the request in question, requestPrompt its prompt.
	requestID     = "9c41d07be2a35f68"
	requestPrompt = "5c1e07a2:1200,91bd3f06:1410,e4402b7d:250"
)

// extraCase is the state of the case.
type extraCase struct {
	w       *world
	engines []*engine
	drafts  []*maker
	checks  []*maker
	crashed sync.Once
	// preferred is the engine that the prompt of the request in question goes to.
	preferred atomic.Pointer[engine]
	steady    atomic.Int64
	answered  atomic.Int64
}

// runExtra loses a result of a stage, so that an engine refuses a stream that may not be resumed, and sends that
// answer a second time.
func runExtra(rec *record, trouble bool) (result, error) {
	w, err := newWorld(rec)
	if err != nil {
		return notRun, err
	}
	defer w.end()
	x := &extraCase{w: w}
	if err := x.start(); err != nil {
		return notRun, err
	}
	if err := x.findPreferred(); err != nil {
		return notRun, err
	}
	if trouble {
		x.disrupt()
	}
	var wg sync.WaitGroup
	for i := range w.nodes[1:] {
		wg.Go(func() { x.sendSteady(w.nodes[i+1], i) })
	}
	time.Sleep(requestAfter)
	status, events, err := x.send(w.nodes[0], requestID, requestPrompt, "1,1,1")
	rec.logf("client: request %s ends with status %d, %d events, err %v", requestID, status, events, err)
	wg.Wait()
	return x.judge(status), nil
}

// start starts the servers and the nodes.
func (x *extraCase) start() error {
	w := x.w
	if err := w.putConfig(stagesConfig()); err != nil {
		return err
	}
	for i := range 2 {
		e := &engine{id: fmt.Sprintf("i-engine-%d", i+1), rec: w.rec, gone: x.gone}
		if err := e.listen(); err != nil {
			return err
		}
		w.close = append(w.close, func() { e.ln.Close() })
		x.engines = append(x.engines, e)
		w.list(e.id, "engines", e.ln.Addr().String(), 128)
	}
	var err error
	if x.drafts, err = x.addMakers("drafts"); err != nil {
		return err
	}
	if x.checks, err = x.addMakers("checks"); err != nil {
		return err
	}
	return w.addNodes(nodes)
}

func (x *extraCase) addMakers(service string) ([]*maker, error) {
	var out []*maker
	for i := range makers {
		m := &maker{id: fmt.Sprintf("i-%s-%d", service, i+1), rec: x.w.rec}
		if err := m.listen(); err != nil {
			return nil, err
		}
		x.w.close = append(x.w.close, func() { m.srv.Close() })
		x.w.list(m.id, service, m.addr, 1)
		out = append(out, m)
	}
	return out, nil
}

// list lists a server in the store.
func (w *world) list(id, service, addr string, slots int) {
	w.store.SetHost(store.Host{ID: id, Addr: addr, Pool: service, DataCentre: zone, Version: "1", Slots: slots, State: store.Live, Born: time.Now().UnixMilli()})
}

// gone reports whether a result no longer exists.
func (x *extraCase) gone(handle string) bool {
	for _, m := range append(append([]*maker(nil), x.drafts...), x.checks...) {
		if addr, _, _ := strings.Cut(handle, "/"); addr == m.addr {
			return !m.has(handle)
		}
	}
	return true
}

// findPreferred finds the engine to which the prompt of the request in question goes.
func (x *extraCase) findPreferred() error {
	const id = "9c41d07b00000000"
	status, _, err := x.send(x.w.nodes[0], id, requestPrompt, "0,0,0")
	if status != http.StatusOK {
		return fmt.Errorf("first request: status %d, %v", status, err)
	}
	for _, e := range x.engines {
		if e.runsOf(id) > 0 {
			x.preferred.Store(e)
		}
	}
	return nil
}

// disrupt arranges the faults: the server that makes the first result of the request crashes, and one engine sends its
// refusal of the request a second time.
func (x *extraCase) disrupt() {
	for _, m := range x.drafts {
		m.made = func(request string) {
			if request != requestID {
				return
			}
			x.crashed.Do(func() {
				time.AfterFunc(crashAfter, func() {
					m.crash()
					// Its entry is removed after three heartbeats.
					time.AfterFunc(3600*time.Millisecond, func() { x.w.store.RemoveHost(m.id) })
				})
			})
		}
	}
	var once atomic.Bool
	x.preferred.Load().spoils = func(id string) bool { return id == requestID && once.CompareAndSwap(false, true) }
}

// sendSteady sends the requests of other callers to a node.
func (x *extraCase) sendSteady(n *node, number int) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for end := time.Now().Add(steadyTime); time.Now().Before(end); time.Sleep(steadyGap) {
		i := x.steady.Add(1)
		wg.Go(func() {
			prompt := fmt.Sprintf("%x:300,%x:300", 0x77000000+i, 0x78000000+i)
			if i%2 == 0 {
				prompt = fmt.Sprintf("5c1e07a2:1200,91bd3f06:1410,%x:250", 0x79000000+i)
			}
			status, _, err := x.send(n, fmt.Sprintf("%08x%08x", 0xaa00+number, i), prompt, "1,0,0")
			if status == http.StatusOK && err == nil {
				x.answered.Add(1)
			}
		})
	}
}

// stagesConfig is a configuration with a route of streams that may not be resumed, with stages.
func stagesConfig() map[string]any {
	pieces := map[string]any{"slots": 1, "queue": 2, "batch": 8, "callMs": 200, "itemMs": 21, "headroomMb": 18, "handleS": 4, "linkMbps": 10000}
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "note", "host": host, "prefix": "/note/", "kind": "stream", "service": "engines",
			"timeoutMs": 8000, "sloMs": 3600, "priority": 1, "maxAttempts": 1, "resumable": false, "targetGapMs": 500,
			"stages": []any{
				map[string]any{"service": "drafts", "after": []int{}, "length": 60000},
				map[string]any{"service": "checks", "after": []int{}, "length": 8000},
				map[string]any{"service": "checks", "after": []int{1}, "length": 6000},
			},
		}},
		"services": []any{
			map[string]any{"name": "engines", "maxConnections": 600, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 280000}},
			map[string]any{"name": "drafts", "maxConnections": 600, "pieces": pieces},
			map[string]any{"name": "checks", "maxConnections": 600, "pieces": pieces},
		},
		"tenants": []any{map[string]any{"name": "bozi300", "apiKeys": []string{key}}},
	}
}

// send sends a request and reads its answer. It returns the status, 0 for none, and the number of events.
func (x *extraCase) send(n *node, id, prompt, pieces string) (status, events int, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr()+"/note/a", http.NoBody)
	if err != nil {
		return 0, 0, err
	}
	req.Host = host
	for name, value := range map[string]string{
		"Topazmoor-Request-Id": id, "Topazmoor-Request-Deadline": "8000", "Authorization": "Token " + key, "Topazmoor-Model": "m",
		"Topazmoor-Token-Counts": "900,18", "Topazmoor-Prompt-Prefix": prompt, "Topazmoor-Pieces": pieces, "Topazmoor-Piece-Key": "7c1e07a291bd",
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, strings.Count(string(body), "id: "), err
}

// judge checks that the request ran once at most, and not at all if it was refused.
func (x *extraCase) judge(status int) result {
	runs, answers, spoiled := 0, 0, 0
	for _, e := range x.engines {
		runs += e.runsOf(requestID)
		e.mu.Lock()
		answers, spoiled = max(answers, e.answers), spoiled+e.spoiled
		x.w.rec.logf("engine %s: %d answers, %d of them came a second time (at most %.0f%% may)", e.id, e.answers, e.spoiled, 100*spoiledShare)
		if float64(e.spoiled) > spoiledShare*float64(e.answers) {
			e.mu.Unlock()
			return notRun
		}
		e.mu.Unlock()
	}
	x.w.rec.logf("other requests: %d sent, %d answered; request %s, which is not idempotent: %d runs, status %d", x.steady.Load(), x.answered.Load(), requestID, runs, status)
	if runs > 1 || runs > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		return broken
	}
	return held
}
