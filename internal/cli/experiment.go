package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"topazmoor/internal/experiment/rates"
)

// experimentCmd plays models of what nodes do together.
type experimentCmd struct {
	Rates    *ratesCmd    `arg:"subcommand:rates" help:"play nodes that share the rates of targets, three ways"`
	Rollout  *rolloutCmd  `arg:"subcommand:rollout" help:"play roll-outs of good and bad versions, by the size of the fleet"`
	Capacity *capacityCmd `arg:"subcommand:capacity" help:"measure what decisions cost by the size of the fleet"`
}

func (e *experimentCmd) run(ctx context.Context, c *console) error {
	switch {
	case e.Rates != nil:
		return e.Rates.run(ctx, c)
	case e.Rollout != nil:
		return e.Rollout.run(ctx, c)
	case e.Capacity != nil:
		return e.Capacity.run(ctx, c)
	}
	return usage(fmt.Errorf("name the experiment: rates, rollout or capacity"))
}

// ratesCmd plays scenarios of shared rates.
type ratesCmd struct {
	File  string `arg:"positional,required" placeholder:"FILE" help:"scenarios, in JSON with comments"`
	Seeds int    `arg:"--seeds" default:"3" help:"runs of each scenario and way"`
}

func (r *ratesCmd) run(ctx context.Context, c *console) error {
	text, err := os.ReadFile(r.File)
	if err != nil {
		return usage(err)
	}
	scenarios, err := rates.Parse(text)
	if err != nil {
		return usage(err)
	}
	if r.Seeds < 1 {
		return usage(fmt.Errorf("--seeds is %d: write 1 or more", r.Seeds))
	}
	var out []rates.Summary
	done, all := 0, len(scenarios)*len(rates.Ways)*r.Seeds
	for _, s := range scenarios {
		for _, way := range rates.Ways {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			out = append(out, rates.Summarize(s, way, r.Seeds, func() {
				if done++; onTerminal(os.Stderr) {
					fmt.Fprintf(c.err, "\r%d of %d runs", done, all)
				}
			}))
		}
	}
	if onTerminal(os.Stderr) {
		fmt.Fprintln(c.err)
	}
	return c.print(out, func(w io.Writer) { writeRates(w, out) })
}

// onTerminal reports whether somebody watches a file: progress is of no use in one.
func onTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// writeRates writes a table, a line for each scenario and way.
func writeRates(w io.Writer, list []rates.Summary) {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	// A failed write of the console shows on the console.
	_, _ = fmt.Fprintln(tw, "scenario\tway\tfullest 4 s\tused\trefused\trefused with room\tdelay ms\tB/s a node")
	for _, s := range list {
		_, _ = fmt.Fprintf(tw, "%s\t%s\t%.2f\t%s\t%s\t%s\t%s\t%s\n", s.Scenario, s.Way, s.Fullest,
			interval(s.Used, 2), interval(s.Refused, 2), interval(s.RefusedWithRoom, 2), interval(s.DelayMS, 1), interval(s.BytesPerNode, 0))
	}
	_ = tw.Flush()
}

func interval(i rates.Interval, digits int) string {
	return fmt.Sprintf("%.*f +- %.*f", digits, i.Mean, digits, i.Half)
}
