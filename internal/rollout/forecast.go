package rollout

import "time"

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
