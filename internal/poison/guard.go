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
	// reportWait is the longest that a request waits until an end under it is known to all
	// nodes before it is sent again: a commit takes 5 ms, two where another node was first.
	reportWait = 80 * time.Millisecond
	// ownRecords bounds what a node remembers by itself, at about 200 bytes each.
	ownRecords = 4096
	// answeredRecords bounds the answered requests that a node remembers, at about 100 bytes
	// each: a minute and more of a node's requests.
	answeredRecords = 8192
	// retryProbing is when a caller may come back to a request of which a probe runs.
	retryProbing = time.Second
	// retryWithoutStore is when a caller may come back where no probe could be claimed.
	retryWithoutStore = 2 * time.Second
)

// Refused is the error of a request that must not be sent.
type Refused struct {
	// Ends is how many targets are known to have ended under it.
	Ends int
	// After is when it may be let through again; 0 for unknown.
	After time.Duration
}

// Error implements error.
func (e *Refused) Error() string {
	return fmt.Sprintf("poison: %d targets ended under the request", e.Ends)
}

// Config is what a Guard is built from.
type Config struct {
	// Node is the name of this node.
	Node  string
	Store store.Tables
	// Dial opens a connection to a target, to learn whether its process still runs.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// Others lists the addresses of the other nodes, Tell tells one of them of ends that the
	// store did not take; nil for not.
	Others func() []string
	Tell   func(ctx context.Context, addr string, ends []End) error
	// Gone is told of a process that has ended; nil for nobody.
	Gone func(process string)
	// Nodes returns how many nodes share the work of removing old rows.
	Nodes func() int
	Log   *slog.Logger
}

// Guard keeps requests that crash targets away from them, with the other nodes: an end under
// a request is written to the store before the request is sent again, and whoever has a
// quarantined request must claim a probe there. It is safe for concurrent use. It implements
// suture.Service.
type Guard struct {
	cfg   Config
	gone  gone
	queue queue
	stats stats

	mu sync.Mutex
	// fleet are the quarantined requests as the store has them.
	fleet map[Digest]seen
	// own are the ends that this node saw, whether the store has them or not.
	own *simplelru.LRU[Digest, ownRecord]
	// answered are requests that targets lately answered here: the next end under one of them
	// has another cause. It names the process that has ended since; "" for none.
	answered *simplelru.LRU[Digest, string]
}

// seen is a record of the store and since when this node has had it.
type seen struct {
	Record
	version store.Version
	since   time.Time
}

// ownRecord is what a node knows of a request by itself.
type ownRecord struct {
	Record
	// since is when the node last learned something of it, or asked the store in vain.
	since time.Time
}

// knowledge is what a node goes by.
type knowledge struct {
	Record
	// unchanged is for how long it has been as it is.
	unchanged time.Duration
	// listed says that the store's list of quarantined requests has it, as this node read it.
	listed bool
}

// decide says what may be done with the request. Where the list does not have it, another node may
// have seen it answered before this one could read of it: the store is asked again soon.
func (k knowledge) decide() (d Decision, after time.Duration) {
	if k.listed || !k.Quarantined() {
		return k.Record.Decide(k.unchanged)
	}
	if wait := retryWithoutStore - k.unchanged; k.Probes > 0 && wait > 0 {
		return Refuse, wait
	}
	return MayProbe, 0
}

// New returns a Guard that knows of nothing.
func New(cfg Config) *Guard {
	return &Guard{
		cfg: cfg, gone: newGone(cfg.Dial), queue: newQueue(), fleet: make(map[Digest]seen),
		own: newLRU[ownRecord](ownRecords), answered: newLRU[string](answeredRecords),
	}
}

func newLRU[V any](size int) *simplelru.LRU[Digest, V] {
	l, err := simplelru.NewLRU[Digest, V](size, nil)
	if err != nil {
		panic(err) // the size is positive
	}
	return l
}

// Apply takes in what is in force of the table of quarantined requests.
func (g *Guard) Apply(v watch.View, _ restore.Result) {
	now := time.Now()
	next := make(map[Digest]seen, len(v.Rows))
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, row := range v.Rows {
		d, err := ParseDigest(key)
		if err != nil {
			g.cfg.Log.Error("row of a quarantined request left out", "err", err)
			continue
		}
		r, err := decodeRecord(row.Value)
		if err != nil {
			g.cfg.Log.Error("row of a quarantined request left out", "digest", d, "err", err)
			continue
		}
		old, ok := g.fleet[d]
		if ok && old.version == row.Version {
			next[d] = old
			continue
		}
		next[d] = seen{Record: r, version: row.Version, since: now}
	}
	for d := range g.fleet {
		if _, ok := next[d]; !ok {
			// Another node saw it answered, or an operator lifted it.
			g.own.Remove(d)
			g.cfg.Log.Info("quarantine of a request ended", "digest", d)
		}
	}
	g.fleet = next
}

// Mend writes again what a store that came back from a copy has lost: records of requests in
// quarantine, and that others were answered.
func (g *Guard) Mend(kept restore.Result) {
	for _, key := range kept.Undone {
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
		f, ok := g.fleet[d]
		g.mu.Unlock()
		if ok {
			g.queue.push(op{kind: opKept, digest: d, record: f.Record})
		}
	}
	g.cfg.Log.Info("quarantines written again that the store had lost", "lost", len(kept.Lost), "undone", len(kept.Undone))
}

// known returns what this node knows of a request.
func (g *Guard) known(d Digest) knowledge {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, listed := g.fleet[d]
	own, _ := g.own.Get(d)
	k := knowledge{listed: listed, unchanged: time.Since(own.since)}
	if listed {
		k.Record, k.unchanged = f.Record, time.Since(f.since)
	}
	for _, process := range own.Ended {
		k.Record = k.withEnd(process, "")
	}
	k.Probes = max(k.Probes, own.Probes)
	return k
}

// Suspect reports whether a target is known to have ended under a request.
func (g *Guard) Suspect(d Digest) bool {
	return len(g.known(d).Ended) > 0
}

// Quarantined reports whether a request is known to be let through by probes only.
func (g *Guard) Quarantined(d Digest) bool {
	return g.known(d).Quarantined()
}

// Admit reports whether a request that has just come may be worked on, by what is known here.
// Its error is *Refused.
func (g *Guard) Admit(d Digest) error {
	k := g.known(d)
	decision, after := k.decide()
	if decision != Refuse {
		return nil
	}
	return g.refuse(k.Record, after)
}

func (g *Guard) refuse(r Record, after time.Duration) error {
	g.stats.refused.Add(1)
	if r.Probe != "" {
		after = min(after, retryProbing)
	}
	return &Refused{Ends: len(r.Ended), After: after}
}

// Send asks whether a request may be sent now, and run for a time. In quarantine it claims the
// probe, whose name it returns: the request must then be sent alone, and its end told to Ended,
// Answered or Abandoned. Its error is *Refused.
func (g *Guard) Send(ctx context.Context, d Digest, lasts time.Duration) (probe string, err error) {
	k := g.known(d)
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
		// It was answered meanwhile.
		return "", nil
	}
	g.stats.probes.Add(1)
	g.cfg.Log.Info("request in quarantine sent alone", "digest", d, "ends", len(k.Ended), "probes", k.Probes+1, "probe", probe)
	return probe, nil
}

// Run is a run of a request at a target.
type Run struct {
	Digest Digest
	// Began is when the run began.
	Began time.Time
	// Process names the start of the target's process, Addr is where it takes calls.
	Process, Addr string
	// Probe names the probe that the run belongs to; "" for none. GoesOn says that the probe has
	// more runs to come unless this one ended its target: it is not given up.
	Probe  string
	GoesOn bool
}

// Ended tells that a run broke off at its target. If the target's process has ended, all nodes
// learn of it. The channel tells whether it has, once they can know, or after reportWait: the
// request should not be sent again before.
func (g *Guard) Ended(r Run) <-chan bool {
	known := make(chan bool, 1)
	if r.Digest == (Digest{}) {
		// An order of a node that tells no digest.
		known <- false
		return known
	}
	go func() { known <- g.ended(r) }()
	return known
}

// ended finds out whether a run ended its target, and makes it known.
func (g *Guard) ended(r Run) bool {
	if !g.gone.endedUnder(r.Process, r.Addr, r.Began) {
		if !r.GoesOn {
			g.Abandoned(r.Digest, r.Probe)
		}
		return false
	}
	if g.cfg.Gone != nil {
		g.cfg.Gone(r.Process)
	}
	if !g.noteOwn(r) {
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

// noteOwn remembers an end under a request of this node, and reports whether it counts: the
// same message may come all the time, and where a target has just answered it, its end has
// another cause.
func (g *Guard) noteOwn(r Run) bool {
	g.stats.ends.Add(1)
	g.mu.Lock()
	spared, ok := g.answered.Get(r.Digest)
	if ok && r.Probe == "" && (spared == "" || spared == r.Process) {
		g.answered.Add(r.Digest, r.Process)
		g.mu.Unlock()
		g.cfg.Log.Info("target ended under a request that was just answered elsewhere", "digest", r.Digest, "process", r.Process, "addr", r.Addr)
		return false
	}
	g.answered.Remove(r.Digest)
	own := g.learn(r.Digest, r.Process, "")
	g.mu.Unlock()
	g.cfg.Log.Info("target ended under the request", "digest", r.Digest, "process", r.Process, "addr", r.Addr, "own_ends", len(own.Ended), "probe", r.Probe)
	return true
}

// learn adds an end to what this node knows by itself. The lock is held.
func (g *Guard) learn(d Digest, process, probe string) ownRecord {
	own, _ := g.own.Get(d)
	own.Record, own.since = own.withEnd(process, probe), time.Now()
	g.own.Add(d, own)
	return own
}

// Answered tells that a target answered a request: it does not crash targets.
func (g *Guard) Answered(d Digest) {
	g.mu.Lock()
	_, quarantined := g.fleet[d]
	own := g.own.Remove(d)
	g.answered.Add(d, "")
	g.mu.Unlock()
	if quarantined || own {
		g.queue.push(op{kind: opAnswered, digest: d})
	}
}

// Abandoned tells that a send ended without an answer though its target lives on, or before
// the target had begun to run it: a probe that says nothing is not counted.
func (g *Guard) Abandoned(d Digest, probe string) {
	if probe == "" {
		return
	}
	g.mu.Lock()
	alone := g.giveBack(d, probe)
	g.mu.Unlock()
	if !alone {
		g.queue.push(op{kind: opAbandoned, digest: d, probe: probe})
	}
}

// giveBack takes back a probe that this node allowed by itself, and reports whether it was one. The
// lock is held.
func (g *Guard) giveBack(d Digest, probe string) bool {
	own, ok := g.own.Get(d)
	if !ok || own.Probe != probe {
		return false
	}
	own.Probe = ""
	own.Probes--
	g.own.Add(d, own)
	return true
}
