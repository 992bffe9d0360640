package rolloutbench

import (
	"container/heap"
	"time"
)

// task is something that happens at a time.
type task struct {
	at time.Time
	// order keeps tasks of equal time in the order in which they were added.
	order uint64
	do    func(now time.Time)
}

// queue holds tasks by time. Its zero value is ready to use.
type queue struct {
	tasks taskHeap
	added uint64
}

// add has f called at a time.
func (q *queue) add(at time.Time, f func(now time.Time)) {
	q.added++
	heap.Push(&q.tasks, task{at: at, order: q.added, do: f})
}

// run does all tasks up to a time.
func (q *queue) run(until time.Time) {
	for len(q.tasks) > 0 && !q.tasks[0].at.After(until) {
		t := heap.Pop(&q.tasks).(task)
		t.do(t.at)
	}
}

// taskHeap orders tasks by time.
type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h taskHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push is for package heap.
func (h *taskHeap) Push(x any) { *h = append(*h, x.(task)) }

// Pop is for package heap.
func (h *taskHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
