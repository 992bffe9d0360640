package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that also counts the time during which the machine was
// suspended, which the monotonic clock of the system leaves out, and that no
// step of the time of day moves. Leases are measured by it. It shows the time
// of day as of its making plus what has passed since.
type Boot struct{ base time.Time }

// NewBoot returns a Boot clock that shows the present time.
func NewBoot() Boot {
	now := time.Now().Round(0)
	passed, err := sinceBoot()
	if err != nil {
		return Boot{}
	}
	return Boot{base: now.Add(-passed)}
}

// Now returns the present time without a monotonic reading.
func (b Boot) Now() time.Time {
	passed, err := sinceBoot()
	if err != nil || b.base.IsZero() {
		return time.Now() // The kernel has no such clock; its monotonic one is next best.
	}
	return b.base.Add(passed)
}

// sinceBoot reads the kernel's clock that counts suspensions.
func sinceBoot() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}
