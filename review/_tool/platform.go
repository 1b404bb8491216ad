package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"topazmoor/internal/store"
	"topazmoor/platform/standin"
)

// headerTimeout bounds the reading of a request's head at the stand-ins.
const headerTimeout = 5 * time.Second

// The host, the key and the tenant of all callers.
const (
	callerHost = "porto.example"
	callerKey  = "chave-1"
	tenant     = "praticagem"
)

// engines is the service of the model servers.
const engines = "topaz-pool"

// world is the platform's store and the targets.
type world struct {
	memory    *store.Memory
	storeAddr string
	stops     []func() error
}

func newWorld() (*world, error) {
	w := &world{memory: store.NewMemory()}
	var err error
	w.storeAddr, err = w.serve(standin.NewStore(w.memory))
	return w, err
}

// serve serves a handler at a free port.
func (w *world) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
	// Serve ends with the error of Close.
	go func() { _ = srv.Serve(ln) }()
	w.stops = append(w.stops, srv.Close)
	return ln.Addr().String(), nil
}

func (w *world) close() error {
	var errs []error
	for _, stop := range w.stops {
		errs = append(errs, stop())
	}
	return errors.Join(errs...)
}

// putConfig writes the operator's configuration.
func (w *world) putConfig(ctx context.Context, version int, routes, services []any) error {
	value, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenant, "apiKeys": []string{callerKey}, "priority": 1}},
	})
	if err != nil {
		return err
	}
	_, err = w.memory.Commit(ctx, store.Tx{Writes: []store.Write{{Table: "op", Key: "config", Value: value}}})
	return err
}
