package poison

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestOperatorsListAndLiftQuarantines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.run(0, digest("once"), "a", true)
		for i := range 3 {
			f.run(0, digest("poison"), fmt.Sprint("e", i), true)
		}
		time.Sleep(10 * time.Millisecond)
		list, err := List(t.Context(), f.store)
		c.Assert(err, qt.IsNil)
		c.Assert(list, qt.HasLen, 2)
		c.Assert(list[0].Name, qt.Equals, digest("poison").String())
		c.Assert(list[0].Quarantined, qt.IsTrue)
		c.Assert(list[0].Ended, qt.HasLen, 3)
		c.Assert(list[1].Quarantined, qt.IsFalse)
		c.Assert(f.guards[1].Admit(Request{Digest: digest("poison")}), qt.IsNotNil)

		lifted, err := Lift(t.Context(), f.store, digest("poison"), "ana", "the engines were updated", time.Now())
		c.Assert(err, qt.IsNil)
		c.Assert(lifted.Record.Ended, qt.HasLen, 3)
		time.Sleep(10 * time.Millisecond)
		for i := range f.guards {
			sent, probe := f.run(i, digest("poison"), "sound", false)
			c.Assert(sent, qt.IsTrue)
			c.Assert(probe, qt.IsFalse)
		}
		_, err = Lift(t.Context(), f.store, digest("poison"), "ana", "again", time.Now())
		c.Assert(err, qt.Equals, ErrNotListed)
		audit, err := f.store.Scan(t.Context(), auditTable, "", "", 10)
		c.Assert(err, qt.IsNil)
		c.Assert(audit, qt.HasLen, 1)
	})
}
