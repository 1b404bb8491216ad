package poison

import (
	"slices"
	"sync"

	"topazmoor/internal/attribution"
	"topazmoor/internal/store"
)

type opKind uint8

const (
	opEnd opKind = iota
	opAnswered
	opAbandoned
	// opRestore writes a record that the store lost.
	opRestore
	// opReport writes what this node, or another one, observed of a process that ended.
	opReport
	// opPartAnswered records that a request with a part was answered, and ends the part's quarantine.
	opPartAnswered
	// opConvict puts a part in quarantine.
	opConvict
)

// op is a change of a request's record that is to be written to the store.
type op struct {
	kind           opKind
	digest         Digest
	process, probe string
	record         Record
	// report is that of an opReport. answeredAt is, for an opConvict, the version of the row that says that
	// the part was answered; zero if there is none.
	report     attribution.Report
	answeredAt store.Version
	// shared reports that the end was sent to other nodes, or received from one.
	shared  bool
	written chan struct{}
}

// queue holds the changes that are still to be written to the store. ops holds those of records that no
// write has taken yet, reports those that are reports; oldest first.
type queue struct {
	mu           sync.Mutex
	ops, reports []op
	// writing are the ops that were taken and are not written yet.
	writing []op
	dropped int64
	wake    chan struct{}
}

func newQueue() queue { return queue{wake: make(chan struct{}, 1)} }

// push adds an op and returns a channel that is closed once the op is written or dropped.
func (q *queue) push(o op) <-chan struct{} {
	o.written = make(chan struct{})
	q.mu.Lock()
	if o.kind == opReport {
		o = q.pushReport(o)
	} else {
		q.ops = q.bounded(append(q.ops, o))
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
	return o.written
}

// bounded drops the oldest op if there are too many.
func (q *queue) bounded(ops []op) []op {
	if len(ops) <= maxQueued {
		return ops
	}
	close(ops[0].written)
	q.dropped++
	return ops[1:]
}

// pushReport adds a report, in the place of an older one on the same process that still waits.
func (q *queue) pushReport(o op) op {
	for i, waiting := range q.reports {
		if waiting.report.Process == o.report.Process && waiting.report.Node == o.report.Node {
			o.written = waiting.written
			q.reports[i] = o
			return o
		}
	}
	q.reports = q.bounded(append(q.reports, o))
	return o
}

// isFirstEnd reports whether an op may create a record. The end of a target under a part does so only with a
// conviction.
func (o op) isFirstEnd() bool {
	_, isPart := o.digest.Part()
	return o.kind == opEnd && !isPart
}

// take removes the ops of the next write: reports together, consecutive ends of different requests
// together, any other op alone.
func (q *queue) take() []op {
	q.mu.Lock()
	defer q.mu.Unlock()
	if n := min(len(q.reports), maxBatch); n > 0 {
		q.writing = q.reports[:n:n]
		q.reports = q.reports[n:]
		return q.writing
	}
	n := 0
	digests := make(map[Digest]bool)
	for n < len(q.ops) && n < maxBatch && (n == 0 || q.ops[0].isFirstEnd() && q.ops[n].isFirstEnd() && !digests[q.ops[n].digest]) {
		digests[q.ops[n].digest] = true
		n++
	}
	q.writing = q.ops[:n:n]
	q.ops = q.ops[n:]
	return q.writing
}

// contains reports whether an op of the request is not written yet.
func (q *queue) contains(d Digest) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	matches := func(o op) bool { return o.digest == d }
	return slices.ContainsFunc(q.ops, matches) || slices.ContainsFunc(q.writing, matches)
}

// requeue puts ops whose write failed back at the front.
func (q *queue) requeue(ops []op) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = nil
	if len(ops) > 0 && ops[0].kind == opReport {
		q.reports = append(ops, q.reports...)
		return
	}
	q.ops = append(ops, q.ops...)
}

// takeUnshared returns the queued ends that were not sent to other nodes, and marks them as sent.
func (q *queue) takeUnshared() Ends {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out Ends
	for i := range q.reports {
		if o := &q.reports[i]; !o.shared {
			o.shared = true
			out.Reports = append(out.Reports, o.report)
		}
	}
	for i := range q.ops {
		if o := &q.ops[i]; o.kind == opEnd && !o.shared {
			o.shared = true
			out.Requests = append(out.Requests, End{Digest: o.digest, Process: o.process, Probe: o.probe})
		}
	}
	return out
}

// finishWrite marks the taken ops as written.
func (q *queue) finishWrite() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = nil
}

// change is the effect of an op on a record: remove deletes the request's rows, none leaves them as
// they are.
type change struct {
	record       Record
	remove, none bool
}

func (o op) apply(r Record) change {
	switch o.kind {
	case opEnd:
		next := r.withEnd(o.process, o.probe)
		return change{record: next, none: len(next.Ended) == len(r.Ended) && next.Probe == r.Probe}
	case opAbandoned:
		if r.Probe != o.probe {
			return change{none: true}
		}
		return change{record: r.withoutProbe()}
	case opRestore:
		next := r.merged(o.record)
		return change{record: next, none: len(next.Ended) == len(r.Ended) && next.Probes == r.Probes}
	}
	return change{remove: true, none: len(r.Ended) == 0}
}

// isOfEndedQuarantine reports whether an op concerns a part whose record is gone: only a conviction begins a
// quarantine of a part.
func (o op) isOfEndedQuarantine(r Record) bool {
	_, isPart := o.digest.Part()
	return isPart && o.kind != opRestore && len(r.Ended) == 0
}
