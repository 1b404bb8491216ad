package resume

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/store"
)

// row returns the row of the service in the store; empty for none.
func (f *fleet) row(t *testing.T) string {
	r, err := f.store.Get(t.Context(), Table, "s")
	if errors.Is(err, store.ErrNotFound) {
		return ""
	}
	qt.Assert(t, err, qt.IsNil)
	return string(r.Value)
}

// restart replaces all nodes by new ones that have seen one version and share the store.
func (f *fleet) restart(t *testing.T, version string) *fleet {
	next := newFleet(t.Context(), len(f.nodes))
	next.store = f.store
	for name, r := range next.nodes {
		next.see(name, version)
		r.History.Store, r.Checkpoints.Store = f.store, f.store
	}
	return next
}

func TestStoreSaysWhichVersionsThereWereUntilNoStreamNeedsThem(t *testing.T) {
	inFleet(t, 6, func(t *testing.T, f *fleet) {
		f.serveHistory(t)
		time.Sleep(6 * time.Second)
		qt.Assert(t, f.row(t), qt.Equals, `{"versions":["v1","v2"]}`)
		for name := range f.nodes {
			f.see(name, "v2")
		}
		time.Sleep(6 * time.Second)
		qt.Check(t, f.row(t), qt.Equals, `{"versions":["v1","v2"]}`)
		for name := range f.nodes {
			f.followsForLong(name)
		}
		time.Sleep(6 * time.Second)
		qt.Check(t, f.row(t), qt.Equals, "")
	})
}

func TestNodesThatStartTogetherTakeNoVersionForTheOnlyOne(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.serveHistory(t)
		time.Sleep(6 * time.Second)
		next := f.restart(t, "v2")
		_, err := next.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.Equals, ErrUnknown)
	})
}

func TestNodesThatStartTogetherTakeTheOnlyVersionThatThereWas(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		next := f.restart(t, "v2")
		f.store.SetFaults(store.Faults{Down: true})
		_, err := next.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.Equals, ErrUnconfirmed)
		f.store.SetFaults(store.Faults{})
		got, err := next.nodes["node-0"].Find(t.Context(), stream("unknown"))
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, got, qt.Equals, Origin{"s", "v2"})
	})
}

// The versions that a new node has not seen stay in the row.
func TestRowKeepsVersionsThatNewNodesHaveNotSeen(t *testing.T) {
	inFleet(t, 4, func(t *testing.T, f *fleet) {
		f.serveHistory(t)
		time.Sleep(6 * time.Second)
		next := f.restart(t, "v2")
		next.serveHistory(t)
		for name := range next.nodes {
			next.see(name, "v2", "v3")
		}
		time.Sleep(6 * time.Second)
		qt.Check(t, f.row(t), qt.Equals, `{"versions":["v1","v2","v3"]}`)
	})
}

// serveHistory starts the checks of the rows at all nodes.
func (f *fleet) serveHistory(t *testing.T) {
	for _, r := range f.nodes {
		go func() { _ = r.History.Serve(t.Context()) }()
	}
}

func TestReadFromBeforeASuspensionIsNotUsed(t *testing.T) {
	inFleet(t, 2, func(t *testing.T, f *fleet) {
		h := f.nodes["node-0"].History
		several, err := h.HadSeveral(t.Context(), "s")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, several, qt.IsFalse)
		_, err = f.store.Commit(t.Context(), store.Tx{Writes: []store.Write{{Table: Table, Key: "s", Value: []byte(`{"versions":["v1","v2"]}`)}}})
		qt.Assert(t, err, qt.IsNil)
		h.HostResumed()
		several, err = h.HadSeveral(t.Context(), "s")
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, several, qt.IsTrue)
	})
}
