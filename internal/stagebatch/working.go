package stagebatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"topazmoor/internal/routes"
	"topazmoor/internal/routing"
	"topazmoor/internal/targets"
)

// A former uses only as many targets of a pool as the load requires, its working set. For each
// order it examines every target of the set, and before its first call to a target it queries
// the target's free space. The number of targets grows with the fleet: a new former that queried
// all of them would still be busy with that when its first orders have to be accepted.
const (
	// minWorkingSet is the number of targets up to which all targets are used.
	minWorkingSet = 48
	// workingFactor is the ratio of targets in use to targets that the load keeps busy. The
	// surplus allows for targets that are slow or nearly full.
	workingFactor = 2
	// workingSetTTL is how long a working set stays in use if nothing else requires a new one.
	workingSetTTL = time.Second
	// widenFactor is the factor by which the working set grows when all its targets are busy.
	// After shrinkAfter the load alone determines the size again.
	widenFactor = 2
	shrinkAfter = 5 * time.Second
)

// working is the working set of a pool: the choice of the targets that its former uses.
type working struct {
	chosenAt time.Time
	// generation is the generation of the target list from which the set was chosen.
	generation uint64
	// widened is the minimum number of targets in use, until shrinkAfter has passed since
	// widenedAt.
	widened   int
	widenedAt time.Time
	// unused is the number of targets outside the set, by data centre.
	unused map[string]int
}

// unusedTargets returns the number of targets outside the set.
func (w *working) unusedTargets() (n int) {
	for _, unused := range w.unused {
		n += unused
	}
	return n
}

// stale reports whether the working set must be chosen again: the target list has changed, the set
// is older than workingSetTTL, or it contains all targets of the pool, so that choosing is cheap.
func (w *working) stale(generation uint64, now time.Time) bool {
	return w.generation != generation || len(w.unused) == 0 || now.Sub(w.chosenAt) >= workingSetTTL
}

// workingSetSize returns the number of targets that the load requires.
func (p *pool) workingSetSize(spec *routes.Batch, now time.Time) int {
	pieces := 0
	for _, c := range recent(p.arrived, now) {
		pieces += c.pieces
	}
	busy := float64(pieces) / rateWindow.Seconds() * expected(spec, spec.Items).Seconds() / float64(max(spec.Items, 1)*max(spec.Slots, 1))
	workingSetSize := max(minWorkingSet, int(math.Ceil(workingFactor*busy)))
	if now.Sub(p.working.widenedAt) < shrinkAfter {
		workingSetSize = max(workingSetSize, p.working.widened)
	}
	return workingSetSize
}

// chooseWorkingSet chooses the targets to use, the same number in each data centre, and keeps
// targets that have calls or results. Each former uses an order of its own, so that two formers
// seldom share a target. The lock is held.
func (f *Former) chooseWorkingSet(p *pool, all []targets.Target, spec *routes.Batch, now time.Time) []targets.Target {
	p.working.chosenAt, p.working.unused = now, make(map[string]int)
	workingSetSize := p.workingSetSize(spec, now)
	if len(all) <= workingSetSize {
		return all
	}
	key := xxhash.Sum64String(f.Name)
	order := make(map[string]uint64, len(all))
	byDataCentre := make(map[string][]targets.Target)
	for _, t := range all {
		order[t.ID] = routing.Mix(key, xxhash.Sum64String(t.ID))
		byDataCentre[t.DataCentre] = append(byDataCentre[t.DataCentre], t)
	}
	each := (workingSetSize + len(byDataCentre) - 1) / len(byDataCentre)
	var out []targets.Target
	for dataCentre, candidates := range byDataCentre {
		slices.SortFunc(candidates, func(a, b targets.Target) int { return cmp.Compare(order[a.ID], order[b.ID]) })
		for i, t := range candidates {
			if m := p.states[t.ID]; i < each || m != nil && (m.calls > 0 || len(m.results) > 0) {
				out = append(out, t)
				continue
			}
			p.working.unused[dataCentre]++
		}
	}
	return out
}

// widenWorkingSet enlarges the working set if pieces wait, no target that could take them is
// idle, and unused targets exist. It reports whether the set has grown. The lock is held.
func (f *Former) widenWorkingSet(p *pool, spec *routes.Batch, now time.Time) bool {
	if len(p.queue) == 0 || p.working.unusedTargets() == 0 {
		return false
	}
	idle := make(map[string]int)
	for _, m := range p.states {
		if m.idle(spec, now) || m.querying {
			idle[m.DataCentre]++
		}
	}
	if len(idle) > 0 && !p.lacksIdleTarget(idle) {
		return false
	}
	before := len(p.states)
	p.working.widened, p.working.widenedAt = widenFactor*before, now
	p.working.chosenAt = time.Time{}
	f.refresh(p)
	return len(p.states) > before
}

// lacksIdleTarget reports whether a piece waits for a data centre that has no idle target in the
// working set but has unused targets.
func (p *pool) lacksIdleTarget(idle map[string]int) bool {
	return slices.ContainsFunc(p.queue, func(pc *piece) bool {
		dataCentre := pc.order.DataCentre
		return dataCentre != "" && idle[dataCentre] == 0 && p.working.unused[dataCentre] > 0
	})
}
