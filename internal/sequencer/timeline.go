package sequencer

import "time"

// Timeline is a clock that moves with the events of a simulation. It implements
// timer.Clock for the simulated components. It is not safe for concurrent use.
type Timeline struct {
	now   time.Time
	queue Queue
}

// NewTimeline returns a Timeline without events that starts at the given time.
func NewTimeline(start time.Time) *Timeline { return &Timeline{now: start} }

// Now returns the time of the current event.
func (t *Timeline) Now() time.Time { return t.now }

// After schedules f to run after d.
func (t *Timeline) After(d time.Duration, f func()) {
	t.queue.Add(t.now.Add(d), func(now time.Time) {
		t.now = now
		f()
	})
}

// RunUntil runs all events up to and including end, and moves the clock there.
func (t *Timeline) RunUntil(end time.Time) {
	t.queue.Run(end)
	t.now = end
}
