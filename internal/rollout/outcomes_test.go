package rollout

import (
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

// orderAt returns an order whose row has a version.
func orderAt(era, number int64) Order {
	return Order{Service: "s", To: "v2", Lasts: time.Minute, Revision: store.Version{Era: era, Number: number}}
}

func recordOf(o Order, s State) Record {
	return Record{Service: o.Service, To: o.To, Revision: o.Revision, State: s, Began: start, Deadline: start.Add(o.Lasts)}
}

func TestOneFinalStateOfAnOrderStands(t *testing.T) {
	before, after, repeated := orderAt(0, 5), orderAt(1, 3), orderAt(1, 9)
	for name, tc := range map[string]struct {
		kept, saved Order
		has, state  State
		remembered  bool
		want        State
	}{
		"first record":                       {kept: Order{}, saved: before, state: Running, want: Running},
		"decided":                            {kept: before, saved: before, has: Running, state: Completed, want: Completed},
		"two owners":                         {kept: before, saved: before, has: Completed, state: RolledBack, want: Completed},
		"ended before the copy":              {kept: before, saved: after, has: RolledBack, state: Running, want: RolledBack},
		"ended after the copy":               {kept: before, saved: after, has: Running, state: RolledBack, remembered: true, want: RolledBack},
		"ended by a node that did not know":  {kept: after, saved: after, has: RolledBack, state: Completed, remembered: true, want: Completed},
		"the old version stopped":            {kept: after, saved: after, has: Completed, state: RolledBack, remembered: true, want: Completed},
		"ended again after the copy":         {kept: before, saved: after, has: Completed, state: RolledBack, remembered: true, want: RolledBack},
		"repeated":                           {kept: after, saved: repeated, has: RolledBack, state: Running, want: Running},
		"late decision of the earlier order": {kept: repeated, saved: after, has: Running, state: RolledBack, want: Unknown},
	} {
		var kept Record
		if tc.has != Unknown {
			kept = recordOf(tc.kept, tc.has)
		}
		r := recordOf(tc.saved, tc.state)
		r.Remembered = tc.remembered
		got, err := Resolve(kept, r)
		qt.Check(t, got.State, qt.Equals, tc.want, qt.Commentf("%s", name))
		qt.Check(t, err != nil, qt.Equals, tc.want == Unknown, qt.Commentf("%s", name))
	}
}

// ended returns a Gate at which an order ended with a state.
func ended(o Order, s State) *Gate {
	g := NewGate("a", nil, func() int { return 1 }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	g.SetOrders([]Order{o})
	r, bad, lapses := g.next(g.orders["s"])
	g.applyAnswer(g.orders["s"], r, bad, lapses, Answer{State: s})
	return g
}

func TestOrderOfARestoredStoreDoesNotRunAgain(t *testing.T) {
	for _, state := range []State{Completed, RolledBack} {
		for _, removed := range []bool{false, true} {
			g := ended(orderAt(0, 5), state)
			if removed {
				g.SetOrders(nil)
			}
			for _, o := range []Order{orderAt(1, 3), orderAt(2, 3)} {
				g.SetOrders([]Order{o})
				qt.Check(t, g.orders["s"].answer.State, qt.Equals, state, qt.Commentf("removed: %v", removed))
				qt.Check(t, g.orders["s"].Order, qt.Equals, o)
			}
			// The operator asks for it again.
			g.SetOrders([]Order{orderAt(2, 8)})
			qt.Check(t, g.orders["s"].answer.State, qt.Equals, Unknown)
		}
	}
}

func TestRunningOrderContinuesWhenTheStoreIsRestored(t *testing.T) {
	c := qt.New(t)
	g := ended(orderAt(0, 5), Running)
	g.Sent(Call{Service: "s", Version: "v2"})
	g.SetOrders([]Order{orderAt(1, 5)})
	s := g.orders["s"]
	c.Check(s.answer.State, qt.Equals, Running)
	r, _, _ := g.next(s)
	c.Check(r.Order, qt.Equals, orderAt(1, 5))
	c.Check(r.Evidence.SentNew, qt.Equals, uint64(1))
	c.Check(g.Withdrawn(orderAt(0, 5)), qt.IsFalse)
	c.Check(g.Barred("s"), qt.HasLen, 0)
}

func TestNodesRememberABoundedNumberOfOrders(t *testing.T) {
	var m outcomes
	for i := range 3 * maxOutcomes {
		o := orderAt(0, int64(i+1))
		o.Lasts += time.Duration(i) * time.Second
		o.To = o.Lasts.String()
		m.set(o, Completed)
	}
	qt.Assert(t, m.list, qt.HasLen, maxOutcomes)
}

// TestOwnerLearnsHowAnOrderEnded: an owner that started after the store was restored knows nothing of
// the order's end, but nodes do.
func TestOwnerLearnsHowAnOrderEnded(t *testing.T) {
	for _, state := range []State{Completed, RolledBack} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: &sharedStore{}, nodes: 5}
			w := f.newOwner(t.Context())
			o := orderAt(1, 5)
			fresh, err := w.Report(t.Context(), Report{Node: "fresh", Order: o, Hold: minHold})
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, fresh.State, qt.Equals, Running)
			_, err = w.Report(t.Context(), Report{Node: "old", Order: o, Has: Answer{State: state}, Hold: minHold})
			qt.Assert(t, err, qt.IsNil)
			time.Sleep(2 * stepInterval)
			fresh, err = w.Report(t.Context(), Report{Node: "fresh", Order: o, Has: fresh, Hold: minHold})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, fresh.State, qt.Equals, state)
			qt.Check(t, f.store.state(), qt.Equals, state)
			time.Sleep(time.Minute)
		})
	}
}

// The copy that the store came back from may be from before the order's first record.
func TestOrderKeepsItsDeadlineWhenTheStoreLosesItsRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: &sharedStore{}, nodes: 1}
		w := f.newOwner(t.Context())
		report := func(o Order) Status {
			_, err := w.Report(t.Context(), Report{Node: "a", Order: o, Hold: minHold})
			qt.Assert(t, err, qt.IsNil)
			return w.Orders()[0]
		}
		first := report(orderAt(0, 5))
		time.Sleep(time.Second)
		f.store.kept = Record{}
		again := report(orderAt(1, 5))
		qt.Check(t, again.Revision, qt.Equals, orderAt(1, 5).Revision)
		qt.Check(t, again.Deadline, qt.Equals, first.Deadline)
		w.mu.Lock()
		qt.Check(t, w.runs[orderAt(1, 5)].trial.control.deadline(), qt.Equals, first.Deadline)
		w.mu.Unlock()
		time.Sleep(time.Minute)
	})
}

// Each change of an order ends the earlier one; orders of other services go on.
func TestChangedOrderEndsTheEarlierOne(t *testing.T) {
	first, other := orderAt(0, 5), orderAt(0, 6)
	other.Service = "o"
	version, longer, repeated := orderAt(0, 7), orderAt(0, 7), orderAt(0, 7)
	version.To = "v3"
	longer.Lasts *= 2
	for name, tc := range map[string]struct {
		orders []Order
		barred []string
	}{
		"another version": {[]Order{version, other}, []string{"v2"}},
		"another time":    {[]Order{longer, other}, []string{}},
		"the same again":  {[]Order{repeated, other}, []string{}},
		"withdrawn":       {[]Order{other}, []string{"v2"}},
	} {
		c := qt.New(t)
		g := ended(first, Running)
		g.SetOrders([]Order{first, other})
		kept := g.orders["o"]
		g.SetOrders(tc.orders)
		c.Check(g.Withdrawn(first), qt.IsTrue, qt.Commentf("%s", name))
		c.Check(g.Withdrawn(other), qt.IsFalse)
		c.Check(g.orders["o"], qt.Equals, kept)
		c.Check(g.Barred("s"), qt.DeepEquals, tc.barred, qt.Commentf("%s", name))
		if s := g.orders["s"]; s != nil {
			c.Check(s.answer, qt.Equals, Answer{}, qt.Commentf("%s", name))
			c.Check(g.Withdrawn(s.Order), qt.IsFalse)
		}
	}
}

// The platform stopped the old version's targets when a node acted on Completed.
func TestNodeKeepsToCompleted(t *testing.T) {
	for _, state := range []State{Completed, RolledBack} {
		g := ended(orderAt(0, 5), state)
		g.SetOrders([]Order{orderAt(1, 5)})
		s := g.orders["s"]
		for _, answer := range []State{Running, RolledBack, Completed} {
			r, bad, lapses := g.next(s)
			qt.Check(t, g.applyAnswer(s, r, bad, lapses, Answer{State: answer}), qt.Equals, answer.Final())
			want := state
			if answer == Completed {
				want = Completed
			}
			qt.Check(t, s.answer.State, qt.Equals, want)
		}
	}
}
