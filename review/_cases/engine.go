package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// engineEvents is the number of events of a stream, one each engineEventTime.
	engineEvents    = 6
	engineEventTime = 15 * time.Millisecond
)

// engine is a model server. It answers 409 without running a request if an input no longer exists. It can send one of
// its answers a second time, late: where the next answer on the connection is expected.
type engine struct {
	id   string
	rec  *record
	gone func(handle string) bool
	// spoils reports whether the answer 409 to a request comes a second time; nil for never.
	spoils func(id string) bool

	ln net.Listener
	mu sync.Mutex
	// runs has the times at which the engine began to work on each request. answers counts all answers, spoiled
	// those that came a second time.
	runs             map[string][]time.Time
	answers, spoiled int
}

// listen starts the engine on a free port of loopback.
func (e *engine) listen() error {
	e.runs = make(map[string][]time.Time)
	var err error
	if e.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	go func() {
		for {
			c, err := e.ln.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// serve handles the requests on one connection, one after the other.
func (e *engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	extra := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// The requests of this case have no body.
		_ = req.Body.Close()
		if extra != "" {
			e.rec.logf("engine %s: an earlier answer comes a second time, before that to request %s", e.id, req.Header.Get("Topazmoor-Request-Id"))
			if _, err := c.Write([]byte(extra)); err != nil {
				return
			}
		}
		if extra, err = e.answer(c, req); err != nil {
			return
		}
	}
}

// answer answers a request. It returns what will come a second time.
func (e *engine) answer(c net.Conn, req *http.Request) (extra string, err error) {
	id := req.Header.Get("Topazmoor-Request-Id")
	e.mu.Lock()
	e.answers++
	e.mu.Unlock()
	if want := req.Header.Get("Topazmoor-Expected-Instance"); want != "" && want != e.id {
		_, err = fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return "", err
	}
	for _, handle := range strings.Split(req.Header.Get("Topazmoor-Inputs"), ",") {
		if handle != "" && e.gone(handle) {
			return e.refuse(c, id)
		}
	}
	e.mu.Lock()
	e.runs[id] = append(e.runs[id], time.Now())
	n := len(e.runs[id])
	e.mu.Unlock()
	e.rec.logf("engine %s: runs request %s, for the %d. time here", e.id, id, n)
	return "", e.stream(c, id)
}

// refuse answers that an input no longer exists.
func (e *engine) refuse(c net.Conn, id string) (extra string, err error) {
	text := fmt.Sprintf("HTTP/1.1 409 Conflict\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
	e.rec.logf("engine %s: 409 to request %s, which it doesn't run: an input is gone", e.id, id)
	if _, err := c.Write([]byte(text)); err != nil {
		return "", err
	}
	if e.spoils == nil || !e.spoils(id) {
		return "", nil
	}
	e.mu.Lock()
	e.spoiled++
	e.mu.Unlock()
	return text, nil
}

// stream sends the events of a run, in chunks.
func (e *engine) stream(c net.Conn, id string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTopazmoor-Request-Id: %s\r\nTopazmoor-Server-Signature: by.%s.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	for n := 1; n <= engineEvents && err == nil; n++ {
		time.Sleep(engineEventTime)
		event := fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = c.Write([]byte("0\r\n\r\n"))
	}
	return err
}

// runsOf returns how often the engine began to work on a request.
func (e *engine) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs[id])
}
