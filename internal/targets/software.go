package targets

import (
	"maps"
	"slices"
	"time"
)

// versionMemory is for how long a version counts after its last target left the list: streams that began
// there may be resumed until then.
const versionMemory = time.Minute

// softwareVersions records which versions of their software the targets of a service have.
type softwareVersions struct {
	// listed counts the targets of the list by version; left has when the last one left.
	listed map[string]int
	left   map[string]time.Time
}

// add records that a target with a version was listed.
func (v *softwareVersions) add(version string) {
	v.listed[version]++
	delete(v.left, version)
}

// remove records that a target with a version left the list.
func (v *softwareVersions) remove(version string, now time.Time) {
	v.listed[version]--
	if v.listed[version] <= 0 {
		delete(v.listed, version)
		v.left[version] = now
	}
}

// recent returns the versions that are listed or left lately, sorted.
func (v *softwareVersions) recent(now time.Time) []string {
	var out []string
	for version := range v.listed {
		out = append(out, version)
	}
	for version, at := range v.left {
		if now.Sub(at) < versionMemory {
			out = append(out, version)
		}
	}
	slices.Sort(out)
	return out
}

// softwareOf returns the versions of a service. The lock is held.
func (t *Table) softwareOf(service string) *softwareVersions {
	v := t.software[service]
	if v == nil {
		v = &softwareVersions{listed: make(map[string]int), left: make(map[string]time.Time)}
		t.software[service] = v
	}
	return v
}

// ListInterrupted is called when changes of the list may have been missed: versions may have come and gone.
func (t *Table) ListInterrupted() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followedSince = t.now()
}

// SoftwareVersions returns the versions of their software that the targets of a service have, or have had
// within versionMemory, and for how long this node has followed the list of targets without a gap.
func (t *Table) SoftwareVersions(service string) (versions []string, followed time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	if t.received {
		followed = now.Sub(t.followedSince)
	}
	if v := t.software[service]; v != nil {
		versions = v.recent(now)
	}
	return versions, followed
}

// HasVersion reports whether targets of a service have a version, or have had it within versionMemory, as far as this
// node knows.
func (t *Table) HasVersion(service, version string) bool {
	versions, _ := t.SoftwareVersions(service)
	return slices.Contains(versions, version)
}

// Services returns the services that have or had targets.
func (t *Table) Services() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.software))
}

// CanResume reports whether streams that began at a version of a service can go on, now or once a target of
// the version is free.
func (t *Table) CanResume(service, version string) bool {
	if t.Rollouts != nil && !t.Rollouts.MayResume(service, version) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	return slices.ContainsFunc(t.services[service], func(s *state) bool { return s.Version == version && s.usable(now) })
}
