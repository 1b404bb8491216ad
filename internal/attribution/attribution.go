// Package attribution determines which parts of prompts crash targets. A request with such a part
// crashes each target that begins to answer it, whatever else the request holds. When a target's
// process ends, many requests run there, and each has several parts; all of them might be the cause.
// The cause is distinguished by two observations: it was in a run at each of several processes that ended, and
// no request with it has been answered since.
package attribution

import (
	"slices"
	"time"

	"topazmoor/internal/store"
)

// Part is the ID of a part of a prompt.
type Part uint64

// Run is a run that broke off when the process of its target ended. The target had not got far enough to
// show that it survives the request.
type Run struct {
	// Parts are the parts of the request's prompt that other requests may share.
	Parts []Part `json:"parts,omitempty"`
	// Begun reports that the head of the answer had arrived, and nothing else.
	Begun bool `json:"begun,omitempty"`
	// Answering reports that the first event had arrived, too lately to show that the target survives the request.
	Answering bool `json:"answering,omitempty"`
}

// Report is what one node observed of a process that ended.
type Report struct {
	Process string `json:"process"`
	Node    string `json:"node"`
	Runs    []Run  `json:"runs"`
	// At is the version at which the store has the report; zero if it does not have it.
	At store.Version `json:"-"`
	// Learned is when this node learned of the report.
	Learned time.Time `json:"-"`
}

const (
	// SuspectEnds is the number of processes that must end under a part, since it was last answered, to
	// make it a suspect. A single end under a part is common, as each end affects all that ran there.
	SuspectEnds = 2
	// ConvictEnds is the same to conclude that requests with the part crash targets.
	ConvictEnds = 3
	// AnswerGrace is how long before a report an answer may have arrived and still count against it.
	// Nodes learn of an end within some 50 ms, and in a burst of ends few requests are answered at all.
	AnswerGrace = time.Second
)

// Evidence is what a node knows of processes that ended and of parts that were answered.
type Evidence struct {
	Reports []Report
	// Answered has the version of the latest record that a request with the part was answered.
	Answered map[Part]store.Version
	// Proven returns when this node last saw an answer to a request with the part; zero for never.
	Proven func(Part) time.Time
}

// Ends are the processes that ended under a part since it was last answered.
type Ends struct {
	// Processes names them, in the order of their reports.
	Processes []string
	// Stored counts those that no record in the store refutes; this node may have seen an answer that
	// is not recorded yet.
	Stored int
}

// Suspect reports whether the part may be the cause.
func (e Ends) Suspect() bool { return len(e.Processes) >= SuspectEnds }

// Convicted reports whether the part is presumed to be the cause.
func (e Ends) Convicted() bool { return len(e.Processes) >= ConvictEnds }

// Ends evaluates the evidence, by part.
func (e Evidence) Ends() map[Part]Ends {
	begun := e.processesWithBegun()
	stored := make(map[Part][]string)
	out := make(map[Part]Ends)
	for _, r := range e.Reports {
		for part := range suspects(r, begun[r.Process]) {
			if e.refutedInStore(part, r) {
				continue
			}
			stored[part] = appendNew(stored[part], r.Process)
			ends := out[part]
			if !e.refutedHere(part, r) {
				ends.Processes = appendNew(ends.Processes, r.Process)
			}
			ends.Stored = len(stored[part])
			out[part] = ends
		}
	}
	return out
}

// processesWithBegun returns the processes that had just begun an answer when they ended.
func (e Evidence) processesWithBegun() map[string]bool {
	out := make(map[string]bool)
	for _, r := range e.Reports {
		if slices.ContainsFunc(r.Runs, func(run Run) bool { return run.Begun }) {
			out[r.Process] = true
		}
	}
	return out
}

// suspects returns the parts of a report that may have ended the process: those of all runs but, if any node has a run
// there whose answer had just begun, those that waited.
func suspects(r Report, withoutWaiting bool) map[Part]bool {
	out := make(map[Part]bool)
	for _, run := range r.Runs {
		if withoutWaiting && !run.Begun && !run.Answering {
			continue
		}
		for _, part := range run.Parts {
			out[part] = true
		}
	}
	return out
}

// refutedInStore reports whether the store records an answer to the part that is newer than the report.
func (e Evidence) refutedInStore(part Part, r Report) bool {
	return !r.At.IsZero() && r.At.Before(e.Answered[part])
}

// refutedHere reports whether this node saw an answer to the part about the time of the report or later.
func (e Evidence) refutedHere(part Part, r Report) bool {
	at := e.Proven(part)
	return !at.IsZero() && at.After(r.Learned.Add(-AnswerGrace))
}

func appendNew(list []string, s string) []string {
	if slices.Contains(list, s) {
		return list
	}
	return append(list, s)
}
