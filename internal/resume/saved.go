package resume

import (
	"cmp"
	"slices"
	"time"
)

// saving are the records of a partition that belong into the store.
type saving struct {
	records []Record
	// unsaved is set if some are not there yet.
	unsaved bool
}

// toSave returns, for each partition of which this node has records, those that belong into the store: of streams that may be
// open, of services whose targets have, or had lately, several versions.
func (r *Registry) toSave() map[uint64]saving {
	several := r.severalVersions()
	out := make(map[uint64]saving)
	if len(several) == 0 {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	for id, record := range r.records {
		if !several[record.Service] || record.Complete || now.After(record.Expires) {
			continue
		}
		s := out[partitionOf(id)]
		s.records = append(s.records, record.Record)
		s.unsaved = s.unsaved || !record.saved
		out[partitionOf(id)] = s
	}
	for partition, s := range out {
		s.records = latest(s.records)
		out[partition] = s
	}
	return out
}

// latest returns the records that fit into a row, those that expire last.
func latest(records []Record) []Record {
	slices.SortFunc(records, func(a, b Record) int { return cmp.Or(b.Expires.Compare(a.Expires), cmp.Compare(a.ID, b.ID)) })
	size := 0
	for i, record := range records {
		if size += len(record.ID) + len(`"",`); size > maxRowBytes {
			return records[:i]
		}
	}
	return records
}

// severalVersions returns the services of which this node has records and knows several versions.
func (r *Registry) severalVersions() map[string]bool {
	out := make(map[string]bool)
	for _, service := range r.recordedServices() {
		if versions, _ := r.knownVersions(service); len(versions) > 1 {
			out[service] = true
		}
	}
	return out
}

// recordedServices returns the services of which this node has records.
func (r *Registry) recordedServices() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	var out []string
	for _, record := range r.records {
		if !seen[record.Service] {
			seen[record.Service] = true
			out = append(out, record.Service)
		}
	}
	return out
}

// markSaved notes whether records are in the store.
func (r *Registry) markSaved(records []Record, saved bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if k, ok := r.records[record.ID]; ok && k.Origin == record.Origin {
			k.saved = saved
			r.records[record.ID] = k
		}
	}
}

// restore keeps records that were read from the store, where this node has none.
func (r *Registry) restore(records []Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, record := range records {
		if _, ok := r.records[record.ID]; !ok {
			r.records[record.ID] = kept{Record: record, saved: true}
		}
	}
}

// leads reports whether this node writes the records of a partition to the store: it is the first of its region for it.
func (r *Registry) leads(partition uint64) bool {
	rank := partitionRank(partition)
	own := rank(r.Self)
	home := r.Regions[r.Self.DataCentre]
	return !slices.ContainsFunc(r.Nodes(), func(n Node) bool { return r.Regions[n.DataCentre] == home && rank(n) > own })
}
