package passthrough

import "time"

// stopMargin is the time kept free before the end of the process.
const stopMargin = 500 * time.Millisecond

// PlannedStop describes the planned stop of a process.
type PlannedStop struct {
	// Left is when the balancer sends no callers any more; what comes later was on its way, or comes slowly.
	Left time.Time
	// Ends is when the process ends.
	Ends time.Time
}

// earlier returns the same stop, sooner.
func (p PlannedStop) earlier(by time.Duration) PlannedStop {
	return PlannedStop{Left: p.Left.Add(-by), Ends: p.Ends.Add(-by)}
}

// admits reports whether a request that has come whole is taken, which needs some time until its answer begins and may last for
// longest. While the balancer still sends callers, an answer that is expected to begin is enough. Later only a request that cannot outlast the
// process is taken: others would be cut off, while a caller that is refused is served by another node at once.
func (p PlannedStop) admits(timeToAnswer, longest time.Duration) bool {
	left := time.Until(p.Ends) - stopMargin
	if time.Now().Before(p.Left) {
		return timeToAnswer <= left
	}
	return longest <= left
}
