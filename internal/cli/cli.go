// Package cli is the command line of topazmoor: one command a file.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"

	"topazmoor/internal/strictjson"
)

// Exit codes that scripts can branch on.
const (
	ExitOK = 0
	// ExitFailed: the command ran and found or met a fault.
	ExitFailed = 1
	// ExitUsage: the command line or a file is wrong; nothing was done.
	ExitUsage = 2
	// ExitConflict: a change was made on an outdated revision.
	ExitConflict = 3
	// ExitUnavailable: the node or the platform did not answer; nothing was
	// changed.
	ExitUnavailable = 4
	// ExitUnknown: a change may or may not have been made.
	ExitUnknown = 5
)

// Version is the version of the program.
const Version = "0.1.0"

// args are all commands.
type args struct {
	Serve      *serveCmd        `arg:"subcommand:serve" help:"run one node"`
	Demo       *demoCmd         `arg:"subcommand:demo" help:"run nodes, targets and a platform in one process and show requests"`
	Standin    *standinCmd      `arg:"subcommand:standin" help:"run stand-ins of the platform and the targets"`
	Check      *checkCmd        `arg:"subcommand:check" help:"check settings and manifests"`
	Apply      *applyCmd        `arg:"subcommand:apply" help:"submit templates and client accounts"`
	Get        *getCmd          `arg:"subcommand:get" help:"print a template, account or drain order"`
	Drain      *drainCmd        `arg:"subcommand:drain" help:"give a target host, or a data centre, no new work"`
	Stop       *stopCmd         `arg:"subcommand:stop" help:"stop a node gracefully"`
	Status     *statusCmd       `arg:"subcommand:status" help:"describe a node and the nodes it knows"`
	Audit      *auditCmd        `arg:"subcommand:audit" help:"print who changed what"`
	Batch      *batchCmd        `arg:"subcommand:batch" help:"submit a durable batch, show its progress or its results"`
	Load       *loadCmd         `arg:"subcommand:load" help:"send requests at a fixed rate and report"`
	Rollout    *rolloutOrderCmd `arg:"subcommand:rollout" help:"move the calls of a pool to another version of its targets"`
	Quarantine *quarantineCmd   `arg:"subcommand:quarantine" help:"show and lift quarantines of requests that crash targets"`
	Explain    *explainCmd      `arg:"subcommand:explain" help:"print the way of a request from the logs of nodes"`
	Experiment *experimentCmd   `arg:"subcommand:experiment" help:"play models of what nodes do together"`
	Version    *versionCmd      `arg:"subcommand:version" help:"print the version"`

	Output string `arg:"-o,--output" default:"text" placeholder:"FORMAT" help:"text or json"`
}

// Description implements go-arg's description.
func (args) Description() string {
	return "topazmoor serves multi-stage model pipelines between callers and model targets."
}

// Epilogue implements go-arg's epilogue.
func (args) Epilogue() string {
	return "Exit codes: 0 done, 1 failed, 2 wrong usage or file, 3 outdated revision, 4 unavailable, 5 outcome unknown."
}

// command is one subcommand.
type command interface {
	run(ctx context.Context, c *console) error
}

// command returns the subcommand that was given; go-arg itself would return the
// innermost one.
func (a *args) command() (command, bool) {
	for _, c := range []struct {
		given bool
		cmd   command
	}{
		{a.Serve != nil, a.Serve}, {a.Demo != nil, a.Demo}, {a.Standin != nil, a.Standin}, {a.Check != nil, a.Check},
		{a.Apply != nil, a.Apply}, {a.Get != nil, a.Get}, {a.Drain != nil, a.Drain}, {a.Stop != nil, a.Stop},
		{a.Status != nil, a.Status}, {a.Audit != nil, a.Audit}, {a.Batch != nil, a.Batch}, {a.Load != nil, a.Load},
		{a.Rollout != nil, a.Rollout}, {a.Quarantine != nil, a.Quarantine}, {a.Explain != nil, a.Explain}, {a.Experiment != nil, a.Experiment}, {a.Version != nil, a.Version},
	} {
		if c.given {
			return c.cmd, true
		}
	}
	return nil, false
}

// console is where a command writes.
type console struct {
	out    io.Writer
	err    io.Writer
	asJSON bool
}

// print writes v as JSON, or as text by the given function.
func (c *console) print(v any, text func(w io.Writer)) error {
	if !c.asJSON {
		text(c.out)
		return nil
	}
	enc := json.NewEncoder(c.out)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// exitError carries an exit code.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usage(err error) error { return &exitError{code: ExitUsage, err: err} }

// Main runs one command and returns the exit code.
func Main(argv []string, stdout, stderr io.Writer) int {
	var a args
	p, err := arg.NewParser(arg.Config{Program: "topazmoor", Out: stderr}, &a)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitFailed
	}
	switch err := p.Parse(argv); {
	case errors.Is(err, arg.ErrHelp):
		_ = p.WriteHelpForSubcommand(stdout, p.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = p.WriteUsageForSubcommand(stderr, p.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	cmd, ok := a.command()
	if !ok {
		p.WriteHelp(stderr)
		return ExitUsage
	}
	if a.Output != "text" && a.Output != "json" {
		fmt.Fprintln(stderr, "error: -o: write text or json")
		return ExitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return report(stderr, cmd.run(ctx, &console{out: stdout, err: stderr, asJSON: a.Output == "json"}))
}

// report prints an error and returns its exit code.
func report(stderr io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	var probs strictjson.Problems
	switch {
	case errors.As(err, &probs):
		fmt.Fprintln(stderr, probs.Error())
		return ExitUsage
	case errors.As(err, &exit):
		fmt.Fprintln(stderr, "error:", exit.err)
		return exit.code
	}
	fmt.Fprintln(stderr, "error:", err)
	return ExitFailed
}

type versionCmd struct{}

func (*versionCmd) run(_ context.Context, c *console) error {
	v := struct {
		Version string `json:"version"`
	}{Version}
	return c.print(v, func(w io.Writer) { fmt.Fprintln(w, "topazmoor", Version) })
}

// newLogger returns a logger of the given level and format.
func newLogger(w io.Writer, level, format string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	opts := &slog.HandlerOptions{Level: l}
	if format == "text" {
		return slog.New(slog.NewTextHandler(w, opts))
	}
	return slog.New(slog.NewJSONHandler(w, opts))
}
