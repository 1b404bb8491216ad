package targets

import "maps"

// Drain replaces the set of drained data centres. Their targets get no new work; calls in
// progress run to their end. It returns the data centres whose drain begins and those whose
// drain ends.
func (t *Table) Drain(dataCentres map[string]bool) (began, ended []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for dc := range dataCentres {
		if !t.drained[dc] {
			began = append(began, dc)
		}
	}
	for dc := range t.drained {
		if !dataCentres[dc] {
			ended = append(ended, dc)
		}
	}
	if len(began)+len(ended) == 0 {
		return nil, nil
	}
	t.generation++
	t.drained = maps.Clone(dataCentres)
	for _, s := range t.byID {
		s.drained = t.drained[s.DataCentre]
	}
	return began, ended
}

// Drained reports whether the target at an address is in a drained data centre.
func (t *Table) Drained(addr string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.at(addr)
	return s != nil && s.drained
}
