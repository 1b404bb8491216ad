package poison

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
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
	// Ends is the number of targets that are known to have ended under the request, or, if Part is
	// set, under a part of its prompt.
	Ends int
	Part bool
	// After is the duration until the request may be admitted again; 0 if unknown.
	After time.Duration
}

// Error implements error.
func (e *Refused) Error() string {
	what := "the request"
	if e.Part {
		what = "a part of its prompt"
	}
	return fmt.Sprintf("poison: %d targets ended under %s", e.Ends, what)
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
	SendEndsTo func(ctx context.Context, addr string, ends Ends) error
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
	// parts is the evidence on parts of prompts.
	parts *partEvidence
}

// New returns a Guard without any records.
func New(cfg Config) *Guard {
	return &Guard{
		cfg: cfg, endDetector: newEndDetector(cfg.Dial), queue: newQueue(), stored: make(map[Digest]storedRecord),
		local: newLRU[Digest, localRecord](maxLocalRecords), answered: newLRU[Digest, string](maxAnswered),
		parts: newPartEvidence(cfg.Node, cfg.Nodes),
	}
}

func newLRU[K comparable, V any](size int) *simplelru.LRU[K, V] {
	l, err := simplelru.NewLRU[K, V](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return l
}

// Apply replaces the quarantined records and the evidence on parts of prompts with the rows in force of
// QuarantineTable.
func (g *Guard) Apply(v watch.View, _ restore.Result) {
	next := make(map[Digest]storedRecord, len(v.Rows))
	var evidence []store.Row
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, row := range v.Rows {
		if isEvidence(key) {
			evidence = append(evidence, row)
			continue
		}
		d, f, err := g.decodeStored(row)
		if err != nil {
			g.cfg.Log.Error("invalid quarantine row skipped", "key", key, "err", err)
			continue
		}
		next[d] = f
	}
	g.logEnded(next)
	g.stored = next
	for _, err := range g.parts.apply(evidence, time.Now()) {
		g.cfg.Log.Error("invalid report of an ended target skipped", "err", err)
	}
	g.review()
}

// decodeStored decodes a row of a record. The caller holds g.mu.
func (g *Guard) decodeStored(row store.Row) (Digest, storedRecord, error) {
	d, err := ParseDigest(row.Key)
	if err != nil {
		return d, storedRecord{}, err
	}
	if old, ok := g.stored[d]; ok && old.version == row.Version {
		return d, old, nil
	}
	r, err := decodeRecord(row.Value)
	return d, storedRecord{Record: r, version: row.Version, since: time.Now()}, err
}

// logEnded drops what this node knows of records that are in quarantine no longer: a node saw a target
// answer, or an operator lifted the quarantine. The caller holds g.mu.
func (g *Guard) logEnded(next map[Digest]storedRecord) {
	for d := range g.stored {
		if _, ok := next[d]; !ok {
			g.local.Remove(d)
			g.cfg.Log.Info("quarantine ended", "digest", d, "name", d.Name())
		}
	}
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

// Suspect reports whether a target is known to have ended under the request, or a part of its prompt may
// crash targets.
func (g *Guard) Suspect(r Request) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.lookup(r.Digest).Ended) > 0 {
		return true
	}
	return slices.ContainsFunc(r.Parts, g.parts.suspect)
}

// Quarantined reports whether the request is known to be in quarantine, where only probes are sent.
func (g *Guard) Quarantined(d Digest) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lookup(d).Quarantined()
}

// Admit returns nil if a request that has just arrived may be processed as far as this node knows, and
// otherwise an error of type *Refused.
func (g *Guard) Admit(r Request) error {
	decision, after, worst := g.view(r).decide()
	if decision != Refuse {
		return nil
	}
	return g.refuse(worst, after)
}

func (g *Guard) refuse(k recordView, after time.Duration) error {
	g.stats.refused.Add(1)
	if k.Probe != "" {
		after = min(after, retryDuringProbe)
	}
	_, isPart := k.digest.Part()
	return &Refused{Ends: len(k.Ended), Part: isPart, After: after}
}

// Send decides whether the request may be sent to a target now; lasts is how long the request may run.
// For a request that holds quarantined records Send claims a probe of them: the request must then be sent
// alone, and the outcome of the probe reported to Ended, Answered or Abandoned. The error is of type
// *Refused.
func (g *Guard) Send(ctx context.Context, r Request, lasts time.Duration) (Probe, error) {
	v := g.view(r)
	decision, after, worst := v.decide()
	switch decision {
	case Pass:
		return Probe{}, nil
	case Refuse:
		return Probe{}, g.refuse(worst, after)
	}
	probe, err := g.claim(ctx, v, lasts)
	if err != nil {
		g.cfg.Log.Info("request in quarantine not sent", "digest", r.Digest, "of", worst.digest.Name(), "ends", len(worst.Ended), "listed", worst.listed, "err", err)
		return Probe{}, err
	}
	if !probe.Claimed() {
		// A target has answered the request meanwhile, so it is no longer in quarantine.
		return Probe{}, nil
	}
	g.stats.probes.Add(1)
	g.cfg.Log.Info("request in quarantine sent alone", "digest", r.Digest, "of", names(probe.Of), "ends", len(worst.Ended), "probes", worst.Probes+1, "probe", probe.Name)
	return probe, nil
}

// names returns the names of records, for logs.
func names(digests []Digest) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = d.Name()
	}
	return out
}
