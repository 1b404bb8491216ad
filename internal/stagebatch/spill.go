package stagebatch

import (
	"time"

	"topazmoor/internal/routes"
	"topazmoor/internal/spill"
)

// RegionWaits are the waits of a service's pool in another region.
type RegionWaits struct {
	Region string
	Waits  Waits
	// Age is the time since the region reported them.
	Age time.Duration
}

// SpillObserver counts decisions on orders that their home region would complete too late.
type SpillObserver interface {
	// Spilled reports an order that is sent from its home region to another one.
	Spilled(service, from, to string)
	// SpillRefused reports an order that no region can complete by its deadline.
	SpillRefused(service, region string)
}

// crossingRoundTrips is the number of additional round trips of an order that runs in another region: one
// for the order, one to read its results. An order with inputs has one more, to read these.
const crossingRoundTrips = 2

// admitToRegion decides whether this region runs an order that another region may run instead, or that
// another region sent. It returns nil if this region runs it, a SpillError if another one is to, and
// ErrLate if no region completes it by its deadline. The lock is held.
func (f *Former) admitToRegion(p *pool, o Order, spec *routes.Batch, now time.Time) error {
	if p.region == "" || len(o.SpillTo) == 0 && !o.Spilled {
		return nil
	}
	waits := p.wait(spec, now)
	home := waits.pool(p.region, o, callTime(spec, len(p.queue)+o.Pieces))
	order := f.spillOrder(o, now)
	if order.Safe(home) {
		return nil
	}
	d := spill.Decide(order, home, f.otherPools(o, spec))
	attrs := []any{"request", o.Request, "stage", o.Stage, "service", o.Service, "region", p.region, "wait_ms", home.Wait.Milliseconds(),
		"late_wait_ms", home.Late.Milliseconds(), "due_ms", order.UntilDue.Milliseconds(), "left_ms", order.UntilDeadline.Milliseconds()}
	switch d.Action {
	case spill.Send:
		f.log.Info("order spilled to another region", append(attrs, "to", d.Region, "to_wait_ms", d.Wait.Milliseconds(), "cost_ms", order.Cost.Milliseconds())...)
		if f.Spills != nil {
			f.Spills.Spilled(o.Service, p.region, d.Region)
		}
		return &SpillError{Region: d.Region}
	case spill.Refuse:
		if o.Spilled && len(o.SpillTo) > 0 {
			// The waits that the home region knew were out of date.
			f.log.Info("spilled order sent back", append(attrs, "to", o.SpillTo[0])...)
			return &SpillError{Region: o.SpillTo[0]}
		}
		f.log.Info("order refused: late in every region", append(attrs, "spilled", o.Spilled)...)
		if f.Spills != nil {
			f.Spills.SpillRefused(o.Service, p.region)
		}
		return ErrLate
	case spill.Keep:
	}
	return nil
}

// spillOrder describes an order to package spill.
func (f *Former) spillOrder(o Order, now time.Time) spill.Order {
	roundTrips := crossingRoundTrips
	if len(o.Inputs) > 0 {
		roundTrips++
	}
	return spill.Order{
		UntilDue: o.Due.Sub(now), UntilDeadline: o.Deadline.Sub(now),
		Trip: f.Crossing.Cost(roundTrips, 0), Cost: f.Crossing.ResultCost(roundTrips, int64(o.Pieces)*(o.ResultBytes+o.InputBytes)),
	}
}

// otherPools returns the pools of other regions to which an order may be sent.
func (f *Former) otherPools(o Order, spec *routes.Batch) []spill.Pool {
	if f.OtherWaits == nil || o.Spilled || len(o.SpillTo) == 0 {
		return nil
	}
	var out []spill.Pool
	o.Spilled = true
	for _, w := range f.OtherWaits(o.Service, o.SpillTo) {
		pieces := o.Pieces
		if w.Waits.forOrder(o) > 0 {
			// Pieces wait there, so calls are full.
			pieces = spec.Items
		}
		p := w.Waits.pool(w.Region, o, callTime(spec, pieces))
		p.Age = w.Age
		out = append(out, p)
	}
	return out
}

// callTime returns the nominal duration of the call for one of a number of pieces that wait.
func callTime(spec *routes.Batch, pieces int) time.Duration {
	return expected(spec, min(pieces, max(spec.Items, 1)))
}

// pool describes the pool that has these waits to package spill, for an order.
func (w Waits) pool(name string, o Order, takes time.Duration) spill.Pool {
	return spill.Pool{Region: name, Wait: w.forOrder(o), Late: w.late(o), Takes: takes}
}

// forOrder returns the wait of the pieces of an order that can meet its objective.
func (w Waits) forOrder(o Order) time.Duration {
	if o.Spilled {
		return w.Spilled
	}
	return w.ForRank(o.Priority)
}

// late returns the wait of the pieces of an order that cannot meet its objective. One from another
// region is served after all others.
func (w Waits) late(o Order) time.Duration {
	return w.forWork(Work{Rank: o.Priority, Late: true, Begun: len(o.Inputs) > 0 && !o.Spilled})
}
