package cli

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"topazmoor/internal/explain"
)

// explainCmd prints the way of a request from logs.
type explainCmd struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"the request's ID"`
	Files   []string `arg:"positional" placeholder:"FILE" help:"logs of one or more nodes; none reads standard input"`
}

func (e *explainCmd) run(_ context.Context, c *console) error {
	var steps []explain.Step
	skipped := 0
	read := func(r io.Reader, name string) error {
		s, n, err := explain.Read(r, e.Request)
		steps, skipped = append(steps, s...), skipped+n
		return eris.Wrap(err, name)
	}
	if len(e.Files) == 0 {
		if err := read(os.Stdin, "standard input"); err != nil {
			return err
		}
	}
	for _, name := range e.Files {
		f, err := os.Open(name)
		if err != nil {
			return usage(err)
		}
		err = read(f, name)
		f.Close()
		if err != nil {
			return err
		}
	}
	if skipped > 0 {
		fmt.Fprintf(c.err, "%d lines name the request and are no JSON\n", skipped)
	}
	if len(steps) == 0 {
		return eris.Errorf("no line is about request %q: compare the ID, and whether the logs of all nodes of its time are there", e.Request)
	}
	explain.Sort(steps)
	var err error
	printed := c.print(steps, func(w io.Writer) { err = explain.Write(w, steps) })
	if err != nil {
		return err
	}
	return printed
}
