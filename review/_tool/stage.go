package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// keepResults is how long a server keeps a result.
const keepResults = 4 * time.Second

// results are the stored results of all stage servers. It is safe for concurrent use.
type results struct {
	mu sync.Mutex
	// requests maps each handle to the request that it was made for.
	requests map[string]string
	made     int
}

func newResults() *results { return &results{requests: make(map[string]string)} }

// add stores a result at a server for a while, and returns its handle.
func (r *results) add(addr, request string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made++
	handle := fmt.Sprintf("%s/%x", addr, r.made)
	r.requests[handle] = request
	time.AfterFunc(keepResults, func() { r.free([]string{handle}) })
	return handle
}

// request returns the request that a stored result was made for.
func (r *results) request(handle string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	of, ok := r.requests[handle]
	return of, ok
}

func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		delete(r.requests, h)
	}
}

// stageServer is a server of a stage. It writes its answers itself, so that it can send one a second
// time.
type stageServer struct {
	id, service, addr string
	call, item        time.Duration
	faulty            bool
	c                 *strays
	ln                net.Listener
	// slot is held by the call in progress.
	slot sync.Mutex
}

// stageItem is one piece of a call.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

// stageResult is the outcome of a piece.
type stageResult struct {
	Handle string `json:"handle,omitempty"`
	Reason string `json:"reason,omitempty"`
}

func (s *stageServer) listen() error {
	var err error
	if s.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	s.addr = s.ln.Addr().String()
	go func() {
		for {
			conn, err := s.ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

// serve answers the requests of one connection, one after another. After an answer that is to come a
// second time, that copy goes out when the next request has arrived, before its own answer.
func (s *stageServer) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	var stray []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if stray != nil {
			s.c.repeats.Add(1)
			s.c.e.record.write("server %s sends its last answer a second time, as %s arrives", s.id, req.URL.Path)
			if _, err := conn.Write(stray); err != nil {
				return
			}
		}
		answer := s.answer(req, body)
		if _, err := conn.Write(answer); err != nil {
			return
		}
		stray = nil
		if s.faulty && s.c.sending.Load() && req.URL.Path == "/stage-run" && rand.Float64() < strayShare {
			stray = answer
		}
	}
}

// answer returns the whole answer to a request.
func (s *stageServer) answer(req *http.Request, body []byte) []byte {
	want := req.Header.Get("Topazmoor-Expected-Instance")
	switch {
	case want != "" && want != s.id:
		return s.message(req, http.StatusMisdirectedRequest, nil)
	case req.URL.Path == "/report":
		return s.message(req, http.StatusOK, map[string]any{"queued": 0, "busy": false, "freeMb": 2})
	case req.URL.Path == "/stage-free":
		var in struct {
			Handles []string `json:"handles"`
		}
		if json.Unmarshal(body, &in) != nil {
			return s.message(req, http.StatusBadRequest, nil)
		}
		s.c.made.free(in.Handles)
		return s.message(req, http.StatusOK, map[string]any{})
	case req.URL.Path == "/stage-run":
		return s.run(req, body)
	}
	return s.message(req, http.StatusNotFound, nil)
}

// run makes the pieces of a call.
func (s *stageServer) run(req *http.Request, body []byte) []byte {
	var in struct {
		Items []stageItem `json:"items"`
	}
	if json.Unmarshal(body, &in) != nil || len(in.Items) == 0 {
		return s.message(req, http.StatusBadRequest, nil)
	}
	s.slot.Lock()
	defer s.slot.Unlock()
	s.c.working.Add(1)
	defer s.c.working.Add(-1)
	out := make([]stageResult, len(in.Items))
	fetched := make([]bool, len(in.Items))
	for i, it := range in.Items {
		if _, fetched[i] = s.c.fetch("server "+s.id, it.ID, it.Inputs); !fetched[i] {
			out[i].Reason = "gone"
		}
	}
	time.Sleep(s.call + time.Duration(len(in.Items))*s.item)
	for i, it := range in.Items {
		if fetched[i] {
			out[i].Handle = s.c.made.add(s.addr, it.ID)
		}
		s.c.e.record.write("server %s ran piece %d of stage %d of %s, inputs %v: %+v", s.id, it.Piece, it.Stage, it.ID, it.Inputs, out[i])
	}
	return s.message(req, http.StatusOK, map[string]any{"items": out})
}

// message returns an answer with a length. Like every server it returns the ID of the request, if that
// has one.
func (s *stageServer) message(req *http.Request, status int, value any) []byte {
	var body []byte
	if value != nil {
		var err error
		if body, err = json.Marshal(value); err != nil {
			panic(err) // all values can be encoded
		}
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id := req.Header.Get("Topazmoor-Request-Id"); id != "" {
		fmt.Fprintf(&out, "Topazmoor-Request-Id: %s\r\n", id)
	}
	if status == http.StatusMisdirectedRequest {
		out.WriteString("Topazmoor-Not-Executed: 1\r\n")
	}
	fmt.Fprintf(&out, "Topazmoor-Server-Load: 0,0,1\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	return out.Bytes()
}
