package loadbench

import (
	"container/heap"
	"time"
)

// startTime is the initial time of every simulation.
var startTime = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

// simulator runs events in the order of their times. It is the timer.Clock of
// the simulated components.
type simulator struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// Now implements timer.Clock.
func (s *simulator) Now() time.Time { return s.now }

// after schedules f to run after d.
func (s *simulator) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, event{at: s.now.Add(d), seq: s.seq, run: f})
}

// runUntil runs all events up to and including end.
func (s *simulator) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

// event is a scheduled function. seq keeps events of the same time in the order
// in which they were scheduled.
type event struct {
	at  time.Time
	seq uint64
	run func()
}

// eventHeap orders events by time.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
