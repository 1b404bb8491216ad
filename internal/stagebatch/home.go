package stagebatch

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"topazmoor/internal/ownership"
	"topazmoor/internal/region"
)

// targetRegions are the regions in which a service has usable targets.
type targetRegions struct {
	names []string
	// generation is the generation of the target list from which the names were read, at when.
	generation uint64
	at         time.Time
}

// targetRegionsTTL is how long the regions of a service's targets are reused while the target list
// does not change. It is short, as a target can become usable or unusable without a change of the list.
const targetRegionsTTL = 500 * time.Millisecond

// homeRegions returns the regions in which an order may run, its home region first. That is the
// region of the preferred data centre, else that of this node, as the results are read there. Regions
// without a usable target, without a node, or whose nodes did not accept an order recently are left
// out; of the others the one with the least wait comes first. The result is empty if one node forms the
// batches of the pool for all nodes: in a fleet with one region, if a data centre of the pool's targets or
// of this node has no known region, and if no region is left.
func (r *Router) homeRegions(service, dataCentre string, in region.Set) []string {
	if ownership.LevelOf(ownership.StageBatches) != ownership.Region || !r.local.Regions.Several() || r.region() == "" {
		return nil
	}
	home := cmp.Or(r.local.Regions[dataCentre], r.region())
	withTargets := r.regionsWithTargets(service)
	withNodes := r.regionsWithNodes()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for _, name := range withTargets {
		if in.Has(name) && (withNodes[name] || name == r.region() && !r.stopping) && now.After(r.suspectRegions[name]) {
			out = append(out, name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(firstIf(a == home, b == home), firstIf(a == r.region(), b == r.region()),
			cmp.Compare(r.lastWait(service, a, now), r.lastWait(service, b, now)), cmp.Compare(a, b))
	})
	return out
}

// firstIf compares two items so that one for which a condition is true comes first.
func firstIf(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// region returns the region of this node.
func (r *Router) region() string { return r.local.Regions[r.self.DataCentre] }

// lastWait returns the wait of the least urgent orders of a service in a region, as last reported; 0 if
// it is not known. The lock is held.
func (r *Router) lastWait(service, name string, now time.Time) time.Duration {
	last := r.waits[waitsKey{service, name}]
	if now.Sub(last.at) >= estimateTTL {
		return 0
	}
	return last.waits.ForRank(maxRanks)
}

// regionsWithTargets returns the sorted regions in which a service has usable targets; none if the
// region of one of them is not known.
func (r *Router) regionsWithTargets(service string) []string {
	now, generation := time.Now(), r.local.list.Generation()
	r.mu.Lock()
	known, ok := r.targetRegions[service]
	r.mu.Unlock()
	if ok && known.generation == generation && now.Sub(known.at) < targetRegionsTTL {
		return known.names
	}
	known = targetRegions{generation: generation, at: now}
	for _, t := range r.local.list.Usable(service) {
		if name := r.local.Regions[t.DataCentre]; !slices.Contains(known.names, name) {
			known.names = append(known.names, name)
		}
	}
	if slices.Contains(known.names, "") {
		known.names = nil
	}
	slices.Sort(known.names)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetRegions[service] = known
	return known.names
}

// nodeRegions is the set of the regions of the nodes in a list.
type nodeRegions struct {
	nodes []Node
	names map[string]bool
}

// isOf reports whether the regions were determined from the given list. Node lists are replaced, never
// modified, so it is enough to compare where the lists are stored.
func (n nodeRegions) isOf(nodes []Node) bool {
	return n.names != nil && len(n.nodes) == len(nodes) && (len(nodes) == 0 || &n.nodes[0] == &nodes[0])
}

// regionsWithNodes returns the regions of the other nodes, as seen by this node. The map is not modified.
func (r *Router) regionsWithNodes() map[string]bool {
	all := r.nodes()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.nodeRegions.isOf(all) {
		return r.nodeRegions.names
	}
	names := make(map[string]bool)
	for _, n := range all {
		names[r.local.Regions[n.DataCentre]] = true
	}
	r.nodeRegions = nodeRegions{nodes: all, names: names}
	return names
}

// produceByRegion runs an order in the first of the given regions that accepts it. Only one region at a
// time has the order.
func (r *Router) produceByRegion(ctx context.Context, o Order, regions []string) (Result, error) {
	last := len(regions) - 1
	for i, name := range regions[:last] {
		o.Regions, o.SpillTo = region.Only(name), regions[i+1:]
		res, err, ended := r.produceInRegion(ctx, o, name)
		if !ended {
			r.suspectRegion(name, o)
			continue
		}
		if !errors.Is(err, ErrNoTarget) {
			return r.followSpill(ctx, o, res, err)
		}
	}
	o.Regions, o.SpillTo = region.Only(regions[last]), nil
	return r.produceWithin(ctx, o)
}

// produceInRegion runs an order at the nodes of its region. ended is false if none of them accepted it.
func (r *Router) produceInRegion(ctx context.Context, o Order, name string) (res Result, err error, ended bool) {
	if res, err, ended = r.produceAtOthers(ctx, o); ended || name != r.region() {
		return res, err, ended
	}
	res, err = r.produceLocally(ctx, o)
	return res, err, true
}

// followSpill takes how an order ended in its home region, and returns res and err unless err is a
// SpillError. In that case it runs the order in the region that the error names. If no node there
// accepts the order, the order is sent back or that region has no target, it runs at home after all.
func (r *Router) followSpill(ctx context.Context, o Order, res Result, err error) (Result, error) {
	var spilled *SpillError
	if !errors.As(err, &spilled) {
		return res, err
	}
	home := o
	home.SpillTo = nil
	o.SpillTo = o.Regions.Names()
	o.Regions, o.Spilled = region.Only(spilled.Region), true
	res, err, ended := r.produceInRegion(ctx, o, spilled.Region)
	if ended && !errors.As(err, &spilled) && !errors.Is(err, ErrNoTarget) {
		return res, err
	}
	if !ended {
		r.suspectRegion(o.Regions.Sole(), o)
	}
	return r.produceWithin(ctx, home)
}

// suspectRegion marks a region whose nodes did not accept an order. While it is suspect, its orders go
// to the other regions that may run them.
func (r *Router) suspectRegion(name string, o Order) {
	r.mu.Lock()
	r.suspectRegions[name] = time.Now().Add(suspectFor)
	r.mu.Unlock()
	r.log.Warn("region does not form batches, passed over", "region", name, "request", o.Request, "service", o.Service)
}
