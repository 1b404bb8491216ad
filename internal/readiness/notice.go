// Package readiness tracks whether a target takes work, by what the target reports with its
// answers. Such a report is newer than any list of targets, and applies to the target's current
// process only.
package readiness

import "time"

// Notice is what a target reports about its readiness with an answer. The zero value reports
// nothing.
type Notice struct {
	// Leaving is set if the target takes no new work any more; its process ends soon.
	Leaving bool
	// Rest is for how long the target asks this node to send it no work; 0 if it does not ask.
	Rest time.Duration
	// MaxRejections is the number of calls a second, of all nodes together, that the target can reject
	// for want of room without its process ending; 0 for no such bound.
	MaxRejections float64
}
