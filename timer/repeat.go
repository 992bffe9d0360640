package timer

import (
	"context"
	"time"
)

// Repeat calls f after the delay first, and then repeatedly after the delay that the
// previous call of f returned, until ctx ends.
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
