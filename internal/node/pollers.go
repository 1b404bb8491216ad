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
	"topazmoor/internal/httpanswer"
	"topazmoor/internal/routing"
	"topazmoor/internal/scheduler"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// hostPublisher updates the scheduler's targets and node count when the host list,
// the configuration (including drains) or the membership changes. It implements
// suture.Service.
type hostPublisher struct {
	n *Node
	// last identifies the inputs of the last update of the scheduler. Equal
	// inputs cause no update.
	last publishedInputs
}

// publishedInputs identifies the inputs of an update of the scheduler.
type publishedInputs struct {
	// hosts points to the first element of the host list; each new list has a
	// new backing array.
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

// applyHosts publishes the host list read from the store. It skips rows that do
// not decode and ignores an empty list while a non-empty one is in use.
func (n *Node) applyHosts(v watch.View) {
	hosts := make([]store.Host, 0, len(v.Rows))
	for _, r := range v.Rows {
		var h store.Host
		if err := json.Unmarshal(r.Value, &h); err != nil {
			n.log.Error("host list row skipped: decoding failed", "host", r.Key, "err", err)
			continue
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 && len(n.board.Hosts.Get().Hosts) > 0 {
		n.log.Error("empty host list ignored: previous list stays in use")
		return
	}
	slices.SortFunc(hosts, func(a, b store.Host) int { return cmp.Compare(a.ID, b.ID) })
	n.board.Hosts.Store(HostView{Hosts: hosts})
}

func (p *hostPublisher) publish() {
	hosts := p.n.board.Hosts.Get().Hosts
	cfg := p.n.board.Catalog.Get()
	now := publishedInputs{revision: cfg.Revision, nodes: p.n.peers.nodes()}
	if len(hosts) > 0 {
		now.hosts = &hosts[0]
	}
	if now == p.last {
		return
	}
	if now.revision != p.last.revision && p.n.links.Tunnels()["opened"] > 0 {
		// Some may go through nodes that may no longer carry them.
		p.n.calls.Close()
	}
	p.last = now
	p.n.sched.SetNodes(now.nodes)
	serving := routing.Subset(p.n.s.Node.Name, servingHosts(hosts, cfg), p.n.hostGroups(cfg))
	p.n.sched.SetHosts(serving, cfg.Drained)
}

// servingHosts returns the hosts that may receive new work: live hosts that are not
// drained, in data centres that are not drained.
func servingHosts(hosts []store.Host, cfg *catalog.Compiled) []store.Host {
	out := make([]store.Host, 0, len(hosts))
	for _, h := range hosts {
		if h.State == store.Live && !cfg.Drained(h.ID) && !cfg.DataCentreDrained(h.DataCentre) {
			out = append(out, h)
		}
	}
	return out
}

// hostGroups returns the groupOf of routing.Subset: the region of a host, and its version too while its
// pool has a roll-out. So each node has targets of both versions in each region.
func (n *Node) hostGroups(cfg *catalog.Compiled) func(store.Host) string {
	regions, rollouts := n.s.RegionMap(), cfg.Rollouts()
	return func(h store.Host) string {
		if _, ok := rollouts[h.Pool]; !ok {
			return regions[h.DataCentre]
		}
		return regions[h.DataCentre] + "\x00" + h.Version
	}
}

const (
	// loadInterval is the time between two load reports of one target while there
	// are at most maxLoadReportsPerSecond targets.
	loadInterval = time.Second
	// maxLoadReportsPerSecond is the maximum number of load reports per second
	// that a node requests. With more targets, each target's interval grows. The limit bounds
	// the node's network traffic and CPU time for control; see docs/CAPACITY.md.
	maxLoadReportsPerSecond = 8
	// loadTimeout is the timeout of one load report.
	loadTimeout = 500 * time.Millisecond
	// maxLoadReportBytes is the maximum size of a report's body, in bytes.
	maxLoadReportBytes = 4 << 10
)

// loadPoller requests load reports from the scheduler's targets, one target after
// another, without waiting for the previous reply. It implements suture.Service.
type loadPoller struct{ n *Node }

// Serve implements suture.Service.
func (p *loadPoller) Serve(ctx context.Context) error {
	tr := httpanswer.NewTransport(httpanswer.Options{Dial: p.n.links.DialContext, MaxIdle: 1, IdleTimeout: time.Minute})
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: loadTimeout}
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		targets := p.n.sched.Targets()
		for _, t := range targets {
			wg.Go(func() { p.report(ctx, client, t) })
			if !sleep(ctx, loadRequestPause(len(targets))) {
				return ctx.Err()
			}
		}
		if len(targets) == 0 && !sleep(ctx, loadInterval) {
			return ctx.Err()
		}
	}
}

// loadRequestPause returns the pause between two load requests of a node with that
// many targets.
func loadRequestPause(targets int) time.Duration {
	return max(loadInterval/time.Duration(max(targets, 1)), time.Second/maxLoadReportsPerSecond)
}

// sleep waits for d. It returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// report fetches the load of one target and passes it to the scheduler. After a
// failure the last report stays in use: the health of a target is determined from
// its calls, not from its load reports.
func (p *loadPoller) report(ctx context.Context, client *http.Client, t scheduler.TargetRef) {
	sent := p.n.sched.InFlight(t.Pool, t.ID)
	calls, err := fetchLoad(ctx, client, t.Addr)
	if err != nil {
		p.n.log.Debug("load report failed", "target", t.ID, "err", err)
		return
	}
	p.n.sched.RecordLoad(t.Pool, t.ID, calls, sent)
}

// fetchLoad returns the number of calls that run or wait at the target.
func fetchLoad(ctx context.Context, client *http.Client, addr string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/load", nil)
	if err != nil {
		return 0, eris.Wrap(err, "build load request")
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, eris.Wrap(err, "fetch load report")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxLoadReportBytes))
	if err != nil {
		return 0, eris.Wrap(err, "read load report")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, eris.Errorf("the target answered %d", resp.StatusCode)
	}
	var l struct {
		Running int `json:"running"`
		Waiting int `json:"waiting"`
	}
	err = json.Unmarshal(body, &l)
	return l.Running + l.Waiting, eris.Wrap(err, "decode load report")
}
