package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func newCandidate(id string, sent int) Candidate {
	return Candidate{
		Target: Target{ID: id, Slots: 4, DataCentre: "a", Hash: uint64(len(id)) * 7919},
		Load:   Load{Sent: sent, Limit: 8, Service: 100 * time.Millisecond},
	}
}

func TestFilter(t *testing.T) {
	tests := []struct {
		name   string
		change func(*Query, *Candidate)
		want   Reason
	}{
		{"plain", func(*Query, *Candidate) {}, Eligible},
		{"model loaded", func(q *Query, c *Candidate) { q.Model = "m"; c.Models = []string{"m"} }, Eligible},
		{"model missing", func(q *Query, c *Candidate) { q.Model = "m"; c.Models = []string{"n"} }, WrongModel},
		{"adapter missing", func(q *Query, c *Candidate) { q.Adapter = "x"; c.Adapters = []string{"y"} }, WrongModel},
		{"leaving", func(_ *Query, c *Candidate) { c.Leaving = true }, IsLeaving},
		{"excluded", func(q *Query, _ *Candidate) { q.Exclude = []string{"t"} }, Excluded},
		{"down", func(_ *Query, c *Candidate) { c.Down = true }, IsDown},
		{"at limit", func(_ *Query, c *Candidate) { c.Sent = c.Limit }, AtLimit},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			q, candidate := Query{}, newCandidate("t", 0)
			tt.change(&q, &candidate)
			qt.Assert(t, Filter(&q, &candidate), qt.Equals, tt.want)
		})
	}
}

func TestReportIsCorrectedByWhatWasSentSince(t *testing.T) {
	c := qt.New(t)
	l := Load{Reported: 10, SentAtReport: 4, Sent: 9}
	c.Assert(l.InFlight(), qt.Equals, 15)
	l.Sent = 0
	c.Assert(l.InFlight(), qt.Equals, 6)
	l = Load{Reported: 0, SentAtReport: 3, Sent: 5}
	c.Assert(l.InFlight(), qt.Equals, 5)
}

func TestPickPrefersIdleLocalAndAffine(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := []Candidate{newCandidate("a", 6), newCandidate("bb", 1), newCandidate("ccc", 4)}
	c.Assert(Pick(&Query{}, candidates, rng), qt.Equals, 1)
	candidates[1].DataCentre = "far"
	remoteQuery := Query{DataCentre: "a", RemoteCost: time.Second}
	c.Assert(Pick(&remoteQuery, candidates, rng), qt.Equals, 2)
	c.Assert(Pick(&Query{Model: "none"}, []Candidate{{Target: Target{Models: []string{"m"}}}}, rng), qt.Equals, -1)
}

func TestPrefixKeepsItsTargetUntilOverloaded(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	candidates := make([]Candidate, 12)
	for i := range candidates {
		candidates[i] = newCandidate(fmt.Sprint(i), 1)
		candidates[i].Hash = Mix(uint64(i), 1)
	}
	q := Query{Prefix: 42, PrefixGain: time.Second}
	preferred := Pick(&q, candidates, rng)
	for range 20 {
		c.Assert(Pick(&q, candidates, rng), qt.Equals, preferred)
	}
	candidates[preferred].Sent = 7
	c.Assert(Pick(&q, candidates, rng), qt.Not(qt.Equals), preferred)
}

func TestBreakerProbesOnceAndCloses(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(0, 0)
	var b Breaker
	for range breakerFailures {
		c.Assert(b.Down(now), qt.IsFalse)
		b.Failure(now)
	}
	c.Assert(b.Down(now), qt.IsTrue)
	now = now.Add(breakerPause)
	c.Assert(b.Down(now), qt.IsFalse)
	b.Start()
	c.Assert(b.Down(now), qt.IsTrue)
	b.Failure(now)
	c.Assert(b.Down(now.Add(breakerPause)), qt.IsTrue)
	now = now.Add(2 * breakerPause)
	b.Start()
	b.Success()
	c.Assert(b.Down(now), qt.IsFalse)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 100, 670} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 1))
			candidates := make([]Candidate, n)
			for i := range candidates {
				candidates[i] = newCandidate(fmt.Sprint(i), rng.IntN(8))
				candidates[i].Hash = Mix(uint64(i), 1)
				candidates[i].Models = []string{"m", "n"}
			}
			q := Query{Model: "n", Prefix: 42, DataCentre: "a", PrefixGain: time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				Pick(&q, candidates, rng)
			}
		})
	}
}
