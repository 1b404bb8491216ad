// Package flow decides the order in which waiting calls are served, how many
// calls may be in flight, and how many retries are allowed. The decisions are
// pure; package scheduler applies them. Source: docs/design/005-flow.md.
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
	// Cost is the expected service time, charged to the account.
	Cost time.Duration
	// Value is the waiter.
	Value any

	index int
	queue *accountQueue
	seq   uint64
}

const (
	// promoteAfter is the waiting time after which an item is served as if of
	// the next higher class, so that no class starves.
	promoteAfter = 10 * time.Second
	// fairnessSlack is how much more service than the least served account an
	// account may have had before its items wait for the others'.
	fairnessSlack = 500 * time.Millisecond
)

// Queue orders waiting calls: the higher class first; within a class the
// least slack first, as long as the account had not more than its fair share
// of service lately. It is not safe for concurrent use.
type Queue struct {
	classes [catalog.Classes]classQueue
	size    int
	seq     uint64
}

type classQueue struct {
	accounts map[string]*accountQueue
	size     int
	// floor is the service of the least served account when it was last seen;
	// an account that returns starts from here, not from its old credit.
	floor time.Duration
}

type accountQueue struct {
	name    string
	items   itemHeap
	service time.Duration
}

// Len returns the number of waiting items.
func (q *Queue) Len() int { return q.size }

// Ahead returns how many items are served before a new one of this class.
func (q *Queue) Ahead(c catalog.Class) int {
	n := 0
	for i := range int(c) + 1 {
		n += q.classes[i].size
	}
	return n
}

// Push adds an item at time now.
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

// Remove takes out an item that is no longer wanted. It reports whether the
// item was still waiting.
func (q *Queue) Remove(it *Item) bool {
	if it.queue == nil {
		return false
	}
	heap.Remove(&it.queue.items, it.index)
	q.removed(it)
	return true
}

// Drop takes out and returns all items that unfit reports.
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

func (q *Queue) removed(it *Item) {
	cq := &q.classes[it.Class]
	if it.queue.items.Len() == 0 {
		delete(cq.accounts, it.queue.name)
	}
	it.queue = nil
	cq.size--
	q.size--
}

// Pop takes out the item that is served next among those that fit accepts.
// Only the first item of each account is offered to fit. It returns nil when
// none fits.
func (q *Queue) Pop(now time.Time, fit func(*Item) bool) *Item {
	if it := q.promoted(now, fit); it != nil {
		return q.take(it)
	}
	for c := range q.classes {
		if it := q.classes[c].next(fit); it != nil {
			return q.take(it)
		}
	}
	return nil
}

func (q *Queue) take(it *Item) *Item {
	aq := it.queue
	cq := &q.classes[it.Class]
	heap.Remove(&aq.items, it.index)
	aq.service += it.Cost
	cq.raiseFloor()
	q.removed(it)
	return it
}

// promoted returns an item of a lower class that waited too long, if the
// class above has none that waited as long.
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

// promoteEvery limits promoted items to one in this many pushes, so that a
// backlog of a low class does not displace the higher ones.
const promoteEvery = 4

// next returns the item with the least slack among the accounts within their
// fair share, or of the least served account when that one is behind.
func (cq *classQueue) next(fit func(*Item) bool) *Item {
	var least *accountQueue
	for _, aq := range cq.accounts {
		if !fit(aq.items[0]) {
			continue
		}
		if least == nil || less(aq, least) {
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
		if before(it, best) {
			best = it
		}
	}
	return best
}

func less(a, b *accountQueue) bool {
	if a.service != b.service {
		return a.service < b.service
	}
	return a.items[0].seq < b.items[0].seq
}

func (cq *classQueue) raiseFloor() {
	low := time.Duration(-1)
	for _, aq := range cq.accounts {
		if low < 0 || aq.service < low {
			low = aq.service
		}
	}
	cq.floor = max(cq.floor, low)
}

func before(a, b *Item) bool {
	if !a.Latest.Equal(b.Latest) {
		return a.Latest.Before(b.Latest)
	}
	return a.seq < b.seq
}

type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return before(h[i], h[j]) }
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
