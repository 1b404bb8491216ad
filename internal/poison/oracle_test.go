package poison

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"topazmoor/internal/store"
)

// The oracle knows which requests are poisonous, and what was reported to the nodes. Targets end
// under the poison requests and answer the others; nodes lose the store, and the store loses
// replies, is slow and commits late. In all cases:
//   - probes of one request never overlap while the store answers all nodes;
//   - a poison request reaches targets a bounded number of times;
//   - a request that a target answers is admitted again once all faults have ended.
//
// 2,000 scripts of one seed find each of these mutations: a claim without its condition; ends that
// are not written; an answer that does not end the quarantine; rows of other nodes that are not
// applied; an end that is removed from the queue while it is being written.
func TestOracleQuarantine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		nodes := rapid.IntRange(1, 4).Draw(rt, "nodes")
		// Half of the scripts have a store without faults: for these the bounds are tight.
		what := []string{"run", "run", "run", "run", "wait", "other end", "all ask"}
		if rapid.Bool().Draw(rt, "troubled") {
			what = append(what, "cut", "faults", "healthy")
		}
		steps := rapid.SliceOfN(rapid.Custom(drawStep(nodes, what)), 5, 60).Draw(rt, "steps")
		var violations []string
		synctest.Test(t, func(*testing.T) { violations = playQuarantine(nodes, steps) })
		if len(violations) > 0 {
			rt.Fatalf("%s", strings.Join(violations, "\n"))
		}
	})
}

// step is one step of a script.
type step struct {
	What     string
	Node     int
	Request  string
	Cut      bool
	Faults   store.Faults
	Duration time.Duration
}

// poisonous says under which requests targets end.
var poisonous = map[string]bool{"p0": true, "p1": true, "i0": false, "i1": false}

func drawStep(nodes int, what []string) func(t *rapid.T) step {
	return func(t *rapid.T) step {
		return step{
			What:     rapid.SampledFrom(what).Draw(t, "what"),
			Node:     rapid.IntRange(0, nodes-1).Draw(t, "node"),
			Request:  rapid.SampledFrom([]string{"p0", "p0", "p0", "p1", "i0", "i1"}).Draw(t, "request"),
			Cut:      rapid.Bool().Draw(t, "cut"),
			Faults:   drawFaults(t),
			Duration: time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
		}
	}
}

func drawFaults(t *rapid.T) store.Faults {
	return store.Faults{
		Down: rapid.IntRange(0, 3).Draw(t, "down") == 0, Delay: time.Duration(rapid.IntRange(0, 2).Draw(t, "delay")) * 60 * time.Millisecond,
		LoseReplies: rapid.IntRange(0, 2).Draw(t, "lost"), DropCommits: rapid.IntRange(0, 2).Draw(t, "dropped"),
		LateCommits: rapid.IntRange(0, 1).Draw(t, "late"), LateBy: time.Second,
	}
}

// script is the state of a script while it runs, with what the oracle knows.
type script struct {
	*fleet
	// reached counts the sends of each request, targets the targets used so far.
	reached map[string]int
	targets int
	// healthy reports that the store has answered all nodes all the time.
	healthy    bool
	violations []string
}

func playQuarantine(nodes int, steps []step) []string {
	s := &script{fleet: newFleet(nodes), reached: make(map[string]int), healthy: true}
	defer s.stop()
	for _, st := range steps {
		s.play(st)
	}
	s.store.SetFaults(store.Faults{})
	for _, p := range s.paths {
		p.setCut(false)
	}
	time.Sleep(maxProbeTime + probePauses[len(probePauses)-1] + 10*time.Second)
	for name := range poisonous {
		s.checkFinal(name)
	}
	return s.violations
}

func (s *script) play(st step) {
	s.targets++
	target := fmt.Sprint("t", s.targets)
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
	case "other end":
		// An end with another cause, under a request that any target survives.
		if !poisonous[st.Request] {
			s.end(target)
			<-s.guards[st.Node].Ended(Run{Request: Request{Digest: digest(st.Request)}, Began: time.Now().Add(-time.Second), Process: target + "@0", Addr: target})
		}
	case "all ask":
		s.checkProbesExclude(digest(st.Request))
	case "run":
		if sent, _ := s.run(st.Node, digest(st.Request), target, poisonous[st.Request]); sent {
			s.reached[st.Request]++
		}
		// The next request comes after the other nodes can have read the changes.
		time.Sleep(5 * time.Millisecond)
	}
}

// checkProbesExclude lets all nodes send a request at once, and checks that at most one probes it.
func (s *script) checkProbesExclude(d Digest) {
	probes := make([]Probe, len(s.guards))
	var wg sync.WaitGroup
	for i, g := range s.guards {
		wg.Go(func() { probes[i], _ = g.Send(context.Background(), Request{Digest: d}, probeLasts) })
	}
	wg.Wait()
	running := 0
	for i, p := range probes {
		if p.Claimed() {
			running++
			s.guards[i].Abandoned(p)
		}
	}
	if s.healthy && running > 1 {
		s.violations = append(s.violations, fmt.Sprintf("%d probes of one request at once", running))
	}
	time.Sleep(50 * time.Millisecond)
}

// checkFinal checks the bound of a poison request, and that any other request is admitted once all
// faults have ended.
func (s *script) checkFinal(name string) {
	d := digest(name)
	// Each node may cause two ends and make a probe of its own while it receives nothing from the
	// others.
	most := quarantineEnds + len(probePauses)
	if !s.healthy {
		most = len(s.guards) * (quarantineEnds + 1 + len(probePauses))
	}
	if poisonous[name] {
		if s.reached[name] > most {
			s.violations = append(s.violations, fmt.Sprintf("%s reached targets %d times", name, s.reached[name]))
		}
		return
	}
	for i := range s.guards {
		sent, _ := s.run(i, d, "sound", false)
		time.Sleep(time.Second)
		if !sent && i > 0 {
			r := s.guards[i].lookup(d)
			s.violations = append(s.violations, fmt.Sprintf("%s is refused for good at node %d: %+v", name, i, r))
		}
	}
}
