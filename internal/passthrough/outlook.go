package passthrough

import (
	"time"

	"topazmoor/internal/routes"
	"topazmoor/internal/stagebatch"
)

// presumedFirstEvent stands for the time to an engine's first event until one was
// measured.
const presumedFirstEvent = 150 * time.Millisecond

// firstEventTime estimates the time from the send to an engine's first event.
func (c *call) firstEventTime() time.Duration {
	if t := c.s.cfg.Targets.Latency(c.service); t > 0 {
		return t
	}
	return presumedFirstEvent
}

// outlook estimates how long the stages of a request take, by what the pools last told.
type outlook struct {
	c *call
	// late says that the request will miss its objective; late work goes after all other
	// work.
	late bool
}

// onTime is the outlook of a request that can meet its objective.
func (c *call) onTime() outlook { return outlook{c: c} }

// need estimates the time until the answer begins.
func (o outlook) need() time.Duration {
	if o.c.route.Kind != routes.Stream {
		return o.c.s.cfg.Targets.Latency(o.c.service)
	}
	return o.all() + o.c.firstEventTime()
}

// stage estimates the time of one stage.
func (o outlook) stage(i int) time.Duration {
	n := o.c.pieces(i)
	if n == 0 {
		return 0
	}
	st := o.c.route.Stages[i]
	return o.c.s.cfg.Stages.Estimate(st.Service, stagebatch.Work{Rank: o.c.rank, Pieces: n, Late: o.late, Begun: len(st.After) > 0, Regions: o.c.regions()})
}

// after estimates the time of the stages that follow stage i, on the longest path.
func (o outlook) after(i int) time.Duration {
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

// before estimates the time of the stages that stage i waits for.
func (o outlook) before(i int) time.Duration {
	var longest time.Duration
	for _, dep := range o.c.route.Stages[i].After {
		longest = max(longest, o.before(dep)+o.stage(dep))
	}
	return longest
}

// all estimates the time of all stages, on the longest path.
func (o outlook) all() time.Duration {
	var longest time.Duration
	for i := range o.c.route.Stages {
		if len(o.c.route.Stages[i].After) == 0 {
			longest = max(longest, o.stage(i)+o.after(i))
		}
	}
	return longest
}
