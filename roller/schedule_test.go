package roller

import (
	"testing"
	"time"
)

// A rollout whose time is too short for stages must keep its first level until
// the time at which all traffic moves in one step.
func TestFirstLevelHoldsUntilCutover(t *testing.T) {
	start := time.Unix(1000, 0)
	s := &StartRollout{At: start, Deadline: start.Add(12 * time.Second), FirstLevel: 6, Cutover: start.Add(10 * time.Second)}
	for _, tc := range []struct {
		after time.Duration
		want  Level
	}{{0, 6}, {9 * time.Second, 6}, {10 * time.Second, TopLevel}, {time.Minute, TopLevel}} {
		if got := scheduledLevel(s, start.Add(tc.after)); got != tc.want {
			t.Errorf("after %v the level is %v, want %v", tc.after, got, tc.want)
		}
	}
}
