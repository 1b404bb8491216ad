package poison

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestSecondEndQuarantinesARequestAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3)
		defer f.stop()
		d := digest("x")
		f.run(0, d, "e0", true)
		c.Assert(f.guards[1].Admit(Request{Digest: d}), qt.IsNil)
		f.run(1, d, "e1", true)
		time.Sleep(10 * time.Millisecond)
		// One node claims the probe, and nothing else is sent meanwhile.
		name, err := f.guards[2].Send(t.Context(), Request{Digest: d}, probeLasts)
		c.Assert(err, qt.IsNil)
		c.Assert(name.Claimed(), qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
		for _, g := range f.guards {
			var refused *Refused
			c.Assert(errors.As(g.Admit(Request{Digest: d}), &refused), qt.IsTrue)
			c.Assert(refused.After, qt.Equals, retryDuringProbe)
		}
		f.end("e2")
		<-f.guards[2].Ended(Run{Request: Request{Digest: d}, Began: time.Now().Add(-time.Second), Process: "e2@0", Addr: "e2", Probe: name})
		time.Sleep(10 * time.Millisecond)
		for _, g := range f.guards {
			var refused *Refused
			c.Assert(errors.As(g.Admit(Request{Digest: d}), &refused), qt.IsTrue)
			c.Assert(refused.After > 10*time.Second, qt.IsTrue, qt.Commentf("come back after %v", refused.After))
		}
		// The next probe may run after a pause without new information.
		time.Sleep(probePauses[1])
		c.Assert(f.guards[0].Admit(Request{Digest: d}), qt.IsNil)
		_, probe := f.run(0, d, "e3", false)
		c.Assert(probe, qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
		for i := range f.guards {
			sent, probe := f.run(i, d, "e3", false)
			c.Assert(sent, qt.IsTrue)
			c.Assert(probe, qt.IsFalse)
		}
	})
}

func TestBrokenConnectionToALivingTargetIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		for i := range 5 {
			<-f.guards[0].Ended(Run{Request: Request{Digest: digest("x")}, Began: time.Now(), Process: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i)})
		}
		c.Assert(f.guards[0].Suspect(Request{Digest: digest("x")}), qt.IsFalse)
	})
}

// Ends with another cause, each between two answers of the same message, do not quarantine it.
func TestMessageThatIsAnsweredAllTheTimeIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3)
		defer f.stop()
		for i := range f.guards {
			f.run(i, digest("x"), "sound", false)
		}
		for i := range 20 {
			_, probe := f.run(i%3, digest("x"), fmt.Sprint("e", i), true)
			c.Assert(probe, qt.IsFalse)
			_, probe = f.run(i%3, digest("x"), "sound", false)
			c.Assert(probe, qt.IsFalse)
		}
	})
}

// A call of a stage breaks off under a probe and its target still runs: the batch former makes
// another call under the same probe, so that no other node may claim one meanwhile.
func TestProbeThatGoesOnIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.quarantine(digest("x"))
		name, err := f.guards[0].Send(t.Context(), Request{Digest: digest("x")}, probeLasts)
		c.Assert(err, qt.IsNil)
		r := Run{Request: Request{Digest: digest("x")}, Began: time.Now(), Process: "c@0", Addr: "c", Probe: name, ProbeContinues: true}
		c.Assert(<-f.guards[0].Ended(r), qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
		c.Assert(f.guards[1].Admit(Request{Digest: digest("x")}), qt.IsNotNil)
		// The last run of the probe.
		r.ProbeContinues = false
		c.Assert(<-f.guards[0].Ended(r), qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
		c.Assert(f.guards[1].Admit(Request{Digest: digest("x")}), qt.IsNil)
	})
}

// A node that holds a probe is killed: another node may probe once the time of that probe and the
// pause after it have passed, not a minute later.
func TestProbeOfANodeThatIsGoneIsNotWaitedForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.quarantine(digest("x"))
		name, err := f.guards[0].Send(t.Context(), Request{Digest: digest("x")}, 2*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(name.Claimed(), qt.IsTrue)
		time.Sleep(probePauses[1] - time.Second)
		c.Assert(f.guards[1].Admit(Request{Digest: digest("x")}), qt.IsNotNil)
		time.Sleep(2 * time.Second)
		sent, probe := f.run(1, digest("x"), "sound", false)
		c.Assert(sent, qt.IsTrue)
		c.Assert(probe, qt.IsTrue)
	})
}

// A run that began after its process was found to have ended is no evidence against its request.
func TestRunAtAProcessThatHadEndedIsNoEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		f.run(0, digest("x"), "e", true)
		time.Sleep(10 * time.Millisecond)
		c.Assert(<-f.guards[0].Ended(Run{Request: Request{Digest: digest("y")}, Began: time.Now(), Process: "e@0", Addr: "e"}), qt.IsFalse)
		c.Assert(f.guards[0].Suspect(Request{Digest: digest("y")}), qt.IsFalse)
	})
}

// Guards against unbounded memory if a client account sends ever new requests under which processes
// of targets end, while the store is unreachable: the local records and the queue of writes are
// bounded, and requests of other accounts are not refused.
func TestEndsUnderManyRequestsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		f.paths[0].setCut(true)
		g := f.guards[0]
		f.end("e")
		for i := range 2 * maxLocalRecords {
			g.Ended(Run{Request: Request{Digest: digest(fmt.Sprint(i))}, Began: time.Now().Add(-time.Second), Process: fmt.Sprint("e@", i), Addr: "e"})
		}
		time.Sleep(time.Second)
		g.mu.Lock()
		local := g.local.Len()
		g.mu.Unlock()
		c.Assert(local, qt.Equals, maxLocalRecords)
		g.queue.mu.Lock()
		queued := len(g.queue.ops)
		g.queue.mu.Unlock()
		// A batch whose write failed goes back to the queue.
		c.Assert(queued <= maxQueued+maxBatch, qt.IsTrue, qt.Commentf("%d queued", queued))
		c.Assert(g.Counts().Dropped > 0, qt.IsTrue)
		c.Assert(g.Admit(Request{Digest: DigestOf("agents", "POST", "port.example", "/1", nil)}), qt.IsNil)
	})
}

// A node without the store decides by the ends that it observed itself, and makes one probe.
func TestNodeWithoutTheStoreBoundsWhatItSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.paths[0].setCut(true)
		sends := 0
		for i := range 20 {
			if sent, _ := f.run(0, digest("x"), fmt.Sprint("e", i), true); sent {
				sends++
			}
			time.Sleep(time.Second)
		}
		c.Assert(sends, qt.Equals, quarantineEnds+1)
		// The node writes its ends as soon as it reaches the store again.
		f.paths[0].setCut(false)
		time.Sleep(time.Second)
		c.Assert(f.guards[1].Admit(Request{Digest: digest("x")}), qt.IsNotNil)
		r := f.guards[1].lookup(digest("x"))
		c.Assert(r.Probes, qt.Equals, 1)
	})
}
