package timer

import (
	"context"
	"time"
)

// Repeat calls f after the duration first, and then again each time after the
// duration that the previous call of f returned. It returns when ctx ends.
func Repeat(ctx context.Context, first time.Duration, f func() time.Duration) {
	t := time.NewTimer(first)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		t.Reset(f())
	}
}

// Sleep waits for d. It returns false if ctx is done before d has passed.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
