package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/platform"
)

// maxPlatformBody bounds the body of a call to the stand-in platform.
const maxPlatformBody = 64 << 20

// Platform serves a platform.Memory over the platform's HTTP interface.
type Platform struct {
	store *platform.Memory
	mux   *http.ServeMux
}

// NewPlatform returns the handler of a store.
func NewPlatform(store *platform.Memory) *Platform {
	p := &Platform{store: store, mux: http.NewServeMux()}
	p.mux.HandleFunc("POST "+platform.PathCommit, p.commit)
	p.mux.HandleFunc("GET "+platform.PathRow, p.row)
	p.mux.HandleFunc("GET "+platform.PathScan, p.scan)
	p.mux.HandleFunc("PUT "+platform.PathObjects, p.put)
	p.mux.HandleFunc("GET "+platform.PathObjects, p.object)
	p.mux.HandleFunc("GET "+platform.PathHosts, p.hosts)
	p.mux.HandleFunc("PUT /faults", p.setFaults)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

func (p *Platform) commit(w http.ResponseWriter, r *http.Request) {
	var tx platform.Tx
	if !readJSON(w, r, &tx) {
		return
	}
	version, err := p.store.Commit(r.Context(), tx)
	reply(w, map[string]int64{"version": version}, err)
}

func (p *Platform) row(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	row, err := p.store.Get(r.Context(), q.Get("table"), q.Get("key"))
	reply(w, row, err)
}

func (p *Platform) scan(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit is not a number", http.StatusBadRequest)
		return
	}
	rows, err := p.store.Scan(r.Context(), q.Get("table"), q.Get("prefix"), q.Get("after"), limit)
	reply(w, rows, err)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxPlatformBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	reply(w, struct{}{}, p.store.Put(r.Context(), r.URL.Query().Get("key"), value))
}

func (p *Platform) object(w http.ResponseWriter, r *http.Request) {
	value, err := p.store.GetObject(r.Context(), r.URL.Query().Get("key"))
	if err != nil {
		reply(w, nil, err)
		return
	}
	write(w, value)
}

func (p *Platform) hosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.store.ListHosts(r.Context())
	if err != nil {
		reply(w, nil, err)
		return
	}
	body, err := json.Marshal(hosts)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(body), 36))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	write(w, body)
}

func (p *Platform) setFaults(w http.ResponseWriter, r *http.Request) {
	var f platform.Faults
	if readJSON(w, r, &f) {
		p.store.SetFaults(f)
		reply(w, f, nil)
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxPlatformBody)).Decode(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
	return err == nil
}

func reply(w http.ResponseWriter, v any, err error) {
	var conflict *platform.ConflictError
	w.Header().Set("Content-Type", "application/json")
	switch {
	case err == nil:
	case errors.As(err, &conflict):
		w.WriteHeader(http.StatusConflict)
		v = conflict
	case errors.Is(err, platform.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, platform.ErrUnknown):
		// A lost reply: the caller sees its connection break.
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(v)
}
