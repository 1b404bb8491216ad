package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// callTime and itemTime are the time of a stage call and of each of its pieces.
	callTime = 200 * time.Millisecond
	itemTime = 21 * time.Millisecond
)

// maker is a server of a stage: it works on one call at a time and keeps the results.
type maker struct {
	id, addr string
	rec      *record
	// made is called with the request of each result.
	made func(request string)

	ln   net.Listener
	srv  *http.Server
	slot sync.Mutex

	mu      sync.Mutex
	number  int
	results map[string]bool
}

// listen starts the maker on a free port of loopback.
func (m *maker) listen() error {
	m.results = make(map[string]bool)
	var err error
	if m.ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	m.addr = m.ln.Addr().String()
	m.srv = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = m.srv.Serve(m.ln) }()
	return nil
}

// crash ends the maker: its connections and its results are gone.
func (m *maker) crash() {
	m.srv.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.results)
	m.rec.logf("stage server %s crashes", m.id)
}

// has reports whether the maker keeps a result.
func (m *maker) has(handle string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.results[handle]
}

// stageCall is the body of a call that makes pieces, stageReply that of its answer.
type stageCall struct {
	Items []struct {
		ID           string `json:"id"`
		Stage, Piece int
	} `json:"items"`
	Handles []string `json:"handles"`
}

type stageReply struct {
	Items []stageHandle `json:"items"`
}

type stageHandle struct {
	Handle string `json:"handle"`
}

// ServeHTTP implements http.Handler.
func (m *maker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Topazmoor-Request-Id"); id != "" {
		w.Header().Set("Topazmoor-Request-Id", id)
	}
	w.Header().Set("Topazmoor-Server-Load", "0,0,1")
	if want := r.Header.Get("Topazmoor-Expected-Instance"); want != "" && want != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		fmt.Fprint(w, `{"queued":0,"busy":false,"freeMb":1000}`)
		return
	}
	var call stageCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	switch r.URL.Path {
	case "/stage-run":
		m.run(w, call)
	case "/stage-free":
		m.free(call.Handles)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// run makes the pieces of a call.
func (m *maker) run(w http.ResponseWriter, call stageCall) {
	m.slot.Lock()
	time.Sleep(callTime + time.Duration(len(call.Items))*itemTime)
	m.slot.Unlock()
	reply := stageReply{}
	m.mu.Lock()
	for range call.Items {
		m.number++
		handle := fmt.Sprintf("%s/%x", m.addr, m.number)
		m.results[handle] = true
		reply.Items = append(reply.Items, stageHandle{handle})
	}
	m.mu.Unlock()
	// A failed write means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(reply)
	for _, it := range call.Items {
		if m.made != nil {
			m.made(it.ID)
		}
	}
}

func (m *maker) free(handles []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, h := range handles {
		delete(m.results, h)
	}
}
