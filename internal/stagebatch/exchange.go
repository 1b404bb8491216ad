package stagebatch

import (
	"context"
	"math"
	"time"

	"topazmoor/internal/region"
)

// WaitsExchange requests waits from other nodes. The production implementation is in package peer.
type WaitsExchange interface {
	// Waits returns the waits of a service's pool at the node at addr, for orders that are limited to
	// some regions.
	Waits(ctx context.Context, addr, service string, in region.Set) (Waits, error)
}

// waitsInterval is the minimum time between two requests for the waits of a pool in another region.
const waitsInterval = 250 * time.Millisecond

// otherWaits returns the last reported waits of a service's pools in other regions, and requests those
// that are older than waitsInterval. Formers call it only for orders that they would complete too late, so
// no waits are requested while there are no such orders.
func (r *Router) otherWaits(service string, regions []string) []RegionWaits {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RegionWaits
	for _, name := range regions {
		key := waitsKey{service, name}
		last, known := r.waits[key]
		if known {
			out = append(out, RegionWaits{Region: name, Waits: last.waits, Age: now.Sub(last.at)})
		}
		if r.Exchange != nil && now.Sub(last.at) >= waitsInterval && now.Sub(r.waitsAsked[key]) >= waitsInterval {
			r.waitsAsked[key] = now
			go r.requestWaits(service, name)
		}
	}
	return out
}

// requestWaits requests the waits of a pool from the node that forms its batches in another region.
func (r *Router) requestWaits(service, name string) {
	in := region.Only(name)
	ranked := r.ranked(service, in)
	if len(ranked) == 0 || ranked[0].Name == r.self.Name {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), acceptTimeout)
	defer cancel()
	w, err := r.Exchange.Waits(ctx, ranked[0].Addr, service, in)
	if err != nil {
		r.log.Info("waits of another region not known", "service", service, "region", name, "peer", ranked[0].Name, "err", err)
		return
	}
	r.recordWaits(Order{Service: service, Regions: in}, w)
}

// waitElsewhere returns the least wait of orders that come from another region, in the given regions,
// with the crossing; the greatest duration if none is known. The lock is held.
func (r *Router) waitElsewhere(service string, regions []string) time.Duration {
	least := time.Duration(math.MaxInt64)
	for _, name := range regions {
		if last := r.waits[waitsKey{service, name}]; time.Since(last.at) < estimateTTL {
			least = min(least, last.waits.Spilled+r.local.Crossing.Cost(crossingRoundTrips, 0))
		}
	}
	return least
}
