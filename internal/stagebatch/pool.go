package stagebatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"topazmoor/internal/mechanism"
	"topazmoor/internal/readiness"
	"topazmoor/internal/region"
	"topazmoor/internal/routes"
	"topazmoor/internal/targets"
)

// piece is one piece of an order that is queued or in a call.
type piece struct {
	order *order
	index int
	// attempts counts the calls with this piece, without those that maxTries leaves out.
	attempts int
	// queued means that the piece is in the queue, read that a target has read its inputs.
	queued, read bool
}

// begun reports whether the request has results of earlier stages.
func (p *piece) begun() bool { return len(p.order.Inputs) > 0 }

// order is an Order in progress.
type order struct {
	Order
	queuedAt time.Time
	// seq breaks ties between orders that are due at the same time.
	seq     uint64
	handles []string
	missing int
	// unread counts the pieces whose inputs no target has read yet.
	unread int
	done   chan struct{}
	err    error
	ended  bool
	// isolated means that the order shares its calls with no other order: it runs under a
	// quarantine probe, is suspect, or a target ended while it ran the order. Otherwise the
	// other orders in its call would be suspected too if the target ended.
	isolated bool
}

// finish ends an order. Further calls have no effect.
func (o *order) finish(err error) {
	if o.ended {
		return
	}
	o.ended, o.err = true, err
	close(o.done)
}

// storedResult is a result that is stored at its target.
type storedResult struct {
	bytes int64
	until time.Time
}

// targetState is the former's state of one target of its pool.
type targetState struct {
	targets.Target
	// standing is the readiness that the target reported. opens is when it may be called again
	// if it rests.
	standing readiness.Status
	opens    time.Time
	// calls is the number of this node's calls in progress at the target.
	calls int
	// pausedUntil is until when the target gets no calls after it rejected or failed one.
	pausedUntil time.Time
	// slowness is the moving average of the ratio of actual to nominal call duration; 0 before
	// the first call.
	slowness float64
	lastCall time.Time
	permits
	// callBytes is the size of the results of its last call.
	callBytes int64
	// healthyAt is when a call last ended in time and not short of space for results; zero after
	// a call that did not.
	healthyAt time.Time
	failures  int
	results   map[string]storedResult
	// foreignBytes is the space taken by results that this former did not request, as of the
	// last query. The value is used until foreignUntil.
	foreignBytes int64
	foreignUntil time.Time
	// queried means that the target's free space was queried at least once, querying that a
	// query is in progress.
	queried, querying bool
}

const (
	// slowFactor is the slowness from which a target does not count in estimates.
	slowFactor = 2.2
	// slowProbe is the time after its last call from which a slow target is tried as if it were
	// not slow.
	slowProbe = 2500 * time.Millisecond
	// slownessWeight is the weight of the newest call. It is high because a server turns slow,
	// and recovers, from one call to the next.
	slownessWeight = 0.5
	// healthyRatio is the ratio of actual to nominal duration below which a call counts as in
	// time, that is, as started at once. Calls vary by a tenth.
	healthyRatio = 1.3
	// healthyTTL is how long a target counts as healthy after such a call.
	healthyTTL = 3 * time.Second
	// foreignRequeryShare is the share of a target's space above which foreign results are
	// queried again once the last figure has expired.
	foreignRequeryShare = 0.2
	// queryPause is how long a target is paused while its free space is queried. A round trip
	// takes 1 to 3 ms.
	queryPause = 40 * time.Millisecond
	// foreignTTL is how long a figure of foreign results is used. Such results expire or are
	// released within seconds.
	foreignTTL = time.Second
	// usableShare is the share of a target's space that is planned for. The rest allows for
	// errors of the sizes, which are approximate.
	usableShare = 0.96
)

// slow returns the ratio of actual to nominal call duration; 1 if unknown.
func (m *targetState) slow() float64 {
	if m.slowness == 0 {
		return 1
	}
	return m.slowness
}

// recordRatio adds the ratio of actual to nominal duration of a call to the average.
func (m *targetState) recordRatio(ratio float64) {
	m.slowness = m.slow() + slownessWeight*(ratio-m.slow())
}

// healthy reports whether a call that is sent now starts at once: the last call of this former
// ended recently, in time and without a lack of space, so the target had space and no call of
// another former to run first.
func (m *targetState) healthy(now time.Time) bool { return now.Sub(m.healthyAt) < healthyTTL }

// overdue raises the slowness to the ratio that a call still in progress has reached, and at
// least to slowFactor.
func (m *targetState) overdue(ratio float64) { m.slowness = max(m.slow(), ratio, slowFactor) }

// freeBytes returns the space for further results.
func (m *targetState) freeBytes(spec *routes.Batch, now time.Time) int64 {
	left := int64(usableShare * float64(spec.ResultSpace))
	if now.Before(m.foreignUntil) {
		// The target itself reported the figure, so no reserve is needed for errors of the
		// sizes.
		left = min(left, spec.ResultSpace-m.foreignBytes)
	}
	for h, r := range m.results {
		if now.After(r.until) {
			delete(m.results, h)
			continue
		}
		left -= r.bytes
	}
	return left
}

// spaceUnknown reports whether the target's free space must be queried: it was never queried, or
// the last figure has expired and showed much space taken by foreign results.
func (m *targetState) spaceUnknown(spec *routes.Batch, now time.Time) bool {
	if m.querying || spec.ResultSpace <= 0 {
		return false
	}
	old := now.After(m.foreignUntil)
	return !m.queried || (old && float64(m.foreignBytes) > foreignRequeryShare*float64(spec.ResultSpace))
}

// nearlyFull reports whether the target may lack space for its next call: for the results of its
// last call, which may still run, and of another one of the same size.
func (m *targetState) nearlyFull(spec *routes.Batch, now time.Time) bool {
	return m.freeBytes(spec, now) < 2*m.callBytes
}

// storedBytes returns the size of the results that this former knows of.
func (m *targetState) storedBytes() int64 {
	var sum int64
	for _, r := range m.results {
		sum += r.bytes
	}
	return sum
}

// free reports whether the target may receive a call now.
func (m *targetState) free(spec *routes.Batch, now time.Time) bool {
	return m.idle(spec, now) && m.permitted(now)
}

// idle reports whether the target may receive a call, regardless of its rate limit.
func (m *targetState) idle(spec *routes.Batch, now time.Time) bool {
	return m.standing < readiness.Resting && m.calls < max(spec.Slots, 1) && !now.Before(m.pausedUntil)
}

// probes reports whether the target's last call is so old that a call should show whether it is still slow.
func (m *targetState) probes(now time.Time) bool { return now.Sub(m.lastCall) > slowProbe }

// accepting returns the slowness by which orders for the target are chosen: that of slower, but a probe takes orders as
// if the target were not slow. Where the whole pool seems slow, no order might be in time for one otherwise, and nothing
// would ever show that the pool has recovered.
func (m *targetState) accepting(states map[string]*targetState, now time.Time) float64 {
	if m.probes(now) {
		return 1
	}
	return m.slower(states, now)
}

// slower returns the ratio of this target's slowness to that of the fastest target in the pool, or to the
// nominal duration if the whole pool is slow. For a probe it returns that of the pool.
func (m *targetState) slower(states map[string]*targetState, now time.Time) float64 {
	fastest := m.slow()
	for _, other := range states {
		fastest = min(fastest, other.slow())
	}
	switch {
	case fastest >= slowFactor && m.probes(now):
		return fastest
	case fastest >= slowFactor:
		return m.slow()
	case m.probes(now):
		return 1
	}
	return m.slow() / fastest
}

// expected returns the nominal duration of a call with n items.
func expected(spec *routes.Batch, n int) time.Duration {
	return spec.CallTime + time.Duration(n)*spec.ItemTime
}

const (
	// rankStep is how much later an order is scheduled for each rank that it is less urgent. It
	// matters in bursts that exceed the pool's rate for some seconds. With strict ranks the
	// least urgent orders bear the whole shortage, and their results expire while they wait.
	// Without ranks, urgent orders are late as often as others. One step of an account's
	// priority is as many ranks as routes have priorities, and so a longer time.
	rankStep = 150 * time.Millisecond
	// dataCentreLead is how much earlier an order is scheduled if it prefers the data centre of
	// the target: less than one rank, and about the time until the next target is free.
	dataCentreLead = 100 * time.Millisecond
)

// scheduledAt returns the time by which orders that can meet their objective are sorted.
func (pl placement) scheduledAt(o *order) time.Time {
	scheduledAt := o.Due
	if !pl.off.Has(mechanism.Ranks) {
		scheduledAt = scheduledAt.Add(time.Duration(o.Priority) * rankStep)
	}
	if pl.preferred(o) {
		scheduledAt = scheduledAt.Add(-dataCentreLead)
	}
	return scheduledAt
}

// before compares two pieces: those that can still meet their objective come first, then those of this
// region, then the one scheduled earlier.
func before(a, b *piece, late time.Time, pl placement) int {
	aLate, bLate := a.order.Due.Before(late), b.order.Due.Before(late)
	switch {
	case aLate && !bLate:
		return 1
	case bLate && !aLate:
		return -1
	}
	return cmp.Or(firstIf(!a.order.Spilled, !b.order.Spilled), pl.scheduledAt(a.order).Compare(pl.scheduledAt(b.order)), cmp.Compare(a.order.seq, b.order.seq))
}

// take removes the next batch for a target from the queue: the first orders that fit. It drops
// orders that have ended and fails those that cannot be complete by their deadline. Orders that
// do not fit stay queued. The pieces of an order go into one batch if possible, as the results
// of an incomplete order take space without being of use.
func take(queue []*piece, spec *routes.Batch, space int64, now time.Time, pl placement) (batch, rest []*piece) {
	size := max(spec.Items, 1)
	// With a long queue each call is full, so an order is late if it is due before a full call
	// ends.
	soonest, late := now.Add(expected(spec, 1)), now.Add(expected(spec, min(size, len(queue))))
	slices.SortStableFunc(queue, func(a, b *piece) int { return before(a, b, late, pl) })
	full := false
	fullSpace := int64(usableShare * float64(spec.ResultSpace))
	for len(queue) > 0 {
		var group []*piece
		group, queue = nextGroup(queue)
		o := group[0].order
		n := len(group)
		if pl.off.Has(mechanism.WholeOrders) || n > size || n > fitting(o, fullSpace) || now.Sub(o.queuedAt) > splitAfter {
			n = min(n, size-len(batch), fitting(o, space))
		}
		switch {
		case o.ended:
			dequeue(group)
		case o.Deadline.Before(soonest):
			dequeue(group)
			o.finish(ErrLate)
		case full || o.isolated && len(batch) > 0:
			rest = append(rest, group...)
		case n > 0 && len(batch)+n <= size && int64(n)*o.ResultBytes <= space && pl.accepts(o, spec, now) && pl.allInTime(batch, o, expected(spec, len(batch)+n), now):
			space -= int64(n) * o.ResultBytes
			dequeue(group[:n])
			batch = append(batch, group[:n]...)
			full = o.isolated
			rest = append(rest, group[n:]...)
		default:
			rest = append(rest, group...)
		}
	}
	return batch, rest
}

// splitAfter is how long an order waits for a target that takes all its pieces, about one and a
// half calls. After that it is split, so that smaller orders do not overtake it forever.
const splitAfter = 500 * time.Millisecond

// fitting returns how many results of an order fit into the given space.
func fitting(o *order, space int64) int {
	if o.ResultBytes <= 0 {
		return math.MaxInt32
	}
	return int(max(space, 0) / o.ResultBytes)
}

// nextGroup splits off the leading pieces that belong to one order.
func nextGroup(queue []*piece) (group, rest []*piece) {
	n := 1
	for n < len(queue) && queue[n].order == queue[0].order {
		n++
	}
	return queue[:n:n], queue[n:]
}

func dequeue(group []*piece) {
	for _, p := range group {
		p.queued = false
	}
}

const (
	// holdShare is the share of its slack that an order waits for a target in its preferred data
	// centre, at most holdMost. That is about the duration of a call, within which such a target
	// becomes free.
	holdShare = 0.4
	holdMost  = 350 * time.Millisecond
	// holdQueue is the number of queued pieces, relative to one full call at each target, above
	// which orders do not wait for their preferred data centre: the pool is short of calls then.
	holdQueue = 1.0
)

// placement describes a free target for the decision which orders it may take.
type placement struct {
	dataCentre string
	// regions maps each data centre to its region.
	regions region.Map
	// working are the data centres that have a target; nil if the data centre does not matter.
	working map[string]bool
	// hold means that orders wait for a while for their preferred data centre.
	hold bool
	// slower is that of the target's state.
	slower float64
	// off are the mechanisms that an experiment disables.
	off mechanism.Set
}

// placementOf returns the placement of a target.
func (f *Former) placementOf(p *pool, m *targetState, working map[string]bool, spec *routes.Batch, now time.Time) placement {
	most := holdQueue * float64((len(p.states)+p.working.unusedTargets())*max(spec.Items, 1))
	hold := float64(len(p.queue)) <= most && !f.Off.Has(mechanism.WaitForPlace)
	pl := placement{dataCentre: m.DataCentre, regions: f.Regions, working: working, hold: hold, slower: 1, off: f.Off}
	if !f.Off.Has(mechanism.SlowTargets) {
		pl.slower = m.accepting(p.states, now)
	}
	return pl
}

// idle reports whether the pool has no piece in the queue or in a call.
func (p *pool) idle() bool {
	for _, m := range p.states {
		if m.calls > 0 {
			return false
		}
	}
	return len(p.queue) == 0
}

// dataCentres returns the data centres that have targets of the pool.
func (p *pool) dataCentres() map[string]bool {
	out := make(map[string]bool)
	for _, m := range p.states {
		out[m.DataCentre] = true
	}
	for place := range p.working.unused {
		out[place] = true
	}
	return out
}

// preferred reports whether an order prefers this data centre, has no preference, or prefers a
// data centre without a target.
func (pl placement) preferred(o *order) bool {
	return o.DataCentre == pl.dataCentre || !pl.working[o.DataCentre]
}

// allInTime reports whether the target is fast enough for an order, and for those that are in its batch
// already, if the order joins the batch. takes is the duration of the whole batch at a healthy target.
func (pl placement) allInTime(batch []*piece, o *order, takes time.Duration, now time.Time) bool {
	if !pl.inTime(o, takes, now) {
		return false
	}
	return pl.slower < healthyRatio || !slices.ContainsFunc(batch, func(p *piece) bool { return !pl.inTime(p.order, takes, now) })
}

// inTime reports whether the target is fast enough for an order. It is if it is not slow compared
// with the fastest target of the pool, if it would complete the order by Due, or if even a healthy
// target would miss Due but this one would meet Deadline. takes is the duration at a healthy target.
func (pl placement) inTime(o *order, takes time.Duration, now time.Time) bool {
	if pl.slower < healthyRatio {
		return true
	}
	due := o.Due
	if due.Before(now.Add(takes)) {
		due = o.Deadline
	}
	return !due.Before(now.Add(times(takes, pl.slower)))
}

// accepts reports whether an order may run at the target: its regions allow it, and it prefers
// the target's data centre or has waited long enough for its own.
func (pl placement) accepts(o *order, spec *routes.Batch, now time.Time) bool {
	if !pl.regions.Allows(o.Regions, pl.dataCentre) {
		return false
	}
	if !pl.hold || pl.preferred(o) {
		return true
	}
	slack := o.Due.Sub(o.queuedAt) - expected(spec, o.Pieces)
	return now.Sub(o.queuedAt) >= min(times(slack, holdShare), holdMost)
}
