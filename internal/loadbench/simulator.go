package loadbench

import (
	"time"

	"cyclamenhub.org/internal/sequencer"
)

// startTime is the initial time of every simulation.
var startTime = time.Date(2026, 3, 1, 22, 0, 0, 0, time.UTC)

// simulator runs events in the order of their times. It is the timer.Clock of
// the simulated components.
type simulator struct {
	now   time.Time
	queue sequencer.Queue
}

// Now implements timer.Clock.
func (s *simulator) Now() time.Time { return s.now }

// after schedules f to run after d.
func (s *simulator) after(d time.Duration, f func()) {
	s.queue.Add(s.now.Add(d), func(now time.Time) {
		s.now = now
		f()
	})
}

// runUntil runs all events up to and including end.
func (s *simulator) runUntil(end time.Time) {
	s.queue.Run(end)
	s.now = end
}
