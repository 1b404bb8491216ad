package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"topazmoor/platform/standin"
)

const (
	// streams is the number of callers, streamEvents the number of events of each stream, one each eventTime.
	streams      = 16
	streamEvents = 70
	eventTime    = 100 * time.Millisecond
	// callerTimeout is how long a caller waits for its stream, over all its tries.
	callerTimeout = 20 * time.Second
	// callerTries bounds the tries of a caller, and retryPause the time between two.
	callerTries = 4
	retryPause  = 200 * time.Millisecond
	// leaveAfter is when the servers of the old version leave, troubleAfter when the nodes are killed, both after
	// the streams began.
	leaveAfter   = time.Second
	troubleAfter = 2500 * time.Millisecond
	// slowFactor and slowTime are how much slower the store is, and for how long.
	slowFactor = 50
	slowTime   = 4500 * time.Millisecond
	// downTime is how long the processes are down.
	downTime = 500 * time.Millisecond
	// maxMixed is the number of streams that may hold events of two versions.
	maxMixed = 2
	nodes    = 3
)

// runVersions replaces the servers of version 1 by those of version 2, and kills all nodes while the store is slow.
func runVersions(rec *record, trouble bool) (result, error) {
	w, err := newWorld(rec)
	if err != nil {
		return notRun, err
	}
	defer w.end()
	if err := w.putConfig(streamConfig()); err != nil {
		return notRun, err
	}
	for _, s := range []struct{ id, version string }{{"i-old-1", "1"}, {"i-old-2", "1"}, {"i-new-1", "2"}, {"i-new-2", "2"}} {
		if err := w.addServer("engines", 128, &standin.Server{ID: s.id, Version: s.version, Stamped: true, Events: streamEvents, Work: eventTime}); err != nil {
			return notRun, err
		}
	}
	if err := w.addNodes(nodes); err != nil {
		return notRun, err
	}
	// The nodes know both versions, and the row of the versions is written.
	time.Sleep(2 * time.Second)
	callers := make([]*streamCaller, streams)
	var wg sync.WaitGroup
	for i := range callers {
		callers[i] = &streamCaller{w: w, number: i, deadline: time.Now().Add(callerTimeout)}
		wg.Go(callers[i].run)
	}
	time.Sleep(leaveAfter)
	w.store.RemoveHost("i-old-1")
	w.store.RemoveHost("i-old-2")
	rec.logf("platform: the entries of the servers of version 1 are removed; they go on with what they serve")
	time.Sleep(troubleAfter - leaveAfter)
	if trouble {
		if err := w.killAllWhileSlow(); err != nil {
			return notRun, err
		}
	}
	wg.Wait()
	return judgeVersions(rec, callers), nil
}

// killAllWhileSlow makes the store slow for slowTime, kills all nodes and starts them again.
func (w *world) killAllWhileSlow() error {
	w.setStoreAnswer(slowFactor * storeAnswer)
	w.rec.logf("platform: the store's answers take %d times as long, for %v", slowFactor, slowTime)
	time.AfterFunc(slowTime, func() {
		w.setStoreAnswer(storeAnswer)
		w.rec.logf("platform: the store is as fast as before")
	})
	w.rec.logf("platform: all nodes are killed")
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(downTime)
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	w.rec.logf("platform: all nodes start again")
	return nil
}

// streamConfig is a configuration with one route of resumable streams.
func streamConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "plan", "host": host, "prefix": "/plan/", "kind": "stream", "service": "engines",
			"timeoutMs": 20000, "sloMs": 2000, "priority": 0, "maxAttempts": 2, "resumable": true, "targetGapMs": 500,
		}},
		"services": []any{map[string]any{"name": "engines", "maxConnections": 600, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 200000}}},
		"tenants":  []any{map[string]any{"name": "bozi300", "apiKeys": []string{key}}},
	}
}

// streamCaller is one client with one stream, which it resumes after a broken connection.
type streamCaller struct {
	w        *world
	number   int
	deadline time.Time
	// first is the ID of the try that brought the first event, last the ID of the last event.
	first, last string
	// versions are those of the events, in order and without repeats.
	versions []string
	complete bool
}

// run sends the request, and again on a new connection while the stream is incomplete.
func (c *streamCaller) run() {
	for try := range callerTries {
		n := c.w.balance(c.number+try, c.deadline)
		if n == nil {
			return
		}
		err := c.try(n, try)
		if c.complete {
			return
		}
		c.w.rec.logf("client %d: try %d at %s ends after event %q: %v", c.number, try+1, n.name, c.last, err)
		time.Sleep(retryPause)
	}
}

// balance returns the next node that is ready, as the balancer does; nil if none is until the deadline.
func (w *world) balance(number int, deadline time.Time) *node {
	for ; time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for i := range w.nodes {
			if n := w.nodes[(number+i)%len(w.nodes)]; n.ready() {
				return n
			}
		}
	}
	return nil
}

// try sends the request once and reads its events.
func (c *streamCaller) try(n *node, try int) error {
	ctx, cancel := context.WithDeadline(context.Background(), c.deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.callerAddr()+"/plan/a", http.NoBody)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%08x%08x", 0xbe0000+c.number, try+1)
	req.Host = host
	req.Header.Set("Topazmoor-Request-Id", id)
	req.Header.Set("Topazmoor-Request-Deadline", fmt.Sprint(time.Until(c.deadline).Milliseconds()))
	req.Header.Set("Authorization", "Token "+key)
	req.Header.Set("Topazmoor-Model", "m")
	req.Header.Set("Topazmoor-Token-Counts", "700,210")
	req.Header.Set("Topazmoor-Prompt-Prefix", fmt.Sprintf("5c1e07a2:400,%x:300", 0x91000000+c.number))
	if c.last != "" {
		req.Header.Set("Last-Event-Id", c.last)
		req.Header.Set("Resumes", c.first)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	c.w.rec.logf("client %d: try %d, request %s at %s: status %d, signature %q", c.number, try+1, id, n.name, resp.StatusCode, resp.Header.Get("Topazmoor-Server-Signature"))
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return c.read(resp, id)
}

// read reads events until the end of the answer.
func (c *streamCaller) read(resp *http.Response, id string) error {
	lines := bufio.NewScanner(resp.Body)
	event := ""
	for lines.Scan() {
		line := lines.Text()
		if e, ok := strings.CutPrefix(line, "id: "); ok {
			event = e
		}
		if version, ok := strings.CutPrefix(line, "data: token by "); ok {
			c.add(event, version, id)
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if c.last != fmt.Sprint(streamEvents) {
		return errors.New("the answer ends before the last event")
	}
	c.complete = true
	return nil
}

// add adds an event.
func (c *streamCaller) add(event, version, id string) {
	if c.first == "" {
		c.first = id
	}
	if n := len(c.versions); n == 0 || c.versions[n-1] != version {
		c.versions = append(c.versions, version)
		c.w.rec.logf("client %d: events from %s on are of version %s", c.number, event, version)
	}
	c.last = event
}

// judgeVersions counts the streams with events of two versions.
func judgeVersions(rec *record, callers []*streamCaller) result {
	mixed, began, complete := 0, 0, 0
	for _, c := range callers {
		if len(c.versions) > 1 {
			mixed++
		}
		if len(c.versions) > 0 && c.versions[0] == "1" {
			began++
		}
		if c.complete {
			complete++
		}
	}
	rec.logf("%d of %d streams began at version 1, %d are complete, %d hold events of two versions (at most %d may)", began, len(callers), complete, mixed, maxMixed)
	if mixed > maxMixed {
		return broken
	}
	return held
}
