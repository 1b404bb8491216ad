package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"topazmoor/platform/standin"
)

// The case frozen: the node that forms the batches of a stage stands still for some seconds, up to maxFreezes times.
const (
	// frozenFor is how long the node stands still, frozenAfter how long requests come before the first time, and
	// frozenPause the time between two times. A request ends within it.
	frozenFor   = 4 * time.Second
	frozenAfter = 8 * time.Second
	frozenPause = 9 * time.Second
	maxFreezes  = 5
	// servedCheck is the end of the pause, in which it is seen whether requests are served.
	servedCheck = 2 * time.Second
	// steadyFor is for how long the steady state is watched.
	steadyFor = 20 * time.Second
	// addedAfter is how long after its acknowledgement the configuration is in force everywhere.
	addedAfter = 3 * time.Second
	// notesPerS and scansPerS are the requests a second of each kind at each node.
	notesPerS = 3
	scansPerS = 5
	// frozenServers is the number of servers of the stage, frozenWork the time of a request at a model server.
	frozenServers = 2
	frozenWork    = 30 * time.Millisecond
	// workPoll is the interval at which it is looked whether all servers of the stage work.
	workPoll = time.Millisecond
	// minAdded and minServedShare are those of the rule CONFIG.
	minAdded       = 20
	minServedShare = 0.25
)

const (
	notePath    = "/custodia/"
	scanPath    = "/leitura/"
	scanService = "yard-ledger"
	notePieces  = "1"
	// formerLine is in the log of a node that forms batches.
	formerLine = `"msg":"stage call"`
)

// tally counts the requests of a kind.
type tally struct{ asked, served atomic.Int64 }

// frozen is the state of the case.
type frozen struct {
	*strays
	// steady is set while the state is steady.
	steady       atomic.Bool
	notes, scans tally
	// allServed counts the requests with the stage that were served, at any time.
	allServed atomic.Int64
}

func playFrozen(ctx context.Context, e *environment) (broken bool, err error) {
	c := &frozen{strays: &strays{e: e, made: newResults(), engineWork: frozenWork}}
	if c.w, err = newWorld(); err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, c.w.close()) }()
	if err := c.configure(ctx); err != nil {
		return false, err
	}
	c.nodes, err = startFleet(ctx, e, strayZones, c.w.storeAddr, func(int, []byte) {})
	defer func() { err = errors.Join(err, c.nodes.stop()) }()
	if err != nil {
		return false, err
	}
	if err := c.addRoute(ctx); err != nil {
		return false, err
	}
	if err := c.playFreeze(ctx); err != nil {
		return false, err
	}
	return c.judge()
}

func (c *frozen) configure(ctx context.Context) error {
	for i := range frozenServers {
		s := &stageServer{service: firstStage, call: firstCall, item: firstItem, id: fmt.Sprintf("i-%s-%d", firstStage, i), c: c.strays}
		if err := c.startStage(s, i); err != nil {
			return err
		}
	}
	for i := range engineServers {
		id := fmt.Sprintf("i-engine-%d", i)
		addr, err := c.w.serve(c.engine(id))
		if err != nil {
			return err
		}
		c.register(id, addr, engines, 128, i)
	}
	for i := range confirmServers {
		s := &standin.Server{ID: fmt.Sprintf("i-scan-%d", i), Work: confirmWork}
		addr, err := c.w.serve(s)
		if err != nil {
			return err
		}
		s.Addr = addr
		c.register(s.ID, addr, scanService, 6, i)
	}
	return c.w.putConfig(ctx, 1, c.routes()[:1], c.services())
}

// addRoute adds the route with the stage.
func (c *frozen) addRoute(ctx context.Context) error {
	if err := c.w.putConfig(ctx, 2, c.routes(), c.services()); err != nil {
		return err
	}
	c.e.record.write("version 2 adds the route %s", notePath)
	if !sleep(ctx, addedAfter) {
		return ctx.Err()
	}
	return nil
}

func (c *frozen) routes() []any {
	return []any{
		map[string]any{"name": "leitura", "host": callerHost, "prefix": scanPath, "kind": "idempotent", "service": scanService, "timeoutMs": 1500, "sloMs": 300,
			"priority": 2, "maxAttempts": 2, "public": false},
		map[string]any{"name": "custodia", "host": callerHost, "prefix": notePath, "kind": "stream", "service": engines, "timeoutMs": 6000, "sloMs": 3600,
			"priority": 1, "maxAttempts": 1, "resumable": false, "targetGapMs": 500, "sticky": true, "public": false,
			"stages": []any{map[string]any{"service": firstStage, "after": []int{}, "length": 8000}}},
	}
}

func (c *frozen) services() []any {
	return []any{
		map[string]any{"name": scanService, "healthPath": "/healthz", "maxConnections": 51},
		map[string]any{"name": engines, "healthPath": "/healthz", "maxConnections": 500, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 244943}},
		stageService(firstStage, 8, firstCall, firstItem, 18),
	}
}

// playFreeze plays the callers and the freezes, until none of the requests with the stage is served.
func (c *frozen) playFreeze(ctx context.Context) error {
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	var callers sync.WaitGroup
	for _, n := range c.nodes {
		callers.Go(func() { c.come(load, ctx, n, notesPerS, c.askNote, &callers) })
		callers.Go(func() { c.come(load, ctx, n, scansPerS, c.askScan, &callers) })
	}
	if !sleep(ctx, frozenAfter) {
		return ctx.Err()
	}
	for range maxFreezes {
		if err := c.freeze(ctx); err != nil {
			return err
		}
		if !sleep(ctx, frozenPause-servedCheck) {
			return ctx.Err()
		}
		before := c.allServed.Load()
		if !sleep(ctx, servedCheck) {
			return ctx.Err()
		}
		if c.allServed.Load() == before {
			break
		}
	}
	c.steady.Store(true)
	if !sleep(ctx, steadyFor) {
		return ctx.Err()
	}
	cancel()
	callers.Wait()
	return nil
}

// freeze stops the node that forms the batches for a while, as soon as all servers of the stage work for it.
func (c *frozen) freeze(ctx context.Context) error {
	n, err := c.former()
	if err != nil {
		return err
	}
	for c.working.Load() < frozenServers {
		if !sleep(ctx, workPoll) {
			return ctx.Err()
		}
	}
	if c.e.trouble {
		c.e.record.write("node %s, which forms the batches, stands still", n.name)
		if err := n.proc.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
	}
	if !sleep(ctx, frozenFor) {
		return ctx.Err()
	}
	if c.e.trouble {
		if err := n.proc.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		c.e.record.write("node %s goes on", n.name)
	}
	return nil
}

// former returns the node that last made calls of the stage.
func (c *frozen) former() (*node, error) {
	for _, n := range c.nodes {
		text, err := os.ReadFile(n.log.Name())
		if err != nil {
			return nil, err
		}
		if strings.Contains(string(text), formerLine) {
			return n, nil
		}
	}
	return nil, errors.New("no node forms batches")
}

// come sends requests of a kind to a node.
func (c *frozen) come(load, ctx context.Context, n *node, perS float64, ask func(ctx context.Context, n *node, id string), callers *sync.WaitGroup) {
	for sleep(load, time.Duration(rand.ExpFloat64()*float64(time.Second)/perS)) {
		id := fmt.Sprintf("%016x", c.ids.Add(1))
		callers.Go(func() { ask(ctx, n, id) })
	}
}

func (c *frozen) askNote(ctx context.Context, n *node, id string) {
	c.count(ctx, n, id, http.MethodPost, notePath+"2f", &c.notes, map[string]string{
		"Topazmoor-Request-Deadline": "6000", "Topazmoor-Pieces": notePieces, "Topazmoor-Piece-Key": "k" + id,
		"Topazmoor-Model": "m", "Topazmoor-Token-Counts": "700,3", "Topazmoor-Prompt-Prefix": "5c1e07a2:172," + id + ":528",
	})
}

func (c *frozen) askScan(ctx context.Context, n *node, id string) {
	c.count(ctx, n, id, http.MethodGet, scanPath+id, &c.scans, map[string]string{"Topazmoor-Request-Deadline": "3000"})
}

// count sends a request and counts it if the state is steady.
func (c *frozen) count(ctx context.Context, n *node, id, method, path string, t *tally, header map[string]string) {
	steady := c.steady.Load()
	req, err := newRequest(ctx, n, method, path, id, "", header)
	if err != nil {
		c.e.record.write("request %s not built: %v", id, err)
		return
	}
	began := time.Now()
	resp, err := send(req)
	status, text := 0, []byte(nil)
	if err == nil {
		defer resp.Body.Close()
		status = resp.StatusCode
		text, err = io.ReadAll(resp.Body)
	}
	c.e.record.write("%s %s by %s: status %d after %d ms, %.160q, error %v", path, id, n.name, status, time.Since(began).Milliseconds(), text, err)
	served := err == nil && status == http.StatusOK
	if served && t == &c.notes {
		c.allServed.Add(1)
	}
	if !steady {
		return
	}
	t.asked.Add(1)
	if served {
		t.served.Add(1)
	}
}

// judge applies the rule CONFIG: in steady state, machines in touch get 20 or more requests on routes that were
// added later, and serve them less than a quarter as often as those on the first routes.
func (c *frozen) judge() (broken bool, err error) {
	summary := fmt.Sprintf("in steady state %d of %d requests on the route that was added were served, %d of %d on the first one",
		c.notes.served.Load(), c.notes.asked.Load(), c.scans.served.Load(), c.scans.asked.Load())
	c.e.record.write("%s", summary)
	fmt.Println(summary)
	if c.scans.asked.Load() == 0 || c.scans.served.Load() == 0 {
		return false, errors.New("the first route was not served")
	}
	if c.notes.asked.Load() < minAdded {
		return false, nil
	}
	added := float64(c.notes.served.Load()) / float64(c.notes.asked.Load())
	first := float64(c.scans.served.Load()) / float64(c.scans.asked.Load())
	return added < minServedShare*first, nil
}
