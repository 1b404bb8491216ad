package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"topazmoor/internal/store"
)

// The case deadly: one request crashes each server that begins to run it, at once, and comes again and again.
const (
	// deadlySpan is for how long the request comes, once in deadlyInterval; usualBefore is how long only
	// the usual requests come before.
	deadlySpan     = 20 * time.Second
	deadlyInterval = 2 * time.Second
	usualBefore    = 5 * time.Second
	// usualPerS is how many usual requests a second come at each node.
	usualPerS = 30
	// confirmWork is the time of a usual request, restartAfter when a crashed server is back, and
	// lapseAfter when its entry is removed: three check-in intervals of 1.2 s.
	confirmServers = 4
	confirmWork    = 15 * time.Millisecond
	restartAfter   = 3 * time.Second
	lapseAfter     = 3600 * time.Millisecond
	// stableTime is the bound stableMs. maxRetries is how many retries the rule BUDGET lets reach servers
	// later than that after the third crash, countedCrash.
	stableTime   = 3 * time.Second
	maxRetries   = 3
	countedCrash = 3
)

const (
	confirmService = "pratico-api"
	confirmPath    = "/atraque/"
	deadlyBody     = "confirm berth 7, malformed"
)

// deadly is the state of the case.
type deadly struct {
	e     *environment
	w     *world
	nodes fleet
	ids   atomic.Int64
	// ended is set when servers do not start again.
	ended    atomic.Bool
	answered atomic.Int64
	restarts sync.WaitGroup

	mu sync.Mutex
	// crashes holds when the request crashed a server, arrivals when it reached one.
	crashes, arrivals []time.Time
}

func playDeadly(ctx context.Context, e *environment) (broken bool, err error) {
	c := &deadly{e: e}
	if c.w, err = newWorld(); err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, c.w.close()) }()
	var servers []*confirmServer
	defer func() {
		c.ended.Store(true)
		c.restarts.Wait()
		for _, s := range servers {
			s.end()
		}
	}()
	for i := range confirmServers {
		s := &confirmServer{c: c, number: i}
		servers = append(servers, s)
		if err := s.start("127.0.0.1:0"); err != nil {
			return false, err
		}
	}
	if err := c.configure(ctx); err != nil {
		return false, err
	}
	c.nodes, err = startFleet(ctx, e, strayZones, c.w.storeAddr, func(int, []byte) {})
	defer func() { err = errors.Join(err, c.nodes.stop()) }()
	if err != nil {
		return false, err
	}
	c.play(ctx)
	if ctx.Err() != nil {
		return false, ctx.Err()
	}
	return c.judge()
}

func (c *deadly) configure(ctx context.Context) error {
	route := map[string]any{
		"name": "atraque", "host": callerHost, "prefix": confirmPath, "kind": "non_idempotent", "service": confirmService, "timeoutMs": 600, "sloMs": 100,
		"priority": 1, "maxAttempts": 1, "public": false,
	}
	service := map[string]any{"name": confirmService, "healthPath": "/healthz", "maxConnections": 96}
	return c.w.putConfig(ctx, 1, []any{route}, []any{service})
}

// play sends the usual requests and the deadly one.
func (c *deadly) play(ctx context.Context) {
	load, cancel := context.WithTimeout(ctx, usualBefore+deadlySpan)
	defer cancel()
	var callers sync.WaitGroup
	for _, n := range c.nodes {
		callers.Go(func() {
			for sleep(load, time.Duration(rand.ExpFloat64()*float64(time.Second)/usualPerS)) {
				id := c.ids.Add(1)
				callers.Go(func() { c.ask(ctx, n, fmt.Sprintf("%016x", id), fmt.Sprintf("confirm berth of ship %d", id)) })
			}
		})
	}
	callers.Go(func() {
		for wait := usualBefore; sleep(load, wait); wait = deadlyInterval {
			c.ask(ctx, c.nodes[rand.IntN(len(c.nodes))], fmt.Sprintf("dead%012x", c.ids.Add(1)), deadlyBody)
		}
	})
	callers.Wait()
}

// ask is one request of a caller, on a channel of its own.
func (c *deadly) ask(ctx context.Context, n *node, id, body string) {
	req, err := newRequest(ctx, n, http.MethodPost, confirmPath+"7", id, body, map[string]string{"Topazmoor-Request-Deadline": "600"})
	if err != nil {
		c.e.record.write("request %s not built: %v", id, err)
		return
	}
	if body == deadlyBody {
		c.e.record.write("sent the deadly request as %s to %s", id, n.name)
	}
	resp, err := send(req)
	if err != nil {
		c.e.record.write("no answer to %s: %v", id, err)
		return
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if resp.StatusCode == http.StatusOK && err == nil {
		c.answered.Add(1)
	}
	if resp.StatusCode != http.StatusOK || err != nil || body == deadlyBody {
		c.e.record.write("answer to %s by %s: status %d, %q, error %v", id, n.name, resp.StatusCode, text, err)
	}
}

// arrive notes that the deadly request reached a server.
func (c *deadly) arrive(s, id string) {
	c.e.record.write("the deadly request reaches server %s as %s", s, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals = append(c.arrivals, time.Now())
}

func (c *deadly) crashed(s string) {
	c.e.record.write("server %s crashes under the deadly request", s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes = append(c.crashes, time.Now())
}

// judge applies the rule BUDGET: a request that crashes the servers that run it reaches servers in more than
// three retries, sent later than stableMs after it has crashed the third.
func (c *deadly) judge() (broken bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	late := 0
	if len(c.crashes) >= countedCrash {
		from := c.crashes[countedCrash-1].Add(stableTime)
		for _, at := range c.arrivals {
			if at.After(from) {
				late++
			}
		}
	}
	summary := fmt.Sprintf("%d requests answered 200; the deadly one reached servers %d times, crashed %d, and reached servers %d times later than stableMs after the third crash (%d are allowed)",
		c.answered.Load(), len(c.arrivals), len(c.crashes), late, maxRetries)
	c.e.record.write("%s", summary)
	fmt.Println(summary)
	if c.answered.Load() == 0 {
		return false, errors.New("no request was served")
	}
	return late > maxRetries, nil
}

// confirmServer is a server of the confirmation service. A crash closes its listener and all of its
// channels, as the end of its process does.
type confirmServer struct {
	c      *deadly
	number int

	mu    sync.Mutex
	id    string
	addr  string
	ln    net.Listener
	conns map[net.Conn]bool
	// starts counts the incarnations.
	starts int
}

// start starts an incarnation at an address, which registers itself.
func (s *confirmServer) start(addr string) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id, s.addr, s.ln, s.conns = fmt.Sprintf("i-confirm-%d-%d", s.number, s.starts), ln.Addr().String(), ln, make(map[net.Conn]bool)
	id := s.id
	s.mu.Unlock()
	s.c.w.memory.SetHost(store.Host{
		ID: id, Addr: ln.Addr().String(), Pool: confirmService, DataCentre: strayZones[s.number%len(strayZones)], Slots: 6, State: store.Live,
		Version: "v1", Born: time.Now().UnixMilli(),
	})
	s.c.e.record.write("server %s registers at %s", id, ln.Addr())
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn, id)
		}
	}()
	return nil
}

// crash ends an incarnation; the server is back after restartAfter.
func (s *confirmServer) crash(id string) {
	s.c.crashed(id)
	s.end()
	time.AfterFunc(lapseAfter, func() { s.c.w.memory.RemoveHost(id) })
	s.c.restarts.Go(func() {
		time.Sleep(restartAfter)
		if s.c.ended.Load() {
			return
		}
		if err := s.start(s.addr); err != nil {
			s.c.e.record.write("server %s not started again: %v", id, err)
		}
	})
}

// end closes the listener and all channels.
func (s *confirmServer) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return
	}
	s.ln.Close()
	s.ln = nil
	for conn := range s.conns {
		conn.Close()
	}
}

// track adds a channel of an incarnation; it returns false if that has ended.
func (s *confirmServer) track(conn net.Conn, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil || s.id != id {
		return false
	}
	s.conns[conn] = true
	return true
}

// serve answers the requests of one channel.
func (s *confirmServer) serve(conn net.Conn, id string) {
	defer conn.Close()
	if !s.track(conn, id) {
		return
	}
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		request := req.Header.Get("Topazmoor-Request-Id")
		if want := req.Header.Get("Topazmoor-Expected-Instance"); want != "" && want != id {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request)
			if err != nil {
				return
			}
			continue
		}
		if string(body) == deadlyBody {
			s.c.arrive(id, request)
			if s.c.e.trouble {
				s.crash(id)
				return
			}
		}
		time.Sleep(confirmWork)
		text := "confirmed " + request
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Server-Signature: by.%s.%s\r\nTopazmoor-Server-Load: 0,0,6\r\nContent-Length: %d\r\n\r\n%s", request, id, request, len(text), text)
		if err != nil {
			return
		}
	}
}
