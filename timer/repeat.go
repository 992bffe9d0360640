package timer

import (
	"context"
	"time"
)

// Repeat calls f after a first wait, and then again and again after the time that it
// returned, until ctx ends.
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
