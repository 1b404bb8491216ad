// Package region says where a request may be served: a set of regions, and which data centre
// lies in which region.
package region

import (
	"slices"
	"strings"
)

// Set is a set of regions; the zero Set has all of them. It is immutable.
type Set struct {
	limited bool
	names   []string
}

// Only returns the set of the named regions; without a name it is empty.
func Only(names ...string) Set {
	sorted := slices.Clone(names)
	slices.Sort(sorted)
	return Set{limited: true, names: slices.Compact(sorted)}
}

// All reports whether every region is in the set.
func (s Set) All() bool { return !s.limited }

// Empty reports whether no region is in the set.
func (s Set) Empty() bool { return s.limited && len(s.names) == 0 }

// Has reports whether a region is in the set. The region of a place that is not known, "", is in
// the set of all regions only.
func (s Set) Has(name string) bool {
	return !s.limited || name != "" && slices.Contains(s.names, name)
}

// And returns the regions that are in both sets.
func (s Set) And(o Set) Set {
	switch {
	case !s.limited:
		return o
	case !o.limited:
		return s
	}
	return Only(slices.DeleteFunc(slices.Clone(s.names), func(name string) bool { return !o.Has(name) })...)
}

// Names lists the regions of a limited set.
func (s Set) Names() []string { return slices.Clone(s.names) }

// String names the set; "" for all regions. Equal sets have the same name.
func (s Set) String() string {
	if s.Empty() {
		return "none"
	}
	return strings.Join(s.names, ",")
}

// Map tells which region each data centre lies in.
type Map map[string]string

// Allows reports whether a data centre lies in a region of the set.
func (m Map) Allows(s Set, dataCentre string) bool { return s.All() || s.Has(m[dataCentre]) }

// Unknown returns the regions of the set in which there is no data centre.
func (m Map) Unknown(s Set) []string {
	var out []string
	for _, name := range s.names {
		if !slices.ContainsFunc(m.regions(), func(known string) bool { return known == name }) {
			out = append(out, name)
		}
	}
	return out
}

func (m Map) regions() []string {
	out := make([]string, 0, len(m))
	for _, name := range m {
		out = append(out, name)
	}
	return out
}
