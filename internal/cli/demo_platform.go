package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/entry"
	"topazmoor/internal/httpanswer"
	"topazmoor/internal/verdict"
	"topazmoor/platform"
	platformstandin "topazmoor/platform/standin"
)

// platformSettings is a settings file of the platform on loopback with free ports.
const platformSettings = `node = %q
zone = "hall"
region = "demo"
ip = "127.0.0.1"
portRange = [0,0]
[listen]
front = "127.0.0.1:0"
ready = "127.0.0.1:0"
[bounds]
graceS = 2
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 50
[platform]
address = %q
`

// platformDemo runs two entry nodes on stand-ins of the platform and returns a row
// a request.
func platformDemo(ctx context.Context, log *slog.Logger) ([]demoRow, error) {
	d, err := platformstandin.NewDeployment(listenTCP)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	dir, err := os.MkdirTemp("", "topazmoor-demo")
	if err != nil {
		return nil, eris.Wrap(err, "settings of the demo")
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var nodes []*entry.Node
	for i := range 2 {
		name := fmt.Sprintf("platform-%d", i+1)
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, fmt.Appendf(nil, platformSettings, name, d.StoreAddr), 0o600); err != nil {
			return nil, eris.Wrap(err, "settings of the demo")
		}
		n, err := platform.Provision(file, log, nil, 0)
		if err != nil {
			return nil, err
		}
		done := make(chan error, 1)
		go func() { done <- n.Serve(ctx) }()
		defer func() {
			cancel()
			if err := <-done; err != nil {
				log.Error("entry node of the demo", "err", err)
			}
		}()
		nodes = append(nodes, n)
	}
	if err := platformReady(ctx, nodes); err != nil {
		return nil, err
	}
	return []demoRow{
		platformCall(ctx, "platform: call that may not be repeated", nodes[0], platformstandin.ServicePath, platformstandin.Key, "", http.StatusOK),
		platformCall(ctx, "platform: stream after two stages", nodes[0], platformstandin.StreamPath, platformstandin.Key, "2,1", http.StatusOK),
		platformCall(ctx, "platform: the same at the other node", nodes[1], platformstandin.StreamPath, platformstandin.Key, "1,1", http.StatusOK),
		platformCall(ctx, "platform: unknown key", nodes[1], platformstandin.ServicePath, "other", "", http.StatusUnauthorized),
	}, nil
}

func platformReady(ctx context.Context, nodes []*entry.Node) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, n := range nodes {
		for {
			if ready, _ := n.Ready(); ready {
				break
			}
			select {
			case <-ctx.Done():
				_, reason := n.Ready()
				return eris.Errorf("an entry node is not ready: %s", reason)
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	return nil
}

// demoClient is the caller of the demo.
var demoClient = &http.Client{Transport: httpanswer.NewTransport(httpanswer.Options{})}

// platformCall makes one request and compares its status.
func platformCall(ctx context.Context, name string, n *entry.Node, path, key, pieces string, want int) demoRow {
	row := demoRow{Request: name, Node: n.Name(), Deadline: "3s"}
	start := time.Now()
	req, err := platformstandin.Request(ctx, n.CallerAddr(), path+"x", newID(), key, pieces)
	if err != nil {
		row.Problem = err.Error()
		return row
	}
	resp, err := demoClient.Do(req)
	if err != nil {
		row.Problem = err.Error()
		return row
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	row.Ms = float64(time.Since(start)) / float64(time.Millisecond)
	row.Verdict, row.Code = verdict.NotRun.String(), fmt.Sprint(resp.StatusCode)
	if resp.StatusCode == http.StatusOK {
		row.Verdict = verdict.Ran.String()
	}
	if err != nil || resp.StatusCode != want {
		row.Problem = fmt.Sprintf("status %d, want %d, body %v", resp.StatusCode, want, err)
	}
	return row
}
