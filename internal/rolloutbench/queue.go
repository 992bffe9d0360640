package rolloutbench

import (
	"container/heap"
	"time"
)

// event is a function that runs at a time.
type event struct {
	at time.Time
	// order keeps events of equal time in the order in which they were added.
	order uint64
	run   func(now time.Time)
}

// eventQueue holds events in the order of their times. Its zero value is ready
// to use.
type eventQueue struct {
	events eventHeap
	added  uint64
}

// add schedules f to run at a time.
func (q *eventQueue) add(at time.Time, f func(now time.Time)) {
	q.added++
	heap.Push(&q.events, event{at: at, order: q.added, run: f})
}

// run runs all events up to and including a time.
func (q *eventQueue) run(until time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(until) {
		e := heap.Pop(&q.events).(event)
		e.run(e.at)
	}
}

// eventHeap orders events by time.
type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}
