package targets

import (
	"math"
	"slices"
	"time"

	"topazmoor/internal/rollout"
)

// Versions counts the usable targets of a service: those of a version, the warm ones among them, and
// those of other versions. It lists the sets of regions that the version does not cover (see uncovered).
func (t *Table) Versions(service, version string) rollout.Targets {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out rollout.Targets
	now := t.now()
	regions := make(map[string]regionVersions)
	for _, s := range t.services[service] {
		usable := s.usable(now)
		name := t.regionOf(s)
		regions[name] = regions[name].with(s, s.Version == version, usable, now)
		switch {
		case !usable:
		case s.Version != version:
			out.Old++
		default:
			out.New++
			if s.warmup.cold(now) {
				out.ColdRate += t.coldRate(service)
			} else {
				out.Warm++
			}
		}
	}
	out.Uncovered = t.uncovered(service, regions)
	return out
}

// coldRate returns how many calls a second a cold target of a service may get; infinite if that is not
// bounded.
func (t *Table) coldRate(service string) float64 {
	if t.WarmupRate == nil {
		return math.Inf(1)
	}
	if rate := t.WarmupRate(service); rate > 0 {
		return rate
	}
	return math.Inf(1)
}

// regionVersions counts the targets of a service in some regions, by version.
type regionVersions struct {
	// old counts the usable targets of other versions, warm the usable and warm ones of the version.
	old, warm int
	// drainedOld and drainedNew count those that only a drain of their data centre makes unusable.
	drainedOld, drainedNew int
}

// with returns the counts with one more target. isNew means that the target has the version.
func (r regionVersions) with(s *state, isNew, usable bool, now time.Time) regionVersions {
	drained := s.drained && !s.Draining && !s.moved && s.dropAt.IsZero()
	switch {
	case usable && !isNew:
		r.old++
	case usable && !s.warmup.cold(now):
		r.warm++
	case drained && isNew:
		r.drainedNew++
	case drained:
		r.drainedOld++
	}
	return r
}

// plus returns the sums of the counts.
func (r regionVersions) plus(o regionVersions) regionVersions {
	return regionVersions{old: r.old + o.old, warm: r.warm + o.warm, drainedOld: r.drainedOld + o.drainedOld, drainedNew: r.drainedNew + o.drainedNew}
}

// covered reports whether the version has a warm target in the regions, or other versions have no usable
// target there. If other versions have targets there that only a drain makes unusable, the version must
// have such a target too.
func (r regionVersions) covered() bool {
	return r.warm > 0 || r.old == 0 && (r.drainedOld == 0 || r.drainedNew > 0)
}

// uncovered returns the sorted sets of regions to which requests for a service are restricted and which
// the version does not cover.
func (t *Table) uncovered(service string, regions map[string]regionVersions) []string {
	if t.RegionSets == nil {
		return nil
	}
	var out []string
	for _, set := range t.RegionSets(service) {
		var sum regionVersions
		for name, r := range regions {
			if set.Has(name) {
				sum = sum.plus(r)
			}
		}
		if !sum.covered() {
			out = append(out, set.String())
		}
	}
	slices.Sort(out)
	return out
}
