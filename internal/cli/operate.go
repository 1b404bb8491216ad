package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/admin"
	"topazmoor/internal/catalog"
	"topazmoor/internal/control"
	"topazmoor/internal/verdict"
)

// adminArgs say which node is asked and by whom.
type adminArgs struct {
	Admin     string `arg:"--admin,env:TOPAZMOOR_ADMIN" default:"127.0.0.1:8081" placeholder:"ADDR" help:"IP:port of a node's admin listener"`
	TokenFile string `arg:"--token-file,env:TOPAZMOOR_TOKEN_FILE" placeholder:"FILE" help:"file with the operator's token"`
	CA        string `arg:"--ca" placeholder:"FILE" help:"PEM file of the CA, when the listener has TLS"`
}

func (a *adminArgs) client() (*admin.Client, error) {
	if a.TokenFile == "" {
		return nil, usage(eris.New("give --token-file FILE with the operator's token"))
	}
	token, err := readToken(a.TokenFile)
	if err != nil {
		return nil, usage(err)
	}
	c := admin.NewClient(a.Admin, token)
	if a.CA == "" {
		return c, nil
	}
	pem, err := os.ReadFile(a.CA)
	if err != nil {
		return nil, usage(err)
	}
	return c, c.UseTLS(pem)
}

// adminError gives a refusal its exit code.
func adminError(err error) error {
	var refused *admin.RefusedError
	var exit *exitError
	if err == nil || errors.As(err, &exit) {
		return err
	}
	if !errors.As(err, &refused) {
		return &exitError{code: ExitUnavailable, err: err}
	}
	code := ExitFailed
	switch {
	case refused.Code == verdict.RevisionConflict:
		code = ExitConflict
	case refused.Code == verdict.InvalidRequest:
		code = ExitUsage
	case refused.Verdict == verdict.MayHaveRun.String():
		code = ExitUnknown
	case refused.Status >= http.StatusInternalServerError:
		code = ExitUnavailable
	}
	return &exitError{code: code, err: err}
}

// applyCmd submits manifests.
type applyCmd struct {
	adminArgs
	File   string        `arg:"-f,--file" placeholder:"FILE" help:"manifest, JSON with comments"`
	Revert int64         `arg:"--revert-to" placeholder:"REVISION" help:"instead of a file: return to the templates and accounts of an earlier revision, as a new one"`
	Force  bool          `arg:"--force" help:"accept models and adapters that no target offers now"`
	Base   int64         `arg:"--base" help:"revision that the change was made on; refused if others changed since (default: the current one)"`
	DryRun bool          `arg:"--dry-run" help:"validate and show the difference, change nothing"`
	Note   string        `arg:"--note" help:"reason, for the audit trail"`
	Wait   time.Duration `arg:"--wait" placeholder:"TIME" help:"wait until all nodes have the change, at most this long"`
}

func (a *applyCmd) run(ctx context.Context, c *console) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	res, err := a.submit(ctx, cl)
	if err != nil {
		printConflict(c, err)
		return adminError(err)
	}
	if err := c.print(res, func(w io.Writer) { printApply(w, res) }); err != nil {
		return err
	}
	if a.Wait > 0 && res.Accepted {
		return waitFnamesOrAll(ctx, cl, res.Revision, a.Wait)
	}
	return nil
}

func (a *applyCmd) submit(ctx context.Context, cl *admin.Client) (admin.ApplyResult, error) {
	if (a.File == "") == (a.Revert == 0) {
		return admin.ApplyResult{}, usage(eris.New("give either --file FILE or --revert-to REVISION"))
	}
	if a.Revert != 0 {
		return cl.Revert(ctx, admin.RevertRequest{To: a.Revert, DryRun: a.DryRun})
	}
	src, err := os.ReadFile(a.File)
	if err != nil {
		return admin.ApplyResult{}, usage(err)
	}
	res, err := cl.Apply(ctx, admin.ApplyRequest{Base: a.Base, DryRun: a.DryRun, Note: a.Note, Force: a.Force, Manifest: string(src)})
	return res, eris.Wrap(err, a.File)
}

func printApply(w io.Writer, res admin.ApplyResult) {
	for _, d := range res.Diff {
		fmt.Fprintf(w, "%s %s\n", d.Action, d.Object)
		printRegionChange(w, d)
	}
	if res.Accepted {
		fmt.Fprintln(w, "accepted as revision", res.Revision)
		return
	}
	fmt.Fprintln(w, "nothing changed; the configuration is at revision", res.Revision)
}

// printRegionChange shows the regions of an object that a change binds, frees or moves.
func printRegionChange(w io.Writer, d admin.Difference) {
	before := catalog.Item{Value: d.Before}.Regions()
	after := catalog.Item{Value: d.After}.Regions()
	if slices.Equal(before, after) {
		return
	}
	fmt.Fprintf(w, "  regions %s -> %s\n", namesOrAll(before), namesOrAll(after))
}

// namesOrAll returns the names, or "all" if there are none.
func namesOrAll(names []string) string {
	if len(names) == 0 {
		return "all"
	}
	return strings.Join(names, ",")
}

// printConflict shows what changed since the base of an outdated change.
func printConflict(c *console, err error) {
	var refused *admin.RefusedError
	if !errors.As(err, &refused) {
		return
	}
	for _, ch := range refused.Since {
		for _, it := range ch.Items {
			fmt.Fprintf(c.err, "revision %d by %s: %s\n", ch.Revision, ch.By, it.Key())
		}
	}
}

const waitPause = 200 * time.Millisecond

// waitForAll returns when every live node has the revision.
func waitFnamesOrAll(ctx context.Context, cl *admin.Client, revision int64, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		st, err := cl.Status(ctx)
		if err == nil {
			behind := nodesBehind(st, revision)
			if len(behind) == 0 {
				return nil
			}
			err = eris.Errorf("nodes without revision %d: %v", revision, behind)
		}
		select {
		case <-ctx.Done():
			return &exitError{code: ExitFailed, err: err}
		case <-time.After(waitPause):
		}
	}
}

func nodesBehind(st admin.Status, revision int64) []string {
	var out []string
	for _, n := range st.Nodes {
		if (n.State == "self" || n.State == "alive" || n.State == "suspect") && n.Revision < revision {
			out = append(out, n.Name)
		}
	}
	return out
}

// getCmd prints one object of the configuration.
type getCmd struct {
	adminArgs
	Kind string `arg:"positional,required" help:"template, account, drain, data_centre_drain or rollout"`
	Name string `arg:"positional,required"`
}

func (g *getCmd) run(ctx context.Context, c *console) error {
	cl, err := g.client()
	if err != nil {
		return err
	}
	obj, err := cl.Get(ctx, catalog.Kind(g.Kind), g.Name)
	if err != nil {
		return adminError(err)
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	return enc.Encode(obj)
}

// drainCmd orders that a target host, or a data centre, gets no new work.
type drainCmd struct {
	adminArgs
	Host       string `arg:"positional" help:"ID of the target host"`
	DataCentre string `arg:"--data-centre" placeholder:"NAME" help:"drain all target hosts of this data centre instead of one"`
	End        bool   `arg:"--end" help:"lift the order"`
	Reason     string `arg:"--reason" help:"for other operators and the audit trail"`
}

func (d *drainCmd) run(ctx context.Context, c *console) error {
	cl, err := d.client()
	if err != nil {
		return err
	}
	var res admin.ApplyResult
	switch {
	case (d.Host == "") == (d.DataCentre == ""):
		return eris.New("name a target host or --data-centre, one of them")
	case d.DataCentre != "":
		res, err = cl.DrainDataCentre(ctx, d.DataCentre, d.Reason, d.End)
	default:
		res, err = cl.Drain(ctx, d.Host, d.Reason, d.End)
	}
	if err != nil {
		return adminError(err)
	}
	return c.print(res, func(w io.Writer) { printApply(w, res) })
}

// stopCmd stops nodes gracefully.
type stopCmd struct {
	adminArgs
	Node   string `arg:"--node" help:"with --at or --cancel: the node's name"`
	At     string `arg:"--at" placeholder:"TIME" help:"stop then, such as 2026-12-02T15:04:05Z (default: stop the asked node now)"`
	Cancel bool   `arg:"--cancel" help:"cancel the scheduled stop of --node"`
}

func (s *stopCmd) run(ctx context.Context, c *console) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	if s.At != "" || s.Cancel {
		return s.schedule(ctx, c, cl)
	}
	st, err := cl.Stop(ctx)
	if err != nil {
		return adminError(err)
	}
	return c.print(st, func(w io.Writer) { fmt.Fprintf(w, "%s stops; %d requests in flight\n", st.Node, st.InFlight) })
}

func (s *stopCmd) schedule(ctx context.Context, c *console, cl *admin.Client) error {
	if s.Node == "" || (s.At != "" && s.Cancel) {
		return usage(eris.New("give --node with --at TIME or --cancel"))
	}
	res, err := cl.ScheduleStop(ctx, s.Node, s.At)
	if err != nil {
		return adminError(err)
	}
	return c.print(res, func(w io.Writer) { printApply(w, res) })
}

// statusCmd describes a node and the nodes that it knows.
type statusCmd struct{ adminArgs }

func (s *statusCmd) run(ctx context.Context, c *console) error {
	cl, err := s.client()
	if err != nil {
		return err
	}
	st, err := cl.Status(ctx)
	if err != nil {
		return adminError(err)
	}
	return c.print(st, func(w io.Writer) { printStatus(w, st) })
}

func printStatus(out io.Writer, st admin.Status) {
	ready := "ready"
	if !st.Ready {
		ready = "not ready: " + st.Reason
	}
	fmt.Fprintf(out, "%s: %s, revision %d, %d accounts, %d requests in flight, %d target hosts, drained %v\n",
		st.Node, ready, st.Revision, st.Accounts, st.InFlight, st.Hosts, st.Drained)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NODE\tDATA CENTRE\tSTATE\tREVISION")
	for _, n := range st.Nodes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\n", n.Name, n.DataCentre, n.State, n.Revision)
	}
	w.Flush()
	printRegions(out, st.Regions)
}

func printRegions(out io.Writer, regions []admin.RegionStatus) {
	if len(regions) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REGION\tDATA CENTRES\tTARGET HOSTS\tSERVING\tACCOUNTS BOUND TO IT")
	for _, r := range regions {
		fmt.Fprintf(w, "%s\t%v\t%d\t%d\t%d\n", r.Name, r.DataCentres, r.Hosts, r.Serving, r.Accounts)
	}
	w.Flush()
}

// auditCmd prints the audit trail.
type auditCmd struct {
	adminArgs
	After  int64  `arg:"--after" help:"only changes after this revision"`
	By     string `arg:"--by" placeholder:"OPERATOR" help:"only changes by this operator"`
	Object string `arg:"--object" placeholder:"KIND/NAME" help:"only changes of this object, such as account/pilots"`
	Events bool   `arg:"--events" help:"show what happened beside changes: take-overs of control work, refused operators"`
	Since  string `arg:"--since" placeholder:"TIME" help:"with --events: only after this time, such as 2026-12-02T15:04:05Z"`
}

func (a *auditCmd) run(ctx context.Context, c *console) error {
	cl, err := a.client()
	if err != nil {
		return err
	}
	if a.Events {
		events, err := cl.Events(ctx, a.Since)
		if err != nil {
			return adminError(err)
		}
		return c.print(events, func(w io.Writer) { printEvents(w, events) })
	}
	changes, err := cl.Audit(ctx, a.After, a.By, a.Object)
	if err != nil {
		return adminError(err)
	}
	return c.print(changes, func(w io.Writer) { printAudit(w, changes) })
}

func printEvents(out io.Writer, events []control.Event) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tNODE\tWHAT\tOBJECT\tDETAIL")
	for _, e := range events {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.At.Format(time.RFC3339), e.Node, e.Kind, e.Object, e.Detail)
	}
	w.Flush()
}

// describeItem returns the object of an item, with the regions that it names.
func describeItem(it catalog.Item) string {
	if regions := it.Regions(); len(regions) > 0 {
		return it.Key() + " in " + strings.Join(regions, ",")
	}
	return it.Key()
}

func printAudit(out io.Writer, changes []catalog.Change) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REVISION\tTIME\tBY\tOBJECTS\tNOTE")
	for _, ch := range changes {
		var objects []string
		for _, it := range ch.Items {
			objects = append(objects, describeItem(it))
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%v\t%s\n", ch.Revision, ch.At.Format(time.RFC3339), ch.By, objects, ch.Note)
	}
	w.Flush()
}
