package sequencer

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

// Queue holds events in the order of their times. Its zero value is ready to use.
// It is not safe for concurrent use.
type Queue struct {
	events eventHeap
	added  uint64
}

// Add schedules f to run at a time.
func (q *Queue) Add(at time.Time, f func(now time.Time)) {
	q.added++
	heap.Push(&q.events, event{at: at, order: q.added, run: f})
}

// Run runs all events up to and including a time, also those that they add.
func (q *Queue) Run(until time.Time) {
	for len(q.events) > 0 && !q.events[0].at.After(until) {
		e := heap.Pop(&q.events).(event)
		e.run(e.at)
	}
}

// eventHeap orders events by time.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{} // Releases what the function refers to.
	*h = old[:len(old)-1]
	return e
}
