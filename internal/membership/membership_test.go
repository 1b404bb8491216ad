package membership

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"topazmoor/internal/peer/peerpb"
)

// network delivers the messages between states without loss or delay, except
// between pairs for which blocked returns true: those lose all messages.
type network struct {
	now     time.Time
	states  map[string]*State
	blocked func(from, to string) bool
}

var testConfig = Config{Interval: time.Second, SuspectFor: 5 * time.Second, ForgetAfter: time.Hour}

func newNetwork(n int) *network {
	nw := &network{now: time.Unix(1000, 0), states: make(map[string]*State), blocked: func(string, string) bool { return false }}
	for i := range n {
		nw.start(i, 1)
	}
	return nw
}

func addr(i int) string { return fmt.Sprintf("10.0.0.%d:1", i+1) }

func (n *network) start(i int, incarnation uint64) {
	self := Member{Name: fmt.Sprint("n", i), Addr: addr(i), Incarnation: incarnation}
	n.states[addr(i)] = New(self, []string{addr(0), addr(1)}, testConfig, rand.New(rand.NewPCG(uint64(i), incarnation)))
}

func (n *network) deliver(from string, packets []Packet) {
	for _, p := range packets {
		to := n.states[p.Addr]
		if to == nil || n.blocked(from, p.Addr) {
			continue
		}
		answers, _ := to.Receive(n.now, from, proto.CloneOf(p.Msg))
		n.deliver(p.Addr, answers)
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now.Add(d); n.now.Before(end); n.now = n.now.Add(time.Second) {
		for _, a := range slices.Sorted(maps.Keys(n.states)) {
			n.deliver(a, n.states[a].Tick(n.now))
		}
	}
}

// health returns the number of nodes by the health that they attribute to node i.
func (n *network) health(i int) map[Health]int {
	out := make(map[Health]int)
	for a, s := range n.states {
		if h, known := s.Health(fmt.Sprint("n", i)); known && a != addr(i) {
			out[h]++
		}
	}
	return out
}

func TestMembershipAllFindEachOther(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(20)
	n.run(30 * time.Second)
	for i := range 20 {
		c.Assert(n.health(i), qt.DeepEquals, map[Health]int{Alive: 19})
	}
}

func TestMembershipDeadNodeIsFoundAndItsSuccessorWelcomed(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(10)
	n.run(30 * time.Second)
	delete(n.states, addr(5))
	n.run(40 * time.Second)
	c.Assert(n.health(5), qt.DeepEquals, map[Health]int{Dead: 9})
	n.start(5, 2)
	n.run(40 * time.Second)
	c.Assert(n.health(5), qt.DeepEquals, map[Health]int{Alive: 9})
}

func TestMembershipOneWayLossIsRelayed(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(10)
	n.run(30 * time.Second)
	n.blocked = func(from, to string) bool { return from == addr(3) && to == addr(7) }
	n.run(2 * time.Minute)
	c.Assert(n.health(7), qt.DeepEquals, map[Health]int{Alive: 9})
	c.Assert(n.health(3), qt.DeepEquals, map[Health]int{Alive: 9})
}

// TestMembershipPartitionHeals partitions the nodes until each side has marked the
// other dead, and checks that the views merge again once the partition ends.
func TestMembershipPartitionHeals(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(10)
	n.run(30 * time.Second)
	for _, st := range n.states {
		// Without seeds only the anti-entropy with dead members reconnects the sides.
		st.SetSeeds(nil)
	}
	left := func(a string) bool { return a == addr(0) || a == addr(1) || a == addr(2) || a == addr(3) }
	n.blocked = func(from, to string) bool { return left(from) != left(to) }
	n.run(5 * time.Minute)
	c.Assert(n.health(0), qt.DeepEquals, map[Health]int{Alive: 3, Dead: 6})
	n.blocked = func(string, string) bool { return false }
	n.run(3 * time.Minute)
	for i := range 10 {
		c.Assert(n.health(i), qt.DeepEquals, map[Health]int{Alive: 9}, qt.Commentf("node %d", i))
	}
}

func TestMembershipLeavingIsNotFailing(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(10)
	n.run(30 * time.Second)
	n.deliver(addr(4), n.states[addr(4)].Leave())
	delete(n.states, addr(4))
	n.run(20 * time.Second)
	c.Assert(n.health(4), qt.DeepEquals, map[Health]int{Left: 9})
}

func TestMembershipNewRevisionIsAnnounced(t *testing.T) {
	c := qt.New(t)
	n := newNetwork(10)
	n.run(30 * time.Second)
	packets := n.states[addr(2)].SetRevision(7)
	c.Assert(packets, qt.HasLen, announceFanout)
	for _, p := range packets {
		_, revision := n.states[p.Addr].Receive(n.now, addr(2), p.Msg)
		c.Assert(revision, qt.Equals, int64(7))
	}
	c.Assert(n.states[addr(2)].SetRevision(7), qt.HasLen, 0)
}

func FuzzOpenDatagram(f *testing.F) {
	key := []byte("key")
	b, err := seal(key, &peerpb.Datagram{From: "a", Kind: peerpb.Datagram_SYNC})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte("short"))
	f.Fuzz(func(t *testing.T, b []byte) {
		msg, ok := open(key, b)
		if ok && msg == nil {
			t.Fatal("open returned no message")
		}
		if _, forged := open([]byte("other key"), b); forged {
			t.Fatal("open accepted a datagram sealed with another key")
		}
	})
}
