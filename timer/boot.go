package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock for measuring leases. Unlike the system's monotonic clock, it
// includes the time during which the machine was suspended. Steps of the wall clock
// do not affect it. It returns the wall-clock time of its creation plus the
// time elapsed since then. The zero value returns the time of the system clock.
type Boot struct{ base time.Time }

// NewBoot returns a Boot clock that starts at the current wall-clock time.
func NewBoot() Boot {
	now := time.Now().Round(0)
	elapsed, err := sinceBoot()
	if err != nil {
		return Boot{}
	}
	return Boot{base: now.Add(-elapsed)}
}

// Now returns the current time. It has no monotonic reading, except if
// CLOCK_BOOTTIME is not available or b is the zero value.
func (b Boot) Now() time.Time {
	elapsed, err := sinceBoot()
	if err != nil || b.base.IsZero() {
		return time.Now() // Fall back to the system clock.
	}
	return b.base.Add(elapsed)
}

// sinceBoot returns the time since boot, including suspension, from the kernel's
// CLOCK_BOOTTIME.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
