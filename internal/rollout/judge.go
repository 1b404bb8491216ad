package rollout

import (
	"fmt"
	"maps"
	"math"
)

const (
	// badThreshold is the logarithm of the likelihood ratio from which the new version is judged bad.
	// It gives one false detection in about 100,000 answers of a route.
	badThreshold = 11.5
	// minRate is the lowest rate of bad answers that is assumed of the old version, so that a
	// single bad answer of the new version is not enough to judge the new version bad.
	minRate = 0.02
	// routeExcess and overallExcess are the increases that Judge's sequential test is designed to
	// detect: of the new version's share of bad answers over the old version's, on one route and on
	// all routes together.
	routeExcess   = 0.15
	overallExcess = 0.07
	// slowTail is the largest part of the old version's calls that may be longer than the duration
	// class above which answers are slow (see slowFrom).
	slowTail = 0.02
	// minOldAnswers is the number of the old version's answers from which its durations and its
	// rate of bad answers are known.
	minOldAnswers = 20
	// maxRate and maxRaised bound the rates of bad answers without and with an excess.
	maxRate, maxRaised = 0.9, 0.99
	// minTargets is the number of targets below which a fault of one target cannot be
	// distinguished from a fault of the version.
	minTargets = 3
	// minOthersShare is the part of the new version's answers that must come from targets other than
	// the worst one before the worst target is left out of the test: with fewer, a fault of the
	// worst target cannot be distinguished from a fault of the version.
	minOthersShare = 0.5
	// minOthersSince is the same part of the answers since the score was last 0, that is, since the
	// version seems to have turned bad. It also applies where most of the earlier answers came from the
	// worst target, because the trial began with that target alone.
	minOthersSince = 0.7
	// oldDecay is the factor by which the numbers of the old version's answers, bad answers and
	// calls by duration are reduced at each step, so that the new version is compared with the
	// present state of the old version.
	oldDecay = 0.99
	// recentDecay is the factor per step for a second pair of numbers, the old version's recent
	// answers and recent bad answers, which thus cover the last one or two seconds. From
	// minRecentAnswers recent answers on, the old version's rate of bad answers is at least the rate
	// among the recent ones: a fault that affects both versions begins and ends at the same time in
	// both, so it must not be taken for a fault of the new version.
	recentDecay      = 0.85
	minRecentAnswers = 5
)

// Judge compares the new version of a service with the old one by a sequential test of their bad and
// slow answers, by route and over all routes: the cumulative sum of likelihood ratios between an excess
// of bad answers and none, which also detects a version that turns bad later. A fault of a single
// target does not count as a fault of the version.
type Judge struct {
	routes map[string]*comparison
	// gaps compares the longest gaps between the events of streams, by route.
	gaps map[string]*comparison
	all  comparison
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge {
	return &Judge{routes: make(map[string]*comparison), gaps: make(map[string]*comparison), all: comparison{excess: overallExcess}}
}

// clone returns a deep copy.
func (j *Judge) clone() *Judge {
	return &Judge{routes: cloneAll(j.routes), gaps: cloneAll(j.gaps), all: j.all.clone()}
}

func cloneAll(routes map[string]*comparison) map[string]*comparison {
	out := make(map[string]*comparison, len(routes))
	for name, c := range routes {
		route := c.clone()
		out[name] = &route
	}
	return out
}

// addSteps adds the tallies of several steps at once.
func (j *Judge) addSteps(delta map[Source]Tally, steps int) {
	for range steps - 1 {
		j.decayOld()
	}
	j.Add(delta)
}

func (j *Judge) decayOld() {
	for _, c := range j.routes {
		c.decayOld()
	}
	for _, c := range j.gaps {
		c.decayOld()
	}
	j.all.decayOld()
}

// comparison is the sequential test of one route, or of all routes together.
type comparison struct {
	// excess is the excess of bad answers, as a share of the answers, that the test detects.
	excess float64
	// oldAnswers, oldBad, oldTook and oldLeft are the old version's numbers of answers, of bad
	// answers, and of answered and abandoned calls by duration class; they decay with oldDecay.
	// recentAnswers and recentBad decay with recentDecay.
	oldAnswers, oldBad       float64
	recentAnswers, recentBad float64
	oldTook                  [buckets]float64
	oldLeft                  [buckets]float64
	// answered counts the new version's answers by target, bad the new version's bad and slow
	// answers by target. since counts its answers by target since score was last 0: since the time
	// at which the version turned bad, if it did.
	answered, bad, since map[string]float64
	// score is the cumulative sum of the test over all targets of the new version, others the
	// cumulative sum over all of them but the worst.
	score, others float64
}

// Add adds the tallies since the last call of Add. Before that it decays the numbers of the old
// version's answers by one step.
func (j *Judge) Add(delta map[Source]Tally) {
	j.decayOld()
	j.addGaps(delta)
	for source, t := range delta {
		if !source.New {
			j.route(source.Route).addOld(t)
			j.all.addOld(t)
		}
	}
	byRoute := make(map[string][]targetCount)
	var overall []targetCount
	for source, t := range delta {
		if !source.New {
			continue
		}
		n := j.route(source.Route).classify(source.Target, t)
		byRoute[source.Route] = append(byRoute[source.Route], n)
		overall = append(overall, n)
	}
	for route, counts := range byRoute {
		j.route(route).addNew(counts, j.route(route).rate(j.all.rate(minRate)))
	}
	j.all.addNew(overall, j.all.rate(minRate))
}

// targetCount counts the good answers, and the bad or slow ones, of one target of the new version.
type targetCount struct {
	target    string
	good, bad float64
}

// classify divides the answers of a target of the new version into good ones, and bad or slow ones. An
// answer is slow by comparison with the old version's answers on the same route.
func (c *comparison) classify(target string, t Tally) targetCount {
	slow := t.slowerThan(c.slowFrom())
	var took float64
	for i := range buckets {
		took += float64(t.Took[i])
	}
	bad := float64(t.Bad) + slow
	return targetCount{target: target, bad: bad, good: max(took-slow, 0)}
}

func (j *Judge) route(name string) *comparison { return comparisonOf(j.routes, name) }

// comparisonOf returns the comparison of a route, and adds it if there is none.
func comparisonOf(routes map[string]*comparison, name string) *comparison {
	c := routes[name]
	if c == nil {
		c = &comparison{excess: routeExcess}
		routes[name] = c
	}
	return c
}

func (c *comparison) clone() comparison {
	out := *c
	out.answered, out.bad, out.since = maps.Clone(c.answered), maps.Clone(c.bad), maps.Clone(c.since)
	return out
}

func (c *comparison) decayOld() {
	c.oldAnswers, c.oldBad = oldDecay*c.oldAnswers, oldDecay*c.oldBad
	c.recentAnswers, c.recentBad = recentDecay*c.recentAnswers, recentDecay*c.recentBad
	for i := range buckets {
		c.oldTook[i], c.oldLeft[i] = oldDecay*c.oldTook[i], oldDecay*c.oldLeft[i]
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

// slowFrom returns the duration class above which an answer is slow: one class above the slowest
// class of the old version, slowTail of its answers aside, as the loads of the versions differ a
// little.
func (c *comparison) slowFrom() int {
	if c.oldAnswers < minOldAnswers {
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

// rate returns the old version's rate of bad and slow answers, or the value of otherwise if the old
// version has fewer than minOldAnswers answers.
func (c *comparison) rate(otherwise float64) float64 {
	if c.oldAnswers < minOldAnswers {
		return otherwise
	}
	slow := 0.0
	for i := c.slowFrom() + 1; i < buckets; i++ {
		slow += c.oldTook[i] + c.oldLeft[i]
	}
	recent := 0.0
	if c.recentAnswers >= minRecentAnswers {
		recent = c.recentBad / c.recentAnswers
	}
	return max((c.oldBad+slow)/c.oldAnswers, recent, minRate)
}

// addNew adds answers of the new version and updates the scores, given the old version's rate of
// bad answers.
func (c *comparison) addNew(counts []targetCount, rate float64) {
	if c.answered == nil {
		c.answered, c.bad, c.since = make(map[string]float64), make(map[string]float64), make(map[string]float64)
	}
	if c.score == 0 {
		clear(c.since)
	}
	for _, n := range counts {
		c.answered[n.target] += n.good + n.bad
		c.since[n.target] += n.good + n.bad
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

// ratio returns the logarithm of the likelihood ratio of the answers between an excess of bad ones
// and none.
func ratio(good, bad, rate, excess float64) float64 {
	rate = min(rate, maxRate)
	raised := min(rate+excess, maxRaised)
	return bad*math.Log(raised/rate) + good*math.Log((1-raised)/(1-rate))
}

// worst returns the target with the most bad answers; "" if there are none.
func (c *comparison) worst() string {
	worst := ""
	for target, n := range c.bad {
		if n > 0 && (worst == "" || n > c.bad[worst] || n == c.bad[worst] && target < worst) {
			worst = target
		}
	}
	return worst
}

func (c *comparison) isBad() bool { return c.decisiveScore() >= badThreshold }

// decisiveScore returns the score by which the new version is judged. The worst target is left out if
// the new version has enough targets and enough answers come from the other ones.
func (c *comparison) decisiveScore() float64 {
	worst := c.worst()
	enough := len(c.answered) >= minTargets && shareOfOthers(c.answered, worst) >= minOthersShare
	if !enough && shareOfOthers(c.since, worst) < minOthersSince {
		return c.score
	}
	return c.others
}

// Score returns the largest logarithm of a likelihood ratio for an excess of bad answers, of all
// comparisons.
func (j *Judge) Score() float64 {
	score := j.all.decisiveScore()
	for _, c := range j.routes {
		score = max(score, c.decisiveScore())
	}
	for _, c := range j.gaps {
		score = max(score, c.decisiveScore())
	}
	return score
}

// shareOfOthers returns the share of the answers that come from other targets than worst.
func shareOfOthers(answered map[string]float64, worst string) float64 {
	var all float64
	for _, n := range answered {
		all += n
	}
	if all == 0 {
		return 0
	}
	return (all - answered[worst]) / all
}

// Bad reports whether the new version is judged bad, and why.
func (j *Judge) Bad() (reason string, bad bool) {
	for name, c := range j.routes {
		if c.isBad() {
			return fmt.Sprintf("on route %s %s", name, c.describe()), true
		}
	}
	for name, c := range j.gaps {
		if c.isBad() {
			return fmt.Sprintf("gaps between events on route %s: %s", name, c.describe()), true
		}
	}
	if j.all.isBad() {
		return "over all routes " + j.all.describe(), true
	}
	return "", false
}

// describe returns the new version's numbers of answers and of bad or slow answers, and the old
// version's rate of these, as text for operators.
func (c *comparison) describe() string {
	var answers, bad float64
	for target, n := range c.answered {
		answers += n
		bad += c.bad[target]
	}
	return fmt.Sprintf("%.0f of %.0f answers were bad or slow, of the old version's %.1f%%", bad, answers, 100*c.rate(minRate))
}

// AnswerCounts returns the number of the new version's answers on all routes, and the lowest
// number on a route on which the old version has at least minOldAnswers.
func (j *Judge) AnswerCounts() (all, least float64) {
	for _, n := range j.all.answered {
		all += n
	}
	least = math.Inf(1)
	for _, c := range j.routes {
		if c.oldAnswers < minOldAnswers {
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
