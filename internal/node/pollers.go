package node

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"topazmoor/internal/platform"
)

// hostPoller reads the host list and keeps the scheduler's targets up to date
// with it and with the drain orders. It implements suture.Service.
type hostPoller struct{ n *Node }

// Serve implements suture.Service.
func (p *hostPoller) Serve(ctx context.Context) error {
	every := p.n.s.Platform.HostPoll.Std()
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		changed := p.n.board.Catalog.Changed()
		members := p.n.board.Members.Changed()
		p.publish()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-members:
		case <-next.C:
			p.read(ctx)
			next.Reset(every/2 + rand.N(every))
		}
	}
}

func (p *hostPoller) read(ctx context.Context) {
	hosts, err := p.n.env.Store.ListHosts(ctx)
	if err != nil {
		p.n.log.Warn("host list not read; the last one stays in use", "err", err, "age", time.Since(p.n.board.Hosts.Get().Read).Round(time.Second))
		return
	}
	p.n.board.Hosts.Store(HostView{Hosts: hosts, Read: time.Now()})
}

func (p *hostPoller) publish() {
	p.n.sched.SetNodes(p.n.peers.nodes())
	view := p.n.board.Hosts.Get()
	if view.Hosts == nil {
		return
	}
	p.n.sched.SetHosts(view.Hosts, p.n.board.Catalog.Get().Drained)
}

const (
	// loadInterval is the time between two load reports of a target.
	loadInterval = time.Second
	// loadTimeout bounds one report.
	loadTimeout = 500 * time.Millisecond
	// loadParallel is how many reports are asked for at once.
	loadParallel = 16
	// maxLoadReport bounds the body of a report, in bytes.
	maxLoadReport = 4 << 10
)

// loadPoller asks targets for their load. It implements suture.Service.
type loadPoller struct{ n *Node }

// Serve implements suture.Service.
func (p *loadPoller) Serve(ctx context.Context) error {
	tr := &http.Transport{DialContext: p.n.env.Dial, MaxIdleConnsPerHost: 1, IdleConnTimeout: 10 * loadInterval}
	defer tr.CloseIdleConnections()
	client := &http.Client{Transport: tr, Timeout: loadTimeout}
	for {
		p.round(ctx, client)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(loadInterval/2 + rand.N(loadInterval)):
		}
	}
}

func (p *loadPoller) round(ctx context.Context, client *http.Client) {
	var g errgroup.Group
	g.SetLimit(loadParallel)
	for _, h := range p.n.board.Hosts.Get().Hosts {
		g.Go(func() error {
			p.report(ctx, client, h)
			return nil
		})
	}
	_ = g.Wait()
}

// report asks one target. A failure leaves the last report in use: whether the
// target works is learned from its calls.
func (p *loadPoller) report(ctx context.Context, client *http.Client, h platform.Host) {
	sent := p.n.sched.Sent(h.Pool, h.ID)
	calls, err := fetchLoad(ctx, client, h.Addr)
	if err != nil {
		p.n.log.Debug("no load report", "target", h.ID, "err", err)
		return
	}
	p.n.sched.Report(h.Pool, h.ID, calls, sent)
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
