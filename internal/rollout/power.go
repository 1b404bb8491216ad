package rollout

import "math"

const (
	// maxMoveScore is the score up to which the traffic moves where a route has too few answers to tell
	// a bad version.
	maxMoveScore = 3
	// tellingPart is the part of the number of answers after which a bad version is expected to reach
	// badThreshold. With that part of them, a low score shows that the version is not bad.
	tellingPart = 0.5
)

// telling returns how many answers of the new version it takes until a low score shows that it has no
// excess of bad ones. The more the old version fails, the less each answer shows.
func (c *comparison) telling() float64 {
	rate := min(c.rate(minRate), maxRate)
	raised := min(rate+c.excess, maxRaised)
	gain := raised*math.Log(raised/rate) + (1-raised)*math.Log((1-raised)/(1-rate))
	return tellingPart * badThreshold / gain
}

// InDoubt reports whether the version may be bad although it is not judged so: on some route it has
// few answers, and more bad ones among them than the old version.
func (j *Judge) InDoubt() bool {
	for _, c := range j.routes {
		var answers float64
		for _, n := range c.answered {
			answers += n
		}
		if answers < c.telling() && c.decisiveScore() > maxMoveScore {
			return true
		}
	}
	return false
}
