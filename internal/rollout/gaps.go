package rollout

// gapTallies returns the tallies of the streams in delta with their longest gaps in the place of
// their durations, so that gaps are compared like durations. Failures are left out: they count with
// the durations.
func gapTallies(delta map[Source]Tally) map[Source]Tally {
	out := make(map[Source]Tally)
	for source, t := range delta {
		if t.Gaps != [buckets]uint32{} {
			out[source] = Tally{Took: t.Gaps}
		}
	}
	return out
}

// addGaps compares the longest gaps of streams by route.
func (j *Judge) addGaps(delta map[Source]Tally) {
	gaps := gapTallies(delta)
	for source, t := range gaps {
		if !source.New {
			comparisonOf(j.gaps, source.Route).addOld(t)
		}
	}
	byRoute := make(map[string][]targetCount)
	for source, t := range gaps {
		if source.New {
			byRoute[source.Route] = append(byRoute[source.Route], comparisonOf(j.gaps, source.Route).classify(source.Target, t))
		}
	}
	for route, counts := range byRoute {
		c := comparisonOf(j.gaps, route)
		c.addNew(counts, c.rate(minRate))
	}
}
