// Package flow decides the order in which waiting calls are served, how many
// calls may be in flight, and how many retries are allowed. Queue, Limit, Budget
// and Estimate hold no locks and read no clock: the caller passes the time.
// RepeatBudgets limits the repeats of all nodes together. Source:
// docs/design/005-flow.md.
package flow

import (
	"container/heap"
	"time"

	"topazmoor/internal/catalog"
)

// Item is one waiting call.
type Item struct {
	// Class is the priority class and Account the client account.
	Class   catalog.Class
	Account string
	// Latest is the latest start at which the request can still finish.
	Latest time.Time
	// Enqueued is when the item was added; set by Push.
	Enqueued time.Time
	// Cost is the expected service time, added to the account's service when the
	// item is popped.
	Cost time.Duration
	// Value belongs to the caller of Push; the queue does not read it.
	Value any

	index int
	queue *accountQueue
	seq   uint64
}

const (
	// promoteAfter is the waiting time after which an item of a lower class may
	// be served before all classes, so that no class starves.
	promoteAfter = 10 * time.Second
	// fairnessSlack is how much more service time than the least served account
	// an account may have received before the items of other accounts go first.
	fairnessSlack = 500 * time.Millisecond
)

// Queue orders waiting calls: the higher class first; within a class the
// earliest Latest (the least slack) first, among the accounts that received at
// most fairnessSlack more service than the least served one. Long waits are
// promoted; see promoteAfter. The zero Queue is empty. It is not safe for
// concurrent use.
type Queue struct {
	classes [catalog.Classes]classQueue
	size    int
	seq     uint64
}

type classQueue struct {
	accounts map[string]*accountQueue
	size     int
	// floor is the highest value that the least service of all accounts had
	// after a Pop. An account whose first item arrives starts from it, so that
	// an idle account accumulates no credit.
	floor time.Duration
}

type accountQueue struct {
	name  string
	items itemHeap
	// service starts at the floor; each popped item adds its cost.
	service time.Duration
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.size }

// Ahead returns the number of waiting items of this class and the higher ones. It
// is an estimate of the items that are served before a new one.
func (q *Queue) Ahead(c catalog.Class) int {
	n := 0
	for i := range int(c) + 1 {
		n += q.classes[i].size
	}
	return n
}

// Push adds an item and sets its Enqueued to now.
func (q *Queue) Push(it *Item, now time.Time) {
	q.seq++
	it.seq = q.seq
	it.Enqueued = now
	cq := &q.classes[it.Class]
	if cq.accounts == nil {
		cq.accounts = make(map[string]*accountQueue)
	}
	aq := cq.accounts[it.Account]
	if aq == nil {
		aq = &accountQueue{name: it.Account, service: cq.floor}
		cq.accounts[it.Account] = aq
	}
	it.queue = aq
	heap.Push(&aq.items, it)
	cq.size++
	q.size++
}

// Remove removes an item that is no longer wanted. It reports whether the
// item was still waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.queue == nil {
		return false
	}
	heap.Remove(&it.queue.items, it.index)
	q.afterRemoval(it)
	return true
}

// Drop removes and returns all items for which unfit returns true.
func (q *Queue) Drop(unfit func(*Item) bool) []*Item {
	var out []*Item
	for c := range q.classes {
		for _, aq := range q.classes[c].accounts {
			for _, it := range aq.items {
				if unfit(it) {
					out = append(out, it)
				}
			}
		}
	}
	for _, it := range out {
		q.Remove(it)
	}
	return out
}

// afterRemoval updates the counts after an item left its heap, and deletes an account
// without items.
func (q *Queue) afterRemoval(it *Item) {
	cq := &q.classes[it.Class]
	if it.queue.items.Len() == 0 {
		delete(cq.accounts, it.queue.name)
	}
	it.queue = nil
	cq.size--
	q.size--
}

// Pop removes and returns the item that is served next among those that fit accepts.
// Only the first item of each account is offered to fit. It returns nil when
// none fits.
func (q *Queue) Pop(now time.Time, fit func(*Item) bool) *Item {
	if it := q.promoted(now, fit); it != nil {
		return q.serve(it)
	}
	for c := range q.classes {
		if it := q.classes[c].next(fit); it != nil {
			return q.serve(it)
		}
	}
	return nil
}

// serve removes an item that is served and charges its cost to its account.
func (q *Queue) serve(it *Item) *Item {
	aq := it.queue
	cq := &q.classes[it.Class]
	heap.Remove(&aq.items, it.index)
	aq.service += it.Cost
	cq.advanceFloor()
	q.afterRemoval(it)
	return it
}

// promoted returns the item that waited longest among the first items of all
// accounts of the classes below the highest, if it waited for promoteAfter and
// fits. It returns nil at all but one of promoteEvery push counts.
func (q *Queue) promoted(now time.Time, fit func(*Item) bool) *Item {
	var oldest *Item
	for c := 1; c < len(q.classes); c++ {
		for _, aq := range q.classes[c].accounts {
			it := aq.items[0]
			if now.Sub(it.Enqueued) < promoteAfter || !fit(it) {
				continue
			}
			if oldest == nil || it.Enqueued.Before(oldest.Enqueued) {
				oldest = it
			}
		}
	}
	if oldest == nil || q.seq%promoteEvery != 0 {
		return nil
	}
	return oldest
}

// promoteEvery limits promotions: Pop promotes an item only while the number of
// pushes so far is a multiple of promoteEvery, so that a backlog of a low class
// does not displace the higher ones.
const promoteEvery = 4

// next returns the item with the earliest Latest among the first items of the
// accounts that received at most fairnessSlack more service than the least
// served account. Accounts whose first item does not fit are left out.
func (cq *classQueue) next(fit func(*Item) bool) *Item {
	var least *accountQueue
	for _, aq := range cq.accounts {
		if !fit(aq.items[0]) {
			continue
		}
		if least == nil || lessServed(aq, least) {
			least = aq
		}
	}
	if least == nil {
		return nil
	}
	best := least.items[0]
	for _, aq := range cq.accounts {
		it := aq.items[0]
		if aq.service > least.service+fairnessSlack || !fit(it) {
			continue
		}
		if startsBefore(it, best) {
			best = it
		}
	}
	return best
}

// lessServed reports whether a received less service than b, or as much and its first
// item was pushed earlier.
func lessServed(a, b *accountQueue) bool {
	if a.service != b.service {
		return a.service < b.service
	}
	return a.items[0].seq < b.items[0].seq
}

// advanceFloor raises the floor to the least service of the accounts. It never
// lowers it.
func (cq *classQueue) advanceFloor() {
	low := time.Duration(-1)
	for _, aq := range cq.accounts {
		if low < 0 || aq.service < low {
			low = aq.service
		}
	}
	cq.floor = max(cq.floor, low)
}

// startsBefore reports whether a has the earlier Latest, or the same one and was pushed
// earlier.
func startsBefore(a, b *Item) bool {
	if !a.Latest.Equal(b.Latest) {
		return a.Latest.Before(b.Latest)
	}
	return a.seq < b.seq
}

// itemHeap is a heap of items, the one with the earliest Latest first.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return startsBefore(h[i], h[j]) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}
