package poison

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/rotisserie/eris"
	"golang.org/x/time/rate"

	"topazmoor/internal/attribution"
	"topazmoor/internal/store"
)

// Rows of QuarantineTable that are evidence on parts of prompts, beside the records: what ran at processes
// that ended, a row for each process and node, and that requests with a part were answered. One table
// gives both an order.
const (
	reportPrefix   = "run/"
	answeredPrefix = "answered/"
)

const (
	// evidenceTTL is how long an end counts against the parts of prompts that ran there.
	evidenceTTL = 10 * time.Minute
	// maxReports bounds the reports that are evaluated, the newest ones, at about 500 bytes each.
	maxReports = 1024
	// maxReportedParts bounds the parts in one report, at 20 bytes each.
	maxReportedParts = 2000
	// maxProvenParts bounds the answered parts that a node keeps in memory, at about 100 bytes each.
	maxProvenParts = 8192
	// reportBurst is the number of ended processes on which a node reports at once. If more end, they end for
	// another reason. fleetReportRate bounds the reports of all nodes together, in processes a second.
	reportBurst     = 16
	fleetReportRate = 40
)

// partEvidence is what this node knows of parts of prompts. The Guard's lock protects it.
type partEvidence struct {
	node  string
	nodes func() int
	// stored holds the reports in the store, pending those that are not read back yet, by key.
	stored, pending map[string]attribution.Report
	// answered holds the records of answers in the store.
	answered map[Part]answeredRow
	// proven holds when this node last saw an answer to a request with the part.
	proven *simplelru.LRU[Part, time.Time]
	ends   map[Part]attribution.Ends
	// scheduled holds the parts for which a write waits for its turn.
	scheduled map[Part]bool
	limiter   *rate.Limiter
}

// answeredRow is the row that requests with a part were answered. since is when this node first read it.
type answeredRow struct {
	version store.Version
	since   time.Time
}

func newPartEvidence(node string, nodes func() int) *partEvidence {
	return &partEvidence{
		node: node, nodes: nodes,
		stored: make(map[string]attribution.Report), pending: make(map[string]attribution.Report),
		answered: make(map[Part]answeredRow), proven: newLRU[Part, time.Time](maxProvenParts),
		scheduled: make(map[Part]bool), limiter: rate.NewLimiter(fleetReportRate, reportBurst),
	}
}

// isEvidence reports whether a row of QuarantineTable is evidence on parts, not a record.
func isEvidence(key string) bool {
	return strings.HasPrefix(key, reportPrefix) || strings.HasPrefix(key, answeredPrefix)
}

func reportKey(r attribution.Report) string { return reportPrefix + r.Process + "/" + r.Node }

func answeredKey(p Part) string { return answeredPrefix + strconv.FormatUint(uint64(p), 16) }

// apply replaces the evidence of the store by its rows. It returns an error for each row that it skipped.
func (e *partEvidence) apply(rows []store.Row, now time.Time) []error {
	var errs []error
	stored := make(map[string]attribution.Report, len(rows))
	answered := make(map[Part]answeredRow)
	for _, row := range rows {
		if id, ok := strings.CutPrefix(row.Key, answeredPrefix); ok {
			part, err := strconv.ParseUint(id, 16, 64)
			if err != nil {
				errs = append(errs, eris.Wrap(err, row.Key))
				continue
			}
			answered[Part(part)] = e.answeredRow(Part(part), row.Version, now)
			continue
		}
		r, err := e.decodeReport(row, now)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		stored[row.Key] = r
		delete(e.pending, row.Key)
	}
	e.stored, e.answered = stored, answered
	e.evaluate(now)
	return errs
}

func (e *partEvidence) answeredRow(p Part, version store.Version, now time.Time) answeredRow {
	if old, ok := e.answered[p]; ok && old.version == version {
		return old
	}
	return answeredRow{version: version, since: now}
}

func (e *partEvidence) decodeReport(row store.Row, now time.Time) (attribution.Report, error) {
	old, ok := e.stored[row.Key]
	if ok && old.At == row.Version {
		return old, nil
	}
	var r attribution.Report
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return r, eris.Wrap(err, row.Key)
	}
	r.At, r.Learned = row.Version, now
	if known, ok := e.pending[row.Key]; ok {
		r.Learned = known.Learned
	} else if !old.Learned.IsZero() {
		r.Learned = old.Learned
	}
	return r, nil
}

// evaluate determines which processes ended under each part. It forgets pending reports that have grown old.
func (e *partEvidence) evaluate(now time.Time) {
	maps.DeleteFunc(e.pending, func(_ string, r attribution.Report) bool { return now.Sub(r.Learned) > evidenceTTL })
	reports := make([]attribution.Report, 0, len(e.stored)+len(e.pending))
	for _, r := range e.stored {
		if now.Sub(r.Learned) <= evidenceTTL {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, func(a, b attribution.Report) int { return a.At.Compare(b.At) })
	reports = reports[max(len(reports)-maxReports, 0):]
	for _, key := range slices.Sorted(maps.Keys(e.pending)) {
		reports = append(reports, e.pending[key])
	}
	versions := make(map[Part]store.Version, len(e.answered))
	for part, a := range e.answered {
		versions[part] = a.version
	}
	e.ends = attribution.Evidence{Reports: reports, Answered: versions, Proven: e.provenAt}.Ends()
}

// provenAt returns when this node last saw an answer to a request with the part; zero for never.
func (e *partEvidence) provenAt(p Part) time.Time {
	at, _ := e.proven.Peek(p)
	return at
}

// count returns the number of targets that ended under a part since it was last answered.
func (e *partEvidence) count(p Part) int { return len(e.ends[p].Processes) }

// suspect reports whether a part may crash targets.
func (e *partEvidence) suspect(p Part) bool { return e.ends[p].Suspect() }

// convictedBy returns the processes whose ends show that a part crashes targets, at most maxProcesses; nil
// if it is not shown.
func (e *partEvidence) convictedBy(p Part) []string {
	ends := e.ends[p]
	if !ends.Convicted() {
		return nil
	}
	return ends.Processes[:min(len(ends.Processes), maxProcesses)]
}

// refuted reports whether this node saw an answer that refutes all evidence on a part that other nodes
// still count. since is when the part was put in quarantine; zero if it is not.
func (e *partEvidence) refuted(p Part, since time.Time) bool {
	at := e.provenAt(p)
	ends := e.ends[p]
	return !at.IsZero() && len(ends.Processes) == 0 && at.After(since.Add(-attribution.AnswerGrace)) &&
		(!since.IsZero() || ends.Stored >= attribution.SuspectEnds)
}

// add adds a run to this node's report on a process, and returns the report. It returns false if the node
// reports on too many processes.
func (e *partEvidence) add(process string, run attribution.Run, now time.Time) (attribution.Report, bool) {
	r := attribution.Report{Process: process, Node: e.node, Learned: now}
	key := reportKey(r)
	old, ok := e.pending[key]
	if !ok {
		old, ok = e.stored[key]
	}
	if ok {
		r.Runs, r.Learned = slices.Clone(old.Runs), old.Learned
	} else if !e.allow() {
		return r, false
	}
	run.Parts = run.Parts[:min(len(run.Parts), maxReportedParts-countParts(r.Runs))]
	r.Runs = append(r.Runs, run)
	e.pending[key] = r
	return r, true
}

// allow reports whether the node may report on one more process.
func (e *partEvidence) allow() bool {
	e.limiter.SetLimit(rate.Limit(fleetReportRate / float64(max(e.nodes(), 1))))
	return e.limiter.Allow()
}

func countParts(runs []attribution.Run) int {
	n := 0
	for _, run := range runs {
		n += len(run.Parts)
	}
	return n
}

// begun reports whether the process had begun an answer when it ended, as far as any node has reported.
func (e *partEvidence) begun(process string) bool {
	had := func(reports map[string]attribution.Report) bool {
		for _, r := range reports {
			if r.Process == process && slices.ContainsFunc(r.Runs, func(run attribution.Run) bool { return run.Begun }) {
				return true
			}
		}
		return false
	}
	return had(e.stored) || had(e.pending)
}
