package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/rotisserie/eris"

	"topazmoor/internal/batch"
	"topazmoor/internal/caller"
	"topazmoor/internal/strictjson"
	"topazmoor/internal/verdict"
)

// batchCmd submits batches and asks for them.
type batchCmd struct {
	Node      string `arg:"--node" default:"127.0.0.1:8080" placeholder:"ADDR" help:"IP:port of a node's caller listener"`
	TokenFile string `arg:"--token-file,required" placeholder:"FILE" help:"file with the account's token"`

	Submit  *batchSubmit `arg:"subcommand:submit" help:"submit a batch"`
	Status  *batchID     `arg:"subcommand:status" help:"show the progress of a batch"`
	Results *batchID     `arg:"subcommand:results" help:"print the results of the finished items"`
}

type batchSubmit struct {
	File string `arg:"positional,required" placeholder:"FILE" help:"JSON with pipeline and inputs"`
	Key  string `arg:"--key" help:"request key: a repeat with the same key finds the same batch"`
}

type batchID struct {
	ID string `arg:"positional,required" placeholder:"BATCH"`
}

func (b *batchCmd) run(ctx context.Context, c *console) error {
	token, err := readToken(b.TokenFile)
	if err != nil {
		return usage(err)
	}
	cl := caller.New((&net.Dialer{Timeout: dialTimeout}).DialContext)
	defer cl.Close()
	switch {
	case b.Submit != nil:
		err = b.submit(ctx, c, cl, token)
	case b.Status != nil:
		var st batch.Status
		if st, err = cl.BatchStatus(ctx, b.Node, token, b.Status.ID); err == nil {
			err = printBatch(c, st)
		}
	case b.Results != nil:
		var res []batch.Result
		if res, err = cl.BatchResults(ctx, b.Node, token, b.Results.ID); err == nil {
			err = c.print(res, func(w io.Writer) { printResults(w, res) })
		}
	default:
		return usage(eris.New("batch: give submit, status or results"))
	}
	return callerError(err)
}

func (b *batchCmd) submit(ctx context.Context, c *console, cl *caller.Client, token string) error {
	src, err := os.ReadFile(b.Submit.File)
	if err != nil {
		return usage(err)
	}
	var req batch.SubmitRequest
	if err := strictjson.Decode(src, &req); err != nil {
		return err
	}
	st, err := cl.SubmitBatch(ctx, b.Node, token, b.Submit.Key, req)
	if err != nil {
		return err
	}
	return printBatch(c, st)
}

func printBatch(c *console, st batch.Status) error {
	return c.print(st, func(w io.Writer) {
		fmt.Fprintf(w, "%s: %d of %d items finished\n", st.ID, st.Finished, st.Items)
	})
}

func printResults(w io.Writer, res []batch.Result) {
	for _, r := range res {
		fmt.Fprintf(w, "%d\t%d\t%s\n", r.Index, r.Status, r.Body)
	}
}

// callerError gives a refusal of the caller API its exit code.
func callerError(err error) error {
	var refused *caller.RefusedError
	if !errors.As(err, &refused) {
		return err
	}
	code := ExitFailed
	switch {
	case refused.Code == verdict.InvalidRequest:
		code = ExitUsage
	case refused.Verdict == verdict.MayHaveRun.String():
		code = ExitUnknown
	case refused.Code == verdict.StoreUnavailable:
		code = ExitUnavailable
	}
	return &exitError{code: code, err: err}
}
