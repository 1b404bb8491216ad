package rollout

import (
	"slices"
	"time"
)

// Forecast is what the trial of an order can show at a constant rate of calls.
type Forecast struct {
	// Calls is about the number of calls that the new version gets during its trial.
	Calls float64
	// Judged reports whether they suffice to judge the version by; without, the order is rolled back.
	// Thorough reports whether there are as many as a trial aims at.
	Judged, Thorough bool
}

// Forecast returns the forecast for an order that lasts for a time, of a service that gets perSecond
// calls a second.
func (b Bounds) Forecast(perSecond float64, lasts time.Duration) Forecast {
	all := perSecond * maxTrialUntil * lasts.Seconds()
	calls := shareMargin*b.Share*all + min(slackMargin*b.Slack, all)
	return Forecast{Calls: calls, Judged: calls >= minAnswers, Thorough: calls >= wantedAnswers}
}

// LastInPart returns the largest of the hashes of the targets that take the calls of a group, if only a
// fraction of the group does; that is at least one target. It is 0 without hashes. It sorts hashes.
func LastInPart(hashes []uint64, fraction float64) uint64 {
	if len(hashes) == 0 {
		return 0
	}
	slices.Sort(hashes)
	return hashes[min(int(fraction*float64(len(hashes))), len(hashes)-1)]
}
