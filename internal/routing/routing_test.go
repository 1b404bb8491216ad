package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func cand(id string, sent int) Candidate {
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
			q, cd := Query{}, cand("t", 0)
			tt.change(&q, &cd)
			qt.Assert(t, Filter(&q, &cd), qt.Equals, tt.want)
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
	cands := []Candidate{cand("a", 6), cand("bb", 1), cand("ccc", 4)}
	c.Assert(Pick(&Query{}, cands, rng), qt.Equals, 1)
	cands[1].DataCentre = "far"
	far := Query{DataCentre: "a", RemoteCost: time.Second}
	c.Assert(Pick(&far, cands, rng), qt.Equals, 2)
	c.Assert(Pick(&Query{Model: "none"}, []Candidate{{Target: Target{Models: []string{"m"}}}}, rng), qt.Equals, -1)
}

func TestPrefixKeepsItsTargetUntilOverloaded(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 1))
	cands := make([]Candidate, 12)
	for i := range cands {
		cands[i] = cand(fmt.Sprint(i), 1)
		cands[i].Hash = Mix(uint64(i), 1)
	}
	q := Query{Prefix: 42, PrefixGain: time.Second}
	home := Pick(&q, cands, rng)
	for range 20 {
		c.Assert(Pick(&q, cands, rng), qt.Equals, home)
	}
	cands[home].Sent = 7
	c.Assert(Pick(&q, cands, rng), qt.Not(qt.Equals), home)
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
			cands := make([]Candidate, n)
			for i := range cands {
				cands[i] = cand(fmt.Sprint(i), rng.IntN(8))
				cands[i].Hash = Mix(uint64(i), 1)
				cands[i].Models = []string{"m", "n"}
			}
			q := Query{Model: "n", Prefix: 42, DataCentre: "a", PrefixGain: time.Millisecond}
			b.ReportAllocs()
			for b.Loop() {
				Pick(&q, cands, rng)
			}
		})
	}
}
