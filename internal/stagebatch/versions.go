package stagebatch

import (
	"errors"
	"slices"

	"topazmoor/internal/rollout"
	"topazmoor/internal/targets"
)

// versions shares out the calls of a pool while the version of its targets changes. One node
// forms the batches of a pool, so that its own count keeps the share.
type versions struct {
	trial targets.Trial
	// credit is how many pieces the version on trial may have by now.
	credit float64
}

func (v *versions) set(t targets.Trial) {
	if t.Version != v.trial.Version {
		v.credit = 0
	}
	v.trial = t
}

// mayCall reports whether a target of a version may be given a call.
func (v *versions) mayCall(version string) bool {
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

// called counts a call of some pieces to a target of a version.
func (v *versions) called(version string, pieces, most int) {
	if v.trial.Version == "" {
		return
	}
	v.credit = min(v.credit+v.trial.Share*float64(pieces), float64(most))
	if version == v.trial.Version {
		v.credit -= float64(pieces)
	}
}

// outcomeOf tells how a call speaks for or against the version of its target.
func outcomeOf(reply Reply, err error) rollout.Outcome {
	var ce *CallError
	switch {
	case errors.As(err, &ce) && (ce.NotRun || ce.Unreachable || ce.Moved || ce.Withheld):
		return rollout.Nothing
	case err != nil:
		return rollout.Bad
	case slices.ContainsFunc(reply.Results, func(r ItemResult) bool { return r.Reason == ItemFailed }):
		return rollout.Bad
	case producedAny(reply.Results):
		return rollout.Good
	}
	return rollout.Nothing
}
