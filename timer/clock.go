package timer

import (
	"sync"
	"time"
)

// Clock is a source of the current time.
type Clock interface {
	// Now returns the current time. The difference between two readings
	// includes the time during which the process was stopped.
	Now() time.Time
}

// System is the Clock of the operating system. The zero value is ready to use.
type System struct{}

// Now returns the current time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Manual is a Clock for tests that changes only when Advance is called. The zero
// value starts at the zero time. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual clock that starts at start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the current time of the clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Advance moves the clock forward by d.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = m.now.Add(d)
}
