package stagebatch

import (
	"errors"
	"slices"

	"topazmoor/internal/rollout"
	"topazmoor/internal/targets"
)

// versionSplit divides the calls of a pool between two versions of its targets during a
// roll-out. One node forms the batches of a pool, so its local count is enough to keep the
// share.
type versionSplit struct {
	trial targets.Trial
	// credit is the number of pieces that the version on trial may still receive.
	credit float64
}

func (v *versionSplit) set(t targets.Trial) {
	if t.Version != v.trial.Version {
		v.credit = 0
	}
	v.trial = t
}

// mayCall reports whether targets of the version may receive a call now: the version is not barred,
// and during a roll-out its share of the calls allows it.
func (v *versionSplit) mayCall(version string) bool {
	switch {
	case slices.Contains(v.trial.Barred, version):
		return false
	case v.trial.Version == "":
		return true
	case version == v.trial.Version:
		return v.trial.Share >= 1 || v.trial.Share > 0 && v.credit > 0
	}
	return v.trial.Share < 1
}

// recordCall counts a call with the given number of pieces to a target of the version. most
// bounds the credit.
func (v *versionSplit) recordCall(version string, pieces, most int) {
	if v.trial.Version == "" {
		return
	}
	v.credit = min(v.credit+v.trial.Share*float64(pieces), float64(most))
	if version == v.trial.Version {
		v.credit -= float64(pieces)
	}
}

// outcomeOf classifies the outcome of a call as evidence for or against the version of its
// target.
func outcomeOf(reply Reply, err error) rollout.Outcome {
	var ce *CallError
	switch {
	case errors.As(err, &ce) && (ce.NotRun || ce.Unreachable || ce.Moved || ce.Withheld):
		return rollout.Inconclusive
	case err != nil:
		return rollout.Bad
	case slices.ContainsFunc(reply.Results, func(r ItemResult) bool { return r.Reason == ItemFailed }):
		return rollout.Bad
	case producedAny(reply.Results):
		return rollout.Good
	}
	return rollout.Inconclusive
}
