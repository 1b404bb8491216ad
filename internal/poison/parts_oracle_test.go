package poison

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"topazmoor/internal/attribution"
	"topazmoor/internal/store"
)

// The oracle knows which parts crash targets. Requests with them, and others that share all but these parts, run
// at targets at all nodes; when a target ends, all that run there end, begun or not. Nodes lose the store,
// and the store loses replies, is slow and commits late. In all cases:
//   - requests with a bad part reach targets a bounded number of times;
//   - requests without any are sent again once all faults have ended, at each node.
//
// 3,000 scripts of one seed find each of these mutations: an answer that does not clear a part; a node that counts
// runs that waited beside begun ones of others.
func TestOracleParts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 4).Draw(rt, "nodes")
		what := []string{"crash", "crash", "sound", "sound", "sound", "wait", "other end"}
		if rapid.Bool().Draw(rt, "troubled") {
			what = append(what, "cut", "faults", "healthy")
		}
		steps := rapid.SliceOfN(rapid.Custom(drawPartStep(nodes, what)), 5, 60).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = playParts(nodes, steps) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// partStep is one step of a script.
type partStep struct {
	What string
	Node int
	// Bad is the part that crashes the target of a "crash"; Documents are those of the requests that run there,
	// Begun says which of them had begun.
	Bad       Part
	Documents []Part
	Begun     []bool
	Cut       bool
	Faults    store.Faults
	Duration  time.Duration
}

const documents = 4

func drawPartStep(nodes int, what []string) func(t *rapid.T) partStep {
	return func(t *rapid.T) partStep {
		n := rapid.IntRange(1, 3).Draw(t, "runs")
		return partStep{
			What: rapid.SampledFrom(what).Draw(t, "what"),
			Node: rapid.IntRange(0, nodes-1).Draw(t, "node"),
			Bad:  rapid.SampledFrom([]Part{badPart, badPart, otherBadPart}).Draw(t, "bad"),
			Documents: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Part {
				return documentPart + Part(rapid.IntRange(0, documents-1).Draw(t, "document"))
			}), n, n).Draw(t, "documents"),
			Begun:    rapid.SliceOfN(rapid.Bool(), n, n).Draw(t, "begun"),
			Cut:      rapid.Bool().Draw(t, "cut"),
			Faults:   drawFaults(t),
			Duration: time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
		}
	}
}

// partScript is the state of a script while it runs, with what the oracle knows.
type partScript struct {
	*fleet
	targets int
	// reached counts the sends of each bad part.
	reached    map[Part]int
	healthy    bool
	violations []string
}

func playParts(nodes int, steps []partStep) []string {
	s := &partScript{fleet: newFleet(nodes), reached: make(map[Part]int), healthy: true}
	defer s.stop()
	for _, st := range steps {
		s.play(st)
	}
	s.store.SetFaults(store.Faults{})
	for _, p := range s.paths {
		p.setCut(false)
	}
	time.Sleep(maxProbeTime + 10*time.Second)
	s.checkSends()
	s.checkSound()
	return s.violations
}

func (s *partScript) play(st partStep) {
	switch st.What {
	case "cut":
		s.paths[st.Node].setCut(st.Cut)
		s.healthy = s.healthy && !st.Cut
	case "faults":
		s.store.SetFaults(st.Faults)
		s.healthy = false
	case "healthy":
		s.store.SetFaults(store.Faults{})
	case "wait":
		time.Sleep(st.Duration)
	case "sound":
		s.runRequest(st.Node, withParts(routePart, st.Documents[0]), "sound", false)
	case "crash":
		s.crashAll(st, withParts(routePart, st.Bad, st.Documents[0]), true)
	case "other end":
		s.crashAll(st, withParts(routePart, st.Documents[0]), false)
	}
	// The next request comes after the other nodes can have read the changes.
	time.Sleep(20 * time.Millisecond)
}

// crashAll ends a target that runs a request and sound ones of all nodes.
func (s *partScript) crashAll(st partStep, r Request, bad bool) {
	s.targets++
	target := fmt.Sprint("t", s.targets)
	g := s.guards[st.Node]
	probe, err := g.Send(s.ctx, r, probeLasts)
	if err != nil {
		return
	}
	if !bad && probe.Claimed() {
		// Three probes that all end for another cause are not told from a bad part.
		g.Abandoned(probe)
		return
	}
	if bad {
		s.reached[st.Bad]++
	}
	began := time.Now()
	time.Sleep(time.Millisecond)
	s.end(target)
	ended := []<-chan bool{g.Ended(Run{Request: r, Began: began, Process: target + "@0", Addr: target, Progress: Begun, Probe: probe})}
	for i, document := range st.Documents[1:] {
		p := Waiting
		if st.Begun[i] {
			p = Begun
		}
		other := s.guards[(st.Node+i)%len(s.guards)]
		ended = append(ended, other.Ended(Run{Request: withParts(routePart, document), Began: began, Process: target + "@0", Addr: target, Progress: p}))
	}
	for _, done := range ended {
		<-done
	}
}

// checkSends checks how often bad parts reached targets. A part whose node receives nothing from the others may get
// there as often from each node.
func (s *partScript) checkSends() {
	most := attribution.ConvictEnds + len(partProbePauses) + 1
	if !s.healthy {
		most = len(s.guards) * (attribution.ConvictEnds + 1 + len(partProbePauses) + 1)
	}
	for part, n := range s.reached {
		if n > most {
			s.violations = append(s.violations, fmt.Sprintf("part %d reached targets %d times", part, n))
		}
	}
}

// checkSound checks that all documents are let through at all nodes; a probe of each may go first.
func (s *partScript) checkSound() {
	for range 3 {
		for i := range s.guards {
			for d := range Part(documents) {
				s.runRequest(i, withParts(routePart, documentPart+d), "sound", false)
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
	var refused []string
	for i := range s.guards {
		for d := range Part(documents) {
			if sent, probe := s.runRequest(i, withParts(routePart, documentPart+d), "sound", false); !sent || probe {
				refused = append(refused, fmt.Sprintf("part %d at node %d: sent %v, probe %v; %s", documentPart+d, i, sent, probe, fmt.Sprintf("ERR %v %+v", s.lastErr, s.guards[i].view(withParts(routePart, documentPart+d)))))
			}
		}
	}
	s.violations = append(s.violations, slices.Clip(refused)...)
}
