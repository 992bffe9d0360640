package timer

import (
	"sync"
	"time"
)

// Clock tells the time.
type Clock interface {
	// Now returns the present time. Differences between two readings count the
	// time during which the process was stopped.
	Now() time.Time
}

// System is the Clock of the operating system. Its zero value is ready to use.
type System struct{}

// Now returns the present time with a monotonic reading.
func (System) Now() time.Time { return time.Now() }

// Manual is a Clock that stands still until it is advanced. Its zero value
// starts at the zero time. It is safe for concurrent use.
type Manual struct {
	mu  sync.Mutex
	now time.Time
}

// NewManual returns a Manual clock that shows start.
func NewManual(start time.Time) *Manual { return &Manual{now: start} }

// Now returns the time the clock was last set to.
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
