package rollout

import (
	"slices"
	"time"
)

// Forecast is what the trial of an order can show at a constant rate of calls.
type Forecast struct {
	// Calls is about the number of calls that the new version gets during its trial.
	Calls float64
	// Judged reports whether these calls suffice to judge the version; if not, the order is rolled back.
	// Thorough reports whether they are as many as a trial aims at.
	Judged, Thorough bool
}

// Forecast returns the forecast for an order of the duration lasts, of a service that gets perSecond calls
// a second.
func (b Bounds) Forecast(perSecond float64, lasts time.Duration) Forecast {
	all := perSecond * maxTrialUntil * lasts.Seconds()
	calls := shareMargin*b.Share*all + min(slackMargin*b.Slack, all)
	return Forecast{Calls: calls, Judged: calls >= minAnswers, Thorough: calls >= wantedAnswers}
}

// LastInPart returns the largest hash among the targets that take calls, where only the given fraction of
// a group does, from 0 to 1: those with the smallest hashes, at least one. hashes are those of the whole
// group; they get sorted. The result is 0 if there are none.
func LastInPart(hashes []uint64, fraction float64) uint64 {
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	return hashes[min(int(fraction*float64(len(hashes))), len(hashes)-1)]
}
