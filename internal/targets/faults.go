package targets

import (
	"math"
	"time"
)

const (
	// faultWeight is the weight of the newest answer in the moving average of a target's own failures.
	faultWeight = 0.1
	// faultMemory is the time in which the average falls to 1/e of its value without an answer, so that a target that
	// is avoided gets a call now and then.
	faultMemory = 5 * time.Second
	// faultMargin is by how much more often than the best candidate a target may fail at no cost: callers' requests fail
	// by themselves, and a node sees few answers.
	faultMargin = 0.25
)

// faultShare is the recent share of a target's answers that were its own failures, such as a status of 500. Such a target
// answers, often fast, so that its load and latency make it look attractive.
type faultShare struct {
	share float64
	// at is when the share was last updated.
	at time.Time
}

// recent returns the share, from 0 to 1.
func (f faultShare) recent(now time.Time) float64 {
	return f.share * math.Exp(-float64(now.Sub(f.at))/float64(faultMemory))
}

// add adds an answer.
func (f *faultShare) add(faulty bool, now time.Time) {
	f.share = f.recent(now) * (1 - faultWeight)
	if faulty {
		f.share += faultWeight
	}
	f.at = now
}

// leastFaults returns the smallest share of failures of the candidates.
func leastFaults(cands []*state, now time.Time) float64 {
	least := 1.0
	for _, s := range cands {
		least = min(least, s.faults.recent(now))
	}
	return least
}

// excessFaults returns by how much more often than the best candidate, whose share is least, a target fails, beyond
// faultMargin.
func (s *state) excessFaults(least float64, now time.Time) float64 {
	return max(s.faults.recent(now)-least-faultMargin, 0)
}
