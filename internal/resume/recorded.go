package resume

import "time"

// recordedMemory is for how long a version counts after a record named it: as long as the list of targets remembers
// one whose last target left.
const recordedMemory = time.Minute

// recordedVersions has when a record last named a version. A node whose list of targets is old learns of a new version
// from the records that other nodes send it.
type recordedVersions map[Origin]time.Time

// add notes that a record names a version.
func (v recordedVersions) add(o Origin, now time.Time) { v[o] = now }

// of returns the versions of a service that records named lately, in no order.
func (v recordedVersions) of(service string, now time.Time) []string {
	var out []string
	for o, at := range v {
		if o.Service == service && now.Sub(at) < recordedMemory {
			out = append(out, o.Version)
		}
	}
	return out
}

// expire removes versions that no record has named lately.
func (v recordedVersions) expire(now time.Time) {
	for o, at := range v {
		if now.Sub(at) >= recordedMemory {
			delete(v, o)
		}
	}
}
