package poison

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// quarantineEnds is the number of different processes that must end under a request to
	// quarantine it. One end may have any cause, and up to 50 requests are in progress at the
	// target. Most requests under which a second target ends are innocent only where targets end
	// all the time, and a probe clears those.
	quarantineEnds = 2
	// maxProbeTime bounds how long a probe may take. Routes give requests up to 20 s.
	maxProbeTime = time.Minute
	// probeReportSlack is how long after the time of a probe its node may take to write the
	// outcome: one commit at a slow store. After that the node is presumed to have failed.
	probeReportSlack = time.Second
	// maxProcesses bounds the processes that a record names.
	maxProcesses = 8
)

// probePauses are the times without new information that must pass before each probe. The first
// probe may run at once, as an innocent request must not wait. The second follows soon, in case the
// target of the first ended for another cause. Each probe costs a target if the request is not
// innocent. There are no further probes while the record exists: of the three sends that may follow
// a third end, one is reserved for nodes that have not read of that end yet.
var probePauses = [...]time.Duration{0, 15 * time.Second, 2 * time.Minute}

// partProbePauses are the same for a part of a prompt. Many requests hold a part, so a verdict on an innocent
// one must not stand for long because a target ended under its probe for another cause. There is one more
// probe, of a lower risk.
var partProbePauses = [...]time.Duration{0, time.Second, 15 * time.Second, 2 * time.Minute}

const (
	// riskPause is how much later a probe of a part runs for each point of risk, so that requests that hold
	// nothing else of which targets may have ended go first.
	riskPause = 500 * time.Millisecond
	// maxRiskOfPart bounds the risk by one other part.
	maxRiskOfPart = 3
)

// probeSpec is how a record would be probed by a request.
type probeSpec struct {
	ofPart bool
	// risk says how likely it is that a target ends for another part of the request's prompt: the number of
	// targets that ended under the other parts.
	risk int
}

// pause returns the pause before the next probe of a record; ok is false if there is none.
func (s probeSpec) pause(r Record) (pause time.Duration, ok bool) {
	if !s.ofPart {
		if r.Probes >= len(probePauses) {
			return 0, false
		}
		return probePauses[r.Probes], true
	}
	extra := time.Duration(s.risk) * riskPause
	switch {
	case s.risk+1 < r.EndedRisk && r.Probes <= len(partProbePauses):
		return extra, true
	case r.Probes >= len(partProbePauses):
		return 0, false
	}
	return partProbePauses[r.Probes] + extra, true
}

// recordTTL is how long a record is kept without new information.
const recordTTL = 2 * time.Hour

// Record is the shared information of all nodes on a request, or a part of prompts, under which targets
// ended. One that was answered has none.
type Record struct {
	// Ended names the processes that ended under the request, at most maxProcesses.
	Ended []string `json:"ended"`
	// Probes is the number of probes that were claimed and not abandoned.
	Probes int `json:"probes,omitempty"`
	// EndedRisk is one more than the lowest risk of the probes under which a target ended; 0 if there was none.
	EndedRisk int `json:"ended_risk,omitempty"`
	// Probe names the probe in progress; empty if none. ProbeMS is how long the probe may take, in
	// milliseconds, ProbeRisk its risk.
	Probe     string `json:"probe,omitempty"`
	ProbeMS   int64  `json:"probe_ms,omitempty"`
	ProbeRisk int    `json:"probe_risk,omitempty"`
}

// withProbe returns the record with a probe in progress that may take the duration lasts.
func (r Record) withProbe(name string, spec probeSpec, lasts time.Duration) Record {
	r.Probes++
	r.Probe, r.ProbeMS, r.ProbeRisk = name, min(lasts+probeReportSlack, maxProbeTime).Milliseconds(), spec.risk
	return r
}

// withoutProbe returns the record without the probe in progress, which does not count.
func (r Record) withoutProbe() Record {
	r.Probes--
	r.Probe = ""
	return r
}

// probeTimeLeft returns how long the probe in progress may still run if the record has been
// unchanged for a time; 0 if there is no probe.
func (r Record) probeTimeLeft(unchanged time.Duration) time.Duration {
	if r.Probe == "" {
		return 0
	}
	return max(time.Duration(r.ProbeMS)*time.Millisecond-unchanged, 0)
}

// Quarantined reports whether only probes of the request may be sent.
func (r Record) Quarantined() bool { return len(r.Ended) >= quarantineEnds }

// withEnd returns the record with the end of a process added; probe names the probe under which it
// ended, or is empty. A process is added once, whichever nodes report it. A probe that the record
// does not contain was made without the store, and counts as well.
func (r Record) withEnd(process, probe string) Record {
	known := slices.Contains(r.Ended, process)
	switch {
	case probe != "" && r.Probe == probe:
		r.Probe = ""
		if r.EndedRisk == 0 || r.ProbeRisk < r.EndedRisk {
			r.EndedRisk = r.ProbeRisk + 1
		}
	case probe != "" && !known:
		r.Probes++
	}
	if known || len(r.Ended) >= maxProcesses {
		return r
	}
	r.Ended = append(slices.Clone(r.Ended), process)
	return r
}

// merged returns the record with the information of another record of the same request: the target
// processes that ended under the request are added, and the probes are those of the record that
// counts more probes.
func (r Record) merged(o Record) Record {
	for _, process := range o.Ended {
		r = r.withEnd(process, "")
	}
	if o.Probes > r.Probes {
		r.Probes, r.EndedRisk, r.Probe, r.ProbeMS, r.ProbeRisk = o.Probes, o.EndedRisk, o.Probe, o.ProbeMS, o.ProbeRisk
	}
	return r
}

// Decision is what may be done with a request.
type Decision uint8

// The decisions.
const (
	// Pass: the request may be sent like any other.
	Pass Decision = iota
	// MayProbe: the request may be sent alone, by the node that claims the probe.
	MayProbe
	// Refuse: the request must not be sent.
	Refuse
)

// Decide returns what may be done with the request if its record has been unchanged for a time.
// spec is how it would be probed. after is when a refusal ends; 0 if it lasts as long as the record.
func (r Record) Decide(unchanged time.Duration, spec probeSpec) (d Decision, after time.Duration) {
	if !r.Quarantined() {
		return Pass, 0
	}
	if left := r.probeTimeLeft(unchanged); left > 0 {
		return Refuse, left
	}
	pause, ok := spec.pause(r)
	if !ok {
		return Refuse, 0
	}
	if wait := pause - unchanged; wait > 0 {
		return Refuse, wait
	}
	return MayProbe, 0
}

// decodeRecord decodes the value of a row.
func decodeRecord(value []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, eris.Wrap(err, "decode request record")
	}
	if len(r.Ended) > maxProcesses || r.Probes < 0 {
		return Record{}, eris.Errorf("invalid request record: %d ends, %d probes", len(r.Ended), r.Probes)
	}
	return r, nil
}

// encode returns the value of the record's row.
func (r Record) encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // a record holds nothing that JSON cannot encode
	}
	return b
}
