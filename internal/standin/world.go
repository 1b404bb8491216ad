package standin

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/settings"
	"topazmoor/internal/store"
)

// PoolSpec describes the targets of one pool of a World.
type PoolSpec struct {
	Pool    settings.Pool
	Targets int
	Slots   int
	// Service is the service time of one call, or of one token of an engine.
	Service time.Duration
	// Models are the models that every engine has loaded. If ModelsByTarget is set, it
	// lists the models of each engine instead.
	Models         []string
	ModelsByTarget [][]string
	// Versions lists the version of each target; empty if they have none.
	Versions []string
}

// modelLoadTime is the time that a stand-in engine takes to load models.
const modelLoadTime = 10 * time.Second

// modelsOf returns the models of engine i, counted from 0.
func (s PoolSpec) modelsOf(i int) []string {
	if s.ModelsByTarget != nil {
		return s.ModelsByTarget[i]
	}
	return s.Models
}

// World is a set of stand-in targets and the in-memory store that lists them as
// hosts.
type World struct {
	Store   *store.Memory
	Targets map[string]*Target
	// Addrs holds the address (IP:port) of each target by ID.
	Addrs   map[string]string
	specs   []PoolSpec
	servers []*http.Server
}

// Harbour returns the pools of a smaller form of the example deployment
// docs/examples/harbour.hujson.
func Harbour() []PoolSpec {
	adapters := []string{"atlas-7b"}
	return []PoolSpec{
		{Pool: settings.Pool{Name: "encoders", Kind: settings.Encode}, Targets: 2, Slots: 8, Service: 5 * time.Millisecond},
		{Pool: settings.Pool{Name: "retrievers", Kind: settings.Retrieve}, Targets: 2, Slots: 8, Service: 8 * time.Millisecond},
		{Pool: settings.Pool{Name: "rerankers", Kind: settings.Rerank}, Targets: 2, Slots: 8, Service: 10 * time.Millisecond},
		{Pool: settings.Pool{Name: "engines", Kind: settings.Generate}, Targets: 3, Slots: 16, Service: 2 * time.Millisecond, Models: adapters},
		{Pool: settings.Pool{Name: "pilot-confirmation", Kind: settings.Service}, Targets: 2, Slots: 4, Service: 10 * time.Millisecond},
		{Pool: settings.Pool{Name: "dock-intake", Kind: settings.Service}, Targets: 2, Slots: 4, Service: 10 * time.Millisecond},
	}
}

// NewWorld starts the targets of all pools, each on a loopback address that
// listen opens. The targets of a pool alternate between two data centres.
func NewWorld(specs []PoolSpec, listen func(addr string) (net.Listener, error)) (*World, error) {
	w := &World{Store: store.NewMemory(), Targets: make(map[string]*Target), Addrs: make(map[string]string), specs: specs}
	for _, spec := range specs {
		for i := range spec.Targets {
			if err := w.addTarget(spec, i, listen); err != nil {
				w.Close()
				return nil, err
			}
		}
	}
	return w, nil
}

func (w *World) addTarget(spec PoolSpec, i int, listen func(addr string) (net.Listener, error)) error {
	ln, err := listen("127.0.0.1:0")
	if err != nil {
		return eris.Wrap(err, "listen")
	}
	id := fmt.Sprintf("%s-%d", spec.Pool.Name, i+1)
	host := store.Host{
		ID: id, Addr: ln.Addr().String(), Pool: spec.Pool.Name, DataCentre: fmt.Sprintf("dc-%d", i%2+1),
		Models: spec.modelsOf(i), Slots: spec.Slots, State: store.Live,
	}
	if spec.Versions != nil {
		host.Version = spec.Versions[i]
	}
	t := NewTarget(TargetConfig{
		Kind: spec.Pool.Kind, Slots: spec.Slots, Service: spec.Service, Models: host.Models,
		LoadTime: modelLoadTime, HonoursFencing: spec.Pool.HonoursFencing,
		OnLoaded: func(models []string) {
			loaded := host
			loaded.Models = models
			w.Store.SetHost(loaded)
		},
	})
	srv := &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	w.Targets[id] = t
	w.Addrs[id] = ln.Addr().String()
	w.servers = append(w.servers, srv)
	w.Store.SetHost(host)
	go func() { _ = srv.Serve(ln) }()
	return nil
}

// Pools returns the settings of all pools.
func (w *World) Pools() []settings.Pool {
	var out []settings.Pool
	for _, s := range w.specs {
		out = append(out, s.Pool)
	}
	return out
}

// Runs returns the number of calls started for a request, over all targets.
func (w *World) Runs(request string) int {
	n := 0
	for _, t := range w.Targets {
		n += t.Runs(request)
	}
	return n
}

// StartTimes returns the start times of calls with this input, a JSON value, over all
// targets of kind Service.
func (w *World) StartTimes(input string) []time.Time {
	var out []time.Time
	for _, t := range w.Targets {
		out = append(out, t.StartTimes(input)...)
	}
	return out
}

// Close stops the servers of all targets.
func (w *World) Close() {
	for _, s := range w.servers {
		s.Close()
	}
}
