package poison

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/restore"
	"topazmoor/internal/store"
	"topazmoor/internal/watch"
)

// probeLasts is how long requests of the tests may run.
const probeLasts = 5 * time.Second

// fleet is a set of nodes, each with a Guard, that share one store and targets that can end.
type fleet struct {
	store  *store.Memory
	paths  []*path
	guards []*Guard
	stop   func()

	mu sync.Mutex
	// closed holds the addresses that accept no connections.
	closed map[string]bool
}

// path is one node's connection to the store.
type path struct {
	store.Store
	watched store.Watchable
	mu      sync.Mutex
	cut     bool
	// blind paths do not deliver what others write.
	blind bool
	// gets counts the calls of Get.
	gets int
}

func (p *path) countGet() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gets++
}

func (p *path) setBlind(blind bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blind = blind
}

func (p *path) isBlind() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut || p.blind
}

func (p *path) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

func (p *path) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *path) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	if p.isCut() {
		return store.Version{}, store.ErrUnavailable
	}
	return p.Store.Commit(ctx, tx)
}

func (p *path) Get(ctx context.Context, table, key string) (store.Row, error) {
	p.countGet()
	if p.isCut() {
		return store.Row{}, store.ErrUnavailable
	}
	return p.Store.Get(ctx, table, key)
}

func (p *path) Snapshot(ctx context.Context, table string, least store.Version) (store.Snapshot, error) {
	if p.isBlind() {
		return store.Snapshot{}, store.ErrUnavailable
	}
	return p.watched.Snapshot(ctx, table, least)
}

func (p *path) Changes(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if p.isBlind() {
		return store.Changes{}, store.ErrUnavailable
	}
	return p.watched.Changes(ctx, table, after, wait)
}

// newFleet starts the nodes. The caller must call stop.
func newFleet(nodes int) *fleet {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f := &fleet{store: store.NewMemory(), closed: make(map[string]bool)}
	f.stop = func() { cancel(); wg.Wait() }
	for i := range nodes {
		p := &path{Store: f.store, watched: f.store}
		g := New(Config{Node: fmt.Sprint("node-", i), Store: p, Dial: f.dial, Nodes: func() int { return nodes }, Log: slog.New(slog.DiscardHandler)})
		table := &watch.Table{Name: QuarantineTable, From: p, Wait: watch.LongWait, Apply: (&restore.Table{Apply: g.Apply, RewriteLost: g.RewriteLost, Log: slog.New(slog.DiscardHandler)}).Update, Log: slog.New(slog.DiscardHandler)}
		wg.Go(func() { _ = g.Serve(ctx) })
		wg.Go(func() { _ = table.Serve(ctx) })
		f.paths = append(f.paths, p)
		f.guards = append(f.guards, g)
	}
	time.Sleep(100 * time.Millisecond)
	return f
}

func (f *fleet) dial(_ context.Context, _, addr string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed[addr] {
		return nil, errors.New("refused")
	}
	a, b := net.Pipe()
	b.Close()
	return a, nil
}

// end ends the process at an address.
func (f *fleet) end(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed[addr] = true
}

// run sends a request at a node; ends says whether the target ends under it. It reports whether the
// request was sent, and whether as a probe.
func (f *fleet) run(node int, d Digest, target string, ends bool) (sent, probe bool) {
	g := f.guards[node]
	name, err := g.Send(context.Background(), d, probeLasts)
	if err != nil {
		return false, false
	}
	if !ends {
		g.Answered(d)
		return true, name != ""
	}
	began := time.Now()
	time.Sleep(time.Millisecond)
	f.end(target)
	<-g.Ended(Run{Digest: d, Began: began, Process: target + "@0", Addr: target, Probe: name})
	return true, name != ""
}

// quarantine lets two targets end under a request, and waits until all nodes have read the
// quarantine.
func (f *fleet) quarantine(d Digest) {
	f.run(0, d, "a", true)
	f.run(0, d, "b", true)
	time.Sleep(10 * time.Millisecond)
}

func digest(name string) Digest { return DigestOf("pilots", "POST", "port.example", "/"+name, nil) }

func TestSecondEndQuarantinesARequestAtAllNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		f := newFleet(3)
		defer f.stop()
		d := digest("x")
		f.run(0, d, "e0", true)
		c.Assert(f.guards[1].Admit(d), qt.IsNil)
		f.run(1, d, "e1", true)
		time.Sleep(10 * time.Millisecond)
		// One node claims the probe, and nothing else is sent meanwhile.
		name, err := f.guards[2].Send(t.Context(), d, probeLasts)
		c.Assert(err, qt.IsNil)
		c.Assert(name, qt.Not(qt.Equals), "")
		time.Sleep(10 * time.Millisecond)
		for _, g := range f.guards {
			var refused *Refused
			c.Assert(errors.As(g.Admit(d), &refused), qt.IsTrue)
			c.Assert(refused.After, qt.Equals, retryDuringProbe)
		}
		f.end("e2")
		<-f.guards[2].Ended(Run{Digest: d, Began: time.Now().Add(-time.Second), Process: "e2@0", Addr: "e2", Probe: name})
		time.Sleep(10 * time.Millisecond)
		for _, g := range f.guards {
			var refused *Refused
			c.Assert(errors.As(g.Admit(d), &refused), qt.IsTrue)
			c.Assert(refused.After > 10*time.Second, qt.IsTrue, qt.Commentf("come back after %v", refused.After))
		}
		// The next probe may run after a pause without new information.
		time.Sleep(probePauses[1])
		c.Assert(f.guards[0].Admit(d), qt.IsNil)
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
			<-f.guards[0].Ended(Run{Digest: digest("x"), Began: time.Now(), Process: fmt.Sprint("e", i), Addr: fmt.Sprint("e", i)})
		}
		c.Assert(f.guards[0].Suspect(digest("x")), qt.IsFalse)
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
		name, err := f.guards[0].Send(t.Context(), digest("x"), probeLasts)
		c.Assert(err, qt.IsNil)
		r := Run{Digest: digest("x"), Began: time.Now(), Process: "c@0", Addr: "c", Probe: name, ProbeContinues: true}
		c.Assert(<-f.guards[0].Ended(r), qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
		c.Assert(f.guards[1].Admit(digest("x")), qt.IsNotNil)
		// The last run of the probe.
		r.ProbeContinues = false
		c.Assert(<-f.guards[0].Ended(r), qt.IsFalse)
		time.Sleep(10 * time.Millisecond)
		c.Assert(f.guards[1].Admit(digest("x")), qt.IsNil)
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
		name, err := f.guards[0].Send(t.Context(), digest("x"), 2*time.Second)
		c.Assert(err, qt.IsNil)
		c.Assert(name, qt.Not(qt.Equals), "")
		time.Sleep(probePauses[1] - time.Second)
		c.Assert(f.guards[1].Admit(digest("x")), qt.IsNotNil)
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
		c.Assert(<-f.guards[0].Ended(Run{Digest: digest("y"), Began: time.Now(), Process: "e@0", Addr: "e"}), qt.IsFalse)
		c.Assert(f.guards[0].Suspect(digest("y")), qt.IsFalse)
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
			g.Ended(Run{Digest: digest(fmt.Sprint(i)), Began: time.Now().Add(-time.Second), Process: fmt.Sprint("e@", i), Addr: "e"})
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
		c.Assert(g.Admit(DigestOf("agents", "POST", "port.example", "/1", nil)), qt.IsNil)
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
		c.Assert(f.guards[1].Admit(digest("x")), qt.IsNotNil)
		r := f.guards[1].lookup(digest("x"))
		c.Assert(r.Probes, qt.Equals, 1)
	})
}

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
			What:    rapid.SampledFrom(what).Draw(t, "what"),
			Node:    rapid.IntRange(0, nodes-1).Draw(t, "node"),
			Request: rapid.SampledFrom([]string{"p0", "p0", "p0", "p1", "i0", "i1"}).Draw(t, "request"),
			Cut:     rapid.Bool().Draw(t, "cut"),
			Faults: store.Faults{
				Down: rapid.IntRange(0, 3).Draw(t, "down") == 0, Delay: time.Duration(rapid.IntRange(0, 2).Draw(t, "delay")) * 60 * time.Millisecond,
				LoseReplies: rapid.IntRange(0, 2).Draw(t, "lost"), DropCommits: rapid.IntRange(0, 2).Draw(t, "dropped"),
				LateCommits: rapid.IntRange(0, 1).Draw(t, "late"), LateBy: time.Second,
			},
			Duration: time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond,
		}
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
			<-s.guards[st.Node].Ended(Run{Digest: digest(st.Request), Began: time.Now().Add(-time.Second), Process: target + "@0", Addr: target})
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
	probes := make([]string, len(s.guards))
	var wg sync.WaitGroup
	for i, g := range s.guards {
		wg.Go(func() { probes[i], _ = g.Send(context.Background(), d, probeLasts) })
	}
	wg.Wait()
	running := 0
	for i, p := range probes {
		if p != "" {
			running++
			s.guards[i].Abandoned(d, p)
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
