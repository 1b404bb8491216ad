// Package region defines where a request may be served: sets of regions, and the region of each
// data centre.
package region

import (
	"maps"
	"slices"
	"strings"
)

// Set is an immutable set of regions. The zero Set contains all regions.
type Set struct {
	restricted bool
	names      []string
}

// Only returns the set of the named regions. Without names the set is empty.
func Only(names ...string) Set {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Set{restricted: true, names: slices.Compact(sorted)}
}

// Sole returns the name of the only region in the set; "" for any other set.
func (s Set) Sole() string {
	if len(s.names) != 1 {
		return ""
	}
	return s.names[0]
}

// All reports whether every region is in the set.
func (s Set) All() bool { return !s.restricted }

// Empty reports whether no region is in the set.
func (s Set) Empty() bool { return s.restricted && len(s.names) == 0 }

// Has reports whether a region is in the set. "", the region of a data centre whose region is not
// known, is only in the set of all regions.
func (s Set) Has(name string) bool {
	return !s.restricted || name != "" && slices.Contains(s.names, name)
}

// Intersect returns the intersection of the sets.
func (s Set) Intersect(o Set) Set {
	switch {
	case !s.restricted:
		return o
	case !o.restricted:
		return s
	}
	return Only(slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return !o.Has(name) })...)
}

// Names returns the sorted names of the regions in the set; none for the set of all regions.
func (s Set) Names() []string { return slices.Clone(s.names) }

// String returns the names of the regions, separated by commas, "none" for the empty set and "" for
// the set of all regions. Equal sets have equal strings.
func (s Set) String() string {
	if s.Empty() {
		return "none"
	}
	return strings.Join(s.names, ",")
}

// Map gives the region of each data centre.
type Map map[string]string

// Allows reports whether a data centre is in a region of the set. A data centre that is not in the
// Map is only allowed by the set of all regions.
func (m Map) Allows(s Set, dataCentre string) bool { return s.All() || s.Has(m[dataCentre]) }

// MayPass reports whether what is sent to a data centre may pass through another one: none of the sets that
// allow the first leaves out the second.
func (m Map) MayPass(sets []Set, to, through string) bool {
	if m[to] == m[through] {
		return true
	}
	return !slices.ContainsFunc(sets, func(s Set) bool { return m.Allows(s, to) && !m.Allows(s, through) })
}

// AppendRestricted appends a set unless it is empty, has all regions, or is among the sets.
func AppendRestricted(sets []Set, s Set) []Set {
	isSame := func(o Set) bool { return o.String() == s.String() }
	if s.All() || s.Empty() || slices.ContainsFunc(sets, isSame) {
		return sets
	}
	return append(sets, s)
}

// Missing returns the named regions of the set in which the Map has no data centre.
func (m Map) Missing(s Set) []string {
	var out []string
	for _, name := range s.names {
		if !slices.Contains(m.Names(), name) {
			out = append(out, name)
		}
	}
	return out
}

// Several reports whether the Map has more than one region.
func (m Map) Several() bool {
	first, seen := "", false
	for _, name := range m {
		if seen && name != first {
			return true
		}
		first, seen = name, true
	}
	return false
}

// Names returns the sorted names of the regions in which the Map has a data centre.
func (m Map) Names() []string {
	return slices.Compact(slices.Sorted(maps.Values(m)))
}
