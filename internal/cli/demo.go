package cli

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/docs/examples"
	"topazmoor/internal/admin"
	"topazmoor/internal/caller"
	"topazmoor/internal/membership"
	"topazmoor/internal/node"
	"topazmoor/internal/pipeline"
	"topazmoor/internal/settings"
	"topazmoor/internal/standin"
	"topazmoor/internal/store"
	"topazmoor/internal/verdict"
)

// demoCmd runs the whole system in one process.
type demoCmd struct {
	Nodes     int      `arg:"--nodes" default:"3" help:"number of entry nodes"`
	Verbose   bool     `arg:"-v,--verbose" help:"write the nodes' logs to standard error"`
	Templates []string `arg:"positional" placeholder:"FILE" help:"manifests to apply; default: built-in copies of docs/examples"`
}

// demoToken is the operator's token of the demo.
const demoToken = "demo-operator"

// readyTimeout bounds the wait for all nodes to serve.
const readyTimeout = 10 * time.Second

// demo is a running demo.
type demo struct {
	world  *standin.World
	nodes  []*node.Node
	admin  *admin.Client
	caller *caller.Client
	cancel context.CancelFunc
	done   chan error
}

// demoRow is one line of the demo's table.
type demoRow struct {
	Request  string               `json:"request"`
	Node     string               `json:"node"`
	Verdict  string               `json:"verdict"`
	Code     string               `json:"code,omitempty"`
	Ms       float64              `json:"latency_ms"`
	Deadline string               `json:"deadline"`
	Stages   []pipeline.StageCost `json:"stages,omitempty"`
	Problem  string               `json:"problem,omitempty"`
}

func (d *demoCmd) run(ctx context.Context, c *console) error {
	if d.Nodes < 1 {
		return usage(eris.New("--nodes: write 1 or more"))
	}
	run, err := d.start(ctx, c)
	if err != nil {
		return err
	}
	defer run.stop()
	if err := d.apply(ctx, run); err != nil {
		return err
	}
	if err := run.waitReady(ctx); err != nil {
		return err
	}
	rows := run.requests(ctx)
	onPlatform, err := platformDemo(ctx, newLogger(d.logs(c), "info", "text"))
	if err != nil {
		return eris.Wrap(err, "demo on the platform")
	}
	rows = append(rows, onPlatform...)
	if err := c.print(rows, func(w io.Writer) { printRows(w, rows) }); err != nil {
		return err
	}
	return failures(rows)
}

func failures(rows []demoRow) error {
	var bad []string
	for _, r := range rows {
		if r.Problem != "" {
			bad = append(bad, r.Request+": "+r.Problem)
		}
	}
	if len(bad) > 0 {
		return eris.New(strings.Join(bad, "; "))
	}
	return nil
}

// logs is where the nodes' logs go.
func (d *demoCmd) logs(c *console) io.Writer {
	if d.Verbose {
		return c.err
	}
	return io.Discard
}

func (d *demoCmd) start(ctx context.Context, c *console) (*demo, error) {
	world, err := standin.NewWorld(standin.Harbour(), listenTCP)
	if err != nil {
		return nil, err
	}
	logs := d.logs(c)
	ctx, cancel := context.WithCancel(ctx)
	run := &demo{
		world: world, cancel: cancel, done: make(chan error, d.Nodes),
		admin: admin.NewClient("", demoToken), caller: caller.New((&net.Dialer{}).DialContext),
	}
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, eris.Wrap(err, "peer key")
	}
	for i := range d.Nodes {
		env := node.Env{
			Dial: (&net.Dialer{}).DialContext, Listen: listenTCP, ListenPacket: listenUDP, Store: world.Store, PeerKey: key,
			NewID: newID, Seed: uint64(i), Log: newLogger(logs, "info", "text"),
		}
		n, err := node.Provision(demoSettings(i, world.Pools(), run.peerAddrs()), env)
		if err != nil {
			run.stop()
			return nil, err
		}
		run.nodes = append(run.nodes, n)
		go func() { run.done <- n.Serve(ctx) }()
	}
	run.admin.Addr = run.nodes[0].Addr("admin")
	return run, nil
}

func (r *demo) peerAddrs() []string {
	var out []string
	for _, n := range r.nodes {
		out = append(out, n.Addr("peer"))
	}
	return out
}

// demoSettings returns the settings of node i on loopback with free ports.
func demoSettings(i int, pools []settings.Pool, seeds []string) settings.Settings {
	free := settings.Listener{Addr: "127.0.0.1:0"}
	s := settings.Settings{
		Node:     settings.Node{Name: fmt.Sprintf("entry-%d", i+1), DataCentre: fmt.Sprintf("dc-%d", i%2+1)},
		Listen:   settings.Listen{Caller: free, Admin: free, Peer: free, Observe: free},
		Platform: settings.Platform{Addr: "127.0.0.1:1"},
		Peers:    settings.Peers{KeyFile: "unused", Seeds: seeds, Interval: settings.Duration(200 * time.Millisecond)},
		Operators: []settings.Operator{
			{Name: "demo", TokenSHA256: hashToken(demoToken)},
		},
		Pools: pools,
		Stop:  settings.Stop{BalancerLag: settings.Duration(50 * time.Millisecond)},
	}
	s.SetDefaults()
	return s
}

func (d *demoCmd) apply(ctx context.Context, run *demo) error {
	manifests := []string{examples.Harbour, examples.Utility}
	if len(d.Templates) > 0 {
		manifests = nil
	}
	for _, file := range d.Templates {
		src, err := os.ReadFile(file)
		if err != nil {
			return usage(err)
		}
		manifests = append(manifests, string(src))
	}
	for _, m := range manifests {
		if _, err := run.admin.Apply(ctx, admin.ApplyRequest{Manifest: m, Note: "demo"}); err != nil {
			return err
		}
	}
	return nil
}

func (r *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	want := r.nodes[0].Status().Revision
	for _, n := range r.nodes {
		for {
			ready, reason := n.Ready()
			if ready && n.Status().Revision >= want {
				break
			}
			select {
			case <-ctx.Done():
				return eris.Errorf("node %s is not ready: %s", n.Status().Node, reason)
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func (r *demo) stop() {
	for _, n := range r.nodes {
		n.RequestStop()
	}
	for range r.nodes {
		<-r.done
	}
	r.cancel()
	r.caller.Close()
	r.world.Close()
}

// requests sends the demo's requests through all nodes in turn.
func (r *demo) requests(ctx context.Context) []demoRow {
	var rows []demoRow
	for i, n := range r.nodes {
		addr := n.Addr("caller")
		rows = append(rows, r.answered(ctx, fmt.Sprintf("answer %d", i+1), caller.Request{
			Addr: addr, Token: "dispatch-desk-token", Pipeline: "radio-desk", Input: "which tug meets the ship at berth 4",
		}))
	}
	last := r.nodes[len(r.nodes)-1].Addr("caller")
	rows = append(rows, r.answered(ctx, "second deployment", caller.Request{
		Addr: last, Token: "receiving-dock-token", Pipeline: "certificate-summary", Input: "heat numbers of coil 17",
	}))
	rows = append(rows, r.streamed(ctx, last), r.confirmedOnce(ctx), r.confirmedByTicket(ctx), r.refused(ctx), r.unauthenticated(ctx))
	return rows
}

// send makes one request and turns its result into a row.
func (r *demo) send(ctx context.Context, name string, q caller.Request) (demoRow, *caller.Result) {
	res, err := r.caller.Run(ctx, q)
	row := demoRow{Request: name}
	if err != nil {
		row.Problem = "no answer: " + err.Error()
		return row, nil
	}
	row.Verdict = res.Verdict()
	row.Ms = float64(res.Elapsed.Microseconds()) / 1000
	if res.Problem != nil {
		row.Node, row.Code, row.Stages, row.Deadline = res.Problem.Node, string(res.Problem.Code), res.Problem.Stages, "-"
		return row, res
	}
	row.Node, row.Stages, row.Deadline = res.Reply.Node, res.Reply.Stages, "met"
	if !res.Reply.DeadlineMet {
		row.Deadline = "missed"
	}
	return row, res
}

func (r *demo) answered(ctx context.Context, name string, q caller.Request) demoRow {
	row, res := r.send(ctx, name, q)
	if res == nil {
		return row
	}
	if res.Reply == nil || !res.Reply.DeadlineMet || len(res.Reply.Output) == 0 {
		row.Problem = "want a complete answer in time"
	}
	return row
}

func (r *demo) streamed(ctx context.Context, addr string) demoRow {
	row, res := r.send(ctx, "streamed", caller.Request{
		Addr: addr, Token: "dispatch-desk-token", Pipeline: "radio-desk", Input: "read out the night plan", Stream: true,
	})
	if res == nil {
		return row
	}
	for i, t := range res.Tokens {
		if t.Index != i {
			row.Problem = fmt.Sprintf("token %d came as number %d", t.Index, i)
		}
	}
	if res.Reply == nil || len(res.Tokens) == 0 {
		row.Problem = "want tokens and a complete answer"
	}
	return row
}

// confirmedOnce sends one request that may not be repeated to two nodes with
// the same key.
func (r *demo) confirmedOnce(ctx context.Context) demoRow {
	return r.confirmTwice(ctx, "once, by key, twice", "Aurora", "berth-4-aurora")
}

// confirmedByTicket does the same with a ticket while the platform is down.
func (r *demo) confirmedByTicket(ctx context.Context) demoRow {
	const name = "once, by ticket, platform down"
	ticket, err := r.caller.Ticket(ctx, r.nodes[0].Addr("caller"), "pilots-token")
	if err != nil {
		return demoRow{Request: name, Problem: err.Error()}
	}
	r.world.Store.SetFaults(store.Faults{Down: true})
	defer r.world.Store.SetFaults(store.Faults{})
	return r.confirmTwice(ctx, name, "Boreal", ticket)
}

// confirmTwice sends a confirmation to the first and the last node: it must run
// once and be answered twice alike.
func (r *demo) confirmTwice(ctx context.Context, name, ship, key string) demoRow {
	q := caller.Request{
		Addr: r.nodes[0].Addr("caller"), Token: "pilots-token", Pipeline: "berth-confirmation",
		Input: map[string]string{"ship": ship}, Key: key,
	}
	before := r.serviceRuns()
	row, res := r.send(ctx, name, q)
	if res == nil || res.Reply == nil {
		row.Problem = "want an answer"
		return row
	}
	q.Addr = r.nodes[len(r.nodes)-1].Addr("caller")
	_, again := r.send(ctx, "", q)
	return r.checkOnce(row, res, again, before)
}

func (r *demo) checkOnce(row demoRow, first, again *caller.Result, runsBefore int) demoRow {
	switch {
	case r.serviceRuns() != runsBefore+1:
		row.Problem = fmt.Sprintf("the service ran %d times", r.serviceRuns()-runsBefore)
	case again == nil || again.Reply == nil || again.Reply.RequestID != first.Reply.RequestID:
		row.Problem = "the repeat did not get the recorded answer"
	}
	return row
}

func (r *demo) serviceRuns() int {
	n := 0
	for id, t := range r.world.Targets {
		if strings.HasPrefix(id, "pilot-confirmation") {
			n += t.TotalRuns()
		}
	}
	return n
}

func (r *demo) refused(ctx context.Context) demoRow {
	before := r.serviceRuns()
	row, res := r.send(ctx, "refused, deadline too short", caller.Request{
		Addr: r.nodes[0].Addr("caller"), Token: "pilots-token", Pipeline: "berth-confirmation",
		Input: "x", Deadline: time.Nanosecond,
	})
	if res == nil {
		return row
	}
	if row.Verdict != verdict.NotRun.String() || r.serviceRuns() != before || res.Problem.RetryAfterMS == 0 {
		row.Problem = "want not_run with a time to retry, and no run"
	}
	return row
}

func (r *demo) unauthenticated(ctx context.Context) demoRow {
	row, res := r.send(ctx, "refused, wrong token", caller.Request{
		Addr: r.nodes[0].Addr("caller"), Token: "guess", Pipeline: "berth-confirmation", Input: "x",
	})
	if res != nil && row.Code != string(verdict.Unauthenticated) {
		row.Problem = "want unauthenticated"
	}
	return row
}

func printRows(out io.Writer, rows []demoRow) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tNODE\tVERDICT\tCODE\tMS\tDEADLINE\tCOST BY STAGE (target ms)\t")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1f\t%s\t%s\t%s\n", r.Request, r.Node, r.Verdict, r.Code, r.Ms, r.Deadline, costs(r.Stages), mark(r.Problem))
	}
	w.Flush()
}

func mark(problem string) string {
	if problem == "" {
		return "ok"
	}
	return "WRONG: " + problem
}

func costs(stages []pipeline.StageCost) string {
	var parts []string
	for _, s := range stages {
		parts = append(parts, fmt.Sprintf("%s %.1f", s.Stage, s.TargetMS))
	}
	return strings.Join(parts, ", ")
}

func listenUDP(addr string) (membership.PacketConn, error) { return net.ListenPacket("udp", addr) }

func listenTCP(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// newID returns 128 random bits in hex.
func newID() string {
	var b [16]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}
