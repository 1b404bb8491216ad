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

// piece is one piece that waits for, or is in, a call.
type piece struct {
	order *order
	index int
	// attempts counts the calls that held the piece.
	attempts int
	// queued says that the piece is in the queue, read that a target has read
	// its inputs.
	queued, read bool
}

// begun reports whether earlier stages of the request were done.
func (p *piece) begun() bool { return len(p.order.Inputs) > 0 }

// order is an Order in work.
type order struct {
	Order
	since time.Time
	// seq tells orders apart that are due at the same time.
	seq     uint64
	handles []string
	missing int
	// unread counts the pieces whose inputs no target has read yet.
	unread int
	done   chan struct{}
	err    error
	ended  bool
	// alone says that a target ended under the order: it is put into calls by itself, so that
	// the others of its call are not taken for what ended the target.
	alone bool
}

// finish ends an order once.
func (o *order) finish(err error) {
	if o.ended {
		return
	}
	o.ended, o.err = true, err
	close(o.done)
}

// held is a result that lies at its maker.
type held struct {
	bytes int64
	until time.Time
}

// maker is what the former knows of one target of its pool.
type maker struct {
	targets.Target
	// standing is what the target said of whether it takes work, opens when it may next be
	// called if it rests.
	standing readiness.Standing
	opens    time.Time
	// calls is the number of this node's calls there.
	calls int
	// pausedUntil sets the target aside after it rejected or failed a call.
	pausedUntil time.Time
	// slowness is the recent time of its calls against the expected one; 0 until
	// the first.
	slowness float64
	lastCall time.Time
	permits
	// callBytes is the size of the results of its last call.
	callBytes int64
	// soundAt is when a call last ended in its time and with all results; zero
	// after one that did not.
	soundAt  time.Time
	failures int
	results  map[string]held
	// foreign is the room that results take which this former doesn't know of,
	// made for another former, as it was last asked; it is believed until
	// foreignUntil.
	foreign      int64
	foreignUntil time.Time
	// asked says that the target was asked for its room at all, asking that it is being
	// asked.
	asked, asking bool
}

const (
	// slowFactor is by how much a target may be slower than expected before it does not
	// count in estimates.
	slowFactor = 2.2
	// slowProbe is how long after its last call a slow target is taken for a sound one.
	slowProbe = 2500 * time.Millisecond
	// slownessWeight is the weight of the newest call: a server turns slow, and
	// recovers, from one call to the next.
	slownessWeight = 0.5
	// soundRatio is by how much a call that began at once may exceed its
	// expected time; calls vary by a tenth.
	soundRatio = 1.3
	// soundLife is how long a target is taken as sound after such a call.
	soundLife = 3 * time.Second
	// foreignDoubt is the part of a target's room above which foreign results are looked
	// at again when what is known of them is old.
	foreignDoubt = 0.2
	// askPause is how long a target is left alone while it is asked; a round trip is 1 to
	// 3 ms.
	askPause = 40 * time.Millisecond
	// foreignLife is how long a foreign use of room is believed; such results
	// lapse or are given up within seconds.
	foreignLife = time.Second
	// roomShare is the part of a target's room that is planned with; sizes are
	// approximate.
	roomShare = 0.96
)

// slow returns how many times slower than expected the target is.
func (m *maker) slow() float64 {
	if m.slowness == 0 {
		return 1
	}
	return m.slowness
}

// took notes how many times its expected time a call has taken.
func (m *maker) took(ratio float64) {
	m.slowness = m.slow() + slownessWeight*(ratio-m.slow())
}

// sound reports whether a call that is sent now begins at once: the target has
// lately worked for this former alone, and had room.
func (m *maker) sound(now time.Time) bool { return now.Sub(m.soundAt) < soundLife }

// overdue notes that a call goes on although its time has passed that often.
func (m *maker) overdue(ratio float64) { m.slowness = max(m.slow(), ratio, slowFactor) }

// room returns the bytes that results may still take.
func (m *maker) room(spec *routes.Batch, now time.Time) int64 {
	left := int64(roomShare * float64(spec.RoomBytes))
	if now.Before(m.foreignUntil) {
		// The target itself has told it, so that nothing is kept free for the error of
		// sizes.
		left = min(left, spec.RoomBytes-m.foreign)
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

// doubtful reports whether it isn't known what lies at the target: it is new to this former,
// or results of others took much of its room when it was last asked.
func (m *maker) doubtful(spec *routes.Batch, now time.Time) bool {
	if m.asking || spec.RoomBytes <= 0 {
		return false
	}
	old := now.After(m.foreignUntil)
	return !m.asked || (old && float64(m.foreign) > foreignDoubt*float64(spec.RoomBytes))
}

// tight reports whether the target's room may be short of its next call: it must hold
// the results of its last call, which may still run, and of another one as large.
func (m *maker) tight(spec *routes.Batch, now time.Time) bool {
	return m.room(spec, now) < 2*m.callBytes
}

// held returns the bytes of the results that this former knows of.
func (m *maker) held() int64 {
	var sum int64
	for _, r := range m.results {
		sum += r.bytes
	}
	return sum
}

// free reports whether the target may be given a call now.
func (m *maker) free(spec *routes.Batch, now time.Time) bool {
	return m.idle(spec, now) && m.permitted(now)
}

// idle reports whether the target may be given a call, but for its rate.
func (m *maker) idle(spec *routes.Batch, now time.Time) bool {
	return m.standing < readiness.Resting && m.calls < max(spec.Slots, 1) && !now.Before(m.pausedUntil)
}

// slower returns how many times slower than the fastest of a pool's targets this one is; 1
// when it was not called for a while, to see whether it has recovered.
func (m *maker) slower(makers map[string]*maker, now time.Time) float64 {
	if now.Sub(m.lastCall) > slowProbe {
		return 1
	}
	fastest := m.slow()
	for _, other := range makers {
		fastest = min(fastest, other.slow())
	}
	return m.slow() / fastest
}

// expected returns the time of a call with n items.
func expected(spec *routes.Batch, n int) time.Duration {
	return spec.CallTime + time.Duration(n)*spec.ItemTime
}

const (
	// headStart is how much sooner than it is due the turn of an order comes for each rank
	// that it is more urgent. It answers bursts that ask a pool for more than it can make, for
	// some seconds: by strict ranks the least urgent kind bears all that is missing, and its
	// results lapse while it waits; without any, urgent orders come late as often as others.
	// Accounts differ by as many ranks as routes have priorities, so that their steps are longer.
	headStart = 150 * time.Millisecond
	// placeStart is how much sooner the turn of an order comes that wishes for the place of the
	// target: less than a rank, and about the time in which the next target is free.
	placeStart = 100 * time.Millisecond
)

// turn is when an order's turn comes among those that can meet their objective.
func (pl place) turn(o *order) time.Time {
	turn := o.Due
	if !pl.off.Has(mechanism.Ranks) {
		turn = turn.Add(time.Duration(o.Priority) * headStart)
	}
	if pl.wished(o) {
		turn = turn.Add(-placeStart)
	}
	return turn
}

// before orders pieces: those that can still meet their objective first, then by their
// turns.
func before(a, b *piece, late time.Time, pl place) int {
	aLate, bLate := a.order.Due.Before(late), b.order.Due.Before(late)
	switch {
	case aLate && !bLate:
		return 1
	case bLate && !aLate:
		return -1
	}
	return cmp.Or(pl.turn(a.order).Compare(pl.turn(b.order)), cmp.Compare(a.order.seq, b.order.seq))
}

// take removes the next batch for a target from the queue: of the orders that
// fit, the first ones. Orders that ended are dropped; those that have no room,
// or that do not fit, wait. An order's pieces go into one batch where they can:
// the results of a half-made order take room and serve nobody.
func take(queue []*piece, spec *routes.Batch, room int64, now time.Time, pl place) (batch, rest []*piece) {
	size := max(spec.Items, 1)
	// Of a long queue each call is full: who has less time than that takes is late.
	soonest, late := now.Add(expected(spec, 1)), now.Add(expected(spec, min(size, len(queue))))
	slices.SortStableFunc(queue, func(a, b *piece) int { return before(a, b, late, pl) })
	full := false
	fullRoom := int64(roomShare * float64(spec.RoomBytes))
	for len(queue) > 0 {
		var group []*piece
		group, queue = nextGroup(queue)
		o := group[0].order
		n := len(group)
		if pl.off.Has(mechanism.WholeOrders) || n > size || n > fitting(o, fullRoom) || now.Sub(o.since) > splitAfter {
			n = min(n, size-len(batch), fitting(o, room))
		}
		switch {
		case o.ended:
			dequeue(group)
		case o.Deadline.Before(soonest):
			dequeue(group)
			o.finish(ErrLate)
		case full || o.alone && len(batch) > 0:
			rest = append(rest, group...)
		case n > 0 && len(batch)+n <= size && int64(n)*o.ResultBytes <= room && pl.takes(o, spec, now) && pl.inTime(o, expected(spec, n), now):
			room -= int64(n) * o.ResultBytes
			dequeue(group[:n])
			batch = append(batch, group[:n]...)
			full = o.alone
			rest = append(rest, group[n:]...)
		default:
			rest = append(rest, group...)
		}
	}
	return batch, rest
}

// splitAfter is how long an order waits for a target that takes all of its
// pieces; then it takes what there is, so that smaller orders do not pass it for
// ever. About the time of a call and a half.
const splitAfter = 500 * time.Millisecond

// fitting returns how many results of an order fit into some room.
func fitting(o *order, room int64) int {
	if o.ResultBytes <= 0 {
		return math.MaxInt32
	}
	return int(max(room, 0) / o.ResultBytes)
}

// nextGroup splits the first pieces off that belong to one order.
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
	// holdShare is the part of its slack that an order waits for a target in the
	// data centre that it wishes for, holdMost bounds it: about a call's time, in
	// which such a target comes free.
	holdShare = 0.4
	holdMost  = 350 * time.Millisecond
	// holdQueue is the number of waiting pieces, as a share of what all targets
	// take in one call each, above which nobody waits for a place: the pool is
	// short of calls then.
	holdQueue = 1.0
)

// place is where a target stands that is free, as orders see it.
type place struct {
	dataCentre string
	// regions gives the region of each data centre.
	regions region.Map
	// working are the data centres that have a target; nil when it does not matter
	// where a target stands.
	working map[string]bool
	// hold says that orders wait for a while for the data centre that they wish for.
	hold bool
	// slower is how many times slower than others the target is.
	slower float64
	// off are the mechanisms that an experiment switches off.
	off mechanism.Set
}

// placeOf returns the place of a target.
func (f *Former) placeOf(p *pool, m *maker, working map[string]bool, spec *routes.Batch, now time.Time) place {
	most := holdQueue * float64((len(p.makers)+p.working.spares())*max(spec.Items, 1))
	hold := float64(len(p.queue)) <= most && !f.Off.Has(mechanism.WaitForPlace)
	pl := place{dataCentre: m.DataCentre, regions: f.Regions, working: working, hold: hold, slower: 1, off: f.Off}
	if !f.Off.Has(mechanism.SlowTargets) {
		pl.slower = m.slower(p.makers, now)
	}
	return pl
}

// dataCentres lists where the pool's targets stand.
func (p *pool) dataCentres() map[string]bool {
	out := make(map[string]bool)
	for _, m := range p.makers {
		out[m.DataCentre] = true
	}
	for place := range p.working.spare {
		out[place] = true
	}
	return out
}

// wished reports whether an order wishes for this place, or for none, or for one where
// no target works.
func (pl place) wished(o *order) bool {
	return o.DataCentre == pl.dataCentre || !pl.working[o.DataCentre]
}

// inTime reports whether an order may be made here for all that the target is slow: a
// sound target would be too late for it as well, or this one is in time. takes is the
// time that a sound one takes.
func (pl place) inTime(o *order, takes time.Duration, now time.Time) bool {
	if pl.slower < soundRatio {
		return true
	}
	due := o.Due
	if due.Before(now.Add(takes)) {
		due = o.Deadline
	}
	return !due.Before(now.Add(times(takes, pl.slower)))
}

// takes reports whether an order may be made here: its regions allow it, and it wishes so, or has
// waited for its own place for long enough.
func (pl place) takes(o *order, spec *routes.Batch, now time.Time) bool {
	if !pl.regions.Allows(o.Regions, pl.dataCentre) {
		return false
	}
	if !pl.hold || pl.wished(o) {
		return true
	}
	slack := o.Due.Sub(o.since) - expected(spec, o.Pieces)
	return now.Sub(o.since) >= min(times(slack, holdShare), holdMost)
}
