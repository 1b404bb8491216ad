package stagebatch

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"topazmoor/internal/targets"
)

// fakePool simulates the targets of a stage pool in virtual time, with faults. It implements
// Worker.
type fakePool struct {
	mu    sync.Mutex
	hosts map[string]*fakeHost
	// made counts how often each piece was produced.
	made map[string]int
	// violations lists violations of the limits that a former must keep.
	violations []string
}

// fakeHost is one target.
type fakeHost struct {
	calls, items int
	largest      int
	running      int
	// factor multiplies the duration of calls. Calls to an unresponsive target never end.
	factor       float64
	unresponsive bool
	// others is the number of calls of other formers that the target reports.
	others int
	// fail has the errors of the next calls.
	fail []error
	// connects is the time before the first byte of a call is sent. reached counts the calls
	// that were sent.
	connects time.Duration
	reached  int
	// space is the free space for results. results has the sizes of the stored results.
	space   int64
	results map[string]int64
}

func newFakePool(n int) (*fakePool, *targets.Table) {
	p := &fakePool{hosts: make(map[string]*fakeHost), made: make(map[string]int)}
	list := targets.New("dc")
	var all []targets.Target
	for i := range n {
		addr := fmt.Sprintf("10.0.0.%d:1", i+1)
		p.hosts[addr] = &fakeHost{factor: 1, space: 1 << 20, results: make(map[string]int64)}
		all = append(all, targets.Target{ID: fmt.Sprint("t", i), Service: "pool", Addr: addr, DataCentre: "dc", Slots: 1})
	}
	list.Replace(all, time.Time{})
	return p, list
}

const testResultBytes = 100 << 10

// Run implements Worker.
func (p *fakePool) Run(ctx context.Context, t targets.Target, items []Item, may func() bool) (Reply, error) {
	p.mu.Lock()
	h := p.hosts[t.Addr]
	h.calls++
	h.items += len(items)
	h.largest = max(h.largest, len(items))
	h.running++
	spec := poolSpec("")
	if h.running > spec.Slots {
		p.violations = append(p.violations, "more calls than slots at "+t.Addr)
	}
	if len(items) > spec.Items {
		p.violations = append(p.violations, "a call of too many pieces")
	}
	takes := time.Duration(h.factor * float64(expected(spec, len(items))))
	if h.space < testResultBytes {
		// Full targets reject all pieces at once.
		takes = 0
	}
	unresponsive := h.unresponsive
	var fail error
	if len(h.fail) > 0 {
		fail, h.fail = h.fail[0], h.fail[1:]
	}
	connects := h.connects
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		h.running--
		p.mu.Unlock()
	}()
	time.Sleep(connects)
	if !may() {
		return Reply{}, &CallError{NotRun: true, Withheld: true, Cause: errors.New("withheld")}
	}
	p.mu.Lock()
	h.reached++
	p.mu.Unlock()
	if fail != nil {
		time.Sleep(10 * time.Millisecond)
		return Reply{}, fail
	}
	if unresponsive {
		<-ctx.Done()
		return Reply{}, &CallError{Cause: ctx.Err()}
	}
	select {
	case <-ctx.Done():
		return Reply{}, &CallError{Cause: ctx.Err()}
	case <-time.After(takes):
	}
	return Reply{Results: p.results(t.Addr, h, items), OtherCalls: h.others}, nil
}

func (p *fakePool) results(addr string, h *fakeHost, items []Item) []ItemResult {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]ItemResult, len(items))
	for i, it := range items {
		if h.space < testResultBytes {
			out[i].Reason = NoSpace
			continue
		}
		id := fmt.Sprintf("%s/%d/%d", it.Request, it.Stage, it.Piece)
		p.made[id]++
		out[i].Handle = fmt.Sprintf("%s/%s#%d", addr, id, p.made[id])
		h.space -= testResultBytes
		h.results[out[i].Handle] = testResultBytes
	}
	return out
}

// Free implements Worker.
func (p *fakePool) Free(_ context.Context, addr string, handles []string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[addr]
	for _, handle := range handles {
		h.space += h.results[handle]
		delete(h.results, handle)
	}
	return nil
}

// Space implements Worker.
func (p *fakePool) Space(_ context.Context, addr string) (int64, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts[addr].space, nil
}

// HolderAddr implements Worker.
func (p *fakePool) HolderAddr(handle string) string {
	addr, _, _ := strings.Cut(handle, "/")
	return addr
}

func (p *fakePool) host(i int) *fakeHost { return p.hosts[fmt.Sprintf("10.0.0.%d:1", i+1)] }
