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

// A former works with as many targets of a pool as the load asks for. It must look at each of
// them for each order, and ask each for its room before it calls it; a pool has the more targets
// the larger the fleet is, and a former that begins would ask all of them in the time in which its
// first orders must be accepted.
const (
	// leastWorking is the number of targets up to which all are worked with.
	leastWorking = 48
	// workingFactor is how many times as many targets are worked with as the load keeps busy:
	// some are slow, or short of room.
	workingFactor = 2
	// workingLife is for how long a choice of targets stands without a reason for another one.
	workingLife = time.Second
	// widenFactor is by how much the choice grows when all targets of it are busy, shrinkAfter
	// how long after that it goes by the load again.
	widenFactor = 2
	shrinkAfter = 5 * time.Second
)

// working is the choice of the targets of a pool that its former works with.
type working struct {
	chosenAt time.Time
	// generation is that of the list of targets that was chosen from.
	generation uint64
	// widened is how many targets are worked with at least, since widenedAt.
	widened   int
	widenedAt time.Time
	// spare counts the targets that are not worked with, by data centre.
	spare map[string]int
}

// spares counts the targets that are not worked with.
func (w *working) spares() (n int) {
	for _, spare := range w.spare {
		n += spare
	}
	return n
}

// due reports whether targets are to be chosen again. Where all are worked with that costs little.
func (w *working) due(generation uint64, now time.Time) bool {
	return w.generation != generation || len(w.spare) == 0 || now.Sub(w.chosenAt) >= workingLife
}

// size is how many targets the load asks for.
func (p *pool) size(spec *routes.Batch, now time.Time) int {
	pieces := 0
	for _, c := range recent(p.came, now) {
		pieces += c.pieces
	}
	busy := float64(pieces) / rateWindow.Seconds() * expected(spec, spec.Items).Seconds() / float64(max(spec.Items, 1)*max(spec.Slots, 1))
	size := max(leastWorking, int(math.Ceil(workingFactor*busy)))
	if now.Sub(p.working.widenedAt) < shrinkAfter {
		size = max(size, p.working.widened)
	}
	return size
}

// choose chooses the targets that the former works with, alike many in each data centre. Formers
// choose in different orders, so that two of them seldom share a target. The lock is held.
func (f *Former) choose(p *pool, all []targets.Target, spec *routes.Batch, now time.Time) []targets.Target {
	p.working.chosenAt, p.working.spare = now, make(map[string]int)
	size := p.size(spec, now)
	if len(all) <= size {
		return all
	}
	key := xxhash.Sum64String(f.Name)
	order := make(map[string]uint64, len(all))
	byPlace := make(map[string][]targets.Target)
	for _, t := range all {
		order[t.ID] = routing.Mix(key, xxhash.Sum64String(t.ID))
		byPlace[t.DataCentre] = append(byPlace[t.DataCentre], t)
	}
	each := (size + len(byPlace) - 1) / len(byPlace)
	var out []targets.Target
	for place, there := range byPlace {
		slices.SortFunc(there, func(a, b targets.Target) int { return cmp.Compare(order[a.ID], order[b.ID]) })
		for i, t := range there {
			if m := p.makers[t.ID]; i < each || m != nil && (m.calls > 0 || len(m.results) > 0) {
				out = append(out, t)
				continue
			}
			p.working.spare[place]++
		}
	}
	return out
}

// widen makes the former work with more targets where pieces wait, all targets that might take
// them are busy, and there are others. It reports whether there are more now. The lock is held.
func (f *Former) widen(service string, p *pool, spec *routes.Batch, now time.Time) bool {
	if len(p.queue) == 0 || p.working.spares() == 0 {
		return false
	}
	idle := make(map[string]int)
	for _, m := range p.makers {
		if m.idle(spec, now) || m.asking {
			idle[m.DataCentre]++
		}
	}
	if len(idle) > 0 && !p.lacks(idle) {
		return false
	}
	before := len(p.makers)
	p.working.widened, p.working.widenedAt = widenFactor*before, now
	p.working.chosenAt = time.Time{}
	f.refresh(p, service)
	return len(p.makers) > before
}

// lacks reports whether a piece waits for a data centre of whose targets none is idle, while there
// are some that are not worked with.
func (p *pool) lacks(idle map[string]int) bool {
	return slices.ContainsFunc(p.queue, func(pc *piece) bool {
		place := pc.order.DataCentre
		return place != "" && idle[place] == 0 && p.working.spare[place] > 0
	})
}
