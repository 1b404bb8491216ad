package resume

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/store"
)

// Table is the store's table with a row for each service whose targets have several versions, or had lately.
const Table = "versions"

const (
	// historyInterval is the interval at which rows are checked, and for how long a read that found no row
	// stands.
	historyInterval = 5 * time.Second
	// historyTimeout bounds a check of one row.
	historyTimeout = 2 * time.Second
)

// History keeps in the store which services have targets of several versions, or had lately. Nodes that start
// after a loss of all others learn from it that a version may be gone from the list. It is safe for concurrent
// use. It implements suture.Service.
type History struct {
	Store store.Tables
	// Versions is as in Registry.
	Versions Versions
	// Services returns the services that have targets.
	Services func() []string
	// Writes reports whether this node is one of those that write the row of a service.
	Writes func(service string) bool
	Log    *slog.Logger

	// wake makes Serve check the rows of services whose versions have changed.
	wake chan struct{}
	// checked has the versions at the last check of each service. Only Serve uses it.
	checked map[string][]string

	mu sync.Mutex
	// absentAt holds when a read last found no row of a service.
	absentAt map[string]time.Time
	// settled are the services with one version whose row was checked since.
	settled map[string]bool
}

// historyRow is a row of Table.
type historyRow struct {
	Versions []string `json:"versions"`
}

// NewHistory returns a History. Its other fields are set before it is used.
func NewHistory() *History {
	return &History{wake: make(chan struct{}, 1), checked: make(map[string][]string), absentAt: make(map[string]time.Time), settled: make(map[string]bool)}
}

// TargetsChanged makes Serve check the rows of services whose versions have changed.
func (h *History) TargetsChanged() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// HostResumed is called after the host was suspended: reads from before say nothing of the rows that came meanwhile.
func (h *History) HostResumed() {
	h.mu.Lock()
	defer h.mu.Unlock()
	clear(h.absentAt)
}

// Serve implements suture.Service.
func (h *History) Serve(ctx context.Context) error {
	tick := time.NewTicker(historyInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-h.wake:
			h.checkAll(ctx, h.changed)
		case <-tick.C:
			h.checkAll(ctx, func(string) bool { return true })
		}
	}
}

// checkAll checks the rows of the services for which due returns true.
func (h *History) checkAll(ctx context.Context, due func(service string) bool) {
	for _, service := range h.Services() {
		if due(service) {
			h.check(ctx, service)
		}
	}
}

// changed reports whether a service has other versions than at its last check.
func (h *History) changed(service string) bool {
	versions, _ := h.Versions(service)
	return !slices.Equal(versions, h.checked[service])
}

// check makes the row of a service what this node knows, if it is one of those that write it.
func (h *History) check(ctx context.Context, service string) {
	versions, followed := h.Versions(service)
	complete := followed >= recordedMemory
	h.checked[service] = versions
	one := len(versions) < 2
	if one && (!complete || h.isSettled(service)) || !h.Writes(service) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	err := h.write(ctx, service, versions, complete)
	h.setSettled(service, one && err == nil)
	if err != nil && ctx.Err() == nil {
		h.Log.Info("versions of a service not written yet", "service", service, "versions", versions, "err", err)
	}
}

// write writes the row of a service, or removes it if all streams began at the only version.
func (h *History) write(ctx context.Context, service string, versions []string, complete bool) error {
	before, version, err := h.read(ctx, service)
	if err != nil {
		return err
	}
	if !complete {
		versions = union(versions, before)
	}
	w := store.Write{Table: Table, Key: service, Delete: len(versions) < 2}
	if w.Delete && before == nil {
		return nil
	}
	if slices.Equal(before, versions) {
		return nil
	}
	if !w.Delete {
		if w.Value, err = json.Marshal(historyRow{versions}); err != nil {
			return eris.Wrap(err, "encode versions")
		}
	}
	_, err = h.Store.Commit(ctx, store.Tx{Conditions: []store.Condition{{Table: Table, Key: service, Version: version}}, Writes: []store.Write{w}})
	if err == nil {
		h.Log.Info("versions of a service written", "service", service, "versions", versions, "before", before)
	}
	return err
}

// HadSeveral reports whether the store says that a service has had several versions lately.
func (h *History) HadSeveral(ctx context.Context, service string) (bool, error) {
	if h.wasAbsent(service) {
		return false, nil
	}
	versions, _, err := h.read(ctx, service)
	return len(versions) > 1, err
}

// read returns the versions in the row of a service and the version of the row; nil and zero for none.
func (h *History) read(ctx context.Context, service string) ([]string, store.Version, error) {
	row, err := h.Store.Get(ctx, Table, service)
	if errors.Is(err, store.ErrNotFound) {
		h.setAbsent(service)
		return nil, store.Version{}, nil
	}
	if err != nil {
		return nil, store.Version{}, err
	}
	var content historyRow
	if err := json.Unmarshal(row.Value, &content); err != nil {
		return nil, store.Version{}, eris.Wrapf(err, "decode versions of %s", service)
	}
	return content.Versions, row.Version, nil
}

// wasAbsent reports whether a read has found no row of a service lately.
func (h *History) wasAbsent(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.absentAt[service]
	return ok && time.Since(at) < historyInterval
}

func (h *History) setAbsent(service string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.absentAt[service] = time.Now()
}

func (h *History) isSettled(service string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.settled[service]
}

func (h *History) setSettled(service string, settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled[service] = settled
}

// union returns the sorted elements of a and b.
func union(a, b []string) []string {
	out := append(slices.Clone(a), b...)
	slices.Sort(out)
	return slices.Compact(out)
}
