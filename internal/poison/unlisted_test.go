package poison

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/attribution"
	"topazmoor/internal/watch"
)

// TestRequestThatTheStoreDoesNotListIsServedAgain guards against a node that refuses a request
// forever: targets end under it while the store is unavailable, the probe that the node allows
// itself is inconclusive, and another node sees the request answered before this one reads of its
// quarantine.
func TestRequestThatTheStoreDoesNotListIsServedAgain(t *testing.T) {
	for name, abandoned := range map[string]bool{"probe given up": true, "probe not heard of": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				f := newFleet(2)
				defer f.stop()
				f.paths[0].setBlind(true)
				f.paths[0].setCut(true)
				// The call in progress ends first.
				time.Sleep(2 * watch.LongWait)
				f.run(0, digest("x"), "a", true)
				f.run(0, digest("x"), "b", true)
				probe, err := f.guards[0].Send(t.Context(), Request{Digest: digest("x")}, probeLasts)
				c.Assert(err, qt.IsNil)
				c.Assert(probe.Claimed(), qt.IsTrue)
				if abandoned {
					f.guards[0].Abandoned(probe)
					// The probe is inconclusive, so that the next one may run at once.
					probe, err = f.guards[0].Send(t.Context(), Request{Digest: digest("x")}, probeLasts)
					c.Assert(err, qt.IsNil)
					f.guards[0].Abandoned(probe)
				}
				f.paths[0].setCut(false)
				time.Sleep(5 * time.Second)
				sent, _ := f.run(1, digest("x"), "sound", false)
				c.Assert(sent, qt.IsTrue)
				time.Sleep(100 * time.Millisecond)
				f.paths[0].setBlind(false)
				time.Sleep(5 * time.Second)
				c.Assert(f.guards[0].Admit(Request{Digest: digest("x")}), qt.IsNil)
				sent, _ = f.run(0, digest("x"), "sound", false)
				c.Assert(sent, qt.IsTrue)
			})
		})
	}
}

// TestProbeIsNotClaimedASecondTimeOnceItIsListed guards against probes that use each other up without a send.
func TestProbeIsNotClaimedASecondTimeOnceItIsListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const late = 200 * time.Millisecond
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		f.paths[0].slowDown(0, late)
		for range attribution.ConvictEnds {
			f.crash(0, withParts(badPart))
		}
		c.Assert(f.guards[0].Counts().QuarantinedParts, qt.Equals, 0)
		probe, err := f.guards[0].Send(t.Context(), withParts(badPart), probeLasts)
		c.Assert(err, qt.IsNil)
		c.Assert(probe.Claimed(), qt.IsTrue)
		f.paths[0].slowDown(2*late, late)
		_, err = f.guards[0].Send(t.Context(), withParts(badPart), probeLasts)
		c.Assert(f.guards[0].Counts().QuarantinedParts, qt.Equals, 1)
		var refused *Refused
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
		f.guards[0].Abandoned(probe)
		time.Sleep(10 * late)
		c.Check(f.guards[0].Admit(withParts(badPart)), qt.IsNil)
	})
}

// While the store is unavailable, a request that a node quarantines on its own does not make the
// node call the store for each send.
func TestStoreThatIsAwayIsNotAskedForEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		f.paths[0].setCut(true)
		f.quarantine(digest("x"))
		_, err := f.guards[0].Send(t.Context(), Request{Digest: digest("x")}, probeLasts)
		c.Assert(err, qt.IsNil)
		before := f.paths[0].gets
		for range 100 {
			_, err := f.guards[0].Send(t.Context(), Request{Digest: digest("x")}, probeLasts)
			c.Assert(err, qt.IsNotNil)
		}
		c.Assert(f.paths[0].gets-before, qt.Equals, 0)
	})
}
