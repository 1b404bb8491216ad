package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"topazmoor/internal/poison"
	"topazmoor/internal/store"
	"topazmoor/platform"
)

// quarantineCmd shows and lifts quarantines of requests that crash targets.
type quarantineCmd struct {
	List *quarantineListCmd `arg:"subcommand:list" help:"print the requests and parts of prompts under which targets ended"`
	Lift *quarantineLiftCmd `arg:"subcommand:lift" help:"let a request, or requests with a part, through again"`
}

// platformArgs say where the store is.
type platformArgs struct {
	Platform string        `arg:"--platform,env:TOPAZMOOR_SETTINGS" placeholder:"FILE" help:"settings file of the platform, which names the store"`
	Timeout  time.Duration `arg:"--timeout" default:"5s" help:"longest wait for the store"`
}

// tables returns the platform's table service.
func (p *platformArgs) tables() (store.Tables, error) {
	if p.Platform == "" {
		return nil, usage(eris.New("give --platform FILE with the platform's settings"))
	}
	_, addr, err := platform.LoadSettings(p.Platform)
	if err != nil {
		return nil, usage(err)
	}
	return platform.NewStoreClient(addr, p.Timeout), nil
}

// storeError gives a failed call of the store its exit code.
func storeError(err error) error {
	var conflict *store.ConflictError
	code := ExitFailed
	switch {
	case err == nil:
		return nil
	case errors.As(err, &conflict):
		code = ExitConflict
	case errors.Is(err, store.ErrUnavailable):
		code = ExitUnavailable
	case errors.Is(err, store.ErrUnknown):
		code = ExitUnknown
	}
	return &exitError{code: code, err: err}
}

func (q *quarantineCmd) run(ctx context.Context, c *console) error {
	switch {
	case q.List != nil:
		return q.List.run(ctx, c)
	case q.Lift != nil:
		return q.Lift.run(ctx, c)
	}
	return usage(eris.New("write quarantine list, or quarantine lift NAME"))
}

type quarantineListCmd struct{ platformArgs }

func (q *quarantineListCmd) run(ctx context.Context, c *console) error {
	tables, err := q.tables()
	if err != nil {
		return err
	}
	list, err := poison.List(ctx, tables)
	if err != nil {
		return storeError(err)
	}
	return c.print(list, func(w io.Writer) {
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, "NAME\tQUARANTINED\tENDS\tPROBES\tENDED")
		for _, l := range list {
			fmt.Fprintf(tw, "%s\t%t\t%d\t%d\t%v\n", l.Name, l.Quarantined, len(l.Ended), l.Probes, l.Ended)
		}
		// The console's writer fails at its end.
		_ = tw.Flush()
	})
}

type quarantineLiftCmd struct {
	platformArgs
	Name string `arg:"positional,required" placeholder:"NAME" help:"the request or part of prompts (part:ID), as the list and the logs name it"`
	Note string `arg:"--note,required" help:"reason, for the audit trail"`
	By   string `arg:"--by" help:"who lifts it (default: the user who runs the command)"`
}

func (q *quarantineLiftCmd) run(ctx context.Context, c *console) error {
	d, err := poison.ParseName(q.Name)
	if err != nil {
		return usage(err)
	}
	tables, err := q.tables()
	if err != nil {
		return err
	}
	by := q.By
	if by == "" {
		u, err := user.Current()
		if err != nil {
			return usage(eris.Wrap(err, "give --by NAME"))
		}
		by = u.Username
	}
	lifted, err := poison.Lift(ctx, tables, d, by, q.Note, time.Now())
	if err != nil {
		return storeError(err)
	}
	return c.print(lifted, func(w io.Writer) {
		fmt.Fprintf(w, "lifted: %s, under which %d targets ended; nodes let it through as soon as the store tells them\n", lifted.Name, len(lifted.Record.Ended))
	})
}
