package poison

import "time"

// Run is one run of a request at a target.
type Run struct {
	Request
	// Began is when the run began.
	Began time.Time
	// Process identifies one start of the target's process, Addr is the address where it accepts
	// calls.
	Process, Addr string
	// Progress is how far the answer had come.
	Progress Progress
	// Probe is the probe that the run belongs to, if any. ProbeContinues reports that the probe has
	// further runs unless this one ended its target, so that the probe is not given up.
	Probe          Probe
	ProbeContinues bool
}

// Progress is how far the answer to a run has come.
type Progress uint8

// The stages of an answer.
const (
	// Waiting: nothing has arrived.
	Waiting Progress = iota
	// Begun: the head has arrived, and nothing else.
	Begun
	// Answering: the first event has arrived, too lately to show anything.
	Answering
	// Proven: so much has arrived that the request does not crash its target.
	Proven
)

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
			g.Abandoned(r.Probe)
		}
		return false
	}
	if g.cfg.OnProcessEnd != nil {
		g.cfg.OnProcessEnd(r.Process)
	}
	if r.Probe.Claimed() && r.Progress == Waiting && g.endedByAnother(r.Process) {
		g.Abandoned(r.Probe)
		r.Probe = Probe{}
	}
	timer := time.NewTimer(reportWait)
	defer timer.Stop()
	for _, written := range g.recordEnd(r) {
		select {
		case <-written:
		case <-timer.C:
			return true
		}
	}
	return true
}

// recordEnd records an end for the request, for the parts of its prompt, and for what the run probed. The
// channels are closed once it is written to the store.
func (g *Guard) recordEnd(r Run) []<-chan struct{} {
	var written []<-chan struct{}
	if w := g.recordRun(r); w != nil {
		written = append(written, w)
	}
	for _, d := range r.Probe.Of {
		if d != r.Digest {
			written = append(written, g.queue.push(op{kind: opEnd, digest: d, process: r.Process, probe: r.Probe.Name}))
		}
	}
	if r.mayBeInnocent() {
		// The request may be sent again meanwhile.
		go func() {
			if !g.endedByAnother(r.Process) {
				g.countEnd(r)
			}
		}()
		return written
	}
	if w := g.countEnd(r); w != nil {
		written = append(written, w)
	}
	return written
}

// mayBeInnocent reports whether the target may have ended under another run, whose answer had just begun. That is
// reported of runs of prompts only.
func (r Run) mayBeInnocent() bool {
	return r.Parts != nil && r.Progress != Begun && !r.Probe.Claimed()
}

// countEnd counts the end of a run's target against its request. The channel is closed once it is written to the store;
// it is nil if the end does not count.
func (g *Guard) countEnd(r Run) <-chan struct{} {
	if !g.recordLocal(r) {
		return nil
	}
	return g.queue.push(op{kind: opEnd, digest: r.Digest, process: r.Process, probe: r.Probe.NameFor(r.Digest)})
}

// recordLocal records the end of a target that this node observed during a run, and reports whether the
// end counts against the request. Clients may send the same request again and again: if a target has
// just answered the request, the next end of a target under it has another cause.
func (g *Guard) recordLocal(r Run) bool {
	g.stats.ends.Add(1)
	g.mu.Lock()
	lastEnded, ok := g.answered.Get(r.Digest)
	if ok && !r.Probe.Claimed() && (lastEnded == "" || lastEnded == r.Process) {
		g.answered.Add(r.Digest, r.Process)
		g.mu.Unlock()
		g.cfg.Log.Info("target ended under a request that a target recently answered, end not counted against the request", "digest", r.Digest, "process", r.Process, "addr", r.Addr)
		return false
	}
	g.answered.Remove(r.Digest)
	local := g.addLocalEnd(r.Digest, r.Process, "")
	g.mu.Unlock()
	g.cfg.Log.Info("target ended under the request", "digest", r.Digest, "process", r.Process, "addr", r.Addr, "began", r.Progress != Waiting, "own_ends", len(local.Ended), "probe", r.Probe.Name)
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
func (g *Guard) Answered(r Request) {
	d := r.Digest
	g.mu.Lock()
	_, quarantined := g.stored[d]
	local := g.local.Remove(d)
	g.answered.Add(d, "")
	g.mu.Unlock()
	if quarantined || local {
		g.queue.push(op{kind: opAnswered, digest: d})
	}
	g.PartsAnswered(r.Parts)
}

// Abandoned reports that a run ended without an answer while its target still runs, or before the
// target started the run. If the run was a probe, the probe is not counted among the probes of the
// request, as it does not show whether the request crashes targets.
func (g *Guard) Abandoned(p Probe) {
	for _, d := range p.Of {
		g.mu.Lock()
		released := g.releaseLocalProbe(d, p.Name)
		g.mu.Unlock()
		if !released {
			g.queue.push(op{kind: opAbandoned, digest: d, probe: p.Name})
		}
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
