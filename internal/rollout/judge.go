package rollout

import (
	"fmt"
	"maps"
	"math"
)

const (
	// alarm is the likelihood ratio, as a logarithm, from which a version is held to be bad: one
	// false alarm in about 100,000 answers of a route.
	alarm = 11.5
	// leastRate is the least rate of bad answers that the old version is held to have, so that a
	// single bad answer proves nothing.
	leastRate = 0.02
	// routeExcess is the excess of bad answers on one route that must be found, overallExcess
	// that on all routes together, as shares of the answers.
	routeExcess   = 0.15
	overallExcess = 0.07
	// slowTail is the part of the old version's answers that count as slow.
	slowTail = 0.02
	// leastOld is the number of the old version's answers from which its speed is known.
	leastOld = 20
	// fewTargets is the number of targets below which a fault of one of them cannot be told from
	// one of the version.
	fewTargets = 3
	// othersShare is the part of the answers that others must have given for the same.
	othersShare = 0.5
	// fade is the part of the old version's counts that is kept from one step to the next, so
	// that troubles of both versions are compared as they are now.
	fade = 0.99
	// recentFade is the same for its failures of the last second or two, and leastRecent the number
	// of answers from which they tell: a trouble that both versions have begins and ends at once.
	recentFade  = 0.85
	leastRecent = 5
)

// Judge compares two versions by a sequential test of their bad and slow answers, by route and
// over all routes: the cumulative sum of likelihood ratios between an excess of bad answers and
// none, which also finds a version that turns bad later. A fault of one target alone is not taken
// for one of the version.
type Judge struct {
	routes map[string]*comparison
	all    comparison
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{routes: make(map[string]*comparison), all: comparison{excess: overallExcess}}
}

// clone returns a copy.
func (j *Judge) clone() *Judge {
	out := &Judge{routes: make(map[string]*comparison, len(j.routes)), all: j.all.clone()}
	for name, c := range j.routes {
		route := c.clone()
		out.routes[name] = &route
	}
	return out
}

// takeTogether takes in what came in some steps.
func (j *Judge) takeTogether(news map[Source]Tally, steps int) {
	for range steps - 1 {
		j.fadeOld()
	}
	j.Take(news)
}

func (j *Judge) fadeOld() {
	for _, c := range j.routes {
		c.fadeOld()
	}
	j.all.fadeOld()
}

// comparison is the test of one route, or of all.
type comparison struct {
	excess float64
	// old are the faded counts of the old version.
	oldAnswers, oldBad       float64
	recentAnswers, recentBad float64
	oldTook                  [buckets]float64
	oldLeft                  [buckets]float64
	// answered and bad count the new version's answers by target.
	answered, bad map[string]float64
	// score is the sum for all targets, others that without the worst one.
	score, others float64
}

// Take takes in what came since the last call.
func (j *Judge) Take(news map[Source]Tally) {
	j.fadeOld()
	for source, t := range news {
		if !source.New {
			j.route(source.Route).addOld(t)
			j.all.addOld(t)
		}
	}
	byRoute := make(map[string][]counted)
	var overall []counted
	for source, t := range news {
		if !source.New {
			continue
		}
		n := j.count(source, t)
		byRoute[source.Route] = append(byRoute[source.Route], n)
		overall = append(overall, n)
	}
	for route, counts := range byRoute {
		j.route(route).take(counts, j.route(route).rate(j.all.rate(leastRate)))
	}
	j.all.take(overall, j.all.rate(leastRate))
}

// counted are answers of one target of the new version.
type counted struct {
	target    string
	good, bad float64
}

// count tells good answers from bad and slow ones, by the old version on the same route.
func (j *Judge) count(source Source, t Tally) counted {
	slow := t.beyond(j.route(source.Route).slowFrom())
	var took float64
	for i := range buckets {
		took += float64(t.Took[i])
	}
	bad := float64(t.Bad) + slow
	return counted{target: source.Target, bad: bad, good: max(took-slow, 0)}
}

func (j *Judge) route(name string) *comparison {
	c := j.routes[name]
	if c == nil {
		c = &comparison{excess: routeExcess}
		j.routes[name] = c
	}
	return c
}

func (c *comparison) clone() comparison {
	out := *c
	out.answered, out.bad = maps.Clone(c.answered), maps.Clone(c.bad)
	return out
}

func (c *comparison) fadeOld() {
	c.oldAnswers, c.oldBad = fade*c.oldAnswers, fade*c.oldBad
	c.recentAnswers, c.recentBad = recentFade*c.recentAnswers, recentFade*c.recentBad
	for i := range buckets {
		c.oldTook[i], c.oldLeft[i] = fade*c.oldTook[i], fade*c.oldLeft[i]
	}
}

func (c *comparison) addOld(t Tally) {
	c.oldAnswers += t.answers()
	c.oldBad += float64(t.Bad)
	c.recentAnswers += t.answers()
	c.recentBad += float64(t.Bad)
	for i := range buckets {
		c.oldTook[i] += float64(t.Took[i])
		c.oldLeft[i] += float64(t.Left[i])
	}
}

// slowFrom returns the class of durations above which an answer is slow: the end of what the old
// version takes, and one class more, as loads differ a little.
func (c *comparison) slowFrom() int {
	if c.oldAnswers < leastOld {
		return buckets
	}
	var tail float64
	for i := buckets - 1; i >= 0; i-- {
		if tail += c.oldTook[i] + c.oldLeft[i]; tail > slowTail*c.oldAnswers {
			return i + 1
		}
	}
	return buckets
}

// rate returns the old version's rate of bad and slow answers; otherwise where little is known.
func (c *comparison) rate(otherwise float64) float64 {
	if c.oldAnswers < leastOld {
		return otherwise
	}
	slow := 0.0
	for i := c.slowFrom() + 1; i < buckets; i++ {
		slow += c.oldTook[i] + c.oldLeft[i]
	}
	recent := 0.0
	if c.recentAnswers >= leastRecent {
		recent = c.recentBad / c.recentAnswers
	}
	return max((c.oldBad+slow)/c.oldAnswers, recent, leastRate)
}

// take adds answers of the new version, against the old one's rate of bad ones.
func (c *comparison) take(counts []counted, rate float64) {
	if c.answered == nil {
		c.answered, c.bad = make(map[string]float64), make(map[string]float64)
	}
	for _, n := range counts {
		c.answered[n.target] += n.good + n.bad
		c.bad[n.target] += n.bad
	}
	worst := c.worst()
	var good, bad, otherGood, otherBad float64
	for _, n := range counts {
		good, bad = good+n.good, bad+n.bad
		if n.target != worst {
			otherGood, otherBad = otherGood+n.good, otherBad+n.bad
		}
	}
	c.score = max(0, c.score+ratio(good, bad, rate, c.excess))
	c.others = max(0, c.others+ratio(otherGood, otherBad, rate, c.excess))
}

// ratio is the logarithm of how much likelier answers are under an excess of bad ones than
// without it.
func ratio(good, bad, rate, excess float64) float64 {
	rate = min(rate, 0.9)
	raised := min(rate+excess, 0.99)
	return bad*math.Log(raised/rate) + good*math.Log((1-raised)/(1-rate))
}

// worst returns the target with the most bad answers; "" for none.
func (c *comparison) worst() string {
	worst := ""
	for target, n := range c.bad {
		if n > 0 && (worst == "" || n > c.bad[worst] || n == c.bad[worst] && target < worst) {
			worst = target
		}
	}
	return worst
}

// isBad reports whether the new version is held to be bad.
func (c *comparison) isBad() bool {
	worst := c.worst()
	var all, others float64
	for target, n := range c.answered {
		all += n
		if target != worst {
			others += n
		}
	}
	if len(c.answered) < fewTargets || others < othersShare*all {
		return c.score >= alarm
	}
	return c.others >= alarm
}

// Bad reports whether the new version is held to be bad, and why.
func (j *Judge) Bad() (reason string, bad bool) {
	for name, c := range j.routes {
		if c.isBad() {
			return fmt.Sprintf("on route %s %s", name, c.told()), true
		}
	}
	if j.all.isBad() {
		return "over all routes " + j.all.told(), true
	}
	return "", false
}

// told describes a comparison.
func (c *comparison) told() string {
	var answers, bad float64
	for target, n := range c.answered {
		answers += n
		bad += c.bad[target]
	}
	return fmt.Sprintf("%.0f of %.0f answers were bad or slow, of the old version's %.1f%%", bad, answers, 100*c.rate(leastRate))
}

// Seen returns the number of answers of the new version, and the least number on a route on
// which the old version is known.
func (j *Judge) Seen() (all, least float64) {
	for _, n := range j.all.answered {
		all += n
	}
	least = math.Inf(1)
	for _, c := range j.routes {
		if c.oldAnswers < leastOld {
			continue
		}
		var n float64
		for _, a := range c.answered {
			n += a
		}
		least = min(least, n)
	}
	if math.IsInf(least, 1) {
		least = 0
	}
	return all, least
}
