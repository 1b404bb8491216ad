package blackboard

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestUpdatesAreNotLost(t *testing.T) {
	c := qt.New(t)
	var cell Cell[int]
	const writers, rounds = 8, 100
	var wg sync.WaitGroup
	for range writers {
		wg.Go(func() {
			for range rounds {
				cell.Update(func(n int) int { return n + 1 })
			}
		})
	}
	wg.Wait()
	n, version := cell.Load()
	c.Assert(n, qt.Equals, writers*rounds)
	c.Assert(version, qt.Equals, uint64(writers*rounds))
}

func TestChangedFiresOnStore(t *testing.T) {
	c := qt.New(t)
	var cell Cell[string]
	ch := cell.Changed()
	select {
	case <-ch:
		c.Fatal("fired before a store")
	default:
	}
	cell.Store("x")
	<-ch
	c.Assert(cell.Get(), qt.Equals, "x")
}
