// Command cases runs the review's cases: each starts nodes as separate processes against stand-ins of the
// platform on loopback addresses and checks one rule.
//
//	cases NAME RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves the disruption out.
package main

import (
	"fmt"
	"os"
)

// result is how a case ended.
type result int

// The results, by their exit status.
const (
	held   result = 0
	broken result = 1
	notRun result = 2
)

// runCase runs a case; trouble is false to leave the disruption out.
type runCase func(rec *record, trouble bool) (result, error)

var byName = map[string]runCase{
	"extra":    runExtra,
	"deadly":   runDeadly,
	"rolling":  runRolling,
	"versions": runVersions,
}

func main() {
	os.Exit(int(run(os.Args[1:])))
}

func run(args []string) result {
	if len(args) != 2 || byName[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME RECORD")
		return notRun
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer rec.file.Close()
	r, err := byName[args[0]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	rec.logf("result: %s", [...]string{"the rule held", "the rule was broken", "not run"}[r])
	return r
}
