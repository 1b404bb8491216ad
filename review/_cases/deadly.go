package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// deadlyEngines is the number of engines; each is back backAfter after a crash.
	deadlyEngines = 8
	backAfter     = 2 * time.Second
	// readTime is how long an engine reads a prompt, after the head of its answer.
	readTime = 280 * time.Millisecond
	// deadlyPart is the part of prompts under which engines crash.
	deadlyPart = "bad0"
	// soundGap is the time between two sound requests at each node, deadlyGap that between two with the bad part.
	soundGap  = 22 * time.Millisecond
	deadlyGap = 700 * time.Millisecond
	// deadlyAfter is when the requests with the bad part begin to come, deadlyTime how long all requests come.
	deadlyAfter = 4 * time.Second
	deadlyTime  = 30 * time.Second
	// maxLater is how many requests with the part may reach servers later than stable after the fifth crash.
	fifthCrash = 5
	maxLater   = 3
)

// deadlyEngine is a model server that crashes as it begins to write an answer on a bad part.
type deadlyEngine struct {
	x        *deadlyCase
	id, addr string

	mu   sync.Mutex
	ln   net.Listener
	open map[net.Conn]bool
}

// deadlyCase is the state of the case.
type deadlyCase struct {
	w       *world
	engines []*deadlyEngine

	mu sync.Mutex
	// reached is when requests with the bad part reached engines, crashes when engines crashed.
	reached, crashes []time.Time
	sent, answered   atomic.Int64
	refused          atomic.Int64
}

func (e *deadlyEngine) start() error {
	addr := e.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.ln, e.addr, e.open = ln, ln.Addr().String(), make(map[net.Conn]bool)
	e.mu.Unlock()
	e.x.w.list(e.id, "engines", e.addr, 128)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.open[c] = true
			e.mu.Unlock()
			go e.serve(c)
		}
	}()
	return nil
}

// crash ends the process: its connections are reset, and nobody listens until it is back.
func (e *deadlyEngine) crash() {
	e.mu.Lock()
	if e.ln == nil {
		e.mu.Unlock()
		return
	}
	e.ln.Close()
	e.ln = nil
	for c := range e.open {
		resetConn(c)
	}
	e.mu.Unlock()
	e.x.mu.Lock()
	e.x.crashes = append(e.x.crashes, time.Now())
	n := len(e.x.crashes)
	e.x.mu.Unlock()
	e.x.w.rec.logf("engine %s crashes under a request with the part %s, the %d. crash", e.id, deadlyPart, n)
	time.AfterFunc(backAfter, func() {
		if err := e.start(); err != nil {
			e.x.w.rec.logf("engine %s not started again: %v", e.id, err)
		}
	})
}

func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// It may be closed.
		_ = t.SetLinger(0)
	}
	c.Close()
}

func (e *deadlyEngine) stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ln != nil {
		e.ln.Close()
	}
}

func (e *deadlyEngine) serve(c net.Conn) {
	defer func() {
		e.mu.Lock()
		delete(e.open, c)
		e.mu.Unlock()
		c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = req.Body.Close()
		if err := e.answer(c, req); err != nil {
			return
		}
	}
}

func (e *deadlyEngine) answer(c net.Conn, req *http.Request) error {
	id := req.Header.Get("Topazmoor-Request-Id")
	if want := req.Header.Get("Topazmoor-Expected-Instance"); want != "" && want != e.id {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err
	}
	bad := strings.Contains(req.Header.Get("Topazmoor-Prompt-Prefix"), deadlyPart+":")
	if bad {
		e.x.mu.Lock()
		e.x.reached = append(e.x.reached, time.Now())
		e.x.mu.Unlock()
		e.x.w.rec.logf("engine %s: request %s with the part %s arrives", e.id, id, deadlyPart)
	}
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Server-Signature: by.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	time.Sleep(readTime)
	for n := 1; n <= engineEvents && err == nil; n++ {
		time.Sleep(engineEventTime)
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		if bad && crashBeforeEvent {
			e.crash()
			return net.ErrClosed
		}
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
		if bad {
			time.Sleep(5 * time.Millisecond)
			e.crash()
			return net.ErrClosed
		}
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}
	return err
}

// crashBeforeEvent makes engines crash before they have written anything but the head.
var crashBeforeEvent = false

// runDeadly sends requests with a part under which engines crash beside sound requests.
func runDeadly(rec *record, trouble bool) (result, error) {
	w, err := newWorld(rec)
	if err != nil {
		return notRun, err
	}
	defer w.end()
	config := streamConfig()
	route := config["routes"].([]any)[0].(map[string]any)
	route["resumable"], route["maxAttempts"], route["timeoutMs"] = false, 1, 8000
	if err := w.putConfig(config); err != nil {
		return notRun, err
	}
	x := &deadlyCase{w: w}
	for i := range deadlyEngines {
		e := &deadlyEngine{x: x, id: fmt.Sprintf("i-%d", i+1)}
		if err := e.start(); err != nil {
			return notRun, err
		}
		w.close = append(w.close, e.stop)
		x.engines = append(x.engines, e)
	}
	if err := w.addNodes(nodes); err != nil {
		return notRun, err
	}
	var wg sync.WaitGroup
	end := time.Now().Add(deadlyTime)
	for i, n := range w.nodes {
		wg.Go(func() { x.sendSound(n, i, end) })
	}
	if trouble {
		time.Sleep(deadlyAfter)
		wg.Go(func() { x.sendDeadly(end) })
	}
	wg.Wait()
	return x.judge(), nil
}

func (x *deadlyCase) sendSound(n *node, number int, end time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			x.sent.Add(1)
			switch x.send(n, fmt.Sprintf("50%02x%012x", number, i), fmt.Sprintf("5c1e07a2:400,d%d:300,%x:200", i%24, 0x1000000*(number+1)+i)) {
			case http.StatusOK:
				x.answered.Add(1)
			case http.StatusServiceUnavailable:
				x.refused.Add(1)
			}
		})
		time.Sleep(soundGap)
	}
}

func (x *deadlyCase) sendDeadly(end time.Time) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; time.Now().Before(end); i++ {
		wg.Go(func() {
			id := fmt.Sprintf("bad%013x", i)
			status := x.send(x.w.nodes[i%len(x.w.nodes)], id, fmt.Sprintf("5c1e07a2:400,%s:300,%x:200", deadlyPart, 0x9000000+i))
			x.w.rec.logf("client: request %s with the part %s ends with status %d", id, deadlyPart, status)
		})
		time.Sleep(deadlyGap)
	}
}

// send sends a request and reads its answer. It returns the status, 0 if there is no complete answer.
func (x *deadlyCase) send(n *node, id, prompt string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr()+"/plan/a", http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = host
	for name, value := range map[string]string{
		"Topazmoor-Request-Id": id, "Topazmoor-Request-Deadline": "8000", "Authorization": "Token " + key, "Topazmoor-Model": "m",
		"Topazmoor-Token-Counts": "900,18", "Topazmoor-Prompt-Prefix": prompt,
	} {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

func (x *deadlyCase) judge() result {
	x.mu.Lock()
	defer x.mu.Unlock()
	later := 0
	if len(x.crashes) >= fifthCrash {
		for _, at := range x.reached {
			if at.After(x.crashes[fifthCrash-1].Add(stable)) {
				later++
			}
		}
	}
	x.w.rec.logf("%d sound requests sent, %d answered, %d refused", x.sent.Load(), x.answered.Load(), x.refused.Load())
	x.w.rec.logf("%d requests with the part reached engines, %d crashes, %d requests later than %v after the fifth (at most %d may)", len(x.reached), len(x.crashes), later, stable, maxLater)
	if later > maxLater {
		return broken
	}
	return held
}
