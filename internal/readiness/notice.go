// Package readiness keeps whether a target takes work, by what the target itself says with its
// answers. What it says is newer than any list of targets, and holds for its process only.
package readiness

import "time"

// Notice is what a target says of itself with an answer. The zero value says nothing.
type Notice struct {
	// Leaving says that the target takes no new work any more; its process ends soon.
	Leaving bool
	// Rest is for how long the target wants no work from this node; 0 for none asked.
	Rest time.Duration
}
