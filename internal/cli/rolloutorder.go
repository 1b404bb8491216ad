package cli

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/admin"
	"topazmoor/internal/strictjson"
)

// rolloutOrderCmd starts, watches and stops roll-outs of versions.
type rolloutOrderCmd struct {
	Start  *rolloutStartCmd  `arg:"subcommand:start" help:"order a roll-out"`
	Status *rolloutStatusCmd `arg:"subcommand:status" help:"show the last roll-out of a pool"`
	Stop   *rolloutStopCmd   `arg:"subcommand:stop" help:"withdraw a roll-out: the version gets no more calls"`
}

func (r *rolloutOrderCmd) run(ctx context.Context, c *console) error {
	switch {
	case r.Start != nil:
		return r.Start.run(ctx, c)
	case r.Status != nil:
		return r.Status.run(ctx, c)
	case r.Stop != nil:
		return r.Stop.run(ctx, c)
	}
	return usage(eris.New("give start, status or stop"))
}

// rolloutStartCmd orders a roll-out.
type rolloutStartCmd struct {
	adminArgs
	Pool   string        `arg:"positional,required" help:"pool of targets"`
	To     string        `arg:"--to,required" placeholder:"VERSION" help:"version that the calls move to, as in the host list"`
	Within time.Duration `arg:"--within,required" placeholder:"TIME" help:"time in which it is completed or rolled back"`
	Share  float64       `arg:"--share" default:"0.05" help:"largest share of the calls that the version gets while it is not known to be good"`
	Slack  float64       `arg:"--slack" default:"0" help:"calls that it may get in addition"`
	DryRun bool          `arg:"--dry-run" help:"validate and say what would happen, change nothing"`
	Wait   bool          `arg:"--wait" help:"wait until it is completed or rolled back, with a line for each change"`
	Note   string        `arg:"--note" help:"reason, for the audit trail"`
}

func (r *rolloutStartCmd) run(ctx context.Context, c *console) error {
	cl, err := r.client()
	if err != nil {
		return err
	}
	res, err := cl.StartRollout(ctx, r.Pool, admin.RolloutRequest{
		To: r.To, Within: strictjson.Duration(r.Within), Share: r.Share, Slack: r.Slack, DryRun: r.DryRun, Note: r.Note,
	})
	if err != nil {
		printConflict(c, err)
		return adminError(err)
	}
	if err := c.print(res, func(w io.Writer) { printRolloutStart(w, res) }); err != nil {
		return err
	}
	if !r.Wait || !res.Accepted {
		return nil
	}
	return waitForRollout(ctx, c, cl, r.Pool, r.Within+rolloutGrace)
}

func printRolloutStart(out io.Writer, res admin.RolloutResult) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DATA CENTRE\tREGION\tTARGETS OF THE VERSION\tOF OTHERS")
	for _, t := range res.Forecast.Targets {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\n", t.DataCentre, t.Region, t.New, t.Old)
	}
	w.Flush()
	fmt.Fprintf(out, "%.1f calls a second now; about %.0f calls go to the version while it is tried\n", res.Forecast.PerSecond, res.Forecast.TrialCalls)
	for _, warning := range res.Forecast.Warnings {
		fmt.Fprintln(out, "warning:", warning)
	}
	printApply(out, res.ApplyResult)
}

const (
	// rolloutGrace is how long after its time a roll-out may take to be decided, recorded and seen.
	rolloutGrace = 10 * time.Second
	// rolloutPoll is the time between two looks at a roll-out.
	rolloutPoll = time.Second
)

// waitForRollout returns when the roll-out of a pool is completed. It fails if the roll-out is rolled
// back, or after limit. It prints a line whenever the state, the share or the targets change.
func waitForRollout(ctx context.Context, c *console, cl *admin.Client, pool string, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	var last admin.RolloutStatus
	for {
		st, err := cl.RolloutStatus(ctx, pool)
		if err != nil && ctx.Err() == nil {
			fmt.Fprintln(c.err, "status not read:", err)
		}
		if err == nil && st != last {
			fmt.Fprintln(c.err, rolloutLine(st))
			last = st
		}
		switch last.State {
		case admin.RolloutCompleted:
			return nil
		case admin.RolloutRolledBack:
			return &exitError{code: ExitFailed, err: eris.Errorf("rolled back: %s", last.Reason)}
		}
		select {
		case <-ctx.Done():
			return &exitError{code: ExitUnknown, err: eris.Errorf("the roll-out was not seen to end within %v", limit)}
		case <-time.After(rolloutPoll):
		}
	}
}

// rolloutLine describes a roll-out in one line.
func rolloutLine(st admin.RolloutStatus) string {
	line := fmt.Sprintf("%s to %s: %s, share %.2f, %d targets of the version, %d of others", st.Pool, st.To, st.State, st.Share, st.New, st.Old)
	if !st.Deadline.IsZero() && !st.State.Final() {
		line += ", until " + st.Deadline.Format(time.RFC3339)
	}
	if st.Reason != "" {
		line += ": " + st.Reason
	}
	return line
}

// rolloutStatusCmd shows the last roll-out of a pool.
type rolloutStatusCmd struct {
	adminArgs
	Pool string `arg:"positional,required"`
}

func (r *rolloutStatusCmd) run(ctx context.Context, c *console) error {
	cl, err := r.client()
	if err != nil {
		return err
	}
	st, err := cl.RolloutStatus(ctx, r.Pool)
	if err != nil {
		return adminError(err)
	}
	return c.print(st, func(w io.Writer) { fmt.Fprintln(w, rolloutLine(st)) })
}

// rolloutStopCmd withdraws a roll-out.
type rolloutStopCmd struct {
	adminArgs
	Pool string `arg:"positional,required"`
	Note string `arg:"--note" help:"reason, for the audit trail"`
}

func (r *rolloutStopCmd) run(ctx context.Context, c *console) error {
	cl, err := r.client()
	if err != nil {
		return err
	}
	res, err := cl.StopRollout(ctx, r.Pool, r.Note)
	if err != nil {
		return adminError(err)
	}
	return c.print(res, func(w io.Writer) { printApply(w, res) })
}
