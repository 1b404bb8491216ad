package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
)

// The case strays: some servers of the stages now and then send a second copy of an answer late, at the
// point where the next answer on that channel is expected.
const (
	// orderSpan is for how long requests are sent, requestsPerS at each node.
	orderSpan    = 30 * time.Second
	requestsPerS = 6
	// strayShare is the share of answers that come a second time, at faultyServers of the servers of
	// each stage: the bench's largest dose is 0.03 of the answers at 0.6 of the servers.
	strayShare    = 0.03
	stageServers  = 5
	faultyServers = 3
	// strayAfter is how long the servers are sound first.
	strayAfter = 5 * time.Second
	// firstCall, firstItem, secondCall and secondItem are the times of a call and of each of its pieces at
	// the two stages.
	firstCall, firstItem   = 200 * time.Millisecond, 21 * time.Millisecond
	secondCall, secondItem = 200 * time.Millisecond, 8 * time.Millisecond
	engineWork             = 100 * time.Millisecond
	engineServers          = 4
)

const (
	firstStage  = "tripulacao"
	secondStage = "cobranca"
	planPath    = "/plano/"
	pieceCounts = "2,1"
)

// strayZones are the zones of the nodes of this case.
var strayZones = []string{"hall-rg", "hall-pgua", "hall-itj"}

// strays is the state of the case.
type strays struct {
	e     *environment
	w     *world
	nodes fleet
	made  *results
	// engineWork is the time of a request at a model server.
	engineWork time.Duration
	// working counts the calls in progress at the servers of the stages.
	working atomic.Int64
	// sending is set while servers send strays.
	sending atomic.Bool
	ids     atomic.Int64
	served  atomic.Int64
	repeats atomic.Int64

	mu      sync.Mutex
	foreign []string
}

func playStrays(ctx context.Context, e *environment) (broken bool, err error) {
	c := &strays{e: e, made: newResults(), engineWork: engineWork}
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
	return c.play(ctx)
}

func (c *strays) configure(ctx context.Context) error {
	for i := range stageServers {
		for _, s := range []*stageServer{
			{service: firstStage, call: firstCall, item: firstItem},
			{service: secondStage, call: secondCall, item: secondItem},
		} {
			s.id, s.c, s.faulty = fmt.Sprintf("i-%s-%d", s.service, i), c, i < faultyServers
			if err := c.startStage(s, i); err != nil {
				return err
			}
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
	route := map[string]any{
		"name": "plano", "host": callerHost, "prefix": planPath, "kind": "stream", "service": engines, "timeoutMs": 8000, "sloMs": 1600,
		"priority": 0, "maxAttempts": 2, "resumable": true, "targetGapMs": 500, "sticky": true, "public": false,
		"stages": []any{
			map[string]any{"service": firstStage, "after": []int{}, "length": 8000},
			map[string]any{"service": secondStage, "after": []int{0}, "length": 6000},
		},
	}
	return c.w.putConfig(ctx, 1, []any{route}, []any{
		map[string]any{"name": engines, "healthPath": "/healthz", "maxConnections": 610, "engine": map[string]any{"slots": 128, "kvCapacityTokens": 286093}},
		stageService(firstStage, 8, firstCall, firstItem, 18),
		stageService(secondStage, 22, secondCall, secondItem, 2.8),
	})
}

func stageService(name string, batch int, call, item time.Duration, roomMb float64) map[string]any {
	return map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 610, "pieces": map[string]any{
		"slots": 1, "queue": 2, "batch": batch, "callMs": call.Milliseconds(), "itemMs": item.Milliseconds(),
		"headroomMb": roomMb, "handleS": keepResults.Seconds(), "linkMbps": 10000,
	}}
}

func (c *strays) startStage(s *stageServer, i int) error {
	if err := s.listen(); err != nil {
		return err
	}
	c.w.stops = append(c.w.stops, s.ln.Close)
	c.register(s.id, s.addr, s.service, 1, i)
	return nil
}

func (c *strays) register(id, addr, service string, slots, i int) {
	c.w.memory.SetHost(store.Host{ID: id, Addr: addr, Pool: service, DataCentre: strayZones[i%len(strayZones)], Slots: slots, State: store.Live, Version: "v1"})
	c.e.record.write("server %s of %s registers at %s", id, service, addr)
}

// engine returns a model server, which fetches the results that a request names before it runs it.
func (c *strays) engine(id string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request := r.Header.Get("Topazmoor-Request-Id")
		w.Header().Set("Topazmoor-Request-Id", request)
		if want := r.Header.Get("Topazmoor-Expected-Instance"); want != "" && want != id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handles := strings.Split(r.Header.Get("Topazmoor-Inputs"), ",")
		if status, ok := c.fetch("model server "+id, request, handles); !ok {
			w.Header().Set("Topazmoor-Not-Executed", "1")
			w.WriteHeader(status)
			return
		}
		c.e.record.write("model server %s runs %s with %v", id, request, handles)
		time.Sleep(c.engineWork)
		w.Header().Set("Topazmoor-Server-Signature", "by."+id+"."+request)
		w.Header().Set("Content-Type", "text/event-stream")
		// A failed write means that the caller has left.
		_, _ = io.WriteString(w, "id: 1\ndata: plan of "+request+"\n\n")
	})
}

// fetch looks the inputs of a request up and notes those of other requests. ok is false if one is gone.
func (c *strays) fetch(who, request string, handles []string) (status int, ok bool) {
	for _, h := range handles {
		if h == "" {
			return http.StatusBadRequest, false
		}
		if _, found := c.made.request(h); !found {
			return http.StatusConflict, false
		}
	}
	for _, h := range handles {
		if of, _ := c.made.request(h); of != request {
			c.noteForeign(fmt.Sprintf("%s is given %s for request %s, a result of request %s", who, h, request, of))
		}
	}
	return http.StatusOK, true
}

func (c *strays) noteForeign(what string) {
	c.e.record.write("FOREIGN INPUT: %s", what)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.foreign = append(c.foreign, what)
}

// play sends requests and applies the rule MIXED: a piece or a request is given inputs of another request.
func (c *strays) play(ctx context.Context) (broken bool, err error) {
	load, cancel := context.WithTimeout(ctx, orderSpan)
	defer cancel()
	begin := time.AfterFunc(strayAfter, func() { c.sending.Store(c.e.trouble) })
	defer begin.Stop()
	var callers sync.WaitGroup
	for _, n := range c.nodes {
		callers.Go(func() {
			for sleep(load, time.Duration(rand.ExpFloat64()*float64(time.Second)/requestsPerS)) {
				id := fmt.Sprintf("%016x", c.ids.Add(1))
				callers.Go(func() { c.ask(ctx, n, id) })
			}
		})
	}
	callers.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	summary := fmt.Sprintf("%d requests, %d served, %d answers of stages sent a second time, %d inputs of other requests", c.ids.Load(), c.served.Load(), c.repeats.Load(), len(c.foreign))
	c.e.record.write("%s", summary)
	fmt.Println(summary)
	if c.served.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return len(c.foreign) > 0, nil
}

// ask is one request of a caller.
func (c *strays) ask(ctx context.Context, n *node, id string) {
	req, err := newRequest(ctx, n, http.MethodPost, planPath+"2f", id, "", map[string]string{
		"Topazmoor-Request-Deadline": "8000", "Topazmoor-Pieces": pieceCounts, "Topazmoor-Piece-Key": "k" + id,
		"Topazmoor-Model": "m", "Topazmoor-Token-Counts": "700,3", "Topazmoor-Prompt-Prefix": "5c1e07a2:172," + id + ":528",
	})
	if err != nil {
		c.e.record.write("request %s not built: %v", id, err)
		return
	}
	c.e.record.write("sent %s to %s", id, n.name)
	resp, err := send(req)
	if err != nil {
		c.e.record.write("no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		c.served.Add(1)
	}
	c.e.record.write("answer to %s: status %d, %q, error %v", id, resp.StatusCode, strings.TrimSpace(string(body)), err)
}
