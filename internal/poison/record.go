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
// one must not stand for long because a target ended under its probe for another cause.
var partProbePauses = [...]time.Duration{0, time.Second, 15 * time.Second}

// jointProbePauses are the pauses before a part is probed by a request that holds other quarantined
// records too. They are longer than the first ones of partProbePauses, as the end of such a probe does not show
// which of them is the cause, and their number is apart, as a part that crashes targets would use up
// the probes of those that come with it.
var jointProbePauses = [...]time.Duration{3 * time.Second, 2 * time.Minute}

// probeKind is how a record may be probed.
type probeKind uint8

const (
	// ofRequest: the record is that of a request.
	ofRequest probeKind = iota
	// ofPart: the record is that of a part, alone in its request.
	ofPart
	// joint: the record is that of a part that comes with other quarantined records.
	joint
)

// kindOf returns how a record may be probed; alone reports that no other record in quarantine comes with it.
func kindOf(d Digest, alone bool) probeKind {
	_, isPart := d.Part()
	switch {
	case !isPart:
		return ofRequest
	case alone:
		return ofPart
	}
	return joint
}

// pauses returns the pauses before each probe.
func (k probeKind) pauses() []time.Duration {
	switch k {
	case ofPart:
		return partProbePauses[:]
	case joint:
		return jointProbePauses[:]
	}
	return probePauses[:]
}

// recordTTL is how long a record is kept without new information.
const recordTTL = 2 * time.Hour

// Record is the shared information of all nodes on a request, or a part of prompts, under which targets
// ended. One that was answered has none.
type Record struct {
	// Ended names the processes that ended under the request, at most maxProcesses.
	Ended []string `json:"ended"`
	// Probes is the number of probes that were claimed and not abandoned, JointProbes that of those for which
	// the request held other quarantined records too; they are not among Probes.
	Probes      int `json:"probes,omitempty"`
	JointProbes int `json:"joint_probes,omitempty"`
	// Probe names the probe in progress; empty if none. ProbeMS is how long the probe may take, in
	// milliseconds; ProbeJoint reports that it is among JointProbes.
	Probe      string `json:"probe,omitempty"`
	ProbeMS    int64  `json:"probe_ms,omitempty"`
	ProbeJoint bool   `json:"probe_joint,omitempty"`
}

// withProbe returns the record with a probe in progress that may take the duration lasts.
func (r Record) withProbe(name string, kind probeKind, lasts time.Duration) Record {
	r.ProbeJoint = kind == joint
	if r.ProbeJoint {
		r.JointProbes++
	} else {
		r.Probes++
	}
	r.Probe, r.ProbeMS = name, min(lasts+probeReportSlack, maxProbeTime).Milliseconds()
	return r
}

// withoutProbe returns the record without the probe in progress, which does not count.
func (r Record) withoutProbe() Record {
	if r.ProbeJoint {
		r.JointProbes--
	} else {
		r.Probes--
	}
	r.Probe, r.ProbeJoint = "", false
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
		r.Probe, r.ProbeJoint = "", false
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
		r.Probes, r.Probe, r.ProbeMS, r.ProbeJoint = o.Probes, o.Probe, o.ProbeMS, o.ProbeJoint
	}
	r.JointProbes = max(r.JointProbes, o.JointProbes)
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
// kind is how it would be probed. after is when a refusal ends; 0 if it lasts as long as the record.
func (r Record) Decide(unchanged time.Duration, kind probeKind) (d Decision, after time.Duration) {
	if !r.Quarantined() {
		return Pass, 0
	}
	if left := r.probeTimeLeft(unchanged); left > 0 {
		return Refuse, left
	}
	probes, pauses := r.Probes, kind.pauses()
	if kind == joint {
		probes = r.JointProbes
	}
	if probes >= len(pauses) {
		return Refuse, 0
	}
	if wait := pauses[probes] - unchanged; wait > 0 {
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
	if len(r.Ended) > maxProcesses || r.Probes < 0 || r.JointProbes < 0 {
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
