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
			out = region.AppendRestricted(out, r.Regions)
			for _, account := range c.accountRegions {
				out = region.AppendRestricted(out, r.Regions.Intersect(account))
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
