package poison

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"topazmoor/internal/restore"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

const (
	// reportWait bounds how long a request under which a target ended waits, before it is sent
	// again, until this end is written to the store. A commit takes 5 ms; two commits are needed if
	// another node wrote the record of the request first.
	reportWait = 80 * time.Millisecond
	// maxLocalRecords bounds the requests for which this node keeps in memory the ends of targets
	// that ran them, at about 200 bytes a request.
	maxLocalRecords = 4096
	// maxAnswered bounds the answered requests whose digests a node keeps in memory, at about 100
	// bytes a request. Targets answer that many requests of a node in a minute or more.
	maxAnswered = 8192
	// retryDuringProbe is when a caller may retry a request that is being probed.
	retryDuringProbe = time.Second
	// retryWithoutStore is when a caller may retry a request whose probe could not be claimed in
	// the store.
	retryWithoutStore = 2 * time.Second
)

// Refused is the error of a request that must not be sent.
type Refused struct {
	// Ends is the number of targets that are known to have ended under the request.
	Ends int
	// After is the duration until the request may be admitted again; 0 if unknown.
	After time.Duration
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("poison: %d targets ended under the request", e.Ends)
}

// Config configures a Guard.
type Config struct {
	// Node is the name of this node.
	Node  string
	Store store.Tables
	// Dial opens a connection to a target, to check whether its process still runs.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// OtherAddrs returns the addresses of the other nodes. SendEndsTo sends ends of targets that
	// could not be written to the store to the node at addr; nil disables this.
	OtherAddrs func() []string
	SendEndsTo func(ctx context.Context, addr string, ends []End) error
	// OnProcessEnd, if set, is called with each process that has ended.
	OnProcessEnd func(process string)
	// Nodes returns the number of nodes, which share the removal of old rows.
	Nodes func() int
	Log   *slog.Logger
}

// Guard keeps requests that crash targets away from targets, together with the Guards of the other
// nodes. The end of a target under a request is written to the store before the request is sent again.
// A node that sends a quarantined request must first claim a probe in the store. A Guard is safe for
// concurrent use. It implements suture.Service.
type Guard struct {
	cfg         Config
	endDetector endDetector
	queue       queue
	stats       stats

	mu sync.Mutex
	// stored holds the quarantined requests as last read from the store.
	stored map[Digest]storedRecord
	// local holds, by request, the ends of targets that this node observed or that other nodes sent
	// to it, whether these ends are written to the store or not.
	local *simplelru.LRU[Digest, localRecord]
	// answered holds the requests that targets recently answered for this node: the end of one
	// target under such a request has another cause and is not counted against the request. The
	// value is the process that ended; empty if none has ended since the answer.
	answered *simplelru.LRU[Digest, string]
}

// storedRecord is a request's record in the store, with the version of its row. since is when this
// node first read that version.
type storedRecord struct {
	Record
	version store.Version
	since   time.Time
}

// localRecord is the information of this node alone on a request.
type localRecord struct {
	Record
	// since is when the node last learned of the end of a target under the request, or last failed
	// to reach the store to claim a probe of the request.
	since time.Time
}

// recordView is the record of a request by which a node decides whether to send the request: the
// stored record merged with the node's local record.
type recordView struct {
	Record
	// unchanged is how long this node has seen the record unchanged.
	unchanged time.Duration
	// listed reports that the store's list of quarantined requests, as last read, contains the
	// request.
	listed bool
}

// decide returns what may be done with the request. after is the duration until a refusal ends; 0 if
// it lasts as long as the record.
//
// A request that the store's list does not contain may be in quarantine only because of the ends of
// targets in this node's local record. Another node may then have seen a target answer the request and
// removed its stored record. So this node tries to claim a probe, as a claim reads the current record
// from the store. If it has already sent a probe that it claimed without the store, it does so only
// once its local record has been unchanged for retryWithoutStore.
func (k recordView) decide() (d Decision, after time.Duration) {
	if k.listed || !k.Quarantined() {
		return k.Record.Decide(k.unchanged)
	}
	if wait := retryWithoutStore - k.unchanged; k.Probes > 0 && wait > 0 {
		return Refuse, wait
	}
	return MayProbe, 0
}

// New returns a Guard without any records.
func New(cfg Config) *Guard {
	return &Guard{
		cfg: cfg, endDetector: newEndDetector(cfg.Dial), queue: newQueue(), stored: make(map[Digest]storedRecord),
		local: newLRU[localRecord](maxLocalRecords), answered: newLRU[string](maxAnswered),
	}
}

func newLRU[V any](size int) *simplelru.LRU[Digest, V] {
	l, err := simplelru.NewLRU[Digest, V](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return l
}

// Apply replaces the quarantined requests with the rows in force of QuarantineTable.
func (g *Guard) Apply(v watch.View, _ restore.Result) {
	now := time.Now()
	next := make(map[Digest]storedRecord, len(v.Rows))
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, row := range v.Rows {
		d, err := ParseDigest(key)
		if err != nil {
			g.cfg.Log.Error("invalid quarantine row skipped", "err", err)
			continue
		}
		r, err := decodeRecord(row.Value)
		if err != nil {
			g.cfg.Log.Error("invalid quarantine row skipped", "digest", d, "err", err)
			continue
		}
		old, ok := g.stored[d]
		if ok && old.version == row.Version {
			next[d] = old
			continue
		}
		next[d] = storedRecord{Record: r, version: row.Version, since: now}
	}
	for d := range g.stored {
		if _, ok := next[d]; !ok {
			// A node saw a target answer the request, or an operator lifted the quarantine.
			g.local.Remove(d)
			g.cfg.Log.Info("quarantine of a request ended", "digest", d)
		}
	}
	g.stored = next
}

// RewriteLost repeats the writes that a store which was restored from a copy has lost: records of
// quarantined requests, and the removal of the records of requests that targets answered.
func (g *Guard) RewriteLost(kept restore.Result) {
	for _, key := range kept.Reappeared {
		if d, err := ParseDigest(key); err == nil {
			g.queue.push(op{kind: opAnswered, digest: d})
		}
	}
	for _, key := range kept.Lost {
		d, err := ParseDigest(key)
		if err != nil {
			continue
		}
		g.mu.Lock()
		f, ok := g.stored[d]
		g.mu.Unlock()
		if ok {
			g.queue.push(op{kind: opRestore, digest: d, record: f.Record})
		}
	}
	g.cfg.Log.Info("rewriting quarantines that the store lost", "lost", len(kept.Lost), "undone", len(kept.Reappeared))
}

// lookup returns the record of a request: the stored record as last read, merged with the local one.
func (g *Guard) lookup(d Digest) recordView {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, listed := g.stored[d]
	local, _ := g.local.Get(d)
	k := recordView{listed: listed, unchanged: time.Since(local.since)}
	if listed {
		k.Record, k.unchanged = f.Record, time.Since(f.since)
	}
	for _, process := range local.Ended {
		k.Record = k.withEnd(process, "")
	}
	k.Probes = max(k.Probes, local.Probes)
	return k
}

// Suspect reports whether a target is known to have ended under the request.
func (g *Guard) Suspect(d Digest) bool {
	return len(g.lookup(d).Ended) > 0
}

// Quarantined reports whether the request is known to be in quarantine, where only probes are sent.
func (g *Guard) Quarantined(d Digest) bool {
	return g.lookup(d).Quarantined()
}

// Admit returns nil if a request that has just arrived may be processed as far as this node knows, and
// otherwise an error of type *Refused.
func (g *Guard) Admit(d Digest) error {
	k := g.lookup(d)
	decision, after := k.decide()
	if decision != Refuse {
		return nil
	}
	return g.refuse(k.Record, after)
}

func (g *Guard) refuse(r Record, after time.Duration) error {
	g.stats.refused.Add(1)
	if r.Probe != "" {
		after = min(after, retryDuringProbe)
	}
	return &Refused{Ends: len(r.Ended), After: after}
}

// Send decides whether the request may be sent to a target now; lasts is how long the request may run.
// For a quarantined request Send claims a probe and returns the name of the probe: the request must then
// be sent alone, and the outcome of the probe reported to Ended, Answered or Abandoned. The error is
// of type *Refused.
func (g *Guard) Send(ctx context.Context, d Digest, lasts time.Duration) (probe string, err error) {
	k := g.lookup(d)
	decision, after := k.decide()
	switch decision {
	case Pass:
		return "", nil
	case Refuse:
		return "", g.refuse(k.Record, after)
	}
	probe, err = g.claim(ctx, d, lasts, k.unchanged)
	if err != nil {
		g.cfg.Log.Info("request in quarantine not sent", "digest", d, "ends", len(k.Ended), "listed", k.listed, "err", err)
		return "", err
	}
	if probe == "" {
		// A target has answered the request meanwhile, so it is no longer in quarantine.
		return "", nil
	}
	g.stats.probes.Add(1)
	g.cfg.Log.Info("request in quarantine sent alone", "digest", d, "ends", len(k.Ended), "probes", k.Probes+1, "probe", probe)
	return probe, nil
}

// Run is one run of a request at a target.
type Run struct {
	Digest Digest
	// Began is when the run began.
	Began time.Time
	// Process identifies one start of the target's process, Addr is the address where it accepts
	// calls.
	Process, Addr string
	// Probe names the probe that the run belongs to; empty if none. ProbeContinues reports that
	// the probe has further runs unless this one ended its target, so that the probe is not given up.
	Probe          string
	ProbeContinues bool
}

// Ended reports that a run broke off at its target. It checks whether the target's process has
// ended, and if so writes this end to the store. The channel delivers whether the process has ended,
// once the end is written or reportWait has passed: the request should not be sent again earlier.
func (g *Guard) Ended(r Run) <-chan bool {
	known := make(chan bool, 1)
	if r.Digest == (Digest{}) {
		// The node that sent the request gave no digest of it, so an end of the target could not
		// be recorded for the request. Report at once that no end is known.
		known <- false
		return known
	}
	go func() { known <- g.ended(r) }()
	return known
}

// ended checks whether the target of a run has ended, and writes the end to the store.
func (g *Guard) ended(r Run) bool {
	if !g.endDetector.endedUnder(r.Process, r.Addr, r.Began) {
		if !r.ProbeContinues {
			g.Abandoned(r.Digest, r.Probe)
		}
		return false
	}
	if g.cfg.OnProcessEnd != nil {
		g.cfg.OnProcessEnd(r.Process)
	}
	if !g.recordLocal(r) {
		return true
	}
	written := g.queue.push(op{kind: opEnd, digest: r.Digest, process: r.Process, probe: r.Probe})
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	select {
	case <-written:
	case <-timer.C:
	}
	return true
}

// recordLocal records the end of a target that this node observed during a run, and reports whether the
// end counts against the request. Clients may send the same request again and again: if a target has
// just answered the request, the next end of a target under it has another cause.
func (g *Guard) recordLocal(r Run) bool {
	g.stats.ends.Add(1)
	g.mu.Lock()
	lastEnded, ok := g.answered.Get(r.Digest)
	if ok && r.Probe == "" && (lastEnded == "" || lastEnded == r.Process) {
		g.answered.Add(r.Digest, r.Process)
		g.mu.Unlock()
		g.cfg.Log.Info("target ended under a request that a target recently answered, end not counted against the request", "digest", r.Digest, "process", r.Process, "addr", r.Addr)
		return false
	}
	g.answered.Remove(r.Digest)
	local := g.addLocalEnd(r.Digest, r.Process, "")
	g.mu.Unlock()
	g.cfg.Log.Info("target ended under the request", "digest", r.Digest, "process", r.Process, "addr", r.Addr, "own_ends", len(local.Ended), "probe", r.Probe)
	return true
}

// addLocalEnd adds the end of a target's process to this node's local record of the request. The caller
// holds g.mu.
func (g *Guard) addLocalEnd(d Digest, process, probe string) localRecord {
	local, _ := g.local.Get(d)
	local.Record, local.since = local.withEnd(process, probe), time.Now()
	g.local.Add(d, local)
	return local
}

// Answered reports that a target answered the request, which shows that it does not crash targets.
func (g *Guard) Answered(d Digest) {
	g.mu.Lock()
	_, quarantined := g.stored[d]
	local := g.local.Remove(d)
	g.answered.Add(d, "")
	g.mu.Unlock()
	if quarantined || local {
		g.queue.push(op{kind: opAnswered, digest: d})
	}
}

// Abandoned reports that a run ended without an answer while its target still runs, or before the
// target started the run. If the run was a probe, the probe is not counted among the probes of the
// request, as it does not show whether the request crashes targets.
func (g *Guard) Abandoned(d Digest, probe string) {
	if probe == "" {
		return
	}
	g.mu.Lock()
	released := g.releaseLocalProbe(d, probe)
	g.mu.Unlock()
	if !released {
		g.queue.push(op{kind: opAbandoned, digest: d, probe: probe})
	}
}

// releaseLocalProbe releases the probe if this node claimed it without the store, and reports whether
// it did. The caller holds g.mu.
func (g *Guard) releaseLocalProbe(d Digest, probe string) bool {
	local, ok := g.local.Get(d)
	if !ok || local.Probe != probe {
		return false
	}
	local.Probe = ""
	local.Probes--
	g.local.Add(d, local)
	return true
}
