package node

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/catalog"
	"topazmoor/internal/routing"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// hostPublisher keeps the scheduler's targets up to date with the host list and
// with the drain orders. It implements suture.Service.
type hostPublisher struct {
	n *Node
	// last is what the scheduler was told; it is told again only when it
	// changed.
	last published
}

// published identifies what the targets were made from.
type published struct {
	hosts    *store.Host
	revision int64
	nodes    int
}

// Serve implements suture.Service.
func (p *hostPublisher) Serve(ctx context.Context) error {
	for {
		hosts := p.n.board.Hosts.Changed()
		changed := p.n.board.Catalog.Changed()
		members := p.n.board.Members.Changed()
		p.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-hosts:
		case <-changed:
		case <-members:
		}
	}
}

// applyHosts takes in the host list as the store has it.
func (n *Node) applyHosts(v watch.View) {
	hosts := make([]store.Host, 0, len(v.Rows))
	for _, r := range v.Rows {
		var h store.Host
		if err := json.Unmarshal(r.Value, &h); err != nil {
			n.log.Error("entry of the host list left out", "host", r.Key, "err", err)
			continue
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 && len(n.board.Hosts.Get().Hosts) > 0 {
		n.log.Error("the host list is empty; the last one stays in use")
		return
	}
	slices.SortFunc(hosts, func(a, b store.Host) int { return cmp.Compare(a.ID, b.ID) })
	n.board.Hosts.Store(HostView{Hosts: hosts})
}

func (p *hostPublisher) publish() {
	hosts := p.n.board.Hosts.Get().Hosts
	cfg := p.n.board.Catalog.Get()
	now := published{revision: cfg.Revision, nodes: p.n.peers.nodes()}
	if len(hosts) > 0 {
		now.hosts = &hosts[0]
	}
	if now == p.last {
		return
	}
	p.last = now
	p.n.sched.SetNodes(now.nodes)
	p.n.sched.SetHosts(routing.Subset(p.n.s.Node.Name, serving(hosts, cfg)), cfg.Drained)
}

// serving returns the hosts that may get new work.
func serving(hosts []store.Host, cfg *catalog.Compiled) []store.Host {
	out := make([]store.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.State == store.Live && !cfg.Drained(h.ID) && !cfg.DataCentreDrained(h.DataCentre) {
			out = append(out, h)
		}
	}
	return out
}

const (
	// loadInterval is the time between two load reports of a target while there
	// are few.
	loadInterval = time.Second
	// loadBudget is the most reports a second that a node asks for; with more
	// targets the interval grows. It holds the node's bytes and processor time
	// for control, see docs/CAPACITY.md.
	loadBudget = 8
	// loadTimeout bounds one report.
	loadTimeout = 500 * time.Millisecond
	// maxLoadReport bounds the body of a report, in bytes.
	maxLoadReport = 4 << 10
)

// loadPoller asks targets for their load, in turn. It implements
// suture.Service.
type loadPoller struct{ n *Node }

// Serve implements suture.Service.
func (p *loadPoller) Serve(ctx context.Context) error {
	tr := &http.Transport{DialContext: p.n.env.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: loadTimeout}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		targets := p.n.sched.Targets()
		for _, t := range targets {
			wg.Go(func() { p.report(ctx, client, t) })
			if !sleep(ctx, pace(len(targets))) {
				return ctx.Err()
			}
		}
		if len(targets) == 0 && !sleep(ctx, loadInterval) {
			return ctx.Err()
		}
	}
}

// pace is the pause between two reports.
func pace(targets int) time.Duration {
	return max(loadInterval/time.Duration(max(targets, 1)), time.Second/loadBudget)
}

// sleep reports false when ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// report asks one target. A failure leaves the last report in use: whether the
// target works is learned from its calls.
func (p *loadPoller) report(ctx context.Context, client *http.Client, t scheduler.TargetRef) {
	sent := p.n.sched.Sent(t.Pool, t.ID)
	calls, err := fetchLoad(ctx, client, t.Addr)
	if err != nil {
		p.n.log.Debug("no load report", "target", t.ID, "err", err)
		return
	}
	p.n.sched.Report(t.Pool, t.ID, calls, sent)
}

func fetchLoad(ctx context.Context, client *http.Client, addr string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil)
	if err != nil {
		return 0, eris.Wrap(err, "build load request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "load report")
	}
	defer resp.Body.Close()
	var l struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadReport)).Decode(&l)
	return l.Running + l.Waiting, eris.Wrap(err, "load report")
}
