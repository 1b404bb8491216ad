package passthrough

import (
	"time"

	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
)

// defaultFirstEventTime is used for the time to an engine's first event until one was
// measured.
const defaultFirstEventTime = 150 * time.Millisecond

// firstEventTime estimates the time from sending the request to the engine's first event.
func (c *call) firstEventTime() time.Duration {
	if t := c.s.cfg.Targets.Latency(c.service); t > 0 {
		return t
	}
	return defaultFirstEventTime
}

// estimator estimates how long the stages of a request take, from the last reports of the
// stage pools.
type estimator struct {
	c *call
	// late reports that the request will miss its objective; late work is queued behind all other
	// work.
	late bool
}

// onTimeEstimator returns the estimator of a request that can meet its objective.
func (c *call) onTimeEstimator() estimator { return estimator{c: c} }

// timeToAnswer estimates the time until the response begins.
func (o estimator) timeToAnswer() time.Duration {
	if o.c.route.Kind != routes.Stream {
		return o.c.s.cfg.Targets.Latency(o.c.service)
	}
	return o.all() + o.c.firstEventTime()
}

// stage estimates the time of one stage.
func (o estimator) stage(i int) time.Duration {
	n := o.c.pieces(i)
	if n == 0 {
		return 0
	}
	st := o.c.route.Stages[i]
	return o.c.s.cfg.Stages.Estimate(st.Service, stagebatch.Work{Rank: o.c.rank, Pieces: n, Late: o.late, Begun: len(st.After) > 0, DataCentre: o.c.expectedDataCentre(i), Regions: o.c.regions()})
}

// after estimates the time of the stages that follow stage i, along the longest path.
func (o estimator) after(i int) time.Duration {
	var longest time.Duration
	for j := i + 1; j < len(o.c.route.Stages); j++ {
		for _, dep := range o.c.route.Stages[j].After {
			if dep == i {
				longest = max(longest, o.stage(j)+o.after(j))
			}
		}
	}
	return longest
}

// before estimates the time of the stages that stage i depends on, along the longest path.
func (o estimator) before(i int) time.Duration {
	var longest time.Duration
	for _, dep := range o.c.route.Stages[i].After {
		longest = max(longest, o.before(dep)+o.stage(dep))
	}
	return longest
}

// all estimates the time of all stages, along the longest path.
func (o estimator) all() time.Duration {
	var longest time.Duration
	for i := range o.c.route.Stages {
		if len(o.c.route.Stages[i].After) == 0 {
			longest = max(longest, o.stage(i)+o.after(i))
		}
	}
	return longest
}
