package poison

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"topazmoor/internal/attribution"
	"topazmoor/internal/store"
)

var atSize = flag.Int("poison.fleet", 95, "the most nodes of TestPartsAtSize")

// countingStore counts commits and the bytes that they write.
type countingStore struct {
	store.Store
	commits, bytes *atomic.Int64
}

func (s *countingStore) Commit(ctx context.Context, tx store.Tx) (store.Version, error) {
	s.commits.Add(1)
	for _, w := range tx.Writes {
		s.bytes.Add(int64(len(w.Table) + len(w.Key) + len(w.Value)))
	}
	return s.Store.Commit(ctx, tx)
}

// TestPartsAtSize ends targets under a bad part at fleets of several sizes. Each target runs requests of 50 nodes, one of
// which had begun; all nodes answer requests with the part that all share. It logs what an end costs the store.
func TestPartsAtSize(t *testing.T) {
	for _, nodes := range []int{8, *atSize} {
		t.Run(fmt.Sprint(nodes, " nodes"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				var commits, bytes atomic.Int64
				f := newFleetWith(nodes, func(s store.Store) store.Store { return &countingStore{s, &commits, &bytes} })
				defer f.stop()
				const ends = 6
				sent := 0
				for i := range ends {
					for n := range nodes {
						f.guards[n].PartsAnswered([]Part{routePart, documentPart})
					}
					sent += f.crashBeside(i, min(nodes, 50))
					time.Sleep(2 * time.Second)
				}
				t.Logf("%d of %d bad requests sent; per end %d commits, %d bytes, which each node receives", sent, ends, commits.Load()/int64(sent), bytes.Load()/int64(sent))
				c.Check(sent <= attribution.ConvictEnds+2, qt.IsTrue)
				for _, g := range f.guards {
					c.Assert(g.Counts().QuarantinedParts, qt.Equals, 1)
					c.Assert(g.Admit(withParts(routePart, documentPart)), qt.IsNil)
				}
			})
		})
	}
}

// crashBeside ends a target under a request with badPart, and with it one request of each of some nodes; it
// returns 0 if the request may not be sent.
func (f *fleet) crashBeside(i, others int) (sent int) {
	r := withParts(routePart, badPart)
	g := f.guards[i%len(f.guards)]
	probe, err := g.Send(f.ctx, r, probeLasts)
	if err != nil {
		return 0
	}
	began := time.Now()
	time.Sleep(time.Millisecond)
	target := fmt.Sprint("engine-", i)
	f.end(target)
	ended := []<-chan bool{g.Ended(Run{Request: r, Began: began, Process: target + "@0", Addr: target, Progress: Begun, Probe: probe})}
	for n := range others {
		ended = append(ended, f.guards[n].Ended(Run{Request: withParts(routePart, documentPart), Began: began, Process: target + "@0", Addr: target, Progress: Waiting}))
	}
	for _, done := range ended {
		<-done
	}
	return 1
}
