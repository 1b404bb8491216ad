package intake

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/verdict"
)

const (
	testLimit = 1 << 20
	large     = 256 << 10
)

// reader is a hold whose reader gives its bytes back as soon as it is told to end.
func reader(b *Budget) *Hold {
	var h *Hold
	h = b.NewHold(func() { go h.Release() })
	return h
}

func soon() time.Time { return time.Now().Add(time.Second) }

// Large bodies that stay open must not keep small ones out, nor later large ones for good.
func TestReadersThatStallGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBudget(testLimit)
		for range 3 {
			c.Assert(reader(b).Grow(large, soon()), qt.IsNil)
		}
		small := reader(b)
		c.Assert(small.Grow(SmallBytes, soon()), qt.IsNil)
		late := reader(b)
		err := late.Grow(large, soon())
		c.Assert(verdict.CodeOf(err), qt.Equals, verdict.Overloaded)
		c.Assert(verdict.Of(err), qt.Equals, verdict.NotRun)
		c.Assert(verdict.As(err).RetryAfter, qt.Equals, patience)
		late.Release()
		// The refusal tells when there is room.
		time.Sleep(verdict.As(err).RetryAfter)
		c.Assert(reader(b).Grow(large, soon()), qt.IsNil)
		c.Assert(b.Counts().Ended, qt.Equals, int64(2))
		synctest.Wait()
		c.Assert(b.Counts().Used, qt.Equals, int64(2*large+SmallBytes))
	})
}

// What has been read and is being served is not taken back.
func TestWholeBodiesKeepTheirPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBudget(testLimit)
		whole := b.NewHold(func() { t.Error("told to end") })
		c.Assert(whole.Grow(3*large, soon()), qt.IsNil)
		c.Assert(whole.Settle(2*large), qt.IsNil)
		c.Assert(b.Counts().Used, qt.Equals, int64(2*large))
		c.Assert(whole.TryGrow(large), qt.IsTrue)
		time.Sleep(time.Minute)
		h := reader(b)
		err := h.Grow(large, soon())
		c.Assert(verdict.As(err).RetryAfter, qt.Equals, busyRetryAfter)
		whole.Release()
		whole.Release()
		c.Assert(whole.TryGrow(1), qt.IsFalse)
		c.Assert(h.Grow(large, soon()), qt.IsNil)
	})
}

// A large body that was read whole is served although small ones have taken the reserve meanwhile.
func TestNothingMoreNeedsNoRoom(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(testLimit)
	whole := b.NewHold(nil)
	c.Assert(whole.TryGrow(3*large), qt.IsTrue)
	c.Assert(b.NewHold(nil).TryGrow(SmallBytes), qt.IsTrue)
	c.Assert(whole.TryGrow(1), qt.IsFalse)
	c.Assert(whole.TryGrow(0), qt.IsTrue)
}

// A reader that is told to end, and does not, holds up others until their time only.
func TestGrowWaitsForReadersThatEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		b := NewBudget(testLimit)
		told := false
		slow := b.NewHold(func() { told = true })
		c.Assert(slow.Grow(3*large, soon()), qt.IsNil)
		time.Sleep(patience)
		h := reader(b)
		start := time.Now()
		c.Assert(verdict.CodeOf(h.Grow(large, soon())), qt.Equals, verdict.Overloaded)
		c.Assert(time.Since(start), qt.Equals, time.Second)
		c.Assert(told, qt.IsTrue)
		c.Assert(verdict.CodeOf(slow.Settle(0)), qt.Equals, verdict.Overloaded)
		c.Assert(verdict.CodeOf(slow.Grow(1, soon())), qt.Equals, verdict.Overloaded)
		time.AfterFunc(time.Second/2, slow.Release)
		c.Assert(h.Grow(large, soon()), qt.IsNil)
		c.Assert(b.Counts().Used, qt.Equals, int64(large))
	})
}

// TestOracleBudget compares a Budget with the sum of what its holds have.
func TestOracleBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			b := NewBudget(testLimit)
			held := make(map[*Hold]int64)
			var order []*Hold
			release := func(h *Hold) {
				h.Release()
				delete(held, h)
			}
			for range rapid.IntRange(1, 60).Draw(rt, "steps") {
				if len(order) == 0 || rapid.IntRange(0, 3).Draw(rt, "new") == 0 {
					var h *Hold
					h = b.NewHold(func() {
						go func() {
							b.mu.Lock()
							delete(held, h)
							b.mu.Unlock()
							h.Release()
						}()
					})
					order = append(order, h)
				}
				h := order[rapid.IntRange(0, len(order)-1).Draw(rt, "hold")]
				n := rapid.Int64Range(1, large).Draw(rt, "bytes")
				switch rapid.IntRange(0, 4).Draw(rt, "step") {
				case 0, 1:
					if h.Grow(n, time.Now().Add(time.Millisecond)) == nil {
						held[h] += n
					}
				case 2:
					if h.TryGrow(n) {
						held[h] += n
					}
				case 3:
					if h.Settle(n) == nil {
						if _, ok := held[h]; ok {
							held[h] = min(held[h], n)
						}
					}
				case 4:
					release(h)
				}
				time.Sleep(time.Duration(rapid.IntRange(0, 700).Draw(rt, "ms")) * time.Millisecond)
				synctest.Wait()
				sum := int64(0)
				for _, bytes := range held {
					sum += bytes
				}
				if used := b.Counts().Used; used != sum || used > testLimit || b.ending != 0 {
					rt.Fatalf("%d bytes used, %d ending, %d held", used, b.ending, sum)
				}
			}
		})
	})
}
