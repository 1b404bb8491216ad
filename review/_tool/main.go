// Command review plays the cases of the review: it starts entry nodes as separate processes between
// stand-in callers, targets and a stand-in platform on loopback, brings about the disruption of one
// case, and checks the rule of that case by what callers and targets saw.
//
//	review CASE RECORD
//
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout ends a case that hangs; a case may take 120 s.
const caseTimeout = 115 * time.Second

// cases are the cases by name.
var cases = map[string]func(ctx context.Context, e *environment) (broken bool, err error){
	"versions": playVersions,
	"strays":   playStrays,
	"deadly":   playDeadly,
	"dark":     playDark,
	"frozen":   playFrozen,
}

// environment is what each case gets.
type environment struct {
	record *record
	// trouble is set unless the disruption is left out.
	trouble bool
	// dir is a temporary folder.
	dir string
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review CASE RECORD")
		return exitNotRun
	}
	broken, err := playCase(os.Args[1], os.Args[2])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		return exitBroken
	}
	return exitHeld
}

// playCase plays a case in a temporary folder.
func playCase(name, recordFile string) (broken bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	rec, err := newRecord(recordFile)
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, rec.close()) }()
	dir, err := os.MkdirTemp("", "topazmoor-review-")
	if err != nil {
		return false, err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	e := &environment{record: rec, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	rec.write("case %s, trouble %v", name, e.trouble)
	broken, err = cases[name](ctx, e)
	rec.write("rule broken: %v, error: %v", broken, err)
	fmt.Printf("case %s, trouble %v: rule broken: %v\n", name, e.trouble, broken)
	return broken, err
}
