package poison

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/attribution"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

const (
	routePart Part = iota + 1
	badPart
	otherBadPart
	documentPart
)

var requests int

// withParts returns a request like no other, with parts of a prompt.
func withParts(parts ...Part) Request {
	requests++
	return Request{Digest: digest(fmt.Sprint("request-", requests)), Parts: parts}
}

// crash lets a new target end under a request at a node.
func (f *fleet) crash(node int, r Request) (sent bool) {
	requests++
	sent, _ = f.runRequest(node, r, fmt.Sprint("engine-", requests), true)
	time.Sleep(20 * time.Millisecond)
	return sent
}

// convict lets targets end under a part until it is in quarantine.
func (f *fleet) convict(parts ...Part) {
	for i := range attribution.ConvictEnds {
		f.crash(i%len(f.guards), withParts(parts...))
	}
	time.Sleep(100 * time.Millisecond)
}

func TestPartUnderWhichTargetsEndIsQuarantinedAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3)
		defer f.stop()
		f.convict(badPart)
		sent := 0
		for i := range 30 {
			if f.crash(i%3, withParts(badPart, Part(100+i))) {
				sent++
			}
			time.Sleep(100 * time.Millisecond)
		}
		c.Check(sent, qt.Equals, 2)
		for _, g := range f.guards {
			var refused *Refused
			c.Assert(errors.As(g.Admit(withParts(badPart)), &refused), qt.IsTrue)
			c.Check(refused.Part, qt.IsTrue)
			c.Check(refused.After > 0, qt.IsTrue)
			c.Check(g.Admit(withParts(documentPart)), qt.IsNil)
			c.Check(g.Counts().QuarantinedParts, qt.Equals, 1)
		}
		time.Sleep(10 * time.Minute)
		for i := range 30 {
			if f.crash(i%3, withParts(badPart)) {
				sent++
			}
		}
		c.Check(sent <= len(partProbePauses)+1, qt.IsTrue, qt.Commentf("%d probes", sent))
	})
}

// A part that all requests share ends with each engine, and an answer to any of them clears it.
func TestPartThatIsAnsweredIsNotQuarantined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3)
		defer f.stop()
		sent := 0
		for i := range 12 {
			if f.crash(i%3, withParts(routePart, badPart)) {
				sent++
			}
			f.guards[(i+1)%3].Answered(withParts(routePart, documentPart))
			time.Sleep(100 * time.Millisecond)
			c.Check(f.guards[2].Counts().QuarantinedParts <= 1, qt.IsTrue)
			c.Assert(f.guards[2].Admit(withParts(routePart, documentPart)), qt.IsNil)
		}
		c.Check(f.guards[2].Counts().QuarantinedParts, qt.Equals, 1)
		c.Check(sent <= attribution.ConvictEnds+2, qt.IsTrue, qt.Commentf("%d sent", sent))
	})
}

// A part that was put in quarantine for the ends of another one is let through by the first answer.
func TestInnocentPartIsLetThroughByAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3)
		defer f.stop()
		f.convict(routePart, badPart)
		c.Assert(f.guards[0].Counts().QuarantinedParts, qt.Equals, 2)
		// A request with both waits, and one with a single part goes first.
		c.Check(f.guards[1].Admit(withParts(routePart, badPart)), qt.IsNotNil)
		sent, probe := f.runRequest(1, withParts(routePart, documentPart), "sound", false)
		c.Check(sent && probe, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		for i, g := range f.guards {
			c.Check(g.Counts().QuarantinedParts, qt.Equals, 1)
			sent, probe := f.runRequest(i, withParts(routePart, documentPart), "sound", false)
			c.Check(sent && !probe, qt.IsTrue)
		}
	})
}

// Two innocent parts that never come apart are let through together.
func TestPartsThatNeverComeApartAreProbedTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.convict(routePart, documentPart)
		c.Check(f.guards[0].Admit(withParts(routePart, documentPart)), qt.IsNotNil)
		time.Sleep(maxRiskOfPart*riskPause + time.Second)
		sent, probe := f.runRequest(1, withParts(routePart, documentPart), "sound", false)
		c.Check(sent && probe, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		c.Check(f.guards[0].Counts().QuarantinedParts, qt.Equals, 0)
	})
}

func TestRunsThatWaitedAreNoEvidenceBesideOneThatHadBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		for i := range 5 {
			addr := fmt.Sprint("e", i)
			f.end(addr)
			at := func(node int, r Request, p Progress) <-chan bool {
				return f.guards[node].Ended(Run{Request: r, Began: time.Now().Add(-time.Second), Process: addr, Addr: addr, Progress: p})
			}
			waiting := at(1, withParts(documentPart), Waiting)
			<-at(0, withParts(badPart), Begun)
			<-waiting
			time.Sleep(200 * time.Millisecond)
		}
		c.Check(f.guards[1].Admit(withParts(documentPart)), qt.IsNil)
		c.Check(f.guards[1].Suspect(withParts(documentPart)), qt.IsFalse)
		c.Check(f.guards[1].Counts().QuarantinedParts, qt.Equals, 1)
		// A node whose runs had all waited writes nothing.
		rows, err := f.store.Scan(t.Context(), QuarantineTable, reportPrefix, "", 100)
		c.Assert(err, qt.IsNil)
		c.Check(rows, qt.HasLen, 5)
	})
}

// TestMessageThatWasAnsweringBesideACulpritIsServed guards against a message being refused for ends that others caused.
func TestMessageThatWasAnsweringBesideACulpritIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		common := withParts()
		for i := range 5 {
			addr := fmt.Sprint("e", i)
			f.end(addr)
			at := func(node int, r Request, p Progress) <-chan bool {
				return f.guards[node].Ended(Run{Request: r, Began: time.Now().Add(-time.Second), Process: addr, Addr: addr, Progress: p})
			}
			common.Parts = []Part{Part(100 + i)}
			answering := at(1, common, Answering)
			<-at(0, withParts(badPart), Begun)
			<-answering
			time.Sleep(200 * time.Millisecond)
		}
		c.Check(f.guards[1].Counts().Quarantined, qt.Equals, 0)
		common.Parts = []Part{documentPart}
		for i := range 2 {
			addr := fmt.Sprint("alone-", i)
			f.end(addr)
			<-f.guards[1].Ended(Run{Request: common, Began: time.Now().Add(-time.Second), Process: addr, Addr: addr, Progress: Answering})
			time.Sleep(200 * time.Millisecond)
		}
		c.Check(f.guards[1].Counts().Quarantined, qt.Equals, 1)
	})
}

func TestQuarantineOfAPartEndsWhenItIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.convict(badPart)
		sent, probe := f.runRequest(0, withParts(badPart), "sound", false)
		c.Assert(sent && probe, qt.IsTrue)
		time.Sleep(100 * time.Millisecond)
		for i := range f.guards {
			sent, probe := f.runRequest(i, withParts(badPart), "sound", false)
			c.Check(sent && !probe, qt.IsTrue)
		}
		// What ended before does not count again.
		f.crash(0, withParts(badPart))
		c.Check(f.guards[1].Counts().QuarantinedParts, qt.Equals, 0)
	})
}

func TestOperatorsSeeAndLiftTheQuarantineOfAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.convict(badPart)
		list, err := List(t.Context(), f.store)
		c.Assert(err, qt.IsNil)
		c.Check(list[0].Name, qt.Equals, "part:2")
		c.Check(list[0].Quarantined, qt.IsTrue)
		d, err := ParseName(list[0].Name)
		c.Assert(err, qt.IsNil)
		_, err = Lift(t.Context(), f.store, d, "ops", "engines updated", time.Now())
		c.Assert(err, qt.IsNil)
		time.Sleep(100 * time.Millisecond)
		for i := range f.guards {
			sent, probe := f.runRequest(i, withParts(badPart), "sound", false)
			c.Check(sent && !probe, qt.IsTrue)
		}
		_, err = Lift(t.Context(), f.store, d, "ops", "again", time.Now())
		c.Check(err, qt.ErrorIs, ErrNotListed)
	})
}

// A node that cannot reach the store counts what it saw itself.
func TestPartIsQuarantinedWithoutTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		f.paths[0].setCut(true)
		sent := 0
		for range 20 {
			if f.crash(0, withParts(badPart)) {
				sent++
			}
		}
		c.Check(sent, qt.Equals, attribution.ConvictEnds+1)
		f.paths[0].setCut(false)
		time.Sleep(5 * time.Second)
		c.Check(f.guards[0].Counts().QuarantinedParts, qt.Equals, 1)
	})
}

// Other nodes may tell what they could not write.
func TestReportsOfOtherNodesCount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		for _, p := range f.paths {
			p.setCut(true)
		}
		run := []attribution.Run{{Parts: []Part{badPart}, Begun: true}}
		for i := range attribution.ConvictEnds {
			f.guards[0].ReceiveEnds(Ends{Reports: []attribution.Report{{Process: fmt.Sprint("p", i), Node: "node-7", Runs: run}}})
		}
		_, err := f.guards[0].Send(t.Context(), withParts(badPart), probeLasts)
		c.Assert(err, qt.IsNil)
		_, err = f.guards[0].Send(t.Context(), withParts(badPart), probeLasts)
		c.Check(err, qt.IsNotNil)
	})
}

func TestEvidenceIsBoundedAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		for i := range 400 {
			f.crash(i%2, withParts(Part(1000+i)))
		}
		for i := range 3 * maxProvenParts {
			f.guards[0].PartsAnswered([]Part{Part(1 + i)})
		}
		c.Check(f.guards[0].Counts().Reports <= 400, qt.IsTrue)
		f.guards[0].mu.Lock()
		c.Check(f.guards[0].parts.proven.Len(), qt.Equals, maxProvenParts)
		f.guards[0].mu.Unlock()
		c.Check(f.guards[0].Counts().QuarantinedParts, qt.Equals, 0)
		time.Sleep(evidenceTTL + 60*evidenceSweepInterval)
		rows, err := f.store.Scan(context.Background(), QuarantineTable, reportPrefix, "", 1000)
		c.Assert(err, qt.IsNil)
		c.Check(rows, qt.HasLen, 0)
		rows, err = f.store.Scan(context.Background(), QuarantineTable, answeredPrefix, "", 1000)
		c.Assert(err, qt.IsNil)
		c.Check(rows, qt.HasLen, 0)
	})
}

// A report holds a bounded number of parts, and a node reports on a bounded number of processes at once.
func TestReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(1)
		defer f.stop()
		long := make([]Part, maxReportedParts+10)
		for i := range long {
			long[i] = Part(i + 1)
		}
		f.paths[0].setCut(true)
		for i := range 3 * reportBurst {
			addr := fmt.Sprint("e", i)
			f.end(addr)
			f.guards[0].Ended(Run{Request: withParts(long...), Began: time.Now().Add(-time.Second), Process: addr, Addr: addr, Progress: Begun})
		}
		time.Sleep(time.Second)
		f.guards[0].mu.Lock()
		defer f.guards[0].mu.Unlock()
		pending := f.guards[0].parts.pending
		c.Check(pending, qt.HasLen, reportBurst)
		for _, r := range pending {
			c.Check(r.Runs[0].Parts, qt.HasLen, maxReportedParts)
		}
	})
}

// The record of a part survives a store that is restored from a copy without it.
func TestQuarantineOfAPartSurvivesARestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		before := f.store.Save()
		f.convict(badPart)
		f.store.SetFaults(store.Faults{Down: true})
		time.Sleep(time.Second)
		f.store.Restore(before)
		f.store.SetFaults(store.Faults{})
		time.Sleep(2 * watch.LongWait)
		for range 3 {
			f.crash(0, withParts(badPart))
		}
		c.Check(f.crash(1, withParts(badPart)), qt.IsFalse)
		c.Check(f.guards[1].Counts().QuarantinedParts, qt.Equals, 1)
	})
}

// The target of a probe ends under another request, before it has begun to answer the probe.
func TestProbeThatWaitedIsNotCountedWhereAnotherRunHadBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.convict(routePart)
		r := withParts(routePart)
		began := time.Now()
		probe, err := f.guards[0].Send(t.Context(), r, probeLasts)
		c.Assert(err, qt.IsNil)
		time.Sleep(10 * time.Millisecond)
		f.end("x")
		other := f.guards[1].Ended(Run{Request: withParts(badPart), Began: began, Process: "x@0", Addr: "x", Progress: Begun})
		<-f.guards[0].Ended(Run{Request: r, Began: began, Process: "x@0", Addr: "x", Progress: Waiting, Probe: probe})
		<-other
		time.Sleep(100 * time.Millisecond)
		sent, again := f.runRequest(1, withParts(routePart), "sound", false)
		c.Check(sent && again, qt.IsTrue)
	})
}

// TestAnswerFromBeforeASuspensionLiftsNoQuarantine guards against a node that takes an answer from before its host was
// suspended for a recent one, as its clock stood still meanwhile.
func TestAnswerFromBeforeASuspensionLiftsNoQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(2)
		defer f.stop()
		f.paths[0].setBlind(true)
		// The call in progress ends first.
		time.Sleep(2 * watch.LongWait)
		f.guards[0].PartsAnswered([]Part{badPart})
		for range attribution.ConvictEnds {
			f.crash(1, withParts(badPart))
		}
		f.guards[0].HostResumed()
		f.paths[0].setBlind(false)
		time.Sleep(5 * time.Second)
		c.Check(f.guards[0].Counts().QuarantinedParts, qt.Equals, 1)
		c.Check(f.guards[1].Counts().QuarantinedParts, qt.Equals, 1)
	})
}
