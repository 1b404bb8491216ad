package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"topazmoor/internal/experiment/rollouts"
	"topazmoor/internal/peer"
	"topazmoor/internal/rollout"
)

// rolloutCmd plays roll-outs of versions.
type rolloutCmd struct {
	Hosts     string        `arg:"--hosts" default:"8,76,338,985,2000" help:"sizes of fleets, in hosts"`
	PerSecond float64       `arg:"--per-second" default:"130" help:"calls a second of the whole fleet"`
	Lasts     time.Duration `arg:"--lasts" default:"30s" help:"time of an order"`
	Share     float64       `arg:"--share" default:"0.1" help:"share that a version may have while it is not known"`
	Slack     float64       `arg:"--slack" default:"50" help:"calls that it may have beside that"`
	Seeds     int           `arg:"--seeds" default:"5" help:"runs of each version"`
	SVG       string        `arg:"--svg" placeholder:"FILE" help:"also draw the results into a picture"`
}

func (r *rolloutCmd) run(ctx context.Context, c *console) error {
	hosts, err := fleetSizes(r.Hosts)
	if err != nil {
		return usage(err)
	}
	if r.Seeds < 1 || r.PerSecond <= 0 || r.Lasts < time.Second {
		return usage(fmt.Errorf("write --seeds of 1 or more, --per-second above 0 and --lasts of 1s or more"))
	}
	kinds := [][]rollouts.Version{rollouts.GoodVersions(), rollouts.BadVersions()}
	done, all := 0, len(hosts)*r.Seeds*(len(kinds[0])+len(kinds[1]))
	played := func() {
		if done++; onTerminal(os.Stderr) {
			fmt.Fprintf(c.err, "\r%d of %d runs", done, all)
		}
	}
	var out []rollouts.Summary
	for _, n := range hosts {
		for _, versions := range kinds {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			s := rollouts.Scenario{Nodes: n, PerSecond: r.PerSecond, Lasts: r.Lasts, Bounds: rollout.Bounds{Share: r.Share, Slack: r.Slack}}
			out = append(out, rollouts.Summarize(s, versions, r.Seeds, peer.ReportSize, played))
		}
	}
	if onTerminal(os.Stderr) {
		fmt.Fprintln(c.err)
	}
	if r.SVG != "" {
		if err := drawTo(r.SVG, func(w io.Writer) error { return rollouts.Draw(w, out) }); err != nil {
			return err
		}
	}
	return c.print(out, func(w io.Writer) { writeRollouts(w, out) })
}

// writeRollouts writes a table, a line for each size of fleet and kind of version.
func writeRollouts(w io.Writer, list []rollouts.Summary) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// A failed write of the console shows on the console.
	_, _ = fmt.Fprintln(tw, "hosts\tversions\truns\tended wrongly\tpast the bound\tcalls too late\tlargest part of the bound\tverdict ms\towner B/s")
	for _, s := range list {
		kind := "good"
		if s.Bad {
			kind = "bad"
		}
		_, _ = fmt.Fprintf(tw, "%d\t%s\t%d\t%d\t%d\t%d\t%.2f\t%.0f\t%.0f\n", s.Nodes, kind, s.Runs, s.Wrong, s.PastBound, s.Late, s.Exposure, s.VerdictMS, s.OwnerBytes)
	}
	_ = tw.Flush()
	for _, s := range list {
		if len(s.Failed) > 0 {
			_, _ = fmt.Fprintf(w, "%d hosts: %s\n", s.Nodes, strings.Join(s.Failed, "; "))
		}
	}
}
