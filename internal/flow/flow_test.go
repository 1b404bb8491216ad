package flow

import (
	"sort"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"topazmoor/internal/catalog"
)

var epoch = time.Unix(1000, 0)

func anyItem(*Item) bool { return true }

func TestClassFirstThenLeastSlack(t *testing.T) {
	c := qt.New(t)
	var q Queue
	push := func(name string, class catalog.Class, slack time.Duration) {
		q.Push(&Item{Class: class, Account: "a", Latest: epoch.Add(slack), Value: name}, epoch)
	}
	push("batch", catalog.Batch, 0)
	push("late", catalog.Urgent, 9*time.Second)
	push("soon", catalog.Urgent, time.Second)
	push("standard", catalog.Standard, 0)
	var got []string
	for q.Len() > 0 {
		got = append(got, q.Pop(epoch, anyItem).Value.(string))
	}
	c.Assert(got, qt.DeepEquals, []string{"soon", "late", "standard", "batch"})
}

func TestLargeAccountDoesNotCrowdOutASmallOne(t *testing.T) {
	c := qt.New(t)
	var q Queue
	for i := range 100 {
		q.Push(&Item{Account: "large", Latest: epoch.Add(time.Duration(i)), Cost: time.Second, Value: "large"}, epoch)
	}
	q.Push(&Item{Account: "small", Latest: epoch.Add(time.Hour), Cost: time.Second, Value: "small"}, epoch)
	served := 0
	for q.Pop(epoch, anyItem).Value != "small" {
		served++
	}
	c.Assert(served <= 1, qt.IsTrue, qt.Commentf("served %d of the large account first", served))
}

func TestLowClassDoesNotStarve(t *testing.T) {
	c := qt.New(t)
	var q Queue
	q.Push(&Item{Class: catalog.Batch, Account: "b", Latest: epoch, Value: "batch"}, epoch)
	now := epoch.Add(promoteAfter)
	for i := range promoteEvery {
		q.Push(&Item{Class: catalog.Urgent, Account: "a", Latest: now, Value: i}, now)
		if q.Pop(now, anyItem).Value == "batch" {
			return
		}
	}
	c.Fatal("the batch item was not served")
}

// TestQueueAgainstSortedList compares the queue with a sorted list for one
// account, for which the order is class, then Latest, then push.
func TestQueueAgainstSortedList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue
		var reference []*Item
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				it := &Item{
					Class:   catalog.Class(rapid.IntRange(0, 2).Draw(t, "class")),
					Account: "a",
					Latest:  epoch.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "slack"))),
				}
				q.Push(it, epoch)
				reference = append(reference, it)
				sort.SliceStable(reference, func(i, j int) bool {
					if reference[i].Class != reference[j].Class {
						return reference[i].Class < reference[j].Class
					}
					return reference[i].Latest.Before(reference[j].Latest)
				})
			},
			"pop": func(t *rapid.T) {
				got := q.Pop(epoch, anyItem)
				if len(reference) == 0 {
					if got != nil {
						t.Fatal("popped from an empty queue")
					}
					return
				}
				if got != reference[0] {
					t.Fatalf("got %+v, want %+v", got, reference[0])
				}
				reference = reference[1:]
			},
			"remove": func(t *rapid.T) {
				if len(reference) == 0 {
					return
				}
				i := rapid.IntRange(0, len(reference)-1).Draw(t, "i")
				if !q.Remove(reference[i]) || q.Remove(reference[i]) {
					t.Fatal("remove did not take the item out exactly once")
				}
				reference = append(reference[:i], reference[i+1:]...)
			},
			"": func(t *rapid.T) {
				if q.Len() != len(reference) {
					t.Fatalf("len %d, want %d", q.Len(), len(reference))
				}
			},
		})
	})
}

func TestLimitFallsOnRefusalAndRecovers(t *testing.T) {
	c := qt.New(t)
	l := NewLimit(10)
	c.Assert(l.Calls(), qt.Equals, 10)
	l.Refused(epoch)
	l.Refused(epoch)
	c.Assert(l.Calls(), qt.Equals, 7)
	for range 60 {
		l.RecordLatency(10*time.Millisecond, epoch.Add(time.Second))
	}
	c.Assert(l.Calls(), qt.Equals, 10)
	for i := range 100 {
		l.Refused(epoch.Add(time.Duration(i) * time.Second))
	}
	c.Assert(l.Calls(), qt.Equals, 1)
}

func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	b := NewBudget(0.1)
	taken := 0
	for range 1000 {
		b.Call()
		if b.Take() {
			taken++
		}
	}
	c.Assert(taken >= 100 && taken <= 100+budgetBurst, qt.IsTrue, qt.Commentf("%d", taken))
}
