package routes

import (
	"slices"

	"topazmoor/internal/region"
)

// RegionSets returns the distinct sets of regions to which requests that use a service, also for
// stages, are restricted by their route and client account. The set of all regions and the empty set are left out.
func (c *Config) RegionSets(service string) []region.Set {
	var out []region.Set
	for _, rs := range c.byHost {
		for _, r := range rs {
			if !r.uses(service) {
				continue
			}
			out = appendRestricted(out, r.Regions)
			for _, account := range c.accountRegions {
				out = appendRestricted(out, r.Regions.Intersect(account))
			}
		}
	}
	return out
}

// uses reports whether requests on the route use a service.
func (r *Route) uses(service string) bool {
	return slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service }) ||
		slices.ContainsFunc(r.Stages, func(s Stage) bool { return s.Service == service })
}

// appendRestricted appends a set unless it is empty, has all regions, or is in the list.
func appendRestricted(sets []region.Set, s region.Set) []region.Set {
	isSame := func(o region.Set) bool { return o.String() == s.String() }
	if s.All() || s.Empty() || slices.ContainsFunc(sets, isSame) {
		return sets
	}
	return append(sets, s)
}
